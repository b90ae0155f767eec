"""Estimates each endpoint's utilization relative to the mean, from one relay's connections.

An endpoint's utilization is its load divided by its size; its ratio is the utilization divided by the mean of
its pool, the endpoints it is compared with. A relay sees only its own connections, which are a sample of all
connections. In a small sample endpoints look unequal by chance alone. The load from the other relays is
therefore estimated from the observed spread less the spread that chance explains: empirical Bayes, as in the
James-Stein estimator.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.decision.overload import GROUP_COST
from sageturn.rebalance.connection_table import ConnectionTable

# An endpoint may be this many times as far under the mean as over it before the pool counts as imbalanced.
LOW_SIDE_TOLERANCE_FACTOR = 2.0
MIN_BALANCED_ENDPOINTS = 2


@dataclass(frozen=True, slots=True)
class EndpointUtilization:
    """Utilization of one endpoint relative to the mean of its pool."""

    name: str
    load: float  # load from this relay, in work per second
    fair_load: float  # load from this relay if it were distributed in proportion to size
    ratio: float  # estimated utilization divided by the mean
    capacity: int  # number of set-ups that the endpoint may be sent now


@dataclass(frozen=True, slots=True)
class PoolUtilization:
    """Utilization of a pool, a set of endpoints that are compared with each other."""

    endpoints: tuple[EndpointUtilization, ...]
    confidence: float  # estimated fraction of this relay's spread that the whole fleet has, from 0 to 1

    @property
    def max_ratio(self) -> float:
        """Highest ratio of an endpoint; 1 for an empty pool."""
        return max((endpoint.ratio for endpoint in self.endpoints), default=1.0)

    @property
    def min_ratio(self) -> float:
        """Lowest ratio of an endpoint; 1 for an empty pool."""
        return min((endpoint.ratio for endpoint in self.endpoints), default=1.0)


def is_imbalanced(pool: PoolUtilization, tolerance: float) -> bool:
    """Return True if an endpoint's ratio is too far from 1; ``tolerance`` is the allowed excess over 1."""
    return pool.max_ratio > 1.0 + tolerance or pool.min_ratio < 1.0 - LOW_SIDE_TOLERANCE_FACTOR * tolerance


def estimate_utilization(
    connections: ConnectionTable,
    endpoints: Iterable[EndpointSnapshot],
    relays_per_pool: float,
    by_zone: bool,
    grouped: bool,
) -> list[PoolUtilization]:
    """Return one pool of all ready endpoints, or one per zone.

    Args:
        connections: This relay's connections.
        endpoints: Snapshots of all endpoints.
        relays_per_pool: The number of relays among which the clients of one pool are spread.
        by_zone: True if each zone is a pool of its own. If crossing zones has a cost, the balancer prefers
            its own zone, so endpoints of other zones have less load by design.
        grouped: True if each group adds a cost of its own at each endpoint.
    """
    members_by_zone: dict[str, list[EndpointSnapshot]] = {}
    for endpoint in endpoints:
        if endpoint.is_ready and endpoint.size > 0:
            members_by_zone.setdefault(endpoint.zone if by_zone else "", []).append(endpoint)
    group_cost = GROUP_COST if grouped else 0.0
    return [
        _estimate_pool(connections, members, max(1.0, relays_per_pool), group_cost)
        for _, members in sorted(members_by_zone.items())
    ]


def _estimate_pool(
    connections: ConnectionTable, endpoints: list[EndpointSnapshot], relay_count: float, group_cost: float
) -> PoolUtilization:
    loads = [_load_from_this_relay(connections, endpoint.name, group_cost) for endpoint in endpoints]
    total_load = sum(loads)
    total_size = sum(endpoint.size for endpoint in endpoints)
    if total_load <= 0 or len(endpoints) < MIN_BALANCED_ENDPOINTS:
        return PoolUtilization((), 0.0)
    fair_loads = [total_load * endpoint.size / total_size for endpoint in endpoints]
    confidence = _estimate_confidence(connections, loads, fair_loads, relay_count)
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


def _load_from_this_relay(connections: ConnectionTable, name: str, group_cost: float) -> float:
    totals = connections.endpoints.get(name)
    return totals.estimate_load(connections.mean_load, group_cost) if totals is not None else 0.0


def _estimate_confidence(
    connections: ConnectionTable, loads: list[float], fair_loads: list[float], relay_count: float
) -> float:
    """Return the fraction of this relay's spread that the whole fleet is expected to have.

    The spread is the sum of the squared deviations from the fair loads, each divided by its fair load. Each
    connection of an endpoint belongs to this relay with a probability of 1 / ``relay_count``. The variance
    of this relay's load at an endpoint is therefore the size-biased mean load of a connection times the fair
    load, reduced by the fraction of the fleet's connections that belong to this relay.
    """
    spread = sum(
        (load - fair_load) ** 2 / fair_load for load, fair_load in zip(loads, fair_loads, strict=True)
    )
    unobserved_fraction = max(0.0, 1.0 - 1.0 / relay_count)
    chance_spread = (len(loads) - 1) * connections.size_biased_mean_load * unobserved_fraction
    shrinkage_factor = max(0.0, 1.0 - chance_spread / spread) if spread > 0 else 0.0
    # This relay's own load is 1 / ``relay_count`` of the total and counts in full; the rest is shrunk.
    return shrinkage_factor + (1.0 - shrinkage_factor) / relay_count
