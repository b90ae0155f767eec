"""Spreads a number of actions evenly over the remaining steps."""

from __future__ import annotations

ROUNDING_SLACK = 1e-9  # tolerance for a sum of fractions that should be a whole number


class EvenPacer:
    """Pacer that computes how many of the remaining actions are due at each step.

    Fractions are carried over to the next step. If they were rounded up, a small number of actions would
    all be due long before the last step.
    """

    def __init__(self) -> None:
        self._carried_over = 0.0

    def take_due_count(self, count: int, steps_left: float) -> int:
        """Return how many of the ``count`` remaining actions are due at this step; all at the last one."""
        self._carried_over += count / steps_left
        due = count if steps_left <= 1.0 else min(count, int(self._carried_over + ROUNDING_SLACK))
        self._carried_over -= due
        return due
