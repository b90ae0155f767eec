"""Tests that one client at full speed gets a bounded share of each turn of the event loop, on both wires."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import pytest
import uvloop
from support.event_loop import until
from support.network_fakes import encode_request_line, running_relay, send_request
from support.xmpp_fakes import XmppClient, XmppServerSession
from support.xmpp_relay import make_client_tls_context, running_xmpp_relay, xmpp_address

from sageturn.frontends.platform.line_forwarder import BUFFER_BYTES, LineForwarder
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream_parser import SESSION_LIMITS, Stanza
from sageturn.net.source_end import SourceEndedError, SourceEndLimit

HEADER = (
    b"<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>"
)
MAX_STANZAS_IN_TURN = 256  # of the smallest kind; each takes some microseconds
MAX_END_S = 1.0  # time within which the other side is ended once one side has ended
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0 s
FLOOD = b"M x\r\n" * 200_000


class TurnCounter:
    """Counter of the event loop's turns that another task gets while an awaitable runs."""

    def __init__(self) -> None:
        self.turns = 0

    async def count(self, awaitable: Awaitable[Any]) -> None:
        counting = asyncio.ensure_future(self._run())
        try:
            await awaitable
        finally:
            counting.cancel()

    async def _run(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)


class FloodingChannel:
    """Channel whose peer has always more to read: ``receive`` never waits, as under TLS with many records."""

    is_encrypted = False

    def __init__(self, data: bytes, read_bytes: int) -> None:
        self._data = data
        self._read_bytes = read_bytes

    async def receive(self) -> bytes:
        data, self._data = self._data[: self._read_bytes], self._data[self._read_bytes :]
        return data


@pytest.mark.parametrize("stanza", [b"<a/>", b"<m><a/><a/></m>", b"<iq type='get' id='1'/>"])
async def test_small_stanzas_at_full_speed_leave_turns_to_others(stanza: bytes) -> None:
    # A read of 16 KiB held 4,096 stanzas, which were parsed and forwarded in one turn of the event loop.
    count = 20_000
    session = XmppSession(FloodingChannel(HEADER + stanza * count, 16384))  # type: ignore[arg-type]
    await session.expect_header()
    session.parser.limits = SESSION_LIMITS
    counter = TurnCounter()

    async def read_all() -> None:
        for _ in range(count):
            assert isinstance(await session.next_event(), Stanza)

    await counter.count(read_all())
    assert counter.turns >= count / MAX_STANZAS_IN_TURN


async def flood_forwarder(counter: TurnCounter) -> None:
    """Forward ``FLOOD`` between two pairs of sockets."""
    loop = asyncio.get_running_loop()
    (client, source), (target, endpoint) = socket.socketpair(), socket.socketpair()
    for sock in (client, source, target, endpoint):
        sock.setblocking(False)
    forwarder = LineForwarder(source, target, lambda buffer, end: None)

    async def read_all() -> None:
        while await loop.sock_recv(endpoint, 1 << 16):
            pass

    reading = asyncio.ensure_future(read_all())
    sending = asyncio.ensure_future(loop.sock_sendall(client, FLOOD))
    sending.add_done_callback(lambda _: client.shutdown(socket.SHUT_WR))
    await counter.count(forwarder.run())
    target.close()
    await reading
    for sock in (client, source, endpoint):
        sock.close()


def test_lines_at_full_speed_leave_turns_to_others() -> None:
    # On the loop that relays run on, which waits before each read.
    counter = TurnCounter()
    loop = uvloop.new_event_loop()
    try:
        loop.run_until_complete(flood_forwarder(counter))
    finally:
        loop.close()
    assert counter.turns >= len(FLOOD) / BUFFER_BYTES / 2


# ------------------------------------------------------------ a client that leaves while its input waits


async def take_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes) -> None:
    """Accept the request, and read nothing more."""
    writer.write(b"UP r1\r\n")
    await asyncio.sleep(30)


