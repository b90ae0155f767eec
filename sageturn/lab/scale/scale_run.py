"""Run of one size of an experiment with one seed, and its measurement."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.arrivals import DurationSummary
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.environment import (
    ClientCounts,
    Clients,
    DiscoveryCounts,
    FakeEndpoints,
    ScaleDiscovery,
)
from sageturn.lab.scale.errors import BoundExceededError, describe_failure
from sageturn.lab.scale.fleet import Fleet
from sageturn.lab.scale.jobs import JobBuilder, PortReservations
from sageturn.lab.scale.member_group import CopyComparison, MemberMemory, count_links, member_memory
from sageturn.lab.scale.phases import PhaseResult, PhaseRunner
from sageturn.lab.scale.plan import ScaleExperiment, Size, Topology
from sageturn.lab.scale.units import BYTES_PER_GB, BYTES_PER_MB, MS_PER_S, S_PER_MINUTE

BOUNDS_CHECK_INTERVAL_S = 0.5
CLIENT_POLL_INTERVAL_S = 0.1


@dataclass(slots=True)
class RunResult:
    """Results of one run, which are filled in as it proceeds; a result is None until it is measured."""

    size: Size
    process_count: int = 0
    started_s: float = 0.0  # seconds that starting all members took
    linked_s: float | None = None  # seconds until all configured links were established; None with SEEDS
    listed: DurationSummary | None = None  # time from the start until each member had the endpoint list
    link_count: float = 0.0
    memory: MemberMemory | None = None
    phases: dict[str, PhaseResult] = field(default_factory=dict)
    copies: CopyComparison | None = None
    discovery: DiscoveryCounts | None = None
    endpoint_count: int = 0
    clients: ClientCounts | None = None  # None also in a run without clients
    took_s: float = 0.0
    load_before: float = 0.0
    load_after: float = 0.0
    peak_memory: int = 0  # peak resident bytes of all child processes together

    def to_line(self) -> Line:
        """Return the run's part of its result line. The run must have been completed."""
        assert self.listed is not None
        assert self.memory is not None
        assert self.copies is not None
        assert self.discovery is not None
        return {
            "members": self.size.members,
            "keys": self.size.keys,
            "real": self.size.real,
            "spread": self.size.spread,
            "topology": self.size.topology,
            "state_s": self.size.state_s,
            "clients_each": self.size.clients,
            "processes": self.process_count,
            "started_s": round(self.started_s, 2),
            "linked_s": self.linked_s,
            "listed": self.listed.to_line(),
            "links": self.link_count,
            "memory": self.memory.to_line(),
            "phases": {name: phase.to_line() for name, phase in self.phases.items()},
            "equal": self.copies.to_line(),
            "discovery": {**self.discovery.to_line(), "hosts": self.endpoint_count},
            "clients": None if self.clients is None else self.clients.to_line(),
            "took_s": round(self.took_s, 1),
            "load_before": round(self.load_before, 2),
            "load_after": round(self.load_after, 2),
            "memory_peak_mb": round(self.peak_memory / BYTES_PER_MB),
        }


def encode_failed_run(size: Size, error: BaseException) -> Line:
    """Return the result line's part for a run that failed."""
    return {
        "members": size.members,
        "keys": size.keys,
        "spread": size.spread,
        "topology": size.topology,
        "failed": describe_failure(error),
    }


