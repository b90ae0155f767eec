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
from typing import Any

import numpy as np

from sageturn.lab.scale import counting
from sageturn.lab.scale.child_process import ChildProcess
from sageturn.lab.scale.child_protocol import Role
from sageturn.lab.scale.counting import Counts

# A process that uses more of a core is held up, and so are its figures: over a window, and within one sample.
MAX_SOUND_CORE = 0.85
MAX_SOUND_CORE_PEAK = 0.95
PEAK_SAMPLE_INTERVAL_S = 1.0

CONTROL_PURPOSES = ("store", "list")


class PeakUsage:
    """The most that one process, and that all together, used in any sample of a window, in cores."""

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
        members = [process for process in processes if process.member_names]
        links = [process for process in processes if not process.member_names]
        return cls(
            [
                counting.read_file(Path(process.job["counts"]), len(process.member_names))
                for process in members
            ],
            [process.cpu_s() for process in members],
            [process.cpu_s() for process in links],
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
        """Stop sampling; also when what ran in the window failed."""
        self._sampling.cancel()

    def finish(self) -> dict[str, Any]:
        """The window's part of a result line."""
        took_s = time.monotonic() - self._began_s
        used = UsageSnapshot.take(self._processes).since(self._before)
        members = [process for process in self._processes if process.member_names]
        line = encode_usage([process.role for process in members], used.counts, used.member_cpu_s, took_s)
        line["lanes_core_most"] = round(max(used.link_cpu_s) / took_s, 4)
        cpu_s = sum(used.member_cpu_s) + sum(used.link_cpu_s)
        line["waited"] = round(used.run_queue_s / max(1e-9, cpu_s), 3)
        line["core_peak"] = round(self._peaks.one_process, 3)
        line["cores_peak"] = round(self._peaks.all_processes, 2)
        line["saturated"] = line["saturated"] or self._peaks.one_process > MAX_SOUND_CORE_PEAK
        relays = [process for process in members if process.role is Role.REAL]
        line["disk_octets_real"] = [process.disk_bytes_written() for process in relays]
        line["descriptors_real"] = [process.descriptor_count() for process in relays]
        return line


# ---------------------------------------------------------------- per role


def encode_usage(
    roles: Sequence[str], counts: Sequence[Sequence[Counts]], cpu_s: Sequence[float], took_s: float
) -> dict[str, Any]:
    """Use a second and a member by role, for a result line. Pure: one entry of each list a process."""
    line: dict[str, Any] = {
        "took_s": round(took_s, 2),
        "saturated": any(used_s / took_s > MAX_SOUND_CORE for used_s in cpu_s),
    }
    for role in (Role.EMULATED, Role.REAL):
        processes = [
            (members, used_s)
            for process_role, members, used_s in zip(roles, counts, cpu_s, strict=True)
            if process_role == role
        ]
        if any(members for members, _ in processes):
            line[role.value] = _encode_role(processes, took_s)
    return line


def _encode_role(processes: Sequence[tuple[Sequence[Counts], float]], took_s: float) -> dict[str, float]:
    members = [count for counts, _ in processes for count in counts]
    line: dict[str, float] = {
        "core": sum(used_s for _, used_s in processes) / len(members) / took_s,
        "core_busiest": max(_busiest_cpu_s(counts, used_s) for counts, used_s in processes) / took_s,
    }
    for purpose in counting.PURPOSES:
        for field in counting.FIELDS:
            rates = [count.values[purpose][field] / took_s for count in members]
            if any(rates):
                line[f"{purpose}_{field}"] = float(np.mean(rates))
                line[f"{purpose}_{field}_most"] = max(rates)
    control_bytes = [
        count.sum("in_octets", *CONTROL_PURPOSES) + count.sum("out_octets", *CONTROL_PURPOSES)
        for count in members
    ]
    line["octets"] = float(np.mean(control_bytes)) / took_s
    line["octets_most"] = max(control_bytes) / took_s
    return {name: round(value, 6 if name.startswith("core") else 1) for name, value in line.items()}


def _busiest_cpu_s(counts: Sequence[Counts], used_s: float) -> float:
    messages = [
        count.sum("in_messages", *CONTROL_PURPOSES) + count.sum("out_messages", *CONTROL_PURPOSES)
        for count in counts
    ]
    return used_s * max(messages) / max(1, sum(messages))
