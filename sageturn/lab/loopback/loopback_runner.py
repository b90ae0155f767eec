"""Run real relay processes on loopback between fake hosts, a fake discovery service and clients."""

from __future__ import annotations

import asyncio
import resource
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from sageturn.decision import EndpointStatus
from sageturn.lab.loopback.client_population import ClientObservations, ClientPopulation
from sageturn.lab.loopback.fakes import FakeDiscovery, FakeEndpoint
from sageturn.lab.loopback.relay_processes import LoopbackRelays, OperatorSections, RelayOptions
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.lab.model.fleet import InitialPlacement, make_hosts
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.net.json_stream import JsonObject

SAMPLE_INTERVAL_S = 1
MAX_CONCURRENT_INITIAL_CONNECTIONS = 64
COMPLETE_RATIO = 0.99  # of the initial connections, of which some are always being replaced
COMPLETE_TOLERANCE = 2  # connections that may be missing in a small fleet


@dataclass
class FleetSample:
    """The state of the fleet at a second of the run; utilizations are by host."""

    elapsed_s: float
    imbalance_ratio: float  # highest utilization over the mean
    established: int
    migrations: int
    utilizations: dict[str, float]


@dataclass
class LoopbackResult:
    """Measurements of one run; ``relay_cpu_s`` and ``planner_states`` have one entry a relay."""

    spec: FleetSpec
    observations: ClientObservations
    samples: list[FleetSample] = field(default_factory=list)
    peak_intake_ratio: float = 0.0
    crashed_hosts: int = 0
    malformed_requests: int = 0
    relay_cpu_s: list[float] = field(default_factory=list)
    planner_states: list[JsonObject] = field(default_factory=list)


OnSample = Callable[[FleetSample, "Deployment"], None]


