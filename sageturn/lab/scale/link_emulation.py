"""Link emulation: a TCP forwarder between members that adds delay, loss and cuts.

``counting.RoutingLoop`` redirects members' connections to the forwarder. Each pair of a dialling zone and a
member has its own listener, by which the forwarder knows a connection's link. TCP runs on both sides of the
forwarder, so no data is lost or reordered, and an emulated loss appears as delay. A lost segment delays all
later data until it is retransmitted: by a fast retransmission after one round trip if at least three segments
follow, or otherwise by a timer, which starts at 200 ms or more and doubles.
A cut suspends all data without an error, and delivers it at once when the link heals; a real TCP's
retransmission timer may add a delay of up to the length of the cut. The congestion window, and so the cost of
a loss in throughput, is not emulated.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from sageturn.core.tasks import cancel_and_wait

SEGMENT_BYTES = 1448
MIN_RETRANSMISSION_TIMEOUT_S = 0.2
FAST_RETRANSMIT_SEGMENTS = 3  # number of later segments that trigger a fast retransmission
MAX_LOSSES_PER_SEGMENT = 8
READ_CHUNK_BYTES = 65536
MAX_BUFFERED_BYTES = 1 << 20  # limit for one direction; reading from the sender pauses at it
TIMER_RESOLUTION_S = 0.0005  # shorter waits are skipped
LISTEN_BACKLOG = 1024


@dataclass
class EmulatedLink:
    """Link that all connections between two zones share. It has no clock or random generator of its own."""

    name: str
    delay_s: float  # one-way delay
    loss: float = 0.0  # probability that a segment is lost
    is_cut: bool = False
    bytes_forwarded: int = 0
    retransmission_count: int = 0
    healed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.healed.set()

    def set_cut(self, is_cut: bool) -> None:
        """Cut the link, which suspends all data, or heal it."""
        self.is_cut = is_cut
        if is_cut:
            self.healed.clear()
        else:
            self.healed.set()

    def transit_s(self, byte_count: int, rng: Random) -> float:
        """Return the seconds that a chunk takes to arrive whole and in order, and count its bytes."""
        self.bytes_forwarded += byte_count
        return self.delay_s + self._retransmission_delay_s(byte_count, rng)

    def _retransmission_delay_s(self, byte_count: int, rng: Random) -> float:
        """Return the seconds that random losses add to a chunk; 0 if no segment is lost."""
        slowest_s = 0.0
        if self.loss <= 0.0:
            return slowest_s
        segment_count = -(-byte_count // SEGMENT_BYTES)
        for segment in range(segment_count):
            losses = 0
            while rng.random() < self.loss and losses < MAX_LOSSES_PER_SEGMENT:
                losses += 1
            if losses:
                self.retransmission_count += losses
                slowest_s = max(slowest_s, self.recovery_s(losses, segment_count - 1 - segment))
        return slowest_s

    def recovery_s(self, losses: int, following_segments: int) -> float:
        """Return the seconds to recover a segment that is lost ``losses`` times in a row."""
        round_trip_s = 2.0 * self.delay_s
        timeout_s = max(MIN_RETRANSMISSION_TIMEOUT_S, 2.0 * round_trip_s)
        if following_segments >= FAST_RETRANSMIT_SEGMENTS:
            return round_trip_s + timeout_s * (2.0 ** (losses - 1) - 1.0)
        return timeout_s * (2.0**losses - 1.0)


class DelayLine:
    """Queue of one direction of a connection: chunks of data, each with the time at which it is due."""

    def __init__(self, link: EmulatedLink, rng: Random, now_s: Callable[[], float]) -> None:
        self._link = link
        self._rng = rng
        self._now_s = now_s
        self._last_due_s = 0.0
        self.waiting: deque[tuple[float, bytes]] = deque()  # chunks in order, each with its due time
        self.buffered_bytes = 0

    def put(self, data: bytes) -> None:
        """Queue data; empty data means the end of the stream."""
        transit_s = self._link.transit_s(len(data), self._rng) if data else self._link.delay_s
        # TCP delivers in order: no chunk is due before an earlier one.
        self._last_due_s = max(self._last_due_s, self._now_s() + transit_s)
        self.waiting.append((self._last_due_s, data))
        self.buffered_bytes += len(data)

    def take(self) -> bytes | None:
        """Remove and return the first chunk if it is due and the link is not cut, else None."""
        if self._link.is_cut or not self.waiting:
            return None
        if self.waiting[0][0] > self._now_s() + TIMER_RESOLUTION_S:
            return None
        _, data = self.waiting.popleft()
        self.buffered_bytes -= len(data)
        return data

    def wait_s(self) -> float:
        """Return the seconds until the first queued chunk is due, at least 0; a cut is not considered."""
        return max(0.0, self.waiting[0][0] - self._now_s())


class Forwarder:
    """Listener that forwards each connection to ``target`` over ``link``."""

    def __init__(self, sock: socket.socket, target: tuple[str, int], link: EmulatedLink, seed: int) -> None:
        self._sock = sock
        self._target = target
        self._link = link
        self._rng = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Accept and forward connections until cancelled; cancellation ends all connections."""
        self._sock.setblocking(False)
        self._sock.listen(LISTEN_BACKLOG)
        loop = asyncio.get_running_loop()
        try:
            while True:
                client, _ = await loop.sock_accept(self._sock)
                task = asyncio.ensure_future(self._forward_connection(client))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            self._sock.close()
            for task in list(self._tasks):
                await cancel_and_wait(task)

    async def _forward_connection(self, client: socket.socket) -> None:
        upstream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for sock in (client, upstream):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        directions: list[asyncio.Task[None]] = []
        try:
            # During a cut the kernel accepts the client, which gets no answer until the link heals.
            await self._link.healed.wait()
            await asyncio.sleep(self._link.delay_s)
            await asyncio.get_running_loop().sock_connect(upstream, self._target)
            directions = [
                asyncio.ensure_future(_Direction(source, sink, self._link, self._rng).run())
                for source, sink in ((client, upstream), (upstream, client))
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_EXCEPTION)
        except OSError:
            pass
        finally:
            for direction in directions:
                await cancel_and_wait(direction)
            client.close()
            upstream.close()


