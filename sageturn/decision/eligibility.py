"""Eligibility: which endpoints may be sent the next attempt of a request, whatever their load."""

from __future__ import annotations

from sageturn.decision.fleet import Fleet
from sageturn.decision.settings import Effect, KeyScope
from sageturn.decision.state import EndpointState, RequestState


class Eligibility:
    """Checker of bindings, quotas and slow start, and of whether a second execution would do harm."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._is_warm_quota_exhausted = False  # valid for the request being placed

    def begin_request(self, request: RequestState) -> None:
        """Evaluate the conditions that all endpoints share. Call this before placing a request."""
        fleet = self._fleet
        is_unlimited = fleet.max_connections == float("inf")
        if request.is_takeover or is_unlimited or fleet.may_exceed_quota():
            self._is_warm_quota_exhausted = False
            return
        # The part of the quota that is meant for endpoints in slow start is reserved for them.
        warming_count = sum(
            endpoint.connections.open_count for endpoint in fleet.ready if endpoint.slow_start
        )
        warm_count = fleet.totals.open_count - warming_count
        warm_bound = fleet.max_connections * fleet.warm_weight_ratio + fleet.rounding_offset
        self._is_warm_quota_exhausted = warm_count + 1 > warm_bound

    def is_eligible(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Return True if the endpoint may be sent the request's next attempt; load is not considered."""
        if request.binding is not None and not request.allows(endpoint):
            return False
        if endpoint.is_at_quota():
            return False
        if endpoint.slow_start:
            if not self._fleet.check_slow_start_permit(self._fleet.now_ms, endpoint):
                return False
        elif self._is_warm_quota_exhausted:
            return False
        return request.execution is None or self._may_execute_again(request, endpoint)

    def _may_execute_again(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Return True if the endpoint may execute a request that an earlier attempt may have executed."""
        request_class = request.request_class
        execution = request.execution
        if execution is None or request_class.effect == Effect.SAFE:
            return True
        is_key_expired = self._fleet.now_ms > execution.sent_ms + request_class.key_ttl_ms
        if request_class.effect == Effect.UNSAFE or is_key_expired:
            return False
        if request_class.scope == KeyScope.ZONE:
            return endpoint.zone == execution.zone
        return request_class.scope == KeyScope.ALL or endpoint.cell == execution.cell