class Deployment:
    """A fleet on loopback: start it, run it, and stop it. ``deployed`` does so in the right order."""

    def __init__(self, spec: FleetSpec, options: RelayOptions, folder: Path) -> None:
        self.spec = spec
        self.models = make_hosts(spec)
        self.hosts = [FakeEndpoint(model, spec.work_us_per_load) for model in self.models]
        self.discovery = FakeDiscovery(self._list_entries)
        self.observations = ClientObservations.for_fleet(spec)
        self.relays = LoopbackRelays(spec, options, folder)
        self.population = ClientPopulation(spec, self.relays.addresses, self.observations)
        self._listed: set[str] = set()

    async def start(self) -> None:
        """Starts the initial hosts, discovery and the relays."""
        for host in self.hosts:
            await host.start()
        self._listed = {model.name for model in self.models[: self.spec.initial_hosts]}
        await self.discovery.start()
        await self.relays.start(self.discovery.address, self.discovery.full_list())

    async def populate(self) -> None:
        """Connects the clients of the initial population to the initial hosts, group by group."""
        placement = InitialPlacement(self.spec, self.models)
        population = self.population
        for number in range(self.spec.connections):
            client = population.sampler.client()
            relay = number % self.spec.relays
            host = placement.place(client, self.spec.zone(relay), population.sampler)
            population.spawn(client, relay, host)
            while population.wanted - len(population.established) >= MAX_CONCURRENT_INITIAL_CONNECTIONS:
                await asyncio.sleep(0.002)
        complete = min(COMPLETE_RATIO * self.spec.connections, self.spec.connections - COMPLETE_TOLERANCE)
        while len(population.established) < complete:
            await asyncio.sleep(0.01)

    async def run(self, seconds: float, on_sample: OnSample | None = None) -> LoopbackResult:
        """Runs for some seconds with arrivals, and calls ``on_sample`` each second."""
        loop = asyncio.get_running_loop()
        result = LoopbackResult(self.spec, self.observations)
        started_s = loop.time()
        arrivals = asyncio.ensure_future(self.population.run_arrivals(self.spec.arrivals_per_s))
        late_hosts_joined = False
        next_sample_s = started_s
        try:
            while loop.time() - started_s < seconds:
                if not late_hosts_joined and loop.time() - started_s >= self.spec.join_s:
                    late_hosts_joined = True
                    self._join_late_hosts()
                sample = self._sample(started_s)
                result.samples.append(sample)
                if on_sample is not None:
                    on_sample(sample, self)
                next_sample_s += SAMPLE_INTERVAL_S
                await asyncio.sleep(max(0.0, next_sample_s - loop.time()))
        finally:
            arrivals.cancel()
        self._finish(result)
        return result

    async def stop(self) -> None:
        """Stops the clients, the relays, discovery and the hosts."""
        await self.population.stop()
        await self.relays.stop()
        await self.discovery.stop()
        for host in self.hosts:
            await host.stop()
        self.relays.release_ports()

    # ------------------------------------------------------------ hosts

    def _list_entries(self) -> list[JsonObject]:
        return [_encode_entry(host) for host in self.hosts if host.model.name in self._listed]

    def _join_late_hosts(self) -> None:
        """Starts the late hosts, cold, and puts them on the list."""
        now_s = asyncio.get_running_loop().time()
        late_hosts = self.hosts[self.spec.initial_hosts :]
        for host in late_hosts:
            host.model.started_s = now_s
            self._listed.add(host.model.name)
        if late_hosts:
            self.discovery.publish([_encode_entry(host) for host in late_hosts])

    # ------------------------------------------------------------ measurements

    def _sample(self, started_s: float) -> FleetSample:
        now_s = asyncio.get_running_loop().time()
        models = [model for model in self.models if model.name in self._listed and not model.crashed]
        mean = sum(model.total_load() for model in models) / sum(model.capacity for model in models)
        utilizations = {model.name: model.total_load() / model.capacity for model in models}
        return FleetSample(
            now_s - started_s,
            max(utilizations.values()) / mean if mean > 0 else 1.0,
            len(self.population.established),
            self.observations.counts[ClientEvent.MIGRATED],
            utilizations,
        )

    def _finish(self, result: LoopbackResult) -> None:
        result.relay_cpu_s = self.relays.cpu_seconds()
        result.peak_intake_ratio = max(model.peak_intake_ratio for model in self.models)
        result.crashed_hosts = sum(model.crashed for model in self.models)
        result.malformed_requests = sum(host.malformed_requests for host in self.hosts)
        result.planner_states = self.relays.planner_states()


def _encode_entry(host: FakeEndpoint) -> JsonObject:
    """Returns the entry of a host on the endpoint list as discovery writes it."""
    model: EndpointModel = host.model
    started_ms = 0
    if model.started_s > 0:
        started_unix_s = model.started_s - asyncio.get_running_loop().time() + time.time()
        started_ms = round(started_unix_s * 1000.0)
    return {
        "id": model.name,
        "addr": f"{host.address[0]}:{host.address[1]}",
        "zone": model.zone,
        "kind": model.kind,
        "cell": 0,
        "state": EndpointStatus.READY,
        "weight": 1.0,
        "started_ms": started_ms,
    }


@asynccontextmanager
async def deployed(
    spec: FleetSpec,
    planner: PlannerKind,
    rebalance: JsonObject,
    sections: OperatorSections | None = None,
) -> AsyncIterator[Deployment]:
    """Starts a fleet and its initial population, and stops it at the end of the context.

    Its files are in a temporary folder, and all file descriptors that the system allows may be used.

    ``rebalance`` has keys of the operator file's section; ``sections`` adds further sections.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with tempfile.TemporaryDirectory(prefix="sageturn-lab-") as folder:
        deployment = Deployment(spec, RelayOptions(planner, rebalance, sections), Path(folder))
        try:
            await deployment.start()
            await deployment.populate()
            yield deployment
        finally:
            await deployment.stop()
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
