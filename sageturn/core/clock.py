"""The relay's clock, which the balancer uses, and its conversion of timestamps across system clock steps."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise

log = logging.getLogger(__name__)

MIN_STEP_MS = 50.0  # smaller differences are jitter between two readings or slewing of the clock
MAX_SHIFT_RANGES = 16


@dataclass(frozen=True, slots=True)
class ShiftRange:
    """Range of the milliseconds by which a system clock may have been ahead of the relay's time."""

    low_ms: float
    high_ms: float

    def latest_moment_ms(self, wall_ms: float, now_ms: float) -> float | None:
        """Convert a timestamp to the latest moment that is possible with a shift in this range.

        Returns:
            Relay's time, no later than ``now_ms``; None if the timestamp is in the future for every shift.
        """
        if wall_ms - self.high_ms > now_ms:
            return None
        return min(wall_ms - self.low_ms, now_ms)


class WallClockHistory:
    """History of system clock shifts, which converts timestamps to the relay's time across clock steps.

    It reads no clock itself: the readings are passed in. It is unknown whether the clock of the machine that
    wrote a timestamp was stepped as well, and when. A timestamp is therefore converted to the latest moment
    that any shift seen here allows. An endpoint may then seem younger than it is and get less load than it
    can bear, but it never seems older, so it is never sent too much.

    No observed shift is ever discarded. Memory is bounded by merging the two closest ranges of shifts into
    one that covers both, which can only make the converted moments later.
    """

    def __init__(self) -> None:
        self._shift_ms = 0.0
        self.ranges = [ShiftRange(0.0, 0.0)]  # disjoint ranges in ascending order

    @property
    def shift_ms(self) -> float:
        """Milliseconds by which the system clock was ahead of the relay's time at the last reading."""
        return self._shift_ms

    def record_reading(self, now_ms: float, wall_ms: float) -> None:
        """Record that the system clock shows ``wall_ms`` at ``now_ms`` of the relay's time."""
        shift_ms = wall_ms - now_ms
        if abs(shift_ms - self._shift_ms) >= MIN_STEP_MS:
            self._shift_ms = shift_ms
            self._add_range(ShiftRange(shift_ms, shift_ms))

    def record_moment(self, wall_ms: float, earliest_ms: float, latest_ms: float) -> None:
        """Record that a timestamp ``wall_ms`` was written between these moments of the relay's time."""
        self._add_range(ShiftRange(wall_ms - latest_ms, wall_ms - earliest_ms))

    def _add_range(self, added: ShiftRange) -> None:
        disjoint = [
            each for each in self.ranges if each.high_ms < added.low_ms or each.low_ms > added.high_ms
        ]
        overlapping = [each for each in self.ranges if each not in disjoint]
        merged = _enclosing_range([*overlapping, added])
        self.ranges = sorted([*disjoint, merged], key=lambda each: each.low_ms)
        if len(self.ranges) > MAX_SHIFT_RANGES:
            self._merge_closest_ranges()

    def _merge_closest_ranges(self) -> None:
        gaps_ms = [after.low_ms - before.high_ms for before, after in pairwise(self.ranges)]
        index = gaps_ms.index(min(gaps_ms))
        self.ranges[index : index + 2] = [_enclosing_range(self.ranges[index : index + 2])]

    def to_relay_ms(self, wall_ms: float, now_ms: float) -> float:
        """Return the relay's time of a timestamp; ``now_ms`` if it is in the future for every shift."""
        moments = (each.latest_moment_ms(wall_ms, now_ms) for each in self.ranges)
        return max((moment_ms for moment_ms in moments if moment_ms is not None), default=now_ms)


def _enclosing_range(ranges: Sequence[ShiftRange]) -> ShiftRange:
    """Return the smallest range that covers all of ``ranges``."""
    return ShiftRange(min(each.low_ms for each in ranges), max(each.high_ms for each in ranges))


class Clock:
    """Clock of the relay's time: monotonic Unix time in milliseconds, unaffected by system clock steps.

    Discovery gives start times in Unix time, so the balancer's clock uses the same epoch. Deadlines must stay
    correct when the system clock is stepped, so the offset to Unix time is read only once.
    ``from_wall_ms`` converts later timestamps of the system clock to the relay's time.
    """

    def __init__(
        self,
        wall_clock_s: Callable[[], float] | None = None,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the offset of Unix time from the monotonic clock.

        Args:
            wall_clock_s: returns Unix time in seconds by the system clock; None stands for ``time.time``.
            monotonic_s: returns the seconds of a clock that is never stepped.
        """
        self._wall_clock_s = wall_clock_s
        self._monotonic_s = monotonic_s
        self._offset_ms = self._wall_ms() - monotonic_s() * 1000.0
        self._history = WallClockHistory()

    def _wall_ms(self) -> float:
        return (self._wall_clock_s or time.time)() * 1000.0

    def now_ms(self) -> float:
        """Return the relay's time in milliseconds: Unix time by the offset read at the start."""
        return self._offset_ms + self._monotonic_s() * 1000.0

    def read_wall_clock(self) -> float:
        """Read the system clock, and log if it was stepped.

        Returns:
            Milliseconds by which it is ahead of the relay's time.
        """
        previous_ms = self._history.shift_ms
        self._history.record_reading(self.now_ms(), self._wall_ms())
        shift_ms = self._history.shift_ms
        if shift_ms != previous_ms:
            log.warning("wall clock stepped step_s=%.3f", (shift_ms - previous_ms) / 1000.0)
        return shift_ms

    def from_wall_ms(self, wall_ms: float) -> float:
        """Return the relay's time of a timestamp, by the readings of the system clock so far."""
        return self._history.to_relay_ms(wall_ms, self.now_ms())

    def record_recent_start(self, endpoint: str, wall_ms: float, earliest_ms: float) -> None:
        """Record that a process with the start ``wall_ms`` cannot have started before ``earliest_ms``.

        The clock that wrote the timestamp is then known to differ from the relay's time, and this difference
        is taken into account for all timestamps from now on.
        """
        now_ms = self.now_ms()
        self._history.record_moment(wall_ms, earliest_ms, now_ms)
        log.warning(
            "endpoint clock differs endpoint=%s min_behind_s=%.3f",
            endpoint,
            (earliest_ms - wall_ms) / 1000.0,
        )
