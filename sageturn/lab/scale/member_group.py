"""Commands to all processes with members: status, changes, outages, and waiting for readiness."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.arrivals import ArrivalTimes, DurationSummary, summarize_durations
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.child_protocol import (
    GetArrivals,
    GetStatus,
    MemberArrivals,
    MemberStatus,
    ProcessStatus,
    Put,
    Start,
    Stop,
)
from sageturn.lab.scale.errors import ReadinessTimeoutError
from sageturn.lab.scale.job_files import Role
from sageturn.lab.scale.units import BYTES_PER_MB

READINESS_POLL_INTERVAL_S = 0.25
EQUALITY_POLLS = 12
EQUALITY_POLLS_PER_INTERVAL = 4


@dataclass(frozen=True, slots=True)
class FleetArrivals:
    """Times at which each member, and its present copy of the store, first held each change."""

    first: ArrivalTimes
    present_copy: ArrivalTimes


@dataclass(frozen=True, slots=True)
class CopyComparison:
    """Number of distinct copies of the store, and number of members that hold the most common one."""

    distinct_count: int
    most_common_count: int

    def to_line(self) -> Line:
        """Return the comparison's part of a result line."""
        return {
            "all": self.distinct_count == 1,
            "kinds": self.distinct_count,
            "most": self.most_common_count,
        }


@dataclass(frozen=True, slots=True)
class MemberMemory:
    """Resident memory in MB that an emulated member adds to its process, and that of each real relay."""

    emulated_mb: float | None  # mean over emulated members; None if there are none
    real_mb: list[float]

    def to_line(self) -> Line:
        """Return the memory's part of a result line."""
        return {
            "hollow_mb_each": None if self.emulated_mb is None else round(self.emulated_mb, 3),
            "real_mb": [round(memory_mb, 1) for memory_mb in self.real_mb],
        }


class MemberGroup:
    """The processes with members. Methods raise ChildFailedError if one of them exits or fails a command."""

    def __init__(self, processes: Sequence[ChildProcess]) -> None:
        self.processes = processes
        self._process_of = {name: process for process in processes for name in process.member_names}

    async def start_all(self) -> None:
        """Start the members of all processes, one process after another."""
        for process in self.processes:
            await process.request(Start(), int)

    async def put(self, member: str, key: str, value: object) -> float:
        """Put a record at a member. Return the time just before the put, on the monotonic clock."""
        return await self._process_of[member].request(Put(member, key, value), float)

    async def stop_members(self, names: Sequence[str]) -> None:
        """Stop members as a crash would: their connections close, and nobody is notified."""
        await asyncio.gather(
            *(process.request(Stop(chosen), bool) for process, chosen in self._choose_processes(names))
        )

    async def restart_members(self, names: Sequence[str], wipe: bool) -> None:
        """Start stopped members again, with an empty copy of the store if ``wipe`` is true."""
        await asyncio.gather(
            *(process.request(Start(chosen, wipe), int) for process, chosen in self._choose_processes(names))
        )

    def _choose_processes(self, names: Sequence[str]) -> list[tuple[ChildProcess, list[str]]]:
        """Return the processes that run any of these members, each with the members that it runs."""
        requested = set(names)
        selections = [
            (process, [name for name in process.member_names if name in requested])
            for process in self.processes
        ]
        return [(process, selected) for process, selected in selections if selected]

    async def arrivals(self) -> FleetArrivals:
        """Return the arrivals of all changes so far."""
        fleet_arrivals = FleetArrivals({}, {})
        answers = await asyncio.gather(
            *(process.request(GetArrivals(), dict[str, MemberArrivals]) for process in self.processes)
        )
        for answer in answers:
            for name, arrivals in answer.items():
                fleet_arrivals.first[name] = arrivals.first_s
                fleet_arrivals.present_copy[name] = arrivals.present_copy_s
        return fleet_arrivals

    # ------------------------------------------------------------ status

    async def process_statuses(self) -> list[ProcessStatus]:
        """Return the status of each process, in the order of the processes."""
        statuses = (process.request(GetStatus(), ProcessStatus) for process in self.processes)
        return list(await asyncio.gather(*statuses))

    async def member_statuses(self) -> list[MemberStatus]:
        """Return the status of each member, in the order of the processes."""
        return [member for status in await self.process_statuses() for member in status.members.values()]

    async def link_count(self) -> float:
        """Return the number of established links."""
        return count_links(await self.process_statuses())

    async def wait_until_listed(self, since_s: float, timeout_s: float) -> DurationSummary:
        """Wait until all members have the list. Return the durations from ``since_s`` until each had it.

        Raises:
            ReadinessTimeoutError: A member had no list after ``timeout_s``.
        """
        began_s = time.monotonic()
        while True:
            members = await self.member_statuses()
            listed_s = [member.listed_s for member in members if member.listed_s is not None]
            missing = len(members) - len(listed_s)
            if not missing:
                return summarize_durations([moment_s - since_s for moment_s in listed_s])
            if time.monotonic() - began_s > timeout_s:
                raise ReadinessTimeoutError(
                    f"{missing} of {len(members)} members have no endpoint list after {timeout_s:g} s"
                )
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    async def wait_until_linked(self, expected: int, timeout_s: float) -> float:
        """Wait until ``expected`` links are established. Return the seconds that this took.

        Raises:
            ReadinessTimeoutError: Fewer links were established after ``timeout_s``.
        """
        began_s = time.monotonic()
        while (established := await self.link_count()) < expected:
            if time.monotonic() - began_s > timeout_s:
                raise ReadinessTimeoutError(
                    f"{established:g} of {expected} links are established after {timeout_s:g} s"
                )
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)
        return round(time.monotonic() - began_s, 2)

    async def compare_copies(self, interval_s: float) -> CopyComparison:
        """Compare all copies of the store, after waiting up to three intervals for them to become equal."""
        for _ in range(EQUALITY_POLLS):
            hashes = Counter(member.store_hash for member in await self.member_statuses())
            if len(hashes) == 1:
                break
            await asyncio.sleep(interval_s / EQUALITY_POLLS_PER_INTERVAL)
        return CopyComparison(len(hashes), max(hashes.values()))


def count_links(statuses: Sequence[ProcessStatus]) -> float:
    """Return half the number of link ends, since both members count a link; None counts as 0."""
    ends = sum(member.link_count or 0 for status in statuses for member in status.members.values())
    return ends / 2


def member_memory(processes: Sequence[ChildProcess], statuses: Sequence[ProcessStatus]) -> MemberMemory:
    """Return the memory of members. ``processes`` and ``statuses`` have the same order."""
    emulated_mb = []
    real_mb = []
    for process, status in zip(processes, statuses, strict=True):
        if process.role is Role.REAL:
            real_mb.append(status.memory / BYTES_PER_MB)
        else:
            grown = status.memory - status.initial_memory
            emulated_mb.append(grown / len(process.member_names) / BYTES_PER_MB)
    return MemberMemory(float(np.mean(emulated_mb)) if emulated_mb else None, real_mb)
