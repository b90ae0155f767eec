"""Discovery service of the soak test, which fails according to the plan.

Each relay has two addresses of its own, so that its notifications can be attributed to it.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from sageturn.decision import EndpointStatus
from sageturn.lab.loopback.fakes import LOOPBACK
from sageturn.lab.soak.plan import CHANGE_DELAY_S, NEVER_S, EndpointIncarnation, FaultKind, SoakPlan
from sageturn.lab.soak.records import EndpointNotification
from sageturn.net.json_stream import JsonObject

HEARTBEAT_INTERVAL_S = 2.0
FRAGMENT_PAUSE_S = 0.001
DOWN_DELAY_S = 2.0  # delay of the error answer to some calls while discovery is down
OK_HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the endpoint list: the new state of an endpoint's incarnation."""

    at_s: float
    incarnation: EndpointIncarnation
    state: EndpointStatus


def list_changes(plan: SoakPlan) -> list[Change]:
    """Return all changes of the run, ordered by time; a crash is published only by the endpoint's restart."""
    changes = []
    for incarnation in plan.incarnations:
        if incarnation.start_s > 0.0:
            changes.append(Change(incarnation.start_s + CHANGE_DELAY_S, incarnation, EndpointStatus.READY))
        if incarnation.drain_s < NEVER_S:
            changes.append(Change(incarnation.drain_s + CHANGE_DELAY_S, incarnation, EndpointStatus.DRAINING))
        if incarnation.end_s < NEVER_S and not incarnation.is_crash:
            changes.append(Change(incarnation.end_s + CHANGE_DELAY_S, incarnation, EndpointStatus.REMOVED))
    return sorted(changes, key=lambda change: change.at_s)


