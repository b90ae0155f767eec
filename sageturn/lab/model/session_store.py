"""Model of the session store that each set-up calls."""

from __future__ import annotations

from sageturn.lab.model.endpoint_model import MAX_UTILIZATION
from sageturn.lab.model.fleet_spec import FleetSpec

IDLE_CALL_MS = 6.0
CALL_RATE_SMOOTHING = 0.5  # weight of the latest step in the call rate


class SessionStoreModel:
    """Model of the duration of a call as a function of the call rate; a fleet may have no store."""

    def __init__(self, spec: FleetSpec) -> None:
        # At the usual arrival rate a store with a headroom of 1 is at a quarter of its capacity.
        self._capacity_per_s = 4.0 * spec.arrivals_per_s * spec.store_headroom
        self._calls_per_s = 0.0
        self._backlog_s = 0.0

    def record_calls(self, count: int, step_s: float) -> None:
        """Update the call rate with the number of calls in a step."""
        self._calls_per_s += CALL_RATE_SMOOTHING * (count / step_s - self._calls_per_s)

    def advance(self, slowdown: float, step_s: float) -> float:
        """Start a step. Return the duration of a call in milliseconds; 0 without a store."""
        if self._capacity_per_s <= 0:
            return 0.0
        utilization = self._calls_per_s / (self._capacity_per_s / slowdown)
        self._backlog_s = max(0.0, self._backlog_s + (utilization - 1.0) * step_s)
        queueing = 1.0 - min(MAX_UTILIZATION, utilization)
        return IDLE_CALL_MS * slowdown / queueing + self._backlog_s * 1000.0
