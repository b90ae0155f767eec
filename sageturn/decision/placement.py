"""Placement: which endpoint the next attempt of a request is sent to."""

from __future__ import annotations

from math import ceil, exp
from random import Random

from sageturn.decision.fleet import Fleet
from sageturn.decision.overload import OverloadControl
from sageturn.decision.settings import Settings
from sageturn.decision.state import EndpointState, RequestState

FULL_ENDPOINT_SCORE = 1e6  # added to a full endpoint's score, so that it loses against any other
MAX_DRAWS = 8  # to find a pair, as some endpoints may be ruled out
DEPRIORITIZED_FACTOR = 2.0  # by which a deprioritized endpoint counts as heavier: signs are no proof
NOTABLE_SETUP_LAG = 0.4  # from here on a lag of set-ups makes an endpoint count as heavier,
SLOW_SETUP_LAG = 0.8  # and from here on it counts as crowded
CROWDED_RATIO = 1.25  # times its share of our connections,
CROWDED_SLACK = 2.0  # and these more, crowd an endpoint
GROUP_PRIOR_SHARE = 0.02  # of all connections, that a group is taken to have,
GROUP_PRIOR_WEIGHT = 10.0  # as if seen in so many connections: what a few of our own show is mostly chance
MAX_RANKED_GROUPS = 500  # most groups that are refused are not seen again


