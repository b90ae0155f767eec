"""Endpoint scores: the load of an endpoint relative to the others, by this relay's own connections."""

from __future__ import annotations

from math import exp

from sageturn.decision.fleet import Fleet
from sageturn.decision.setup_times import SetupTimes
from sageturn.decision.state import EndpointState

DEPRIORITIZED_FACTOR = 2.0  # multiplier of a deprioritized endpoint's connection count
HEAVIER_SETUP_LOG_RATIO = 0.4  # log ratio of set-up times above which an endpoint's score rises
CROWDED_SETUP_LOG_RATIO = 0.8  # log ratio of set-up times above which an endpoint is crowded
CROWDED_RATIO = 1.25  # multiple of its share of our connections above which an endpoint is crowded
CROWDED_SLACK_CONNECTIONS = 2.0  # connections that an endpoint may hold beyond that multiple


class EndpointScore:
    """Comparison of the load of endpoints."""

    def __init__(self, fleet: Fleet, setup_times: SetupTimes) -> None:
        self._fleet = fleet
        self._setup_times = setup_times

    def load_score(self, endpoint: EndpointState) -> float:
        """Return this relay's open connections over the endpoint's weight, raised by load signals.

        With many relays the counts are nearly all 0 or 1, so weights and load signals decide. An endpoint on
        which this relay has established no connection yet counts at least as the mean of the others.
        """
        fleet = self._fleet
        connections = endpoint.connections
        open_count: float = connections.open_count
        if connections.is_untried and len(fleet.ready) > 1:
            other_count = fleet.totals.open_count - endpoint.contribution.open_count
            open_count = max(open_count, other_count / (len(fleet.ready) - 1))
        if fleet.now_ms < endpoint.load.deprioritized_until_ms:
            open_count = (open_count + 1.0) * DEPRIORITIZED_FACTOR
        setup_log_ratio = self._setup_times.log_ratio(endpoint)
        if setup_log_ratio > HEAVIER_SETUP_LOG_RATIO:
            open_count = (open_count + 1.0) * exp(setup_log_ratio)
        return (open_count + 1.0) / endpoint.weights.effective

    def is_crowded(self, endpoint: EndpointState, ratio: float = CROWDED_RATIO) -> bool:
        """Return True if group and zone preferences must place no further connection on the endpoint.

        Args:
            endpoint: A ready endpoint.
            ratio: Multiple of its share of our connections above which it is crowded.
        """
        fleet = self._fleet
        if fleet.now_ms < endpoint.load.deprioritized_until_ms:
            return True
        if self._setup_times.log_ratio(endpoint) > CROWDED_SETUP_LOG_RATIO:
            return True
        bound = ratio * endpoint.weights.connection_share * fleet.open_count + CROWDED_SLACK_CONNECTIONS
        return endpoint.connections.open_count > bound

    def has_headroom(self, endpoint: EndpointState) -> bool:
        """Return True if the endpoint is neither full nor crowded."""
        return not endpoint.is_full() and not self.is_crowded(endpoint)
