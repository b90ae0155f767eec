"""A stream on a channel: what both the client's and the endpoint's side have in common."""

from __future__ import annotations

import secrets
from contextlib import suppress
from xml.sax.saxutils import quoteattr

from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.errors import CLOSE, STREAMS, StreamFault, error_xml
from sageturn.frontends.xmpp.stream import CLIENT, Closed, Opened, Piece, Stanza, StreamParser

AT_ONCE = 65536  # octets; one that floods must not hold the core


class XmppSession:
    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = StreamParser()
        self.opened = False  # we have sent our own header on the stream as it now stands
        self.received = 0
        self.sent = 0

    def restart(self, channel: Channel | None = None) -> None:
        """After TLS or SASL: a new stream on the same connection, and for the core the same request.

        What came before its time is refused: under STARTTLS it could have been slipped in unencrypted.
        """
        if self.parser.pieces or self.parser.mid_stanza:
            raise StreamFault("policy-violation", "sent before the stream was restarted")
        if channel is not None:
            self.channel = channel
        self.parser = StreamParser()
        self.opened = False

    async def next(self) -> Piece | None:
        """None when the connection ended without the stream's close."""
        while not self.parser.pieces:
            data = await self.channel.receive()
            if not data:
                return None
            self.received += len(data)
            self.parser.feed(data)
        return self.parser.pieces.popleft()

    def take_at_hand(self) -> bool:
        """Parses what lies unread, up to ``AT_ONCE``, without waiting; True if it ended without a close."""
        until = self.received + AT_ONCE
        while self.received < until and (data := self.channel.at_hand()) is not None:
            if not data:
                return True
            self.received += len(data)
            self.parser.feed(data)
        return False

    async def expect_open(self) -> Opened:
        piece = await self.next()
        if piece is None:
            raise ConnectionResetError("ended before the stream opened")
        if not isinstance(piece, Opened):
            raise StreamFault("bad-format")
        return piece

    async def expect_stanza(self) -> Stanza:
        piece = await self.next()
        if piece is None or isinstance(piece, Closed):
            raise ConnectionResetError("ended before it stood")
        if not isinstance(piece, Stanza):
            raise StreamFault("bad-format")
        return piece

    async def send(self, data: bytes) -> None:
        self.sent += len(data)
        await self.channel.send(data)

    async def open(self, **attributes: str) -> None:
        said = "".join(f" {name}={quoteattr(value)}" for name, value in attributes.items())
        header = f"<stream:stream xmlns='{CLIENT}' xmlns:stream='{STREAMS}' version='1.0'{said}>"
        self.opened = True
        await self.send(b"<?xml version='1.0'?>" + header.encode())

    async def end(self, error: bytes = b"", domain: str = "") -> None:
        """Close our side of the stream; a broken connection has nobody to tell."""
        with suppress(OSError, ValueError):  # the socket may have been reset and closed
            if not self.opened:
                await self.open(**{"from": domain, "id": secrets.token_hex(8)})
            await self.send(error + CLOSE)
            await self.channel.finish()

    async def fault(self, fault: StreamFault, domain: str) -> None:
        await self.end(error_xml(fault.condition, fault.text), domain)
