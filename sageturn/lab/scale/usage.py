"""What a scale run's processes use in a measuring window, a second and a member.

Bytes and messages are counted at each member's sockets (``counting``); processor time comes from the kernel
(``/proc/PID/schedstat``, nanoseconds of the process's one busy thread). An emulated member's share of its
process's processor time is an even one; for the busiest member it is the share that its messages have of
the process's messages.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import numpy as np

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale import counting
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.counting import Counts
from sageturn.lab.scale.job_files import LinkJob, Role

MAX_UNSATURATED_CORE = 0.85  # of one process over a window
MAX_UNSATURATED_CORE_PEAK = 0.95  # of one process within one sample
PEAK_SAMPLE_INTERVAL_S = 1.0

CONTROL_PURPOSES = ("store", "list")
MIN_CPU_S = 1e-9  # keeps a ratio to processor time finite


class MemberRate(NamedTuple):
    """A count in a second, on average over members and of the member with the highest."""

    mean: float
    maximum: float


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """The use of the members of one role in a window."""

    mean_core: float
    max_core: float
    traffic: dict[str, MemberRate]  # by purpose and field of the counters, ``store_in_octets``
    control_bytes: MemberRate  # both ways, of all CONTROL_PURPOSES

    def to_line(self) -> dict[str, float]:
        """Returns the role's part of a result line."""
        line = {"core": round(self.mean_core, 6), "core_busiest": round(self.max_core, 6)}
        for name, rate in {**self.traffic, "octets": self.control_bytes}.items():
            line[name] = round(rate.mean, 1)
            line[f"{name}_most"] = round(rate.maximum, 1)
        return line


@dataclass(frozen=True, slots=True)
class UsageByRole:
    """The use of the processes with members in a window; ``roles`` has those that have any member."""

    took_s: float
    is_saturated: bool  # some process used more than MAX_UNSATURATED_CORE
    roles: dict[Role, RoleUsage]


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """The use of all processes in a window."""

    by_role: UsageByRole
    max_link_core: float
    run_queue_ratio: float  # time in which processes waited for a core, to the time that they used
    peak_core: float  # of one process
    peak_cores: float  # of all processes together
    relay_disk_bytes: list[int]  # since the start of each real relay
    relay_descriptors: list[int]

    @property
    def is_saturated(self) -> bool:
        """Whether some process used so much of a core that the window's figures are distorted."""
        return self.by_role.is_saturated or self.peak_core > MAX_UNSATURATED_CORE_PEAK

    def to_line(self) -> Line:
        """Returns the window's part of a result line."""
        return {
            "took_s": round(self.by_role.took_s, 2),
            "saturated": self.is_saturated,
            **{role.value: usage.to_line() for role, usage in self.by_role.roles.items()},
            "lanes_core_most": round(self.max_link_core, 4),
            "waited": round(self.run_queue_ratio, 3),
            "core_peak": round(self.peak_core, 3),
            "cores_peak": round(self.peak_cores, 2),
            "disk_octets_real": self.relay_disk_bytes,
            "descriptors_real": self.relay_descriptors,
        }


class PeakUsage:
    """Measures the maximum use of one process, and of all together, in any sample, in cores."""

    def __init__(self) -> None:
        self.one_process = 0.0
        self.all_processes = 0.0

    async def sample_forever(self, processes: Sequence[ChildProcess]) -> None:
        """Runs until it is cancelled."""
        before_cpu_s = [process.cpu_s() for process in processes]
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(PEAK_SAMPLE_INTERVAL_S)
            cpu_s = [process.cpu_s() for process in processes]
            now_s = time.monotonic()
            used = [
                (after - before) / (now_s - before_s)
                for before, after in zip(before_cpu_s, cpu_s, strict=True)
            ]
            self.one_process = max(self.one_process, *used)
            self.all_processes = max(self.all_processes, sum(used))
            before_cpu_s = cpu_s
            before_s = now_s


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """Counters of all processes at one moment, each since the process's start."""

    counts: list[list[Counts]]  # by process with members, and by member
    member_cpu_s: list[float]
    link_cpu_s: list[float]
    run_queue_s: float

    @classmethod
    def take(cls, processes: Sequence[ChildProcess]) -> UsageSnapshot:
        """Reads the counters of all processes now."""
        counts = []
        member_cpu_s = []
        link_cpu_s = []
        for process in processes:
            if isinstance(process.job, LinkJob):
                link_cpu_s.append(process.cpu_s())
            else:
                file = Path(process.job.counts_file)
                counts.append(counting.read_file(file, len(process.member_names)))
                member_cpu_s.append(process.cpu_s())
        return cls(
            counts,
            member_cpu_s,
            link_cpu_s,
            sum(process.run_queue_s() for process in processes),
        )

    def since(self, before: UsageSnapshot) -> UsageSnapshot:
        """Returns the use from ``before`` to this snapshot."""
        return UsageSnapshot(
            [
                [count.since(earlier) for count, earlier in zip(counts, earlier_counts, strict=True)]
                for counts, earlier_counts in zip(self.counts, before.counts, strict=True)
            ],
            _differences(self.member_cpu_s, before.member_cpu_s),
            _differences(self.link_cpu_s, before.link_cpu_s),
            self.run_queue_s - before.run_queue_s,
        )


