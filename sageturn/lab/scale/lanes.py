"""The link layer: a TCP forwarder between members that puts in delay, loss and cuts.

Members dial each other at addresses that lead here (``sockets.route``); each pair of a dialling zone and a
member has a listener of its own, so the forwarder knows which lane a connection is on. TCP runs on both
sides of it, so nothing is ever lost or out of order: what a network drops shows as time. A segment that
is lost holds back all that follows it until it is sent again, which a fast retransmission does after a
round trip where three more segments follow, and a timer does after 200 ms or more, doubling, where not.
A cut holds everything back and says nothing; after it what was held comes at once (a real TCP's timer may
be late by as long as the cut was). The congestion window, and so a loss's cost in throughput, is not
played.
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

SEGMENT = 1448
RTO_LEAST_S = 0.2
FAST_AFTER = 3  # later segments whose arrival tells the sender of a loss
CHUNK = 65536
HELD_MOST = 1 << 20  # octets on their way in one direction; then the sender is not read any more
LATE_S = 0.0005  # a wait shorter than this is not worth a timer


@dataclass
class Lane:
    """What all connections of one class of link have in common. Pure: time and chance are handed in."""

    name: str
    delay_s: float
    loss: float = 0.0
    cut: bool = False
    octets: int = 0
    chunks: int = 0
    resent: int = 0
    healed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.healed.set()

    def set_cut(self, cut: bool) -> None:
        self.cut = cut
        (self.healed.clear if cut else self.healed.set)()

    def takes_s(self, octets: int, rng: Random) -> float:
        """Until the last octet of a chunk is there, and in order."""
        self.octets += octets
        self.chunks += 1
        latest = 0.0
        if self.loss > 0.0:
            segments = -(-octets // SEGMENT)
            for number in range(segments):
                lost = 0
                while rng.random() < self.loss and lost < 8:
                    lost += 1
                if lost:
                    self.resent += lost
                    latest = max(latest, self._recovery_s(lost, segments - 1 - number))
        return self.delay_s + latest

    def _recovery_s(self, lost: int, following: int) -> float:
        round_trip_s = 2.0 * self.delay_s
        rto_s = max(RTO_LEAST_S, 2.0 * round_trip_s)
        if following >= FAST_AFTER:
            return round_trip_s + rto_s * (2.0 ** (lost - 1) - 1.0)
        return rto_s * (2.0**lost - 1.0)


class Pipe:
    """One direction of one connection: what was read, and when it is due at the other side."""

    def __init__(self, lane: Lane, rng: Random, now_s: Callable[[], float]) -> None:
        self._lane, self._rng, self._now_s = lane, rng, now_s
        self._due_s = 0.0
        self.waiting: deque[tuple[float, bytes]] = deque()
        self.held = 0

    def put(self, data: bytes) -> None:
        """Empty data is the end of the stream."""
        takes_s = self._lane.takes_s(len(data), self._rng) if data else self._lane.delay_s
        self._due_s = max(self._due_s, self._now_s() + takes_s)  # a stream: nothing overtakes
        self.waiting.append((self._due_s, data))
        self.held += len(data)

    def take(self) -> bytes | None:
        """What is due by now; None if nothing is."""
        if self._lane.cut or not self.waiting or self.waiting[0][0] > self._now_s() + LATE_S:
            return None
        _, data = self.waiting.popleft()
        self.held -= len(data)
        return data

    def wait_s(self) -> float:
        """Until the first is due, while the lane is not cut."""
        return max(0.0, self.waiting[0][0] - self._now_s())


class Forwarder:
    """One listener: whoever connects is passed on to ``to`` over ``lane``."""

    def __init__(self, sock: socket.socket, to: tuple[str, int], lane: Lane, seed: int) -> None:
        self._sock, self._to, self.lane = sock, to, lane
        self._rng = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        self._sock.setblocking(False)
        self._sock.listen(1024)
        loop = asyncio.get_running_loop()
        try:
            while True:
                near, _ = await loop.sock_accept(self._sock)
                task = asyncio.ensure_future(self._join(near))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            self._sock.close()
            for task in list(self._tasks):
                await cancel_and_wait(task)

    async def _join(self, near: socket.socket) -> None:
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ways: list[asyncio.Task[None]] = []
        try:
            # One that connects during a cut is taken by the kernel and hears nothing, as if it never came up.
            await self.lane.healed.wait()
            await asyncio.sleep(self.lane.delay_s)
            await asyncio.get_running_loop().sock_connect(far, self._to)
            ways = [asyncio.ensure_future(self._pass(a, b)) for a, b in ((near, far), (far, near))]
            await asyncio.wait(ways, return_when=asyncio.FIRST_EXCEPTION)
        except OSError:
            pass
        finally:
            for way in ways:
                await cancel_and_wait(way)
            near.close()
            far.close()

    async def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        pipe = Pipe(self.lane, self._rng, loop.time)
        came, room = asyncio.Event(), asyncio.Event()
        room.set()

        async def read() -> None:
            while True:
                await room.wait()
                data = await loop.sock_recv(source, CHUNK)
                pipe.put(data)
                came.set()
                if not data:
                    return
                if pipe.held >= HELD_MOST:
                    room.clear()

        reading = asyncio.ensure_future(read())
        try:
            while True:
                while not pipe.waiting:
                    came.clear()
                    waiting = asyncio.ensure_future(came.wait())
                    await asyncio.wait((waiting, reading), return_when=asyncio.FIRST_COMPLETED)
                    waiting.cancel()
                    if reading.done() and not pipe.waiting:
                        reading.result()  # it was reset: the other side hears of it as a reset, too
                        return
                await self.lane.healed.wait()
                if (wait_s := pipe.wait_s()) > LATE_S:
                    await asyncio.sleep(wait_s)
                data = pipe.take()
                if data is None:
                    continue
                if not data:
                    with suppress(OSError):
                        sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, data)
                if pipe.held < HELD_MOST:
                    room.set()
        finally:
            await cancel_and_wait(reading)
