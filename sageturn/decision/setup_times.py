"""Set-up times: learns the speed of each kind of machine, and which endpoints are slower than others."""

from __future__ import annotations

from math import exp, log

from sageturn.decision.fleet import Fleet
from sageturn.decision.state import EndpointState, SetupTime

LATEST_SETUP_WEIGHT = 0.5  # weight of the latest set-up in an endpoint's mean
COMMON_SETUP_WEIGHT = 0.1  # weight of the latest set-up in the mean of all endpoints
LOG_RATIO_DECAY_MS = 9000.0  # time constant of the exponential decay


class SetupTimes:
    """Comparison of the set-up times of the endpoints."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._common_log_ms = 0.0  # decaying mean of the logarithms of set-up times at all endpoints

    def record(self, now_ms: float, endpoint: EndpointState, duration_ms: float) -> None:
        """Update the speed of the kind of machine and, if no delay is measured, the endpoint's mean."""
        log_ms = log(duration_ms)
        self._fleet.machine_speeds.learn(endpoint.kind, log_ms)
        common_log_ms = self._common_log_ms
        self._common_log_ms += COMMON_SETUP_WEIGHT * (log_ms - common_log_ms) if common_log_ms else log_ms
        if not self._fleet.measures_delay():
            difference = self._common_log_ms + self.log_ratio(endpoint) - log_ms
            mean_log_ms = log_ms + (1.0 - LATEST_SETUP_WEIGHT) * difference
            # A mean of exactly 1 ms counts as none.
            endpoint.load.setup_time = SetupTime(mean_log_ms, now_ms) if mean_log_ms else None

    def log_ratio(self, endpoint: EndpointState) -> float:
        """Return the logarithm of the endpoint's set-up time over the common one; 0 if none was measured.

        It is a ratio, because a slow session store slows down set-ups everywhere. It decays towards 0, since
        otherwise an endpoint that was slow once would not be tried again.
        """
        setup_time = endpoint.load.setup_time
        if setup_time is None:
            return 0.0
        decay = exp((setup_time.updated_ms - self._fleet.now_ms) / LOG_RATIO_DECAY_MS)
        return (setup_time.log_ms - self._common_log_ms) * decay
