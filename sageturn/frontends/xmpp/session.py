"""Sends and receives XMPP streams, both with clients and with endpoints."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto
from xml.sax.saxutils import quoteattr

from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.errors import StreamError, encode_stream_error
from sageturn.frontends.xmpp.namespaces import CLIENT_NS, STREAMS_NS
from sageturn.frontends.xmpp.protocol import StreamCondition
from sageturn.frontends.xmpp.stream_parser import (
    SESSION_LIMITS,
    Stanza,
    StreamClosed,
    StreamEvent,
    StreamOpened,
    StreamParser,
)

STREAM_CLOSE = b"</stream:stream>"
STREAM_ID_BYTES = 8  # random bytes, sent in hexadecimal
# Input that is parsed at a time: it bounds the queued events, and a turn of the event loop. More is parsed
# within a long stanza, which yields no event before its end.
PIECE_BYTES = 512
LONG_STANZA_PIECE_BYTES = 2048
HELD_BYTES_STEP = 2048  # changes of the held memory below this are not reported


class ReadResult(Enum):
    """Result of a read that does not wait."""

    PARSED = auto()  # a piece of input was parsed
    NOTHING = auto()  # no input has arrived
    CLOSED = auto()  # the peer has closed the connection


def ignore_held_bytes(held_bytes: int) -> None:
    """Do nothing; the default for sessions that have no memory budget."""


class XmppSession:
    """XMPP stream of one connection, which is restarted after TLS and SASL.

    Attributes:
        received_bytes: input that was parsed so far.
        sent_bytes: bytes that were sent so far.
    """

    def __init__(self, channel: Channel, on_held_bytes: Callable[[int], None] = ignore_held_bytes) -> None:
        """Create a session on a new connection.

        Args:
            channel: the connection.
            on_held_bytes: called with the memory that the peer's input takes, when it has changed.
        """
        self.channel = channel
        self.parser = StreamParser()
        self.sent_bytes = 0
        self.received_bytes = 0
        self._unparsed = b""  # received input that follows the parsed one
        self._taken_bytes = 0  # memory of the event that ``next_event`` has returned last
        self._on_held_bytes = on_held_bytes
        self._held_bytes = 0  # as reported last
        self._is_discarded = False  # True once the peer's input is no longer parsed
        self._header_sent = False  # True once the current stream's header is sent

    def restart(self, channel: Channel | None = None) -> None:
        """Begin a new stream on the same connection, after TLS on a new ``channel``.

        Raises:
            StreamError: the peer sent stanzas before the restart. Before TLS, a third party could have
                injected them.
        """
        while self._unparsed:
            self._parse_piece()
        if self.parser.events or self.parser.is_mid_stanza:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "sent before the stream was restarted")
        if channel is not None:
            self.channel = channel
        self.parser.close()
        self.parser = StreamParser()
        self._header_sent = False

    def discard_input(self) -> None:
        """Release the memory of the peer's input at once; a task in ``next_event`` has to be cancelled."""
        self._is_discarded = True
        self.parser.close()
        self._unparsed = b""
        self._report_held_bytes()

    def release(self) -> None:
        """Release all memory of the peer's input; forwarding has ended."""
        self._taken_bytes = 0
        self.discard_input()

    def establish(self) -> None:
        """Accept long stanzas from now on."""
        self.parser.limits = SESSION_LIMITS

    async def next_event(self) -> StreamEvent | None:
        """Wait for the next event and return it; None if the peer closed the connection but not the stream.

        Between two pieces of input that have arrived already, other tasks get their turn.

        Raises:
            StreamError: the stream is invalid.
            OSError: the connection failed.
        """
        self._taken_bytes = 0
        while not self.parser.events:
            if self._is_discarded:
                await asyncio.get_running_loop().create_future()
            if self._unparsed:
                await asyncio.sleep(0)
            else:
                self._report_held_bytes()
                self._unparsed = await self.channel.receive()
                if not self._unparsed:
                    return None
            if not self._is_discarded:  # while this waited
                self._parse_piece()
        return self._take_event()

    def next_event_available(self) -> StreamEvent | ReadResult:
        """Return the next event without waiting, or else the result of reading a further piece of input.

        Raise the same errors as ``next_event``. This must not be called while a task waits in ``next_event``.
        """
        self._taken_bytes = 0
        if self.parser.events:
            return self._take_event()
        if self._is_discarded:
            return ReadResult.NOTHING
        if not self._unparsed:
            data = self.channel.receive_available()
            if not data:
                return ReadResult.NOTHING if data is None else ReadResult.CLOSED
            self._unparsed = data
        self._parse_piece()
        return ReadResult.PARSED

    def _parse_piece(self) -> None:
        size = LONG_STANZA_PIECE_BYTES if self.parser.is_mid_stanza else PIECE_BYTES
        piece = self._unparsed[:size]
        self._unparsed = self._unparsed[size:]
        self.received_bytes += len(piece)
        self.parser.feed(piece)
        self._report_held_bytes()

    def _take_event(self) -> StreamEvent:
        before = self.parser.held_bytes
        event = self.parser.pop_event()
        self._taken_bytes = before - self.parser.held_bytes
        return event

    def _report_held_bytes(self) -> None:
        held_bytes = self.parser.held_bytes + self._taken_bytes
        if abs(held_bytes - self._held_bytes) >= HELD_BYTES_STEP:
            self._held_bytes = held_bytes
            self._on_held_bytes(held_bytes)

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
        if event.is_truncated:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too large")
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
