"""Measured phases of a run: an idle phase, and phases in which changes are put, with or without a fault."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.arrivals import (
    NEVER_S,
    Change,
    DurationSummary,
    Outages,
    catch_up_times,
    propagation_times,
    summarize_durations,
)
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.environment import ScaleDiscovery
from sageturn.lab.scale.faults import FaultInjector
from sageturn.lab.scale.fleet import Fleet
from sageturn.lab.scale.member_group import MemberGroup
from sageturn.lab.scale.members import CHANGE_KEY_PREFIX
from sageturn.lab.scale.plan import Fault, FaultKind, ScaleExperiment
from sageturn.lab.scale.usage import UsageWindow, WindowUsage


@dataclass(frozen=True, slots=True)
class ChangeArrivals:
    """Durations until members held the changes of a phase; None if the phase has no such durations."""

    everywhere: DurationSummary  # durations until the last member held each change
    in_own_region: DurationSummary | None  # the same within the put's region; only for a cut between regions
    listed: DurationSummary | None  # time from discovery's return until each member had the list
    catch_up: DurationSummary | None  # time from a member's return until it held all changes it missed

    def to_line(self) -> Line:
        """Return the arrivals' part of a result line."""
        summaries = {
            "last": self.everywhere,
            "last_on_its_side": self.in_own_region,
            "listed": self.listed,
            "back": self.catch_up,
        }
        return {key: summary.to_line() for key, summary in summaries.items() if summary is not None}


@dataclass(frozen=True, slots=True)
class PhaseResult:
    """Resource usage of a phase, and the arrivals of its changes; ``changes`` is None for the idle phase."""

    usage: WindowUsage
    changes: ChangeArrivals | None = None

    def to_line(self) -> Line:
        """Return the phase's part of a result line."""
        line = self.usage.to_line()
        if self.changes is not None:
            line["changes"] = self.changes.to_line()
        return line


class PhaseRunner:
    """Runner of phases over the same fleet; changes are numbered consecutively over all phases."""

    def __init__(
        self,
        experiment: ScaleExperiment,
        fleet: Fleet,
        rng: Random,
        processes: Sequence[ChildProcess],
        discovery: ScaleDiscovery,
    ) -> None:
        self._experiment = experiment
        self._fleet = fleet
        self._rng = rng
        self._processes = processes
        self._link_processes = [process for process in processes if not process.member_names]
        self.members = MemberGroup([process for process in processes if process.member_names])
        self._discovery = discovery
        self._change_count = 0

    async def run_idle(self) -> PhaseResult:
        """Measure a window without changes or faults."""
        window = UsageWindow(self._processes)
        try:
            await asyncio.sleep(self._experiment.windows.idle_s)
        finally:
            window.close()
        return PhaseResult(window.finish())

    async def run_changes(self, fault: Fault | None) -> PhaseResult:
        """Measure a window in which changes are put at seeded random times, during ``fault`` if given."""
        window = UsageWindow(self._processes)
        try:
            arrived = await self._run_changes(fault)
        finally:
            window.close()
        return PhaseResult(window.finish(), arrived)

    async def _run_changes(self, fault: Fault | None) -> ChangeArrivals:
        windows = self._experiment.windows
        length_s = windows.changes_s if fault is None else fault.length_s + fault.after_s
        offsets_s = sorted(self._rng.uniform(0.0, length_s) for _ in range(windows.changes))
        injector = self._make_injector()
        began_s = time.monotonic()
        injection = asyncio.ensure_future(injector.inject(fault)) if fault else None
        try:
            changes = await self._put_changes(began_s, offsets_s, injector.outages)
            await _sleep_until(began_s + length_s)
            if injection is not None:
                await injection
        finally:
            if injection is not None and not injection.done():
                injection.cancel()
        await asyncio.sleep(windows.tail_s)
        listed = await self._durations_until_listed(injector.discovery_returned_s)
        return await self._summarize_arrivals(fault, changes, injector.outages, listed)

    def _make_injector(self) -> FaultInjector:
        return FaultInjector(
            self._experiment, self._fleet, self._rng, self.members, self._link_processes, self._discovery
        )

    async def _put_changes(
        self, began_s: float, offsets_s: Sequence[float], outages: Outages
    ) -> list[Change]:
        """Put each change at a random member that is up, at its offset from ``began_s``. Return them."""
        changes = []
        for offset_s in offsets_s:
            await _sleep_until(began_s + offset_s)
            key = f"{CHANGE_KEY_PREFIX}{self._change_count:05d}"
            self._change_count += 1
            now_s = time.monotonic()
            running = [name for name in self._fleet.names if not outages.is_down(name, now_s)]
            member = running[self._rng.randrange(len(running))]
            put_s = await self.members.put(member, key, {"n": self._change_count})
            changes.append(Change(key, member, put_s))
        return changes

    async def _durations_until_listed(self, since_s: float | None) -> DurationSummary | None:
        """Return the seconds from discovery's return until each member had the list.

        Args:
            since_s: The time of discovery's return; None if discovery was not stopped.
        """
        if since_s is None:
            return None
        members = await self.members.member_statuses()
        return summarize_durations(
            [
                member.listed_s - since_s
                if member.listed_s is not None and member.listed_s > since_s
                else NEVER_S
                for member in members
            ]
        )

    async def _summarize_arrivals(
        self,
        fault: Fault | None,
        changes: Sequence[Change],
        outages: Outages,
        listed: DurationSummary | None,
    ) -> ChangeArrivals:
        arrivals = await self.members.arrivals()
        times = propagation_times(changes, arrivals.first, outages, self._fleet)
        is_cut = fault is not None and fault.kind == FaultKind.CUT
        catch_up = None
        if outages.returned_s:
            catch_up = summarize_durations(catch_up_times(changes, arrivals.present_copy, outages.returned_s))
        return ChangeArrivals(
            everywhere=summarize_durations(times.everywhere),
            in_own_region=summarize_durations(times.in_own_region) if is_cut else None,
            listed=listed,
            catch_up=catch_up,
        )


async def _sleep_until(moment_s: float) -> None:
    await asyncio.sleep(max(0.0, moment_s - time.monotonic()))
