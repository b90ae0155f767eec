"""Real relay processes on loopback between stand-in hosts, discovery and clients."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from sageturn.lab.client_population import ClientObservations, Population
from sageturn.lab.endpoint_model import EndpointModel
from sageturn.lab.environment import histogram, make_hosts, starting_homes
from sageturn.lab.fakes import FakeDiscovery, FakeEndpoint
from sageturn.lab.fleet_spec import FleetSpec, relay_settings
from sageturn.store.log import scan

READY_S = 15.0
POPULATE_AT_ONCE = 64  # connections that stood before come in such portions


@dataclass
class Sample:
    second: float
    ratio: float  # the fullest host's fill over the mean
    standing: int
    moved: int
    held: dict[str, float]


@dataclass
class LoopbackResult:
    spec: FleetSpec
    seen: ClientObservations
    samples: list[Sample] = field(default_factory=list)
    fresh_peak: float = 0.0
    fallen: int = 0
    syntax: int = 0
    cpu_s: list[float] = field(default_factory=list)  # of each relay's process
    states: list[dict[str, Any]] = field(default_factory=list)  # each planner's, at the end


def reserve_port() -> tuple[socket.socket, int]:
    """A port that nobody else is given while the socket is open; one that sets SO_REUSEADDR may listen."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held, int(held.getsockname()[1])


