"""Outages of members, and durations until the last member held each change.

All functions are pure. Times are seconds on the machine's monotonic clock; a change that never arrived has
an infinite duration.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.fleet import Fleet

NEVER_S = math.inf
MAX_PROPAGATION_S = 4.0

# Time at which a member first held a change, by member name and key.
ArrivalTimes = dict[str, dict[str, float]]


@dataclass(frozen=True, slots=True)
class Change:
    """A record that was put at one member during a phase."""

    key: str
    member: str
    put_s: float


class Outages:
    """Recorder of the intervals in which members were down, and of each member's last return."""

    def __init__(self) -> None:
        self._intervals: dict[str, list[tuple[float, float]]] = {}
        self.returned_s: dict[str, float] = {}

    def mark_down(self, names: Iterable[str], now_s: float) -> None:
        """Record that the members are down from ``now_s`` until ``mark_up`` is called for them."""
        for name in names:
            self._intervals.setdefault(name, []).append((now_s, NEVER_S))

    def mark_up(self, names: Iterable[str], now_s: float) -> None:
        """Record that the members are up again, which ends the outages that ``mark_down`` began."""
        for name in names:
            down_s, _ = self._intervals[name][-1]
            self._intervals[name][-1] = (down_s, now_s)
            self.returned_s[name] = now_s

    def is_down(self, name: str, now_s: float) -> bool:
        """Return True if the member is down at ``now_s``."""
        return self.was_down_during(name, now_s, now_s)

    def was_down_during(self, name: str, since_s: float, until_s: float) -> bool:
        """Return True if the member was down at any time from ``since_s`` to ``until_s``."""
        return any(down_s <= until_s and up_s > since_s for down_s, up_s in self._intervals.get(name, []))


@dataclass(frozen=True, slots=True)
class PropagationTimes:
    """Seconds from each change's put until the last member held it.

    Only members that were up when the change spread are counted.
    """

    everywhere: list[float]
    in_own_region: list[float]


def propagation_times(
    changes: Iterable[Change], arrivals: ArrivalTimes, outages: Outages, fleet: Fleet
) -> PropagationTimes:
    """Return how long each change took to reach all members, and all members of its own region.

    A member counts for a change only if it was up from the put until ``MAX_PROPAGATION_S`` later.
    """
    found = PropagationTimes([], [])
    for change in changes:
        until_s = change.put_s + MAX_PROPAGATION_S
        running = [name for name in fleet.names if not outages.was_down_during(name, change.put_s, until_s)]
        durations = {name: arrivals[name].get(change.key, NEVER_S) - change.put_s for name in running}
        region = fleet.region_of(change.member)
        in_region = (duration for name, duration in durations.items() if fleet.region_of(name) == region)
        found.everywhere.append(max(durations.values(), default=0.0))
        found.in_own_region.append(max(in_region, default=0.0))
    return found


def catch_up_times(
    changes: Sequence[Change], arrivals: ArrivalTimes, returned_s: dict[str, float]
) -> list[float]:
    """Return the seconds that each returned member took to hold all changes put before its return.

    Members that missed no change are left out.
    """
    found = []
    for name, back_s in returned_s.items():
        missed = [change.key for change in changes if change.put_s < back_s]
        if missed:
            found.append(max(0.0, *(arrivals[name].get(key, NEVER_S) - back_s for key in missed)))
    return found


@dataclass(frozen=True, slots=True)
class DurationSummary:
    """Percentiles of durations, in seconds; a percentile that falls on one that never ended is infinite."""

    count: int
    p50_s: float
    p99_s: float
    max_s: float
    over_limit_count: int  # durations above MAX_PROPAGATION_S, including infinite ones
    never_count: int  # infinite durations

    def to_line(self) -> Line:
        """Return the summary's part of a result line, where null means an infinite duration."""
        if not self.count:
            return {"n": 0}
        return {
            "n": self.count,
            "p50": _encode_duration(self.p50_s),
            "p99": _encode_duration(self.p99_s),
            "worst": _encode_duration(self.max_s),
            "over_4s": self.over_limit_count,
            "never": self.never_count,
        }


def summarize_durations(durations_s: Sequence[float]) -> DurationSummary:
    """Summarize the durations; all fields are 0 if there are none."""
    if not durations_s:
        return DurationSummary(0, 0.0, 0.0, 0.0, 0, 0)
    ordered = sorted(durations_s)
    count = len(ordered)
    return DurationSummary(
        count=count,
        p50_s=ordered[(count - 1) // 2],
        p99_s=ordered[min(count - 1, math.ceil(0.99 * count) - 1)],
        max_s=ordered[-1],
        over_limit_count=sum(duration > MAX_PROPAGATION_S for duration in ordered),
        never_count=sum(duration == NEVER_S for duration in ordered),
    )


def _encode_duration(duration_s: float) -> float | None:
    return None if duration_s == NEVER_S else round(float(duration_s), 4)
