"""Runner of real relay processes on loopback with fake endpoints, fake discovery and clients."""

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
from sageturn.lab.model.fleet import InitialPlacement, make_endpoints
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.net.json_stream import JsonObject

SAMPLE_INTERVAL_S = 1
MAX_CONCURRENT_INITIAL_CONNECTIONS = 64
COMPLETE_RATIO = 0.99  # fraction of the initial connections to wait for; some are always being replaced
COMPLETE_TOLERANCE = 2  # connections that may be missing in a small fleet


@dataclass
class FleetSample:
    """State of the fleet at a second of the run; utilizations are by endpoint."""

    elapsed_s: float
    imbalance_ratio: float  # highest utilization over the mean
    established: int
    migrations: int
    utilizations: dict[str, float]


@dataclass
class LoopbackResult:
    """Measurements of a run; ``relay_cpu_s`` and ``planner_states`` have one entry per relay."""

    spec: FleetSpec
    observations: ClientObservations
    samples: list[FleetSample] = field(default_factory=list)
    peak_intake_ratio: float = 0.0
    crashed_endpoints: int = 0
    malformed_requests: int = 0
    relay_cpu_s: list[float] = field(default_factory=list)
    planner_states: list[JsonObject] = field(default_factory=list)


OnSample = Callable[[FleetSample, "Deployment"], None]


class Deployment:
    """Fleet on loopback that can be started, run and stopped; ``deployed`` calls the methods in order."""

    def __init__(self, spec: FleetSpec, options: RelayOptions, folder: Path) -> None:
        self.spec = spec
        self.models = make_endpoints(spec)
        self.endpoints = [FakeEndpoint(model, spec.work_us_per_load) for model in self.models]
        self.discovery = FakeDiscovery(self._list_entries)
        self.observations = ClientObservations.for_fleet(spec)
        self.relays = LoopbackRelays(spec, options, folder)
        self.population = ClientPopulation(spec, self.relays.addresses, self.observations)
        self._listed: set[str] = set()

    async def start(self) -> None:
        """Start the initial endpoints, discovery and the relays."""
        for endpoint in self.endpoints:
            await endpoint.start()
        self._listed = {model.name for model in self.models[: self.spec.initial_endpoints]}
        await self.discovery.start()
        await self.relays.start(self.discovery.address, self.discovery.full_list())

    async def populate(self) -> None:
        """Connect the initial clients to the initial endpoints, group by group."""
        placement = InitialPlacement(self.spec, self.models)
        population = self.population
        for number in range(self.spec.connections):
            client = population.sampler.client()
            relay = number % self.spec.relays
            endpoint = placement.place(client, self.spec.zone(relay), population.sampler)
            population.spawn(client, relay, endpoint)
            while population.requested - len(population.established) >= MAX_CONCURRENT_INITIAL_CONNECTIONS:
                await asyncio.sleep(0.002)
        complete = min(COMPLETE_RATIO * self.spec.connections, self.spec.connections - COMPLETE_TOLERANCE)
        while len(population.established) < complete:
            await asyncio.sleep(0.01)

    async def run(self, seconds: float, on_sample: OnSample | None = None) -> LoopbackResult:
        """Run for some seconds with arriving clients, and call ``on_sample`` each second."""
        loop = asyncio.get_running_loop()
        result = LoopbackResult(self.spec, self.observations)
        started_s = loop.time()
        arrivals = asyncio.ensure_future(self.population.run_arrivals(self.spec.arrivals_per_s))
        joining_endpoints_started = False
        next_sample_s = started_s
        try:
            while loop.time() - started_s < seconds:
                if not joining_endpoints_started and loop.time() - started_s >= self.spec.join_s:
                    joining_endpoints_started = True
                    self._start_joining_endpoints()
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
        """Stop the clients, the relays, discovery and the endpoints."""
        await self.population.stop()
        await self.relays.stop()
        await self.discovery.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        self.relays.release_ports()

    # ------------------------------------------------------------ endpoint list

    def _list_entries(self) -> list[JsonObject]:
        return [_encode_entry(endpoint) for endpoint in self.endpoints if endpoint.model.name in self._listed]

    def _start_joining_endpoints(self) -> None:
        """Mark the joining endpoints as started now, and thus cold, and publish them."""
        now_s = asyncio.get_running_loop().time()
        joining_endpoints = self.endpoints[self.spec.initial_endpoints :]
        for endpoint in joining_endpoints:
            endpoint.model.started_s = now_s
            self._listed.add(endpoint.model.name)
        if joining_endpoints:
            self.discovery.publish([_encode_entry(endpoint) for endpoint in joining_endpoints])

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
        result.crashed_endpoints = sum(model.crashed for model in self.models)
        result.malformed_requests = sum(endpoint.malformed_requests for endpoint in self.endpoints)
        result.planner_states = self.relays.planner_states()


def _encode_entry(endpoint: FakeEndpoint) -> JsonObject:
    """Return an endpoint's entry of the endpoint list in the form that discovery sends."""
    model: EndpointModel = endpoint.model
    started_ms = 0
    if model.started_s > 0:
        started_unix_s = model.started_s - asyncio.get_running_loop().time() + time.time()
        started_ms = round(started_unix_s * 1000.0)
    return {
        "id": model.name,
        "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
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
    """Yield a started fleet with its initial clients, and stop it at the end of the context.

    Its files are in a temporary folder. Within the context the soft limit of file descriptors is raised to
    the hard limit.

    Args:
        spec: The fleet.
        planner: The planner of all relays.
        rebalance: The keys of the section ``rebalance`` of the operator files.
        sections: Returns further sections of a relay's operator file; None for none.
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
