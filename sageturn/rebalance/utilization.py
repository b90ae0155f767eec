"""Estimates how evenly the fleet is utilized, as far as one relay can tell.

An endpoint's utilization is its load over its size, measured against the mean of the endpoints it is compared
with. A relay sees only its own connections, a sample of each endpoint's: with few of them chance alone makes
endpoints look unequal. What the other relays have there is therefore estimated by what is left of the spread
once that which chance explains is subtracted (empirical Bayes, as in the James-Stein estimator).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.decision.overload import GROUP_COST
from sageturn.rebalance.connection_table import ConnectionTable

# How many times as far under the mean an endpoint may be as over it, before that counts as imbalance.
LOW_SIDE_TOLERANCE_FACTOR = 2.0
MIN_BALANCED_ENDPOINTS = 2


@dataclass(frozen=True, slots=True)
class EndpointUtilization:
    """One endpoint's utilization against the others of its pool."""

    name: str
    load: float  # this relay's, in work per second
    fair_load: float  # this relay's, if all endpoints were utilized like the mean
    ratio: float  # estimated utilization over the mean
    capacity: int  # set-ups that it may be sent now


@dataclass(frozen=True, slots=True)
class PoolUtilization:
    """A set of endpoints that are compared with each other."""

    endpoints: tuple[EndpointUtilization, ...]
    confidence: float  # how much of this relay's spread the whole fleet is estimated to have, from 0 to 1

    @property
    def max_ratio(self) -> float:
        """The fullest endpoint's utilization over the mean."""
        return max((endpoint.ratio for endpoint in self.endpoints), default=1.0)

    @property
    def min_ratio(self) -> float:
        """The emptiest endpoint's utilization over the mean."""
        return min((endpoint.ratio for endpoint in self.endpoints), default=1.0)


def is_imbalanced(pool: PoolUtilization, tolerance: float) -> bool:
    """Whether an endpoint's ratio is too far from 1; ``tolerance`` is the distance allowed over it."""
    return pool.max_ratio > 1.0 + tolerance or pool.min_ratio < 1.0 - LOW_SIDE_TOLERANCE_FACTOR * tolerance


def estimate_utilization(
    connections: ConnectionTable,
    endpoints: Iterable[EndpointSnapshot],
    relays_per_pool: float,
    by_zone: bool,
    grouped: bool,
) -> list[PoolUtilization]:
    """Returns one pool of all ready endpoints, or one per zone.

    Args:
        connections: This relay's connections.
        endpoints: All endpoints as the balancer sees them.
        relays_per_pool: The relays among which the clients of one pool are spread.
        by_zone: Whether crossing zones has a cost: there the balancer keeps to its own zone, and endpoints
            of another zone have less load on purpose.
        grouped: Whether each group adds a cost of its own at each endpoint.
    """
    members_by_zone: dict[str, list[EndpointSnapshot]] = {}
    for endpoint in endpoints:
        if endpoint.ready and endpoint.size > 0:
            members_by_zone.setdefault(endpoint.zone if by_zone else "", []).append(endpoint)
    group_cost = GROUP_COST if grouped else 0.0
    return [
        _estimate_pool(connections, members, max(1.0, relays_per_pool), group_cost)
        for _, members in sorted(members_by_zone.items())
    ]


def _estimate_pool(
    connections: ConnectionTable, endpoints: list[EndpointSnapshot], relay_count: float, group_cost: float
) -> PoolUtilization:
    loads = [_own_load(connections, endpoint.name, group_cost) for endpoint in endpoints]
    total_load = sum(loads)
    total_size = sum(endpoint.size for endpoint in endpoints)
    if total_load <= 0 or len(endpoints) < MIN_BALANCED_ENDPOINTS:
        return PoolUtilization((), 0.0)
    fair_loads = [total_load * endpoint.size / total_size for endpoint in endpoints]
    confidence = _confidence(connections, loads, fair_loads, relay_count)
    utilizations = tuple(
        EndpointUtilization(
            endpoint.name,
            load,
            fair_load,
            1.0 + confidence * (load / fair_load - 1.0),
            endpoint.available_capacity,
        )
        for endpoint, load, fair_load in zip(endpoints, loads, fair_loads, strict=True)
    )
    return PoolUtilization(utilizations, confidence)


def _own_load(connections: ConnectionTable, name: str, group_cost: float) -> float:
    totals = connections.endpoints.get(name)
    return totals.load(connections.mean_load, group_cost) if totals is not None else 0.0


def _confidence(
    connections: ConnectionTable, loads: list[float], fair_loads: list[float], relay_count: float
) -> float:
    """Returns the part of this relay's spread that is expected of the whole fleet.

    Each connection of an endpoint is this relay's with a chance of one in ``relay_count``: the variance of
    its load there is one connection's weight times the fair load, less the part of the fleet that it sees
    itself.
    """
    spread = sum(
        (load - fair_load) ** 2 / fair_load for load, fair_load in zip(loads, fair_loads, strict=True)
    )
    unseen_ratio = max(0.0, 1.0 - 1.0 / relay_count)
    chance_spread = (len(loads) - 1) * connections.size_biased_mean_load * unseen_ratio
    common_ratio = max(0.0, 1.0 - chance_spread / spread) if spread > 0 else 0.0
    # This relay's own load, one part in ``relay_count``, counts in full; the others' only by this ratio.
    return common_ratio + (1.0 - common_ratio) / relay_count