def _differences(after: Sequence[float], before: Sequence[float]) -> list[float]:
    return [new - old for new, old in zip(after, before, strict=True)]


class UsageWindow:
    """Measures from its construction until ``finish``."""

    def __init__(self, processes: Sequence[ChildProcess]) -> None:
        self._processes = processes
        self._before = UsageSnapshot.take(processes)
        self._began_s = time.monotonic()
        self._peaks = PeakUsage()
        self._sampling = asyncio.ensure_future(self._peaks.sample_forever(processes))

    def close(self) -> None:
        """Stops sampling. Call it also when the window's work failed."""
        self._sampling.cancel()

    def finish(self) -> WindowUsage:
        """Returns the use from the construction until now."""
        took_s = time.monotonic() - self._began_s
        used = UsageSnapshot.take(self._processes).since(self._before)
        members = [process for process in self._processes if process.member_names]
        relays = [process for process in members if process.role is Role.REAL]
        cpu_s = sum(used.member_cpu_s) + sum(used.link_cpu_s)
        return WindowUsage(
            by_role=usage_by_role(
                [process.role for process in members], used.counts, used.member_cpu_s, took_s
            ),
            max_link_core=max(used.link_cpu_s) / took_s,
            run_queue_ratio=used.run_queue_s / max(MIN_CPU_S, cpu_s),
            peak_core=self._peaks.one_process,
            peak_cores=self._peaks.all_processes,
            relay_disk_bytes=[process.disk_bytes_written() for process in relays],
            relay_descriptors=[process.descriptor_count() for process in relays],
        )


# ---------------------------------------------------------------- per role


def usage_by_role(
    roles: Sequence[str], counts: Sequence[Sequence[Counts]], cpu_s: Sequence[float], took_s: float
) -> UsageByRole:
    """Returns the use of members by role. Pure; each list has one entry for each process."""
    usage = UsageByRole(took_s, any(used_s / took_s > MAX_UNSATURATED_CORE for used_s in cpu_s), {})
    for role in (Role.EMULATED, Role.REAL):
        processes = [
            _ProcessUsage(members, used_s)
            for process_role, members, used_s in zip(roles, counts, cpu_s, strict=True)
            if process_role == role
        ]
        if any(process.counts for process in processes):
            usage.roles[role] = _role_usage(processes, took_s)
    return usage


class _ProcessUsage(NamedTuple):
    """The use of one process: the counts of its members, and its processor time."""

    counts: Sequence[Counts]
    cpu_s: float

    def busiest_member_cpu_s(self) -> float:
        """Returns the process's time times the share of messages that its busiest member has."""
        messages = [
            count.sum("in_messages", *CONTROL_PURPOSES) + count.sum("out_messages", *CONTROL_PURPOSES)
            for count in self.counts
        ]
        return self.cpu_s * max(messages) / max(1, sum(messages))


def _role_usage(processes: Sequence[_ProcessUsage], took_s: float) -> RoleUsage:
    members = [count for process in processes for count in process.counts]
    traffic = {}
    for purpose in counting.PURPOSES:
        for field in counting.FIELDS:
            rates = [count.values[purpose][field] / took_s for count in members]
            if any(rates):
                traffic[f"{purpose}_{field}"] = MemberRate(float(np.mean(rates)), max(rates))
    control_bytes = [
        count.sum("in_octets", *CONTROL_PURPOSES) + count.sum("out_octets", *CONTROL_PURPOSES)
        for count in members
    ]
    return RoleUsage(
        mean_core=sum(process.cpu_s for process in processes) / len(members) / took_s,
        max_core=max(process.busiest_member_cpu_s() for process in processes) / took_s,
        traffic=traffic,
        control_bytes=MemberRate(float(np.mean(control_bytes)) / took_s, max(control_bytes) / took_s),
    )
