"""Link emulation: delay, loss and cuts, on a manual clock and on sockets."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageturn.lab.scale.fleet import link_name, peers_of
from sageturn.lab.scale.link_emulation import (
    MAX_BUFFERED_BYTES,
    MIN_RETRANSMISSION_TIMEOUT_S,
    SEGMENT_BYTES,
    DelayLine,
    EmulatedLink,
    Forwarder,
)
from sageturn.lab.scale.plan import (
    ScaleExperiment,
    Size,
)

READ_BYTES = 65536


class ManualClockLine:
    """A delay line with a clock that tests set."""

    def __init__(self, delay_s: float = 0.01, loss: float = 0.0, seed: int = 1) -> None:
        self.now_s = 0.0
        self.link = EmulatedLink("zone:0-0", delay_s, loss)
        self.delay_line = DelayLine(self.link, Random(seed), lambda: self.now_s)

    def take_all(self) -> bytes:
        taken = b""
        while data := self.delay_line.take():
            taken += data
        return taken


def test_data_arrives_after_the_delay_and_not_before() -> None:
    line = ManualClockLine(delay_s=0.035)
    line.delay_line.put(b"ab")
    line.now_s = 0.030
    assert line.take_all() == b"" and line.delay_line.wait_s() == pytest.approx(0.005)
    line.now_s = 0.035
    assert line.take_all() == b"ab" and line.delay_line.buffered_bytes == 0


def test_a_cut_suspends_data_in_flight_and_a_heal_delivers_it_in_order() -> None:
    line = ManualClockLine()
    line.delay_line.put(b"1")
    line.link.set_cut(True)
    line.delay_line.put(b"2")
    line.now_s = 60.0
    assert line.take_all() == b"" and not line.link.healed.is_set()
    line.link.set_cut(False)
    assert line.take_all() == b"12" and line.link.healed.is_set()


def test_a_lost_segment_delays_all_later_data_by_the_retransmission_timeout() -> None:
    line = ManualClockLine(loss=0.5, seed=3)
    due = []
    for number in range(40):
        line.now_s = number * 0.001
        line.delay_line.put(bytes([number]))
        due.append(line.delay_line.waiting[-1][0])
    assert due == sorted(due), "chunks stay in order"
    assert due[-1] - 0.039 > MIN_RETRANSMISSION_TIMEOUT_S and line.link.retransmission_count > 0
    line.now_s = due[-1]
    assert line.take_all() == bytes(range(40)), "all data arrives"


def test_a_loss_costs_a_round_trip_if_segments_follow_and_a_timeout_if_not() -> None:
    link = EmulatedLink("x", 0.035)
    assert link.recovery_s(1, 3) == pytest.approx(0.07)
    assert link.recovery_s(1, 0) == pytest.approx(MIN_RETRANSMISSION_TIMEOUT_S)
    assert link.recovery_s(2, 0) == pytest.approx(3 * MIN_RETRANSMISSION_TIMEOUT_S), "the timeout doubles"


@given(
    st.lists(st.binary(min_size=1, max_size=4 * SEGMENT_BYTES), max_size=12),
    st.floats(0, 0.4),
    st.integers(0, 99),
)
def test_a_lossy_link_keeps_the_stream_and_is_deterministic_for_a_seed(
    chunks: list[bytes], loss: float, seed: int
) -> None:
    def due() -> list[float]:
        line = ManualClockLine(loss=loss, seed=seed)
        for data in chunks:
            line.delay_line.put(data)
        times = [at_s for at_s, _ in line.delay_line.waiting]
        line.now_s = 1e9
        assert line.take_all() == b"".join(chunks)
        return times

    assert due() == due() == sorted(due())


def test_links_are_named_by_both_zones_and_their_class() -> None:
    experiment = ScaleExperiment("x", (Size("a", 10),))
    assert [experiment.region_of(zone) for zone in range(5)] == [0, 0, 0, 1, 1]
    assert link_name(experiment, 2, 0) == link_name(experiment, 0, 2) == "region:0-2"
    assert link_name(experiment, 4, 1) == "between:1-4" and link_name(experiment, 3, 3) == "zone:3-3"


def test_configured_links_connect_all_members_and_link_count_is_exact() -> None:
    for topology in ("mesh", "tree"):
        size = Size("a", 30, topology=topology, fanout=4)
        dialled = [peers_of(size, member, 5) for member in range(30)]
        assert sum(map(len, dialled)) == size.link_count
        reached = {0}
        for member, peers in enumerate(dialled):
            assert all(peer < member for peer in peers)
            if reached & set(peers):
                reached.add(member)
        assert reached == set(range(30))
    assert all(0 < len(peers_of(Size("a", 9, topology="seeds"), member, 5)) <= 2 for member in range(9))


def bind_socket() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock


@asynccontextmanager
async def run_forwarder(
    link: EmulatedLink, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
) -> AsyncIterator[socket.socket]:
    """Run a forwarder over ``link`` to an endpoint that runs ``serve``; yield the socket to connect to."""
    endpoint = await asyncio.start_server(serve, "127.0.0.1", 0)
    listener = bind_socket()
    forwarder = Forwarder(listener, endpoint.sockets[0].getsockname(), link, seed=5)
    running = asyncio.ensure_future(forwarder.run())
    await asyncio.sleep(0)  # lets the forwarder start listening
    yield listener
    running.cancel()
    await asyncio.wait((running,))
    endpoint.close()


async def test_a_forwarder_forwards_both_ways_through_a_cut_and_passes_on_the_end_of_stream() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
        writer.close()

    unused_address = bind_socket().getsockname()
    link = EmulatedLink("zone:0-0", 0.001, 0.05)
    async with run_forwarder(link, echo) as listener:
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        sent = os.urandom(100_000)
        link.set_cut(True)
        writer.write(sent)
        link.set_cut(False)
        assert await reader.readexactly(len(sent)) == sent
        assert link.bytes_forwarded >= 2 * len(sent) and link.retransmission_count > 0
        writer.write_eof()
        assert await reader.read() == b"", "the end of the stream is forwarded"
        writer.close()
    with pytest.raises(OSError):
        await asyncio.open_connection(*unused_address)


async def test_a_sender_that_is_faster_than_its_link_is_throttled() -> None:
    received: list[int] = []

    async def discard(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            received.append(len(data))
        writer.close()

    link = EmulatedLink("between:0-3", 0.01)
    async with run_forwarder(link, discard) as listener:
        _, writer = await asyncio.open_connection(*listener.getsockname())
        link.set_cut(True)
        writer.write(bytes(20 * MAX_BUFFERED_BYTES))
        while link.bytes_forwarded < MAX_BUFFERED_BYTES:
            await asyncio.sleep(0.001)
        for _ in range(50):
            await asyncio.sleep(0.001)
        assert link.bytes_forwarded < MAX_BUFFERED_BYTES + 2 * READ_BYTES, (
            "no more is read than may be buffered"
        )
        link.set_cut(False)
        await writer.drain()
        writer.close()
        while sum(received) < 20 * MAX_BUFFERED_BYTES:
            await asyncio.sleep(0.001)
