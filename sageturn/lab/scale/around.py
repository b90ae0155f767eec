"""What stands around the members of a scale run: discovery, a few live hosts, clients of the real relays."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from random import Random
from typing import Any

from sageturn.lab.endpoint_model import EndpointModel
from sageturn.lab.fakes import FakeDiscovery, FakeEndpoint

WAITS_S = 3.0  # discovery fails a call that has waited so long
LINE_S = 2.0
AGAIN_S = 0.5
PACE_S = 0.005  # between two clients that come to one relay
HOSTS = 4  # sockets behind all the list's entries


class ScaleDiscovery(FakeDiscovery):
    """Handles calls one after another, each for ``call_s``; may be down; counts what it writes."""

    def __init__(self, entries: list[dict[str, Any]], call_s: float) -> None:
        super().__init__(lambda: entries)
        self.call_s = call_s
        self.calls = self.failed = 0
        self.octets = 0
        self._turn = asyncio.Lock()
        self._port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._port = self.address[1]

    async def stop(self) -> None:
        await super().stop()
        self._watchers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        try:
            async with asyncio.timeout(WAITS_S):
                async with self._turn:
                    if self.call_s:
                        await asyncio.sleep(self.call_s)
        except TimeoutError:
            self.failed += 1
            with suppress(OSError):
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                writer.close()
            return
        self.octets += len(json.dumps(self.full_list()))
        await super()._serve(reader, writer)


class Hosts:
    """``count`` entries on the list, behind a few sockets that speak as live hosts do."""

    def __init__(self, count: int, zones: list[str]) -> None:
        self.count, self.zones = count, zones
        models = [EndpointModel(f"m{n}", "c2-std", 1.0, 1e6, zones[n % len(zones)]) for n in range(HOSTS)]
        self.sockets = [FakeEndpoint(model, 1e6) for model in models]

    async def start(self) -> None:
        for host in self.sockets:
            await host.start()

    async def stop(self) -> None:
        for host in self.sockets:
            await host.stop()

    def entries(self) -> list[dict[str, Any]]:
        return [
            {
                "id": f"h{n:04d}",
                "addr": "{}:{}".format(*self.sockets[n % HOSTS].address),
                "zone": self.zones[n % len(self.zones)],
                "kind": "c2-std",
                "cell": 0,
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for n in range(self.count)
        ]


class Clients:
    """Standing clients of the real relays: a line every 2 s, and its answer awaited."""

    def __init__(self, addresses: list[tuple[str, int]], each: int, seed: int) -> None:
        self._addresses, self._each, self._rng = addresses, each, Random(seed)
        self.opened = self.refused = self.lines = self.broken = 0
        self.standing = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        for address in self._addresses:
            for number in range(self._each):
                self._tasks.append(asyncio.ensure_future(self._come(address, number * PACE_S)))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _come(self, address: tuple[str, int], after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await self._stay(address)
            await asyncio.sleep(AGAIN_S)

    async def _stay(self, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        up = False
        try:
            ident = f"{self._rng.getrandbits(64):016x}"
            writer.write(f"OPEN {ident} {ident} c=c,t=t,d=2000\r\n".encode())
            if not (await asyncio.wait_for(reader.readline(), 3.0)).startswith(b"UP "):
                self.refused += 1
                return
            up = True
            self.opened += 1
            self.standing += 1
            while True:
                await asyncio.sleep(LINE_S)
                writer.write(b"LINE\r\n")
                while line := await asyncio.wait_for(reader.readline(), 7.0):
                    if line == b"LINE\r\n":
                        break
                if not line:
                    self.broken += 1
                    return
                self.lines += 1
        finally:
            self.standing -= up
            writer.close()
