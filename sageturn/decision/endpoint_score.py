"""Score: how heavily loaded an endpoint is against the others, by this relay's own connections."""

from __future__ import annotations

from math import exp

from sageturn.decision.fleet import Fleet
from sageturn.decision.setup_times import SetupTimes
from sageturn.decision.state import EndpointState

DEPRIORITIZED_FACTOR = 2.0  # by which a deprioritized endpoint counts as heavier
HEAVIER_SETUP_LOG_RATIO = 0.4  # an endpoint above it counts as heavier
CROWDED_SETUP_LOG_RATIO = 0.8  # an endpoint above it counts as crowded
CROWDED_RATIO = 1.25  # times its share of our connections, beyond which an endpoint is crowded
CROWDED_SLACK_CONNECTIONS = 2.0  # beyond that ratio, without making an endpoint crowded


class EndpointScore:
    """Compares the load of endpoints."""

    def __init__(self, fleet: Fleet, setup_times: SetupTimes) -> None:
        self._fleet = fleet
        self._setup_times = setup_times

    def load_score(self, endpoint: EndpointState) -> float:
        """Return this relay's open connections there over the endpoint's weight, and more on signs of load.

        With many relays plain counts are nearly all 0 or 1, so the weight and the signs decide. An endpoint
        on which none of our connections was established yet counts at least at the mean of the others.
        """
        fleet = self._fleet
        connections = endpoint.connections
        open_count: float = connections.open_count
        if connections.is_untried and len(fleet.ready) > 1:
            other_count = fleet.totals.open_count - endpoint.counted.open_count
            open_count = max(open_count, other_count / (len(fleet.ready) - 1))
        if fleet.now_ms < endpoint.load.deprioritized_until_ms:
            open_count = (open_count + 1.0) * DEPRIORITIZED_FACTOR
        setup_log_ratio = self._setup_times.log_ratio(endpoint)
        if setup_log_ratio > HEAVIER_SETUP_LOG_RATIO:
            open_count = (open_count + 1.0) * exp(setup_log_ratio)
        return (open_count + 1.0) / endpoint.weights.effective

    def is_crowded(self, endpoint: EndpointState, ratio: float = CROWDED_RATIO) -> bool:
        """Whether groups and zones must draw no further connection there.

        Args:
            endpoint: A ready endpoint.
            ratio: How many times its share of our connections it may hold.
        """
        fleet = self._fleet
        if fleet.now_ms < endpoint.load.deprioritized_until_ms:
            return True
        if self._setup_times.log_ratio(endpoint) > CROWDED_SETUP_LOG_RATIO:
            return True
        bound = ratio * endpoint.weights.connection_share * fleet.open_count + CROWDED_SLACK_CONNECTIONS
        return endpoint.connections.open_count > bound

    def has_room(self, endpoint: EndpointState) -> bool:
        """Whether the endpoint is neither full nor crowded."""
        return not endpoint.is_full() and not self.is_crowded(endpoint)
