"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random


class Backoff:
    """Exponential backoff whose delays are drawn from the upper half of a doubling range.

    The jitter spreads the attempts of many callers.
    """

    def __init__(self, min_delay_s: float, max_delay_s: float, rng: Random) -> None:
        self._min_delay_s = min_delay_s
        self._max_delay_s = max_delay_s
        self._rng = rng
        self._upper_s = min_delay_s

    def reset(self) -> None:
        """Restart from the minimum delay."""
        self._upper_s = self._min_delay_s

    def next_delay_s(self) -> float:
        """Return the seconds to wait before the next attempt."""
        delay_s = self._upper_s * (0.5 + 0.5 * self._rng.random())
        self._upper_s = min(self._max_delay_s, self._upper_s * 2.0)
        return delay_s
