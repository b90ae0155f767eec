"""Estimate of the size of the fleet that the tenants' quotas cover, from a relay's endpoint lists.

The quotas divided by the fleet's size give the connections of one endpoint, and so its budget in slow start.
A relay may have started during the outage of a zone or during a release, when its first list is not the whole
fleet. All such relays would overestimate an endpoint's part of the quotas and overload it.

The module is pure: it has no clock and does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.decision.events import EndpointStatus
from sageturn.decision.state import EndpointState

MAX_OVERLAP_RATIO = 1.2  # largest list over the fleet in a release, where new endpoints overlap old ones


class FleetSize:
    """Estimate of the sum of the nominal weights of the fleet's endpoints."""

    def __init__(self) -> None:
        self._first_weight = 0.0  # sum over the first list
        self._largest_weight = 0.0  # largest sum over the ready endpoints of any list

    @property
    def nominal_weight(self) -> float:
        """Estimated sum of the nominal weights; 0 before the first list."""
        return self._first_weight * self.growth_ratio

    @property
    def growth_ratio(self) -> float:
        """Factor by which the fleet is larger than the first list, at least 1."""
        if self._largest_weight > MAX_OVERLAP_RATIO * self._first_weight > 0.0:
            return self._largest_weight / self._first_weight
        return 1.0

    def record_list(self, endpoints: Iterable[EndpointState]) -> None:
        """Update the sums. Call this with all endpoints after each change of the list."""
        ready_weight = warming_weight = draining_weight = 0.0
        ready_status, draining_status = EndpointStatus.READY, EndpointStatus.DRAINING
        for endpoint in endpoints:
            if endpoint.state == ready_status:
                ready_weight += endpoint.weights.nominal
                warming_weight += endpoint.weights.nominal if endpoint.slow_start else 0.0
            elif endpoint.state == draining_status:
                draining_weight += endpoint.weights.nominal
        if not self._first_weight:
            # Draining endpoints count as well, unless their successors are listed already.
            self._first_weight = ready_weight + max(0.0, draining_weight - warming_weight)
        self._largest_weight = max(self._largest_weight, ready_weight)
