"""Exponentially decaying count of events."""

from __future__ import annotations

from math import exp


class DecayingCounter:
    """Count of events with exponential decay: after ``time_constant_ms`` an event weighs 1/e of a new one."""

    __slots__ = ("_time_constant_ms", "_updated_ms", "_value")

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._value = 0.0
        self._updated_ms = 0.0

    def add(self, now_ms: float, amount: float = 1.0) -> None:
        """Count ``amount`` events at ``now_ms``."""
        self._value = self.value_at(now_ms) + amount
        self._updated_ms = now_ms

    def value_at(self, now_ms: float) -> float:
        """Return the decayed count at ``now_ms``."""
        return self._value * exp(min(0.0, self._updated_ms - now_ms) / self._time_constant_ms)
