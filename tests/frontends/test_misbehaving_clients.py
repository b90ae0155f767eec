"""Misbehaving clients: each is answered or closed soon, reaches no endpoint, and does not affect others."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import (
    Streams,
    echo_lines,
    encode_request_line,
    exchange_line,
    never_respond,
    running_relay,
    send_request,
)

from sageturn.frontends.platform import frontend
from sageturn.frontends.platform.request_line import RequestLine
from sageturn.net.admission import ProcessLimits

FLOOD = b"k" * (1 << 20)


async def read_response_code(streams: Streams) -> bytes:
    """Return the code of the response, such as BUSY; empty if the connection was closed without one."""
    reader, writer = streams
    try:
        return (await asyncio.wait_for(reader.readline(), 3))[:4].strip()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize("first_bytes", [b"", b"OPEN id9 k1 c=c", b"PING\r\n", b"PING\r\nOPE"])
async def test_idle_client_and_incomplete_line_are_answered_in_time(
    tmp_path: Path, first_bytes: bytes
) -> None:
    # The time limit was 5 s and restarted at each PING, but an answer is due 3 s after the client connects.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        started_s = asyncio.get_running_loop().time()
        reader, writer = await send_request(relay.listener.address, first_bytes)
        received = await asyncio.wait_for(reader.read(), 3)
        assert received.removeprefix(b"PONG\r\n").startswith(b"ERR")
        assert asyncio.get_running_loop().time() - started_s < 2.8 and endpoint.request_lines == []
        writer.close()


async def test_idle_clients_are_evicted_for_those_with_a_request(tmp_path: Path) -> None:
    # Pending connections were not limited: 2,000 in a day held 330 of 384 descriptors. The oldest ones must
    # be evicted, while established connections stay open.
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        relay.admission.limits = ProcessLimits(sockets=96, memory_mb=192.0)
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        idle_clients = [await send_request(relay.listener.address, b"") for _ in range(40)]
        assert await exchange_line(relay.listener.address, encode_request_line()) == b"UP r1\r\n"
        assert relay.admission.connection_count <= 2 + 16
        assert await read_response_code(idle_clients[0]) == b"BUSY"
        writer.write(b"M 1\r\n")
        assert await reader.readline() == b"M 1\r\n"
        for _, each in [*idle_clients, (reader, writer)]:
            each.close()


async def test_reused_request_id_is_an_error_and_reaches_no_endpoint(tmp_path: Path) -> None:
    # 303 requests with a reused id reached endpoints in one day. The endpoints answered ERR, for which
    # healthy ones were ejected.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        line = encode_request_line()
        reader, writer = await send_request(relay.listener.address, line)
        assert await reader.readline() == b"UP r1\r\n"
        assert (await exchange_line(relay.listener.address, line)).startswith(b"ERR")
        writer.close()
        while endpoint.open_connections:
            await asyncio.sleep(0.01)
        assert (await exchange_line(relay.listener.address, line)).startswith(b"ERR") and len(
            endpoint.request_lines
        ) == 1


async def test_several_lines_at_once_are_an_error(tmp_path: Path) -> None:
    # The first line was placed, and the others were forwarded to its endpoint, which cannot use them.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        for lines in (
            encode_request_line() * 300,
            encode_request_line() + encode_request_line(),
            b"PING\r\n" * 300,
        ):
            assert await read_response_code(await send_request(relay.listener.address, lines)) == b"ERR"
        assert endpoint.request_lines == []


async def test_flooding_client_gets_its_error_and_is_no_longer_read(tmp_path: Path) -> None:
    # The relay read on at full speed for 0.5 s after its answer, which took CPU time from other connections.
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        reader, writer = await asyncio.open_connection(*relay.listener.address)
        sent = 0

        async def flood() -> None:
            nonlocal sent
            while True:
                writer.write(FLOOD)
                await writer.drain()
                sent += len(FLOOD)

        flooding = asyncio.ensure_future(flood())
        assert await read_response_code((reader, writer)) == b"ERR"
        await asyncio.wait((flooding,), timeout=3)
        assert flooding.done() and flooding.exception() and sent < 30 * len(FLOOD)


async def test_client_that_floods_before_its_answer_gets_an_error(tmp_path: Path) -> None:
    async with running_relay(tmp_path, never_respond) as (relay, (endpoint,)):
        reader, writer = await send_request(relay.listener.address, encode_request_line(3000))
        while not endpoint.request_lines:
            await asyncio.sleep(0.01)
        writer.write(FLOOD)
        assert await read_response_code((reader, writer)) == b"ERR"
        while endpoint.open_connections:
            await asyncio.sleep(0.01)


async def test_unexpected_exception_in_reading_a_request_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Such an exception was logged, and the connection was closed without a response.
    def fail(buffer: bytearray, end: int, classes: frozenset[str]) -> RequestLine:
        raise RuntimeError("a fault that no check foresaw")

    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        with monkeypatch.context() as patched:
            patched.setattr(frontend, "parse_request_line", fail)
            reader, writer = await send_request(relay.listener.address, encode_request_line())
            assert await reader.read() == b"ERR internal\r\n"
            writer.close()
        assert endpoint.request_lines == []
        await until(lambda: relay.admission.connection_count == 0)
