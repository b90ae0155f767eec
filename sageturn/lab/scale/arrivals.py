"""When changes reached the members: outages, and durations until the last member held each change. Pure.

All times are of the machine's monotonic clock, in seconds; what never arrived takes infinitely long.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.fleet import Fleet

NEVER_S = math.inf
MAX_PROPAGATION_S = 4.0

# By member and key: when the member held that change.
ArrivalTimes = dict[str, dict[str, float]]


@dataclass(frozen=True, slots=True)
class Change:
    """A record that was put at one member while a phase ran."""

    key: str
    member: str
    put_s: float


class Outages:
    """Records when members were down, and when each last came back."""

    def __init__(self) -> None:
        self._intervals: dict[str, list[tuple[float, float]]] = {}
        self.returned_s: dict[str, float] = {}

    def mark_down(self, names: Iterable[str], now_s: float) -> None:
        """Counts the members as down from now until ``mark_up``."""
        for name in names:
            self._intervals.setdefault(name, []).append((now_s, NEVER_S))

    def mark_up(self, names: Iterable[str], now_s: float) -> None:
        """Ends the outages that ``mark_down`` began."""
        for name in names:
            down_s, _ = self._intervals[name][-1]
            self._intervals[name][-1] = (down_s, now_s)
            self.returned_s[name] = now_s

    def is_down(self, name: str, now_s: float) -> bool:
        """Whether the member is down at this moment."""
        return self.was_down_during(name, now_s, now_s)

    def was_down_during(self, name: str, since_s: float, until_s: float) -> bool:
        """Whether the member was down at any moment from ``since_s`` to ``until_s``."""
        return any(down_s <= until_s and up_s > since_s for down_s, up_s in self._intervals.get(name, []))


@dataclass(frozen=True, slots=True)
class PropagationTimes:
    """The time of each change until the last member that was up for it held it."""

    everywhere: list[float]
    in_own_region: list[float]


def propagation_times(
    changes: Iterable[Change], arrivals: ArrivalTimes, outages: Outages, fleet: Fleet
) -> PropagationTimes:
    """Counts the members that were up from a change's put to ``MAX_PROPAGATION_S`` after it."""
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
    """Returns, for each member that came back, the time until it held all that was put before its return."""
    found = []
    for name, back_s in returned_s.items():
        missed = [change.key for change in changes if change.put_s < back_s]
        if missed:
            found.append(max(0.0, *(arrivals[name].get(key, NEVER_S) - back_s for key in missed)))
    return found


@dataclass(frozen=True, slots=True)
class DurationSummary:
    """Percentiles of some durations, in seconds; they are infinite where that many never ended."""

    count: int
    p50_s: float
    p99_s: float
    max_s: float
    over_limit_count: int  # of more than MAX_PROPAGATION_S, those that never ended among them
    never_count: int

    def to_line(self) -> Line:
        """Returns the summary's part of a result line, in which null stands for what never ended."""
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
    """Sums up the durations; without any, all of the summary's fields are 0."""
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
