"""Placement selects the endpoint for the next attempt of a request.

Pools are tried from the narrowest to the widest: the homes of the request's group, the relay's zone, and all
endpoints.
"""

from __future__ import annotations

from random import Random

from sageturn.decision.eligibility import Eligibility
from sageturn.decision.endpoint_pool import PoolSelector
from sageturn.decision.endpoint_score import CROWDED_RATIO, EndpointScore
from sageturn.decision.fleet import Fleet
from sageturn.decision.group_ranking import GroupRanking, RankedGroup
from sageturn.decision.settings import Settings
from sageturn.decision.setup_times import SetupTimes
from sageturn.decision.state import EndpointState, RequestState

MIGRATED_CROWDED_RATIO = 1.0  # replaces CROWDED_RATIO if a migrated request leaves its group


class Placement:
    """Selector of the less loaded of two random endpoints, from the narrowest pool with headroom."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet, setup_times: SetupTimes) -> None:
        self._has_groups = settings.groups
        self._rng = rng
        self._fleet = fleet
        self.score = EndpointScore(fleet, setup_times)
        self.group_ranking = GroupRanking(fleet)
        self._eligibility = Eligibility(fleet)
        self._pool = PoolSelector(rng, fleet, self._eligibility, self.score)

    def select_endpoint(self, request: RequestState) -> EndpointState | None:
        """Return the endpoint for the request's next attempt; None if no endpoint may be sent it now."""
        fleet = self._fleet
        self._eligibility.begin_request(request)
        if request.group and self._has_groups:
            endpoint = self._select_for_group(request)
            if endpoint is not None or (fleet.is_scarce() and not request.is_takeover):
                return endpoint
        if fleet.local and len(fleet.local) < len(fleet.ready):
            endpoint = self._pool.select_lighter(request, fleet.local)
            if endpoint is not None and self.score.has_headroom(endpoint):
                return endpoint
        return self._pool.select_from_all(request)

    def _select_for_group(self, request: RequestState) -> EndpointState | None:
        """Return an endpoint in slow start, else a home with headroom, else a spill candidate, else None."""
        ranked = self.group_ranking.rank(request.group)
        endpoint = self._select_warming(request, ranked)
        if endpoint is not None:
            return endpoint
        is_migrated = not request.attempts and request.endpoint is not None
        if not is_migrated:
            homes = ranked.endpoints[: ranked.home_count]
            endpoint = self._pool.select_lighter(request, homes)
            if endpoint is not None and self.score.has_headroom(endpoint):
                return endpoint
        return self._select_spill(request, ranked, is_migrated)

    def _select_warming(self, request: RequestState, ranked: RankedGroup) -> EndpointState | None:
        """Return the group's first endpoint in slow start if it holds less than its share, else None.

        Such an endpoint is tried first, because its slow-start permits expire if they are not taken soon. A
        difference of less than one connection to its share is rounded at random.
        """
        warming = (other for other in ranked.endpoints if other.slow_start and other is not request.endpoint)
        endpoint = next(warming, None)
        if endpoint is None:
            return None
        fair_count = endpoint.weights.connection_share * self._fleet.open_count
        is_below_share = self._rng.random() < fair_count - endpoint.connections.open_count
        if is_below_share and not endpoint.is_full() and self._eligibility.is_eligible(request, endpoint):
            return endpoint
        return None

    def _select_spill(
        self, request: RequestState, ranked: RankedGroup, is_migrated: bool
    ) -> EndpointState | None:
        """Return the first spill candidate with headroom, or None.

        An endpoint that takes a migrated request becomes its group's first, so that new requests follow.
        """
        for endpoint in self.group_ranking.spill_candidates(request, ranked, is_migrated):
            holds_group = request.group in endpoint.connections.group_counts
            crowded_ratio = MIGRATED_CROWDED_RATIO if is_migrated and not holds_group else CROWDED_RATIO
            if endpoint.is_full() or self.score.is_crowded(endpoint, crowded_ratio):
                continue
            if endpoint is not request.endpoint and self._eligibility.is_eligible(request, endpoint):
                if is_migrated:
                    self.group_ranking.prefer(ranked, endpoint)
                return endpoint
        return None