class ScaleRun:
    """A run of one size with one seed. Its files and those of its processes are in ``folder``."""

    def __init__(self, experiment: ScaleExperiment, size: Size, seed: int, folder: Path) -> None:
        self._experiment = experiment
        self._size = size
        self._seed = seed
        self._rng = Random(f"{experiment.name}/{size.name}/{seed}")
        self._fleet = Fleet(experiment, size)
        self._ports = PortReservations()
        self._jobs = JobBuilder(experiment, size, self._rng, folder, self._ports)
        self._endpoints = FakeEndpoints(
            experiment.around.hosts, [f"z{zone}" for zone in range(experiment.zones)]
        )
        self._discovery: ScaleDiscovery | None = None
        self._processes: list[ChildProcess] = []
        self._clients: Clients | None = None
        self._result = RunResult(size)

    async def run(self) -> Line:
        """Run and return the run's part of its result line. All child processes end, even after an error.

        Raises:
            ScaleRunError: A process failed, members did not become ready, or a bound was exceeded
                (BoundExceededError).
            TimeoutError: Processes were not ready in time.
        """
        began_s = time.monotonic()
        self._result.load_before = os.getloadavg()[0]
        watching = asyncio.ensure_future(self._watch_bounds(began_s))
        measuring = asyncio.ensure_future(self._measure())
        try:
            await asyncio.wait((watching, measuring), return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                watching.result()
            await measuring
        finally:
            for task in (watching, measuring):
                task.cancel()
            await asyncio.wait((watching, measuring))
            await self._tear_down()
        self._result.took_s = time.monotonic() - began_s
        self._result.load_after = os.getloadavg()[0]
        return self._result.to_line()

    async def _watch_bounds(self, began_s: float) -> None:
        """Check memory and duration until cancelled. Raise BoundExceededError if a bound is exceeded."""
        bounds = self._experiment.bounds
        while True:
            memory = sum(process.resident_bytes() for process in self._processes if process.is_started)
            self._result.peak_memory = max(self._result.peak_memory, memory)
            if memory > bounds.memory_gb * BYTES_PER_GB:
                raise BoundExceededError(f"memory_gb: {memory / BYTES_PER_GB:.1f} GB in use")
            if time.monotonic() - began_s > bounds.minutes * S_PER_MINUTE:
                raise BoundExceededError(f"minutes: the run took over {bounds.minutes:g}")
            await asyncio.sleep(BOUNDS_CHECK_INTERVAL_S)

    async def _tear_down(self) -> None:
        if self._clients is not None:
            await self._clients.stop()
        await asyncio.gather(*(process.stop() for process in self._processes), return_exceptions=True)
        if self._discovery is not None:
            await self._discovery.stop()
        await self._endpoints.stop()
        self._ports.close()

    # ------------------------------------------------------------ measurement

    async def _measure(self) -> None:
        discovery = await self._start_environment()
        await self._start_processes(discovery)
        phases = PhaseRunner(self._experiment, self._fleet, self._rng, self._processes, discovery)
        await self._start_members(phases)
        await self._start_clients()
        await asyncio.sleep(self._experiment.windows.settle_s)
        await self._run_phases(phases)
        result = self._result
        result.copies = await phases.members.compare_copies(self._experiment.interval_s)
        result.discovery = discovery.counts()
        result.endpoint_count = self._endpoints.count
        result.clients = self._clients.counts() if self._clients is not None else None

    async def _start_environment(self) -> ScaleDiscovery:
        await self._endpoints.start()
        call_s = self._experiment.around.call_ms / MS_PER_S
        self._discovery = ScaleDiscovery(self._endpoints.entries(), call_s)
        await self._discovery.start()
        return self._discovery

    async def _start_processes(self, discovery: ScaleDiscovery) -> None:
        """Start all child processes. Raise TimeoutError if they are not ready in time."""
        self._processes = self._jobs.build(discovery.address, self._endpoints.zones)
        self._result.process_count = len(self._processes)
        async with asyncio.timeout(self._experiment.windows.ready_s):
            for process in self._processes:
                await process.start()
            for process in self._processes:
                await process.wait_until_ready()

    async def _start_members(self, phases: PhaseRunner) -> None:
        """Start all members. Return once each has the endpoint list and configured links are established."""
        members = phases.members
        result = self._result
        timeout_s = self._experiment.windows.ready_s
        began_s = time.monotonic()
        await members.start_all()
        result.started_s = time.monotonic() - began_s
        result.listed = await members.wait_until_listed(began_s, timeout_s)
        if self._size.topology != Topology.SEEDS:  # members choose their links themselves with SEEDS
            result.linked_s = await members.wait_until_linked(self._size.link_count, timeout_s)

    async def _start_clients(self) -> None:
        """Start the clients. Return once all are connected or the readiness timeout is over.

        Fewer clients than requested do not fail the run; the result line has their number.
        """
        addresses = self._jobs.relay_addresses
        if not addresses or not self._size.clients:
            return
        self._clients = Clients(addresses, self._size.clients, self._seed)
        self._clients.start()
        requested = self._size.clients * len(addresses)
        began_s = time.monotonic()
        timeout_s = self._experiment.windows.ready_s
        while self._clients.connected < requested and time.monotonic() - began_s < timeout_s:
            await asyncio.sleep(CLIENT_POLL_INTERVAL_S)

    async def _run_phases(self, phases: PhaseRunner) -> None:
        result = self._result
        result.phases["idle"] = await phases.run_idle()
        statuses = await phases.members.process_statuses()
        result.link_count = count_links(statuses)
        result.memory = member_memory(phases.members.processes, statuses)
        result.phases["changes"] = await phases.run_changes(None)
        for number, fault in enumerate(self._size.faults):
            result.phases[f"{number}:{fault.kind}"] = await phases.run_changes(fault)


async def run_size(
    experiment: ScaleExperiment, size: Size, seed: int, report_progress: Callable[[str], None]
) -> Line:
    """Run a size and return its part of a result line, also if a bound or a failed process ended the run."""
    with TemporaryDirectory(prefix="sageturn-scale-") as folder:
        report_progress(f"{size.name} seed {seed}: {size.members} members, {size.keys} keys, {size.spread}")
        try:
            return await ScaleRun(experiment, size, seed, Path(folder)).run()
        except (RuntimeError, TimeoutError) as error:
            return encode_failed_run(size, error)
