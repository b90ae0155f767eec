"""Spreads a number of actions evenly over the steps that are left."""

from __future__ import annotations


class EvenPacer:
    """How many of those left are due at each step. Parts of one are carried over, not rounded up:
    with one at each step at the least, a few connections were gone in a fifth of the time that there is.
    """

    def __init__(self) -> None:
        self._due = 0.0

    def due(self, count: int, steps_left: float) -> int:
        self._due += count / steps_left
        whole = count if steps_left <= 1.0 else min(count, int(self._due + 1e-9))
        self._due -= whole
        return whole