class Placement:
    """The lighter of two random endpoints, from the narrowest pool that has room."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet, overload: OverloadControl) -> None:
        self._settings = settings
        self._rng = rng
        self._fleet = fleet
        self._overload = overload
        self._is_warm_quota_used = False

    def select_endpoint(self, request: RequestState) -> EndpointState | None:
        """None where no endpoint may be sent the request now."""
        fleet = self._fleet
        # What is meant for endpoints in slow start is not for the others, or these would hold all of it.
        warm_count = fleet.totals.open_count - sum(e.open_count for e in fleet.ready if e.slow_start)
        warm_bound = fleet.max_connections * fleet.warm_weight_ratio + fleet.rounding_offset
        self._is_warm_quota_used = warm_count + 1 > warm_bound and not request.midflow
        if request.group and self._settings.groups:
            endpoint = self._select_for_group(request)
            if endpoint is not None or (fleet.is_scarce() and not request.midflow):
                return endpoint
        # Where crossing zones has a price, our own zone's endpoints come first, and others when it is full.
        if fleet.local and len(fleet.local) < len(fleet.ready):
            endpoint = self._select_lighter(request, fleet.local)
            if endpoint is not None and self._has_room(endpoint):
                return endpoint
        return self._select_from_all(request)

    def _select_from_all(self, request: RequestState) -> EndpointState | None:
        ready = self._fleet.ready
        now_ms = self._fleet.now_ms
        endpoint = self._select_lighter(request, ready)
        if endpoint is None:
            # Few may take it, and chance met none of them.
            others = (other for other in ready if other is not request.endpoint)
            endpoint = next((other for other in others if self._may_send(request, other)), None)
        if endpoint is not None and now_ms < endpoint.saturated_until_ms:
            # Chance met two that are saturated; with no other left the request fails fast.
            rest = [e for e in ready if now_ms >= e.saturated_until_ms and e is not request.endpoint]
            rest = [other for other in rest if self._may_send(request, other)]
            endpoint = min(rest, key=self.load_score, default=None)
        return endpoint

    def _select_for_group(self, request: RequestState) -> EndpointState | None:
        """An endpoint by the group's ranking, which all relays agree on.

        An endpoint pays for each group that it holds any connection of, so a group's first few in rank come
        first, and the next one with room takes what spills. While endpoints are scarce the group gets no
        further one: only those that hold some of it already, or its first ones in other zones.
        """
        fleet = self._fleet
        ranked, home_count = self.rank_group(request.group)
        is_migrated = not request.attempts and request.endpoint is not None
        endpoint = self._select_warming(request, ranked)
        if endpoint is not None:
            return endpoint
        if not is_migrated:  # one that is migrated goes to its group, or to where room is
            endpoint = self._select_lighter(request, ranked[:home_count])
            if endpoint is not None and self._has_room(endpoint):
                return endpoint
        local_count = len(fleet.local or fleet.ready)
        is_scarce = fleet.is_scarce() and not request.midflow
        candidates = ranked[home_count:]
        if is_migrated:
            candidates = sorted(ranked, key=lambda endpoint: request.group not in endpoint.group_counts)
        for rank, endpoint in enumerate(candidates, home_count):
            is_held = request.group in endpoint.group_counts
            if is_scarce and not is_held and not local_count <= rank < local_count + home_count:
                continue
            crowded_ratio = 1.0 if is_migrated and not is_held else CROWDED_RATIO
            if endpoint.is_full() or self.is_crowded(endpoint, crowded_ratio):
                continue
            if endpoint is not request.endpoint and self._may_send(request, endpoint):
                if is_migrated:  # the group's newcomers follow it
                    ranked.remove(endpoint)
                    ranked.insert(0, endpoint)
                return endpoint
        return None

    def _select_warming(self, request: RequestState, ranked: list[EndpointState]) -> EndpointState | None:
        """Its budget is small: what is left unused comes too late to warm it."""
        candidates = (other for other in ranked if other.slow_start and other is not request.endpoint)
        endpoint = next(candidates, None)
        if endpoint is None:
            return None
        missing = endpoint.connection_share * self._fleet.open_count - endpoint.open_count
        is_due = self._rng.random() < missing
        if is_due and not endpoint.is_full() and self._may_send(request, endpoint):
            return endpoint
        return None

    def rank_group(self, group: str) -> tuple[list[EndpointState], int]:
        """Endpoints in the group's order of preference, and how many of the first are its homes."""
        fleet = self._fleet
        group_count = fleet.group_counts.get(group, 0) + GROUP_PRIOR_SHARE * GROUP_PRIOR_WEIGHT
        group_share = group_count / (fleet.open_count + GROUP_PRIOR_WEIGHT)
        home_count = max(1, ceil(len(fleet.local or fleet.ready) * group_share))
        return fleet.rank(group, MAX_RANKED_GROUPS), home_count

    def _select_lighter(self, request: RequestState, pool: list[EndpointState]) -> EndpointState | None:
        """The lighter of the first two that are drawn and may be sent the request."""
        best: EndpointState | None = None
        best_score = 0.0
        wanted = 2
        for draw in range(min(len(pool), MAX_DRAWS)):
            endpoint = pool[int(self._rng.random() * len(pool))] if len(pool) > 2 else pool[draw]
            if endpoint is best or not self._may_send(request, endpoint):
                continue
            if endpoint is request.endpoint and len(self._fleet.ready) > 1:
                continue
            score = self.load_score(endpoint) + (FULL_ENDPOINT_SCORE if endpoint.is_full() else 0)
            is_tie_won = best is not None and score == best_score and self._rng.random() < 0.5
            if best is None or score < best_score or is_tie_won:
                best = endpoint
                best_score = score
            wanted -= 1
            if not wanted:
                break
        return best

    def load_score(self, endpoint: EndpointState) -> float:
        """Our open connections there by its weight; with many relays plain counts are nearly all 0 or 1.

        An endpoint on which none of ours was established yet counts at the others' mean.
        """
        fleet = self._fleet
        open_count: float = endpoint.open_count
        if endpoint.untried and len(fleet.ready) > 1:
            others = fleet.totals.open_count - endpoint.counted_open
            open_count = max(open_count, others / (len(fleet.ready) - 1))
        if fleet.now_ms < endpoint.deprioritized_until_ms:
            open_count = (open_count + 1.0) * DEPRIORITIZED_FACTOR
        setup_lag = self._overload.setup_lag(endpoint)
        if setup_lag > NOTABLE_SETUP_LAG:
            open_count = (open_count + 1.0) * exp(setup_lag)
        return (open_count + 1.0) / endpoint.effective_weight

    def is_crowded(self, endpoint: EndpointState, ratio: float = CROWDED_RATIO) -> bool:
        """Groups and zones draw connections to an endpoint only up to a bound over its share of ours."""
        fleet = self._fleet
        is_slow = self._overload.setup_lag(endpoint) > SLOW_SETUP_LAG
        if is_slow or fleet.now_ms < endpoint.deprioritized_until_ms:
            return True
        return endpoint.open_count > ratio * endpoint.connection_share * fleet.open_count + CROWDED_SLACK

    def _has_room(self, endpoint: EndpointState) -> bool:
        return not endpoint.is_full() and not self.is_crowded(endpoint)

    def _may_send(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Bindings, quotas, slow start, and where an idempotent request may be executed again."""
        allowed = request.allowed_endpoints
        if allowed is not None and endpoint.name not in allowed and request.is_binding_in_force():
            return False
        if endpoint.is_at_quota() or (self._is_warm_quota_used and not endpoint.slow_start):
            return False
        now_ms = self._fleet.now_ms
        if endpoint.slow_start and not self._fleet.has_slow_start_turn(now_ms, endpoint):
            return False
        request_class = request.request_class
        if request.executed_at_ms < 0 or request_class.effect == "safe":
            return True
        if request_class.effect == "unsafe" or now_ms > request.executed_at_ms + request_class.key_ttl_ms:
            return False
        if request_class.scope == "zone":
            return endpoint.zone == request.executed_zone
        return request_class.scope == "all" or endpoint.cell == request.executed_cell
