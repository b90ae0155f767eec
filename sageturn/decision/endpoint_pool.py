"""Pool selection: picks one endpoint of a pool, by two random choices or by the lowest score."""

from __future__ import annotations

from random import Random

from sageturn.decision.eligibility import Eligibility
from sageturn.decision.endpoint_score import EndpointScore
from sageturn.decision.fleet import Fleet
from sageturn.decision.state import EndpointState, RequestState

FULL_ENDPOINT_PENALTY = 1e6  # added to a full endpoint's score, so that any other endpoint wins
MAX_DRAWS = 8  # largest number of draws to find two eligible endpoints
CHOICES = 2  # eligible endpoints that are compared
TIE_WIN_PROBABILITY = 0.5


class PoolSelector:
    """Selector of an endpoint for a request. Pools are lists of ready endpoints."""

    def __init__(self, rng: Random, fleet: Fleet, eligibility: Eligibility, score: EndpointScore) -> None:
        self._rng = rng
        self._fleet = fleet
        self._eligibility = eligibility
        self._score = score

    def select_lighter(self, request: RequestState, pool: list[EndpointState]) -> EndpointState | None:
        """Draw endpoints at random and return the one with the lower score of the first two eligible ones.

        The endpoint of the latest attempt is skipped, unless it is the only ready one. None means that no
        eligible endpoint was drawn; the pool may still hold one.
        """
        best: EndpointState | None = None
        best_score = 0.0
        choices_left = CHOICES
        for draw in range(min(len(pool), MAX_DRAWS)):
            endpoint = pool[int(self._rng.random() * len(pool))] if len(pool) > CHOICES else pool[draw]
            if endpoint is best or not self._eligibility.is_eligible(request, endpoint):
                continue
            if endpoint is request.endpoint and len(self._fleet.ready) > 1:
                continue
            score = self._score.load_score(endpoint) + (FULL_ENDPOINT_PENALTY if endpoint.is_full() else 0)
            is_tie_won = best is not None and score == best_score and self._rng.random() < TIE_WIN_PROBABILITY
            if best is None or score < best_score or is_tie_won:
                best = endpoint
                best_score = score
            choices_left -= 1
            if not choices_left:
                break
        return best

    def select_from_all(self, request: RequestState) -> EndpointState | None:
        """Return an eligible ready endpoint that is not saturated; None if there is none, to fail fast."""
        ready = self._fleet.ready
        now_ms = self._fleet.now_ms
        endpoint = self.select_lighter(request, ready)
        if endpoint is None:
            endpoint = self._first_eligible(request)
        if endpoint is not None and now_ms < endpoint.load.saturated_until_ms:
            unsaturated = [
                other
                for other in ready
                if now_ms >= other.load.saturated_until_ms and other is not request.endpoint
            ]
            eligible = [other for other in unsaturated if self._eligibility.is_eligible(request, other)]
            endpoint = min(eligible, key=self._score.load_score, default=None)
        return endpoint

    def _first_eligible(self, request: RequestState) -> EndpointState | None:
        """Return the first eligible ready endpoint, or None; used if few are eligible and none was drawn."""
        for endpoint in self._fleet.ready:
            if endpoint is not request.endpoint and self._eligibility.is_eligible(request, endpoint):
                return endpoint
        return None
