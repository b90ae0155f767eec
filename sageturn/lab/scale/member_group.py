"""All processes with members, asked together: states, changes, outages, and waiting for readiness."""

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
    """The times at which each member, and its present copy, first held each change."""

    first: ArrivalTimes
    present_copy: ArrivalTimes


@dataclass(frozen=True, slots=True)
class CopyComparison:
    """How many different copies of the store there are, and how many members have the most common one."""

    distinct_count: int
    most_common_count: int

    def to_line(self) -> Line:
        """Returns the comparison's part of a result line."""
        return {
            "all": self.distinct_count == 1,
            "kinds": self.distinct_count,
            "most": self.most_common_count,
        }


@dataclass(frozen=True, slots=True)
class MemberMemory:
    """Resident memory in MB: what an emulated member adds to its process, and each real relay's process."""

    emulated_mb: float | None  # on average; None without emulated members
    real_mb: list[float]

    def to_line(self) -> Line:
        """Returns the memory's part of a result line."""
        return {
            "hollow_mb_each": None if self.emulated_mb is None else round(self.emulated_mb, 3),
            "real_mb": [round(memory_mb, 1) for memory_mb in self.real_mb],
        }


class MemberGroup:
    """The processes with members. Methods raise ChildFailedError when one of them ends."""

    def __init__(self, processes: Sequence[ChildProcess]) -> None:
        self.processes = processes
        self._process_of = {name: process for process in processes for name in process.member_names}

    async def start_all(self) -> None:
        """Starts all processes, one after another."""
        for process in self.processes:
            await process.request(Start(), int)

    async def put(self, member: str, key: str, value: object) -> float:
        """Puts a record at a member. Returns the moment just before, on the machine's monotonic clock."""
        return await self._process_of[member].request(Put(member, key, value), float)

    async def stop_members(self, names: Sequence[str]) -> None:
        """Stops members as a crash would: their connections close, and nobody is notified."""
        await asyncio.gather(
            *(process.request(Stop(chosen), bool) for process, chosen in self._choose_processes(names))
        )

    async def restart_members(self, names: Sequence[str], wipe: bool) -> None:
        """Starts members again, with an empty copy of the store where ``wipe`` is true."""
        await asyncio.gather(
            *(process.request(Start(chosen, wipe), int) for process, chosen in self._choose_processes(names))
        )

    def _choose_processes(self, names: Sequence[str]) -> list[tuple[ChildProcess, list[str]]]:
        """Returns the processes that have any of these members, each with its part of them."""
        wanted = set(names)
        parts = [
            (process, [name for name in process.member_names if name in wanted]) for process in self.processes
        ]
        return [(process, part) for process, part in parts if part]

    async def arrivals(self) -> FleetArrivals:
        """Returns the arrivals of all changes so far."""
        found = FleetArrivals({}, {})
        answers = await asyncio.gather(
            *(process.request(GetArrivals(), dict[str, MemberArrivals]) for process in self.processes)
        )
        for answer in answers:
            for name, arrivals in answer.items():
                found.first[name] = arrivals.first_s
                found.present_copy[name] = arrivals.present_copy_s
        return found

    # ------------------------------------------------------------ states

    async def process_statuses(self) -> list[ProcessStatus]:
        """Returns the status of each process, in the order of the processes."""
        statuses = (process.request(GetStatus(), ProcessStatus) for process in self.processes)
        return list(await asyncio.gather(*statuses))

    async def member_statuses(self) -> list[MemberStatus]:
        """Returns the status of each member, by name."""
        return [member for status in await self.process_statuses() for member in status.members.values()]

    async def link_count(self) -> float:
        """Returns the number of established links; each has an end at two members."""
        return count_links(await self.process_statuses())

    async def wait_until_listed(self, since_s: float, timeout_s: float) -> DurationSummary:
        """Returns the durations from ``since_s`` until members had the list. Raises ReadinessTimeoutError."""
        began_s = time.monotonic()
        while True:
            members = await self.member_statuses()
            listed_s = [member.listed_s for member in members if member.listed_s is not None]
            missing = len(members) - len(listed_s)
            if not missing:
                return summarize_durations([moment_s - since_s for moment_s in listed_s])
            if time.monotonic() - began_s > timeout_s:
                raise ReadinessTimeoutError(
                    f"{missing} of {len(members)} members have no list after {timeout_s:g} s"
                )
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    async def wait_until_linked(self, expected: int, timeout_s: float) -> float:
        """Returns the seconds until ``expected`` links were established. Raises ReadinessTimeoutError."""
        began_s = time.monotonic()
        while (established := await self.link_count()) < expected:
            if time.monotonic() - began_s > timeout_s:
                raise ReadinessTimeoutError(
                    f"{established:g} of {expected} links stand after {timeout_s:g} s"
                )
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)
        return round(time.monotonic() - began_s, 2)

    async def compare_copies(self, interval_s: float) -> CopyComparison:
        """Compares all copies of the store, and waits up to three intervals for them to be equal."""
        for _ in range(EQUALITY_POLLS):
            hashes = Counter(member.store_hash for member in await self.member_statuses())
            if len(hashes) == 1:
                break
            await asyncio.sleep(interval_s / EQUALITY_POLLS_PER_INTERVAL)
        return CopyComparison(len(hashes), max(hashes.values()))


def count_links(statuses: Sequence[ProcessStatus]) -> float:
    """Returns half the number of link ends; a member that does not count its links adds none."""
    ends = sum(member.link_count or 0 for status in statuses for member in status.members.values())
    return ends / 2


def member_memory(processes: Sequence[ChildProcess], statuses: Sequence[ProcessStatus]) -> MemberMemory:
    """Returns the memory of members from the statuses of their processes, both in the same order."""
    emulated_mb = []
    real_mb = []
    for process, status in zip(processes, statuses, strict=True):
        if process.role is Role.REAL:
            real_mb.append(status.memory / BYTES_PER_MB)
        else:
            grown = status.memory - status.initial_memory
            emulated_mb.append(grown / len(process.member_names) / BYTES_PER_MB)
    return MemberMemory(float(np.mean(emulated_mb)) if emulated_mb else None, real_mb)
