"""Spreads a number of actions evenly over the steps that are left."""

from __future__ import annotations

ROUNDING_SLACK = 1e-9  # for a sum of fractions that should be a whole number


class EvenPacer:
    """Computes how many of the actions left are due at each step.

    Fractions are carried over, not rounded up: rounded up, a few actions would be over long before the last
    step.
    """

    def __init__(self) -> None:
        self._due = 0.0

    def due(self, count: int, steps_left: float) -> int:
        """Return how many of ``count`` are due now; all of them at the last step."""
        self._due += count / steps_left
        whole = count if steps_left <= 1.0 else min(count, int(self._due + ROUNDING_SLACK))
        self._due -= whole
        return whole