class _Direction:
    """Forwarder of one direction of a connection, until the source's end of stream or a reset."""

    def __init__(self, source: socket.socket, sink: socket.socket, link: EmulatedLink, rng: Random) -> None:
        self._source = source
        self._sink = sink
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._delay_line = DelayLine(link, rng, self._loop.time)
        self._data_arrived = asyncio.Event()
        self._may_read = asyncio.Event()
        self._may_read.set()

    async def run(self) -> None:
        reading = asyncio.ensure_future(self._read())
        try:
            while await self._wait_for_data(reading):
                if await self._write_next():
                    return
        finally:
            await cancel_and_wait(reading)

    async def _read(self) -> None:
        while True:
            await self._may_read.wait()
            data = await self._loop.sock_recv(self._source, READ_CHUNK_BYTES)
            self._delay_line.put(data)
            self._data_arrived.set()
            if not data:
                return
            if self._delay_line.buffered_bytes >= MAX_BUFFERED_BYTES:
                self._may_read.clear()

    async def _wait_for_data(self, reading: asyncio.Task[None]) -> bool:
        """Wait for a queued chunk. Return False if reading has ended and the queue is empty.

        Raises:
            OSError: The source was reset. The forwarder then closes both sockets.
        """
        while not self._delay_line.waiting:
            self._data_arrived.clear()
            arriving = asyncio.ensure_future(self._data_arrived.wait())
            await asyncio.wait((arriving, reading), return_when=asyncio.FIRST_COMPLETED)
            arriving.cancel()
            if reading.done() and not self._delay_line.waiting:
                reading.result()
                return False
        return True

    async def _write_next(self) -> bool:
        """Forward the first chunk once it is due. Return True if it was the end of the stream."""
        await self._link.healed.wait()
        wait_s = self._delay_line.wait_s()
        if wait_s > TIMER_RESOLUTION_S:
            await asyncio.sleep(wait_s)
        data = self._delay_line.take()
        if data is None:
            return False
        if not data:
            with suppress(OSError):
                self._sink.shutdown(socket.SHUT_WR)
            return True
        await self._loop.sock_sendall(self._sink, data)
        if self._delay_line.buffered_bytes < MAX_BUFFERED_BYTES:
            self._may_read.set()
        return False
