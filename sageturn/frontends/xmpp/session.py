"""An XML stream on a channel: what the client's and the endpoint's side have in common."""

from __future__ import annotations

import secrets
from contextlib import suppress
from xml.sax.saxutils import quoteattr

from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.errors import StreamError, encode_stream_error
from sageturn.frontends.xmpp.namespaces import CLIENT_NS, STREAMS_NS
from sageturn.frontends.xmpp.stream_parser import (
    Stanza,
    StreamClosed,
    StreamEvent,
    StreamOpened,
    StreamParser,
)

STREAM_CLOSE = b"</stream:stream>"
MAX_READ_AVAILABLE_BYTES = 65536  # one that floods the relay must not hold up all others


class XmppSession:
    """One connection's stream in both directions, restarted after TLS and SASL."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = StreamParser()
        self.sent_bytes = 0
        self._received_bytes = 0
        self._header_sent = False  # on the current stream

    def restart(self, channel: Channel | None = None) -> None:
        """Begin a new stream on the same connection, after TLS on a new ``channel``.

        What was sent too early is rejected: under STARTTLS it could have been inserted unencrypted.
        """
        if self.parser.events or self.parser.is_mid_stanza:
            raise StreamError("policy-violation", "sent before the stream was restarted")
        if channel is not None:
            self.channel = channel
        self.parser = StreamParser()
        self._header_sent = False

    async def next_event(self) -> StreamEvent | None:
        """None if the connection ended without the stream's close.

        Raises StreamError for what is not a valid stream, OSError if the connection fails.
        """
        while not self.parser.events:
            data = await self.channel.receive()
            if not data:
                return None
            self._received_bytes += len(data)
            self.parser.feed(data)
        return self.parser.events.popleft()

    def read_available(self) -> bool:
        """Parse what lies unread without waiting, up to a limit; True if it ended without a close."""
        limit = self._received_bytes + MAX_READ_AVAILABLE_BYTES
        while self._received_bytes < limit and (data := self.channel.receive_available()) is not None:
            if not data:
                return True
            self._received_bytes += len(data)
            self.parser.feed(data)
        return False

    async def expect_header(self) -> StreamOpened:
        """The other side's stream header; StreamError for anything else, ConnectionResetError for an end."""
        event = await self.next_event()
        if event is None:
            raise ConnectionResetError("ended before the stream opened")
        if not isinstance(event, StreamOpened):
            raise StreamError("bad-format")
        return event

    async def expect_stanza(self) -> Stanza:
        """The next stanza; StreamError for anything else, ConnectionResetError for an end."""
        event = await self.next_event()
        if event is None or isinstance(event, StreamClosed):
            raise ConnectionResetError("ended before the session was established")
        if not isinstance(event, Stanza):
            raise StreamError("bad-format")
        return event

    async def send(self, data: bytes) -> None:
        """Raises OSError if the connection fails."""
        self.sent_bytes += len(data)
        await self.channel.send(data)

    async def send_header(self, **attributes: str) -> None:
        """Open the relay's side of the stream."""
        encoded = "".join(f" {name}={quoteattr(value)}" for name, value in attributes.items())
        header = f"<stream:stream xmlns='{CLIENT_NS}' xmlns:stream='{STREAMS_NS}' version='1.0'{encoded}>"
        self._header_sent = True
        await self.send(b"<?xml version='1.0'?>" + header.encode())

    async def close(self, error: bytes = b"", domain: str = "") -> None:
        """Close the relay's side of the stream, after ``error``; does nothing on a broken connection."""
        with suppress(OSError, ValueError):  # the socket may have been reset and closed
            if not self._header_sent:
                await self.send_header(**{"from": domain, "id": secrets.token_hex(8)})
            await self.send(error + STREAM_CLOSE)
            await self.channel.send_close()

    async def close_with_error(self, error: StreamError, domain: str) -> None:
        """Close the relay's side of the stream because of ``error``."""
        await self.close(encode_stream_error(error.condition, error.text), domain)
