"""Environment of a scale run's members: discovery, fake endpoints, and clients of the real relays."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from sageturn.decision import EndpointStatus
from sageturn.lab.loopback.fakes import FakeDiscovery, FakeEndpoint
from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.lab.runner.result_file import Line
from sageturn.net.json_stream import JsonObject

DISCOVERY_CALL_TIMEOUT_S = 3.0
LINE_INTERVAL_S = 2.0
RECONNECT_DELAY_S = 0.5
CLIENT_START_INTERVAL_S = 0.005  # interval between the starts of two clients of one relay
CLIENT_OPEN_TIMEOUT_S = 3.0
CLIENT_LINE_TIMEOUT_S = 7.0
LISTENING_ENDPOINT_COUNT = 4  # endpoints that all entries of the list share
ENDPOINT_WORK_US_PER_LOAD = 1e6
ENDPOINT_KIND = "c2-std"


@dataclass(frozen=True, slots=True)
class DiscoveryCounts:
    """Counts of calls to discovery, of calls that it rejected as overloaded, and of bytes that it wrote."""

    calls: int
    failed: int
    bytes_written: int

    def to_line(self) -> Line:
        """Return discovery's part of a result line."""
        return {"calls": self.calls, "failed": self.failed, "octets": self.bytes_written}


@dataclass(frozen=True, slots=True)
class ClientCounts:
    """Number of established client connections, and counts of events over all clients."""

    connected: int
    opened: int
    refused: int
    lines: int  # lines that were answered
    broken: int  # established connections that the relay ended

    def to_line(self) -> Line:
        """Return the clients' part of a result line."""
        return {
            "standing": self.connected,
            "opened": self.opened,
            "refused": self.refused,
            "lines": self.lines,
            "broken": self.broken,
        }


class ScaleDiscovery(FakeDiscovery):
    """Fake discovery that handles one call at a time and can be stopped and started again.

    Each call takes ``call_s`` seconds. A call that is not handled within ``DISCOVERY_CALL_TIMEOUT_S`` fails.
    """

    def __init__(self, entries: list[JsonObject], call_s: float) -> None:
        super().__init__(lambda: entries)
        self.call_s = call_s
        self.calls = 0
        self.failed = 0
        self.bytes_written = 0
        self._call_lock = asyncio.Lock()
        self._port = 0

    async def start(self) -> None:
        """Listen; after ``stop``, on the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._port = self.address[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        await super().stop()
        self._watchers.clear()

    def counts(self) -> DiscoveryCounts:
        """Return the counts since construction."""
        return DiscoveryCounts(self.calls, self.failed, self.bytes_written)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        try:
            async with asyncio.timeout(DISCOVERY_CALL_TIMEOUT_S):
                async with self._call_lock:
                    if self.call_s:
                        await asyncio.sleep(self.call_s)
        except TimeoutError:
            self.failed += 1
            with suppress(OSError):
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                writer.close()
            return
        self.bytes_written += len(json.dumps(self.full_list()))
        await super()._serve(reader, writer)


class FakeEndpoints:
    """Endpoint list of ``count`` entries, whose addresses are those of a few listening fake endpoints."""

    def __init__(self, count: int, zones: list[str]) -> None:
        self.count = count
        self.zones = zones
        models = [
            EndpointModel(f"m{number}", ENDPOINT_KIND, 1.0, 1e6, zones[number % len(zones)])
            for number in range(LISTENING_ENDPOINT_COUNT)
        ]
        self.listening_endpoints = [FakeEndpoint(model, ENDPOINT_WORK_US_PER_LOAD) for model in models]

    async def start(self) -> None:
        """Start listening."""
        for endpoint in self.listening_endpoints:
            await endpoint.start()

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        for endpoint in self.listening_endpoints:
            await endpoint.stop()

    def entries(self) -> list[JsonObject]:
        """Return the entries of the endpoint list as discovery writes them."""
        return [self._entry(number) for number in range(self.count)]

    def _entry(self, number: int) -> JsonObject:
        return {
            "id": f"h{number:04d}",
            "addr": "{}:{}".format(*self.listening_endpoints[number % LISTENING_ENDPOINT_COUNT].address),
            "zone": self.zones[number % len(self.zones)],
            "kind": ENDPOINT_KIND,
            "cell": 0,
            "state": EndpointStatus.READY,
            "weight": 1.0,
            "started_ms": 0,
        }


class Clients:
    """Long-lived clients of the real relays; each sends a line ``LINE_INTERVAL_S`` after the last answer."""

    def __init__(self, addresses: list[tuple[str, int]], clients_per_relay: int, seed: int) -> None:
        self._addresses = addresses
        self._clients_per_relay = clients_per_relay
        self._rng = Random(seed)
        self.opened = 0
        self.refused = 0
        self.lines = 0
        self.broken = 0
        self.connected = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients, those of each relay one after another."""
        for address in self._addresses:
            for number in range(self._clients_per_relay):
                delay_s = number * CLIENT_START_INTERVAL_S
                self._tasks.append(asyncio.ensure_future(self._keep_connected(address, delay_s)))

    async def stop(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def counts(self) -> ClientCounts:
        """Return the number of established connections and the counts since construction."""
        return ClientCounts(self.connected, self.opened, self.refused, self.lines, self.broken)

    async def _keep_connected(self, address: tuple[str, int], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await self._run_connection(address)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(self, address: tuple[str, int]) -> None:
        """Open a connection and exchange lines over it until it ends."""
        reader, writer = await asyncio.open_connection(*address)
        is_established = False
        try:
            ident = f"{self._rng.getrandbits(64):016x}"
            writer.write(f"OPEN {ident} {ident} c=c,t=t,d=2000\r\n".encode())
            answer = await asyncio.wait_for(reader.readline(), CLIENT_OPEN_TIMEOUT_S)
            if not answer.startswith(b"UP "):
                self.refused += 1
                return
            is_established = True
            self.opened += 1
            self.connected += 1
            await self._exchange_lines(reader, writer)
        finally:
            self.connected -= is_established
            writer.close()

    async def _exchange_lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange lines until the relay ends the connection; skip lines that are not answers."""
        while True:
            await asyncio.sleep(LINE_INTERVAL_S)
            writer.write(b"LINE\r\n")
            while line := await asyncio.wait_for(reader.readline(), CLIENT_LINE_TIMEOUT_S):
                if line == b"LINE\r\n":
                    break
            if not line:
                self.broken += 1
                return
            self.lines += 1
