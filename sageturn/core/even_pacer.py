"""Spreads a number of actions evenly over the steps that are left."""

from __future__ import annotations

ROUNDING_SLACK = 1e-9  # for a sum of fractions that should be a whole number


class EvenPacer:
    """Computes how many of the actions left are due at each step.

    Fractions are carried over, not rounded up: rounded up, a few actions would be over long before the last
    step.
    """

    def __init__(self) -> None:
        self._carried_over = 0.0

    def take_due_count(self, count: int, steps_left: float) -> int:
        """Return how many of ``count`` are due at this step; all of them at the last."""
        self._carried_over += count / steps_left
        due = count if steps_left <= 1.0 else min(count, int(self._carried_over + ROUNDING_SLACK))
        self._carried_over -= due
        return due
