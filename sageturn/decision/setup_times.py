"""Set-up times: the speed of kinds of machines, and endpoints that lag behind the others."""

from __future__ import annotations

from math import exp, log

from sageturn.decision.fleet import Fleet
from sageturn.decision.state import EndpointState, SetupTime

LATEST_SETUP_WEIGHT = 0.5  # of an endpoint's latest set-up in its mean
COMMON_SETUP_WEIGHT = 0.1  # of the latest set-up in the mean of all endpoints
SETUP_LAG_DECAY_MS = 9000.0


class SetupTimes:
    """Compares the times that set-ups take at each endpoint."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._common_log = 0.0  # decaying mean of the logarithms of set-up times at all endpoints

    def record(self, now_ms: float, endpoint: EndpointState, took_ms: float) -> None:
        """Learn the speed of the kind of machine and, if no delay is measured, the endpoint's set-up lag."""
        took_log = log(took_ms)
        self._fleet.machine_speeds.learn(endpoint.kind, took_log)
        common_log = self._common_log
        self._common_log += COMMON_SETUP_WEIGHT * (took_log - common_log) if common_log else took_log
        if not self._fleet.measures_delay():
            earlier = self._common_log + self.lag(endpoint) - took_log
            mean_log = took_log + (1.0 - LATEST_SETUP_WEIGHT) * earlier
            # A mean of exactly 1 ms counts as none.
            endpoint.load.setup_time = SetupTime(mean_log, now_ms) if mean_log else None

    def lag(self, endpoint: EndpointState) -> float:
        """Return the logarithm of the endpoint's set-up time over the common one; 0 if none was measured.

        The lag is relative, as a slow session store slows down set-ups everywhere. It decays, or an endpoint
        that was slow once would not be tried again.
        """
        setup_time = endpoint.load.setup_time
        if setup_time is None:
            return 0.0
        decay = exp((setup_time.updated_ms - self._fleet.now_ms) / SETUP_LAG_DECAY_MS)
        return (setup_time.log_ms - self._common_log) * decay
