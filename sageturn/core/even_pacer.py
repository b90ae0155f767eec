"""Spreads a number of actions evenly over the steps that are left."""

from __future__ import annotations

ROUNDING_SLACK = 1e-9  # for a sum of fractions that should be a whole number


class EvenPacer:
    """How many of those left are due at each step.

    Fractions are carried over, not rounded up: with one action per step at the least, a few connections were
    migrated in a fifth of the time available.
    """

    def __init__(self) -> None:
        self._due = 0.0

    def due(self, count: int, steps_left: float) -> int:
        """How many of ``count`` are due now; all of them at the last step."""
        self._due += count / steps_left
        whole = count if steps_left <= 1.0 else min(count, int(self._due + ROUNDING_SLACK))
        self._due -= whole
        return whole
