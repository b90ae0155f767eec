"""Resource usage of a scale run's processes in a measurement window, per second and member.

Bytes and messages are counted at each member's sockets (``counting``). Processor time comes from the kernel:
``/proc/PID/schedstat`` of the process's one busy thread, in nanoseconds. The mean over emulated members
divides a process's processor time evenly. The busiest member's processor time is its share of the process's
messages times the process's processor time.
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

MAX_UNSATURATED_CORE = 0.85  # maximum mean use of one process in a window that is not saturated
MAX_UNSATURATED_CORE_PEAK = 0.95  # maximum use of one process in any sample of such a window
PEAK_SAMPLE_INTERVAL_S = 1.0

CONTROL_PURPOSES = ("store", "list")
MIN_CPU_S = 1e-9  # smallest divisor for a ratio to processor time, which avoids a division by 0


class MemberRate(NamedTuple):
    """Rate per second: the mean over members, and the highest of any member."""

    mean: float
    maximum: float


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """Resource usage of the members of one role in a window; processor time is in cores."""

    mean_core: float
    max_core: float
    traffic: dict[str, MemberRate]  # rates by purpose and field of the counters, such as ``store_in_octets``
    control_bytes: MemberRate  # bytes in both directions over CONTROL_PURPOSES

    def to_line(self) -> dict[str, float]:
        """Return the role's part of a result line."""
        line = {"core": round(self.mean_core, 6), "core_busiest": round(self.max_core, 6)}
        for name, rate in {**self.traffic, "octets": self.control_bytes}.items():
            line[name] = round(rate.mean, 1)
            line[f"{name}_most"] = round(rate.maximum, 1)
        return line


@dataclass(frozen=True, slots=True)
class UsageByRole:
    """Resource usage of the processes with members in a window; ``roles`` omits roles without members."""

    took_s: float
    is_saturated: bool  # True if some process used more than MAX_UNSATURATED_CORE
    roles: dict[Role, RoleUsage]


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """Resource usage of all processes in a window; processor time is in cores."""

    by_role: UsageByRole
    max_link_core: float  # mean use of the busiest link emulation process
    run_queue_ratio: float  # ratio of the time that processes waited for a core to the time that they used
    peak_core: float  # highest use of one process in a sample
    peak_cores: float  # highest use of all processes together in a sample
    relay_disk_bytes: list[int]  # bytes written by each real relay since its start
    relay_descriptors: list[int]  # open descriptors of each real relay

    @property
    def is_saturated(self) -> bool:
        """True if some process used so much of a core that the window's figures are distorted."""
        return self.by_role.is_saturated or self.peak_core > MAX_UNSATURATED_CORE_PEAK

    def to_line(self) -> Line:
        """Return the window's part of a result line."""
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
    """Sampler of the highest use of one process, and of all processes together, in cores."""

    def __init__(self) -> None:
        self.one_process = 0.0
        self.all_processes = 0.0

    async def sample_forever(self, processes: Sequence[ChildProcess]) -> None:
        """Sample every ``PEAK_SAMPLE_INTERVAL_S`` until cancelled."""
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
    """Counters of all processes at one time, each counted since its process's start."""

    counts: list[list[Counts]]  # one list for each process with members, with one entry for each member
    member_cpu_s: list[float]
    link_cpu_s: list[float]
    run_queue_s: float

    @classmethod
    def take(cls, processes: Sequence[ChildProcess]) -> UsageSnapshot:
        """Read the counters of all processes now."""
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
        """Return the increase of all counters from ``before`` to this snapshot."""
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
    """Measurement window, from its construction until ``finish``."""

    def __init__(self, processes: Sequence[ChildProcess]) -> None:
        self._processes = processes
        self._before = UsageSnapshot.take(processes)
        self._began_s = time.monotonic()
        self._peaks = PeakUsage()
        self._sampling = asyncio.ensure_future(self._peaks.sample_forever(processes))

    def close(self) -> None:
        """Stop sampling. Call it even if the measured work failed."""
        self._sampling.cancel()

    def finish(self) -> WindowUsage:
        """Return the resource usage since construction."""
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


# ---------------------------------------------------------------- usage by role


def usage_by_role(
    roles: Sequence[str], counts: Sequence[Sequence[Counts]], cpu_s: Sequence[float], took_s: float
) -> UsageByRole:
    """Return the usage of members by role. Each sequence has one entry for each process with members."""
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
    """Usage of one process: the counts of its members, and its processor time."""

    counts: Sequence[Counts]
    cpu_s: float

    def busiest_member_cpu_s(self) -> float:
        """Return the process's processor time times its busiest member's share of control messages."""
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
