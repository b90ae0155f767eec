"""Clients on loopback sockets: they connect through a front, stand, come again after a move or a break, and
note what they saw. A set-up is timed from when the client first wanted it, whatever held it up since.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from hdrh.histogram import HdrHistogram

from sageturn.lab.fakes import LineProtocol
from sageturn.lab.fleet_spec import FleetSpec
from sageturn.lab.sampling import Client, ClientSampler

# uvloop's own clock has whole milliseconds only, so what is measured is read from the system's.
LINE_S = 2.0  # a client says something so often
RETRIES = 3  # at once, or after what it was told; then it waits a while
LONG_WAIT_S = 2.0
SPLIT_LOOK_S = 1.5  # after a move: who of the same group is still there was left behind


@dataclass
class ClientObservations:
    """What the clients have seen. ``set_ups`` and ``lines`` by class, in milliseconds and microseconds."""

    set_ups: list[HdrHistogram]
    lines: list[HdrHistogram]
    counts: Counter[str] = field(default_factory=Counter)
    waited_worth: float = 0.0
    moved_keys: Counter[str] = field(default_factory=Counter)


class Population:
    """``relays``: the addresses that the front spreads connections over."""

    def __init__(self, spec: FleetSpec, relays: list[tuple[str, int]], seen: ClientObservations) -> None:
        self.spec, self.relays, self.seen = spec, relays, seen
        self.draws = ClientSampler(spec, 0)
        self.standing: dict[_Connection, None] = {}
        self.wanted = 0  # clients that want a connection now, with it or without
        self._ids = count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._parts: dict[tuple[int, str, str], dict[str, float]] = {}
        self._over = False

    # ------------------------------------------------------------ coming and going

    def spawn(self, client: Client, relay: int | None = None, at: str = "") -> asyncio.Task[None]:
        task = asyncio.ensure_future(self._live(client, relay, at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def arrivals(self, per_s: float) -> None:
        """An open loop: the next comes when its time is there, however slow the relays are."""
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s += self.draws.wait_s(per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            client = self.draws.client()
            client.since_s = due_s
            self.spawn(client)

    async def stop(self) -> None:
        self._over = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _live(self, client: Client, relay: int | None, at: str) -> None:
        loop = asyncio.get_running_loop()
        self.wanted += 1
        try:
            while not self._over:
                client.since_s = client.since_s or loop.time()
                to = self.draws.below(len(self.relays)) if relay is None else relay
                connection = _Connection(self, client, to, at)
                try:
                    await loop.create_connection(lambda c=connection: c, *self.relays[to])  # type: ignore[misc]
                except OSError:
                    self.seen.counts["no_connect"] += 1
                else:
                    try:
                        await connection.ended.wait()
                    finally:
                        connection.close()
                relay, at = None, ""
                if client.life_s <= 0.0:
                    return
                began = loop.time()
                wait_s = self.draws.gap_s()
                if not connection.stood:
                    client.tries += 1
                    wait_s = max(wait_s, connection.advice_s)
                    if client.tries % RETRIES == 0:
                        wait_s = max(wait_s, LONG_WAIT_S)
                else:
                    # It means to ask when its gap is over: what holds it up after that is the relay's.
                    client.tries, client.since_s = 1, began + wait_s
                    self.seen.waited_worth += self.spec.classes[client.cls].worth * wait_s
                await asyncio.sleep(wait_s)
        finally:
            self.wanted -= 1

    # ------------------------------------------------------------ what a connection tells

    def next_id(self) -> str:
        return f"{next(self._ids):016x}"

    def stands(self, connection: _Connection, took_s: float, told: bool) -> None:
        client = connection.client
        cls = self.spec.classes[client.cls]
        self.standing[connection] = None
        part = self._parts.setdefault((connection.relay, connection.host, client.group), {})
        part[client.key] = asyncio.get_running_loop().time()
        if told:
            return
        took_ms = took_s * 1000.0
        self.seen.set_ups[client.cls].record_value(max(1, round(took_ms)))
        self.seen.counts["set_up"] += 1
        self.seen.counts[f"late_{cls.name}"] += took_ms > cls.latency_objective_ms
        self.seen.waited_worth += cls.worth * took_s

    def ended(self, connection: _Connection) -> None:
        client = connection.client
        if self.standing.pop(connection, 0) is None:
            key = connection.relay, connection.host, client.group
            self._parts[key].pop(client.key, None)
            if not self._parts[key]:
                del self._parts[key]
        if self._over:
            return  # what the lab itself ends
        if connection.moved:
            self._moved(connection)
        elif connection.stood and not connection.done:
            self.seen.counts["cut"] += 1

    def _moved(self, connection: _Connection) -> None:
        client = connection.client
        self.seen.counts["moved"] += 1
        self.seen.moved_keys[client.key] += 1
        self.seen.counts["moved_again"] += self.seen.moved_keys[client.key] > 1
        if self.spec.classes[client.cls].name == "guest-checkin":
            self.seen.counts["checkin_moved"] += 1
        if client.group:
            now_s = asyncio.get_running_loop().time()
            key = connection.relay, connection.host, client.group
            asyncio.get_running_loop().call_later(SPLIT_LOOK_S, self._look_for_split, key, now_s)

    def _look_for_split(self, key: tuple[int, str, str], moved_s: float) -> None:
        """Whether the move has left some of a group behind that stood there already."""
        left = self._parts.get(key, {})
        if any(since_s < moved_s - SPLIT_LOOK_S for since_s in left.values()):
            self.seen.counts["left_behind"] += 1


class _Connection(LineProtocol):
    def __init__(self, population: Population, client: Client, relay: int, at: str) -> None:
        super().__init__()
        self.population, self.client, self.relay, self._at = population, client, relay, at
        self.ended = asyncio.Event()
        self.stood = self.moved = self.done = False
        self.host = ""
        self.advice_s = 0.0
        self._asked_s = 0.0
        self._stood_s = 0.0
        self._timers: list[asyncio.TimerHandle] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        client, spec = self.client, self.population.spec
        cls = spec.classes[client.cls]
        wait_ms = 30000 if self._at else round(cls.give_up_ms)
        words = [f"c={cls.name}", f"t={client.tenant}", f"d={wait_ms}", f"h={client.load * spec.unit_us:.1f}"]
        if client.group:
            words.append(f"g={client.group}")
        if client.tries:
            words.append("again=1")
        if self._at:
            words.append(f"at={self._at}")
        self.write(f"OPEN {self.population.next_id()} {client.key} {','.join(words)}\r\n".encode())
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(wait_ms / 1000.0, self._give_up))

    def _give_up(self) -> None:
        if not self.stood:
            self.population.seen.counts["unanswered"] += 1
            self.abort()

    def line(self, line: bytes) -> None:
        loop = asyncio.get_running_loop()
        if self.stood:
            if line == b"MOVE":
                self.moved = True
            elif line.startswith(b"M ") and self._asked_s:
                took_us = max(1, round((time.monotonic() - self._asked_s) * 1e6))
                self.population.seen.lines[self.client.cls].record_value(min(took_us, 60_000_000))
                self._asked_s = 0.0
            return
        if line.startswith(b"UP "):
            self.stood, self.host = True, line[3:].decode("ascii", "replace")
            self._stood_s = loop.time()
            self.population.stands(self, loop.time() - self.client.since_s, bool(self._at))
            self._timers.append(loop.call_later(max(0.0, self.client.life_s), self._finish))
            self._timers.append(loop.call_later(self.population.draws.uniform(0.0, LINE_S), self._say))
            return
        self.population.seen.counts["busy" if line.startswith(b"BUSY") else "error"] += 1
        words = line.split()
        if words and words[0] == b"BUSY" and len(words) > 1 and words[1].isdigit():
            self.advice_s = int(words[1]) / 1000.0

    def _say(self) -> None:
        loop = asyncio.get_running_loop()
        if not self._asked_s:
            self._asked_s = time.monotonic()
            self.write(b"M 1\r\n")
        self._timers[2:] = [loop.call_later(LINE_S, self._say)]

    def _finish(self) -> None:
        self.done = True
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        for timer in self._timers:
            timer.cancel()
        if self.stood:
            self.client.life_s -= asyncio.get_running_loop().time() - self._stood_s
            if self.done:
                self.client.life_s = 0.0
        self.population.ended(self)
        self.ended.set()
