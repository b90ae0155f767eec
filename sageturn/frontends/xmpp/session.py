"""Sends and receives XMPP streams, both with clients and with endpoints."""

from __future__ import annotations

import secrets
from contextlib import suppress
from xml.sax.saxutils import quoteattr

from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.errors import StreamError, encode_stream_error
from sageturn.frontends.xmpp.namespaces import CLIENT_NS, STREAMS_NS
from sageturn.frontends.xmpp.protocol import StreamCondition
from sageturn.frontends.xmpp.stream_parser import (
    Stanza,
    StreamClosed,
    StreamEvent,
    StreamOpened,
    StreamParser,
)

STREAM_CLOSE = b"</stream:stream>"
STREAM_ID_BYTES = 8  # random bytes, sent in hexadecimal
MAX_READ_AVAILABLE_BYTES = 65536  # a peer that floods the relay must not delay the others


class XmppSession:
    """XMPP stream of one connection, which is restarted after TLS and SASL."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.parser = StreamParser()
        self.sent_bytes = 0
        self._received_bytes = 0
        self._header_sent = False  # True once the current stream's header is sent

    def restart(self, channel: Channel | None = None) -> None:
        """Begin a new stream on the same connection, after TLS on a new ``channel``.

        Raises:
            StreamError: the peer sent stanzas before the restart. Before TLS, a third party could have
                injected them.
        """
        if self.parser.events or self.parser.is_mid_stanza:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "sent before the stream was restarted")
        if channel is not None:
            self.channel = channel
        self.parser = StreamParser()
        self._header_sent = False

    async def next_event(self) -> StreamEvent | None:
        """Wait for the next event and return it; None if the peer closed the connection but not the stream.

        Raises:
            StreamError: the stream is invalid.
            OSError: the connection failed.
        """
        while not self.parser.events:
            data = await self.channel.receive()
            if not data:
                return None
            self._received_bytes += len(data)
            self.parser.feed(data)
        return self.parser.events.popleft()

    def read_available(self) -> bool:
        """Parse the bytes that have arrived, about ``MAX_READ_AVAILABLE_BYTES`` at most, without waiting.

        Return True if the peer has closed the connection. Raise the same errors as ``next_event``.
        """
        limit = self._received_bytes + MAX_READ_AVAILABLE_BYTES
        while self._received_bytes < limit and (data := self.channel.receive_available()) is not None:
            if not data:
                return True
            self._received_bytes += len(data)
            self.parser.feed(data)
        return False

    async def expect_header(self) -> StreamOpened:
        """Return the peer's stream header; raise StreamError, or ConnectionResetError if the peer closed."""
        event = await self.next_event()
        if event is None:
            raise ConnectionResetError("peer closed the connection before its stream header")
        if not isinstance(event, StreamOpened):
            raise StreamError(StreamCondition.BAD_FORMAT)
        return event

    async def expect_stanza(self) -> Stanza:
        """Return the next stanza; raise StreamError, or ConnectionResetError if the peer closed."""
        event = await self.next_event()
        if event is None or isinstance(event, StreamClosed):
            raise ConnectionResetError(
                "peer closed the connection or stream before the session was established"
            )
        if not isinstance(event, Stanza):
            raise StreamError(StreamCondition.BAD_FORMAT)
        return event

    async def send(self, data: bytes) -> None:
        """Send ``data`` as part of the stream; raise OSError if the connection fails."""
        self.sent_bytes += len(data)
        await self.channel.send(data)

    async def send_header(self, **attributes: str) -> None:
        """Open the relay's side of the stream, by a header with ``attributes``."""
        encoded = "".join(f" {name}={quoteattr(value)}" for name, value in attributes.items())
        header = f"<stream:stream xmlns='{CLIENT_NS}' xmlns:stream='{STREAMS_NS}' version='1.0'{encoded}>"
        self._header_sent = True
        await self.send(b"<?xml version='1.0'?>" + header.encode())

    async def send_server_header(self, domain: str) -> None:
        """Open the relay's side of a client's stream, as the server of ``domain``, with a new stream id."""
        await self.send_header(**{"from": domain, "id": secrets.token_hex(STREAM_ID_BYTES)})

    async def close(self, error: bytes = b"", domain: str = "") -> None:
        """Close the relay's side of the stream, after ``error``; do nothing on a broken connection."""
        with suppress(OSError, ValueError):  # the socket may have been reset and closed
            if not self._header_sent:
                await self.send_server_header(domain)
            await self.send(error + STREAM_CLOSE)
            await self.channel.send_close()

    async def close_with_error(self, error: StreamError, domain: str) -> None:
        """Close the relay's side of the stream because of ``error``."""
        await self.close(encode_stream_error(error.condition, error.text), domain)