@dataclass(eq=False, slots=True)
class Watch:
    """One open watch; ``process`` is the process id of the relay that opened it."""

    process: int
    writer: asyncio.StreamWriter
    is_unresponsive: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class SoakDiscovery:
    """The discovery service; ``get_process_id`` returns a relay's current process id."""

    def __init__(self, plan: SoakPlan, get_process_id: Callable[[int], int]) -> None:
        self.addresses: dict[int, list[tuple[str, int]]] = {}
        self.notifications: list[EndpointNotification] = []
        self._plan = plan
        self._get_process_id = get_process_id
        self._changes = list_changes(plan)
        self._published_count = 0
        self._watches: set[Watch] = set()
        self._servers: list[asyncio.Server] = []
        self._rng = Random(f"{plan.seed}/discovery")

    async def start(self) -> None:
        """Listen on two free ports for each relay."""
        for relay in range(self._plan.size.relays):
            self.addresses[relay] = []
            for _ in range(2):
                server = await asyncio.start_server(self._make_handler(relay), LOOPBACK, 0)
                self._servers.append(server)
                self.addresses[relay].append(server.sockets[0].getsockname()[:2])

    def stop(self) -> None:
        """Stop listening, and close all watches."""
        for server in self._servers:
            server.close()
        for watch in list(self._watches):
            watch.writer.close()

    def current_list(self) -> JsonObject:
        """Return the current full list as it is encoded."""
        states = {
            incarnation.name: (incarnation, EndpointStatus.READY)
            for incarnation in self._plan.incarnations
            if incarnation.start_s <= 0.0
        }
        for change in self._changes[: self._published_count]:
            if change.state is EndpointStatus.REMOVED:
                states.pop(change.incarnation.name, None)
            else:
                states[change.incarnation.name] = (change.incarnation, change.state)
        entries = [self._encode(incarnation, state) for incarnation, state in states.values()]
        return {"version": self._published_count + 1, "full": True, "servers": entries}

    async def run(self) -> None:
        """Publish changes, and abort watches or make them unresponsive, at the planned times."""
        faults = self._plan.faults_of(FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_SILENT)
        schedule = [(change.at_s, change) for change in self._changes]
        schedule += [(fault.begin_s, fault) for fault in faults]  # type: ignore[misc]
        for at_s, item in sorted(schedule, key=lambda pair: pair[0]):
            await asyncio.sleep(max(0.0, self._plan.started_s + at_s - time.monotonic()))
            if isinstance(item, Change):
                self._published_count += 1
                for watch in list(self._watches):
                    asyncio.ensure_future(self._write_change(watch, item, self._published_count + 1))  # noqa: RUF006
            elif item.kind is FaultKind.DISCOVERY_DOWN:
                for watch in list(self._watches):
                    watch.writer.transport.abort()
            else:
                for watch in self._watches:
                    watch.is_unresponsive = True

    def _make_handler(
        self, relay: int
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # uvloop raises RuntimeError for a connection that has just been closed.
            with suppress(OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._serve_watch(relay, reader, writer)
            writer.close()

        return handle

    async def _serve_watch(
        self, relay: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self._is_active(FaultKind.DISCOVERY_DOWN):
            # A local agent rejects a call at once; a remote service may delay it.
            await asyncio.sleep(0.0 if self._plan.is_pushed else self._rng.choice([0.0, DOWN_DELAY_S]))
            writer.write(UNAVAILABLE)
            return
        writer.write(OK_HEADERS)
        watch = Watch(self._get_process_id(relay), writer)
        endpoint_list = self.current_list()
        await self._write(watch, endpoint_list)
        self._record_list(watch.process, endpoint_list)
        self._watches.add(watch)
        missed_changes = self._changes[endpoint_list["version"] - 1 : self._published_count]
        try:
            for number, change in enumerate(missed_changes, endpoint_list["version"] + 1):
                await self._write_change(watch, change, number)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                if not watch.is_unresponsive:
                    async with watch.lock:
                        writer.write(b"1\r\n\n\r\n")
                        await writer.drain()
        finally:
            self._watches.discard(watch)

    def _record_list(self, process: int, endpoint_list: JsonObject) -> None:
        """Record the notifications that a full list implies: an endpoint missing from it was removed."""
        at_s = time.monotonic() - self._plan.started_s
        states = {entry["id"]: entry["state"] for entry in endpoint_list["servers"]}
        for incarnation in self._plan.incarnations:
            if (
                incarnation.drain_s < at_s
                and states.get(incarnation.name, EndpointStatus.REMOVED) != EndpointStatus.READY
            ):
                self._record(process, incarnation)

    def _record(self, process: int, incarnation: EndpointIncarnation) -> None:
        started_at_s = self._plan.started_s + incarnation.start_s
        self.notifications.append(
            EndpointNotification(process, incarnation.name, started_at_s, time.monotonic())
        )

    async def _write_change(self, watch: Watch, change: Change, version: int) -> None:
        if watch.is_unresponsive:
            return
        entry = self._encode(change.incarnation, change.state)
        with suppress(OSError, RuntimeError):
            await self._write(watch, {"version": version, "full": False, "servers": [entry]})
            if change.state is not EndpointStatus.READY:
                self._record(watch.process, change.incarnation)

    async def _write(self, watch: Watch, endpoint_list: JsonObject) -> None:
        is_fragmented = self._is_active(FaultKind.DISCOVERY_PIECES)
        line = json.dumps(endpoint_list, indent=1 if is_fragmented else None).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        async with watch.lock:
            step = max(1, len(chunk) // self._rng.randint(20, 60)) if is_fragmented else len(chunk)
            for begin in range(0, len(chunk), step):
                watch.writer.write(chunk[begin : begin + step])
                await watch.writer.drain()
                if is_fragmented:
                    await asyncio.sleep(FRAGMENT_PAUSE_S)

    def _is_active(self, kind: FaultKind) -> bool:
        at_s = time.monotonic() - self._plan.started_s
        return any(fault.is_active(at_s) for fault in self._plan.faults_of(kind))

    def _encode(self, incarnation: EndpointIncarnation, state: EndpointStatus) -> JsonObject:
        """Return an entry of the list; its start is the stepped wall clock's time at that moment."""
        wall_of_start_s = time.time() - time.monotonic() + self._plan.started_s + incarnation.start_s
        return {
            "id": incarnation.name,
            "addr": f"{LOOPBACK}:{incarnation.port}",
            "state": state,
            "weight": 1.0,
            "started_ms": round(
                (wall_of_start_s + self._plan.wall_clock_offset_s(incarnation.start_s)) * 1000.0
            ),
        }