async def take_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes) -> None:
    """Accept the request, and read 20 KB a second, so that no write waits for long."""
    writer.write(b"UP r1\r\n")
    while await reader.read(1000):
        await asyncio.sleep(0.05)


async def send_until_blocked(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send ``data`` again and again until nothing has been taken for a moment."""
    for _ in range(1000):
        writer.write(data * 100)
        try:
            async with asyncio.timeout(0.3):
                await writer.drain()
        except TimeoutError:
            return
    raise AssertionError("all was taken")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection as a client does that leaves unread what it was sent: by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def write_slowly(seconds: float) -> None:
    await asyncio.sleep(seconds)


async def test_a_write_that_waits_ends_once_its_source_has_closed_behind_unread_input() -> None:
    client, source = socket.socketpair()
    client.sendall(b"unread")
    limit = SourceEndLimit(source, 0.2)
    loop = asyncio.get_running_loop()
    await limit.complete(write_slowly(0.15))  # the source is connected, so a write may take any time
    closed_s = loop.time()
    client.close()
    with pytest.raises(SourceEndedError):
        await limit.complete(write_slowly(30.0))
    assert loop.time() - closed_s < MAX_END_S
    source.close()


async def test_short_writes_of_a_source_that_has_closed_end_too() -> None:
    # An endpoint that took a little at a time was sent the input of a client that had left for a minute.
    client, source = socket.socketpair()
    client.sendall(b"unread")
    client.close()
    limit = SourceEndLimit(source, 0.2)
    writes = 0

    async def write_all() -> None:
        nonlocal writes
        while True:
            await limit.complete(write_slowly(0.02))
            writes += 1

    with pytest.raises(SourceEndedError):
        await write_all()
    assert 1 <= writes <= 20  # those of the time that is left to the endpoint
    source.close()


async def test_an_error_of_the_write_itself_is_passed_on() -> None:
    async def fail() -> None:
        raise TimeoutError(errno.ETIMEDOUT, "the kernel gave the connection up")

    client, source = socket.socketpair()
    with pytest.raises(TimeoutError):
        await SourceEndLimit(source, 0.2).complete(fail())
    client.close()
    source.close()


@pytest.mark.parametrize("script", [take_nothing, take_little])
async def test_a_client_that_leaves_while_its_lines_wait_is_noticed(tmp_path: Path, script: Any) -> None:
    # Nobody read the client while a write to its endpoint waited: its end was seen once all that it had sent
    # before was written, or the endpoint timed out.
    async with running_relay(tmp_path, script) as (relay, _):
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        await send_until_blocked(writer, b"M " + b"x" * 1000 + b"\r\n")
        reset(writer)
        async with asyncio.timeout(MAX_END_S):
            await until(lambda: len(relay.request_registry) == 0)


@pytest.mark.parametrize("read_interval_s", [30.0, 0.05])
async def test_an_xmpp_client_that_leaves_while_its_stanzas_wait_is_noticed(
    tmp_path: Path, read_interval_s: float
) -> None:
    async def take_slowly(server: XmppServerSession) -> None:
        server.send_bind_result(await server.accept())
        while await server.reader.read(1000):
            await asyncio.sleep(read_interval_s)

    async with running_xmpp_relay(tmp_path, take_slowly) as (relay, _):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        await client.bind()
        await send_until_blocked(client.writer, b"<message><body>" + b"x" * 1000 + b"</body></message>")
        reset(client.writer)
        async with asyncio.timeout(MAX_END_S):
            await until(lambda: len(relay.request_registry) == 0)


async def test_a_client_that_ends_its_sending_has_all_its_lines_forwarded(tmp_path: Path) -> None:
    # The limit is for an endpoint that does not take the rest: one that reads gets everything.
    received = bytearray()

    async def read_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes) -> None:
        writer.write(b"UP r1\r\n")
        while data := await reader.read(65536):
            received.extend(data)

    async with running_relay(tmp_path, read_all) as (relay, _):
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        writer.write(FLOOD)
        writer.write_eof()
        assert await reader.read() == b""
        await until(lambda: len(received) == len(FLOOD))
        writer.close()
