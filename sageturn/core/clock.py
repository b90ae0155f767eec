"""The relay's clock, by which the balancer decides, and how it follows steps of the system's clock."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise

log = logging.getLogger(__name__)

MIN_STEP_MS = 50.0  # smaller differences are jitter between two readings, or a slewed clock
MAX_SHIFT_RANGES = 16


@dataclass(frozen=True, slots=True)
class ShiftRange:
    """Values that a system's clock may have been ahead of the relay's time by, in milliseconds."""

    low_ms: float
    high_ms: float

    def latest_moment_ms(self, wall_ms: float, now_ms: float) -> float | None:
        """Return the latest moment up to now that a timestamp may stand for; None if there is none."""
        if wall_ms - self.high_ms > now_ms:
            return None
        return min(wall_ms - self.low_ms, now_ms)


class WallClockHistory:
    """Finds the moment that a timestamp of a system's clock stood for, whatever steps came since.

    Pure: the readings are passed in. Whether the machine that wrote a timestamp was stepped as well, and
    when, is not known. Of all moments that it may have stood for by the shifts seen here, the latest counts:
    an endpoint that is taken for younger than it is gets less than it bears, and never more.

    No shift that was seen is ever ruled out. Memory is bounded by merging the two closest ranges of shifts
    into one that covers both, which only makes later moments possible.
    """

    def __init__(self) -> None:
        self._shift_ms = 0.0
        self.ranges = [ShiftRange(0.0, 0.0)]  # disjoint, in ascending order

    @property
    def shift_ms(self) -> float:
        """How many milliseconds the system's clock was ahead of the relay's time at the last reading."""
        return self._shift_ms

    def record_reading(self, now_ms: float, wall_ms: float) -> None:
        """Record that the system's clock shows ``wall_ms`` at ``now_ms`` of the relay's time."""
        shift_ms = wall_ms - now_ms
        if abs(shift_ms - self._shift_ms) >= MIN_STEP_MS:
            self._shift_ms = shift_ms
            self._add(ShiftRange(shift_ms, shift_ms))

    def record_moment(self, wall_ms: float, earliest_ms: float, latest_ms: float) -> None:
        """Record that a timestamp ``wall_ms`` was written between these moments of the relay's time."""
        self._add(ShiftRange(wall_ms - latest_ms, wall_ms - earliest_ms))

    def _add(self, added: ShiftRange) -> None:
        apart = [each for each in self.ranges if each.high_ms < added.low_ms or each.low_ms > added.high_ms]
        touching = [each for each in self.ranges if each not in apart]
        merged = _cover([*touching, added])
        self.ranges = sorted([*apart, merged], key=lambda each: each.low_ms)
        if len(self.ranges) > MAX_SHIFT_RANGES:
            self._merge_closest()

    def _merge_closest(self) -> None:
        gaps_ms = [after.low_ms - before.high_ms for before, after in pairwise(self.ranges)]
        index = gaps_ms.index(min(gaps_ms))
        self.ranges[index : index + 2] = [_cover(self.ranges[index : index + 2])]

    def to_relay_ms(self, wall_ms: float, now_ms: float) -> float:
        """Return the relay's time of a timestamp; ``now_ms`` where it is in the future by all clocks."""
        moments = (each.latest_moment_ms(wall_ms, now_ms) for each in self.ranges)
        return max((moment_ms for moment_ms in moments if moment_ms is not None), default=now_ms)


def _cover(ranges: Sequence[ShiftRange]) -> ShiftRange:
    """Return the smallest range that covers all of these."""
    return ShiftRange(min(each.low_ms for each in ranges), max(each.high_ms for each in ranges))


class Clock:
    """Tells the relay's time: Unix time in milliseconds that never goes back and is never stepped.

    Discovery gives start times in Unix time, so the balancer's clock has to share that epoch; deadlines must
    survive a step of the system's clock, so the epoch's offset is read once. ``from_wall_ms`` brings later
    timestamps of the system's clock to the relay's time.
    """

    def __init__(
        self,
        wall_clock_s: Callable[[], float] | None = None,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Read the offset of Unix time.

        Args:
            wall_clock_s: Unix time in seconds by the system's clock; ``time.time`` where None.
            monotonic_s: seconds of a clock that is never stepped.
        """
        self._wall_clock_s = wall_clock_s
        self._monotonic_s = monotonic_s
        self._offset_ms = self._wall_ms() - monotonic_s() * 1000.0
        self._history = WallClockHistory()

    def _wall_ms(self) -> float:
        return (self._wall_clock_s or time.time)() * 1000.0

    def now_ms(self) -> float:
        """Return the relay's time: Unix time in milliseconds as of the start. It never goes back."""
        return self._offset_ms + self._monotonic_s() * 1000.0

    def read_wall_clock(self) -> float:
        """Read the system's clock, and log if it was stepped.

        Returns:
            How many milliseconds it is ahead of the relay's time.
        """
        previous_ms = self._history.shift_ms
        self._history.record_reading(self.now_ms(), self._wall_ms())
        shift_ms = self._history.shift_ms
        if shift_ms != previous_ms:
            log.warning("wall clock stepped step_s=%.3f", (shift_ms - previous_ms) / 1000.0)
        return shift_ms

    def from_wall_ms(self, wall_ms: float) -> float:
        """Return the relay's time of a timestamp by the system's clock, as last read."""
        return self._history.to_relay_ms(wall_ms, self.now_ms())

    def record_recent_start(self, endpoint: str, wall_ms: float, earliest_ms: float) -> None:
        """Record that a process with the start ``wall_ms`` cannot have started before ``earliest_ms``.

        The clock that wrote the stamp is then known to differ from the relay's time, and all stamps of that
        clock are converted accordingly from now on.
        """
        now_ms = self.now_ms()
        self._history.record_moment(wall_ms, earliest_ms, now_ms)
        log.warning(
            "endpoint clock differs endpoint=%s min_behind_s=%.3f",
            endpoint,
            (earliest_ms - wall_ms) / 1000.0,
        )