class Deployment:
    """All of it: start, let it run, look on, stop."""

    def __init__(
        self,
        spec: FleetSpec,
        mover: str,
        rebalance: dict[str, Any],
        folder: Path,
        more: Callable[[int, Path], dict[str, Any]] | None = None,
    ) -> None:
        self.spec, self.mover, self._rebalance, self._folder = spec, mover, rebalance, folder
        self._more = more
        self.models = make_hosts(spec)
        self.hosts = [FakeEndpoint(model, spec.unit_us) for model in self.models]
        self.listed: set[str] = set()
        self.discovery = FakeDiscovery(
            lambda: [self.entry(h) for h in self.hosts if h.model.name in self.listed]
        )
        self.seen = ClientObservations(
            [histogram() for _ in spec.classes], [HdrHistogram(1, 60_000_000, 3) for _ in spec.classes]
        )
        reserved = [reserve_port() for _ in range(spec.relays)]
        self._reserved = [held for held, _ in reserved]
        self.addresses = [("127.0.0.1", port) for _, port in reserved]
        self.population = Population(spec, self.addresses, self.seen)
        self.processes: list[asyncio.subprocess.Process] = []
        self._began_s = 0.0

    # ------------------------------------------------------------ parts

    def entry(self, host: FakeEndpoint, state: str = "ready") -> dict[str, Any]:
        model = host.model
        started = 0
        if model.started_s > 0:
            started = round((model.started_s - asyncio.get_running_loop().time() + _unix_s()) * 1000.0)
        return {
            "id": model.name,
            "addr": f"{host.address[0]}:{host.address[1]}",
            "zone": model.zone,
            "kind": model.kind,
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started,
        }

    def _write(self, relay: int) -> tuple[Path, Path]:
        folder = self._folder / f"r{relay}"
        folder.mkdir()
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": f"r{relay}",
                    "listen": "{}:{}".format(*self.addresses[relay]),
                    "discovery": "{}:{}".format(*self.discovery.address),
                    "seed": f"{self.spec.seed}{relay:02x}",
                    "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 16384},
                    "known": self.discovery.whole(),
                    "settings": relay_settings(self.spec, relay),
                }
            )
        )
        # The program reads its keys strictly: a mover that is off has no section at all.
        section = {"rebalance": {"mode": "on", **self._rebalance}} if self.mover != "off" else {}
        more = self._more(relay, folder) if self._more is not None else {}
        (folder / "operator.json").write_text(json.dumps({"store": {"path": "store"}, **section, **more}))
        return folder / "config.json", folder / "operator.json"

    async def start(self) -> None:
        for host in self.hosts:
            await host.start()
        self.listed = {m.name for m in self.models[: self.spec.early]}
        await self.discovery.start()
        module = "sageturn.lab.relay" if self.mover == "naive" else "sageturn"
        for relay in range(self.spec.relays):
            file, operator = self._write(relay)
            env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
            with (file.parent / "log").open("wb") as log:
                self.processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        module,
                        "--operator",
                        str(operator),
                        env={**env, "GW_CONFIG": str(file)},
                        stderr=log,
                        stdout=log,
                    )
                )
        async with asyncio.timeout(READY_S):
            for address in self.addresses:
                while not await _pong(address):
                    await asyncio.sleep(0.05)

    async def populate(self) -> None:
        """Everyone who stood before: at the early hosts, group by group."""
        home = ""
        group = ""
        relays = self.spec.relays
        for number in range(self.spec.connections):
            client = self.population.draws.client()
            relay = number % relays
            homes = starting_homes(self.spec, self.models, self.spec.zone(relay))
            if not home or not client.group or client.group != group:
                home = homes[self.population.draws.below(len(homes))].name
            group = client.group or group
            self.population.spawn(client, relay, home)
            while self.population.wanted - len(self.population.standing) >= POPULATE_AT_ONCE:
                await asyncio.sleep(0.002)
        # Some may be between two connections, moved or refused, at any moment.
        enough = min(0.99 * self.spec.connections, self.spec.connections - 2)
        while len(self.population.standing) < enough:
            await asyncio.sleep(0.01)

    def join(self) -> None:
        """The late hosts start, cold, and are listed."""
        now_s = asyncio.get_running_loop().time()
        late = self.hosts[self.spec.early :]
        for host in late:
            host.model.started_s = now_s
            self.listed.add(host.model.name)
        if late:
            self.discovery.changed([self.entry(h) for h in late])

    async def stop(self) -> None:
        await self.population.stop()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        await self.discovery.stop()
        for host in self.hosts:
            await host.stop()
        for held in self._reserved:
            held.close()

    # ------------------------------------------------------------ looking on

    def alive(self) -> list[EndpointModel]:
        return [h.model for h in self.hosts if h.model.name in self.listed and not h.model.fallen]

    def sample(self) -> Sample:
        now_s = asyncio.get_running_loop().time()
        alive = self.alive()
        mean = sum(m.held() for m in alive) / sum(m.capacity for m in alive)
        ratio = max(m.held() / m.capacity for m in alive) / mean if mean > 0 else 1.0
        return Sample(
            now_s - self._began_s,
            ratio,
            len(self.population.standing),
            self.seen.counts["moved"],
            {m.name: m.held() / m.capacity for m in alive},
        )

    async def play(
        self, seconds: float, look: Callable[[Sample, Deployment], None] | None = None
    ) -> LoopbackResult:
        loop = asyncio.get_running_loop()
        run = LoopbackResult(self.spec, self.seen)
        self._began_s = loop.time()
        arriving = asyncio.ensure_future(self.population.arrivals(self.spec.arrivals_per_s))
        joined, ticks = False, 0
        try:
            while loop.time() - self._began_s < seconds:
                if not joined and loop.time() - self._began_s >= self.spec.join_s:
                    joined = True
                    self.join()
                sample = self.sample()
                run.samples.append(sample)
                if look is not None:
                    look(sample, self)
                ticks += 1
                await asyncio.sleep(max(0.0, self._began_s + ticks - loop.time()))
        finally:
            arriving.cancel()
        run.cpu_s = [_cpu_s(p.pid) for p in self.processes]
        run.fresh_peak = max(m.peak_part for m in self.models)
        run.fallen = sum(m.fallen for m in self.models)
        run.syntax = sum(h.syntax for h in self.hosts)
        run.states = [self._state(relay) for relay in range(self.spec.relays)]
        return run

    def _state(self, relay: int) -> dict[str, Any]:
        """What the relay has told of its planner, read from its store's file."""
        records, _ = scan((self._folder / f"r{relay}" / "store").read_bytes())
        found: dict[str, Any] = {}
        for record in records:
            if record.key == f"state/r{relay}/rebalance":
                found = record.value or {}
        return found


@asynccontextmanager
async def deployed(
    spec: FleetSpec,
    mover: str,
    rebalance: dict[str, Any],
    more: Callable[[int, Path], dict[str, Any]] | None = None,
) -> AsyncIterator[Deployment]:
    """``more``: further sections of a relay's operator's file, given its number and its folder."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with tempfile.TemporaryDirectory(prefix="sageturn-lab-") as folder:
        deployment = Deployment(spec, mover, rebalance, Path(folder), more)
        try:
            await deployment.start()
            await deployment.populate()
            yield deployment
        finally:
            await deployment.stop()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def _unix_s() -> float:
    return time.time()


def _cpu_s(pid: int) -> float:
    """User and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _pong(address: tuple[str, int]) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await asyncio.wait_for(reader.readline(), 2.0) == b"PONG\r\n"
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()
