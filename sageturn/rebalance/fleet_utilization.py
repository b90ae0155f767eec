"""Utilization of the whole fleet as of the last tick."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.utilization import PoolUtilization, estimate_utilization, is_imbalanced


class FleetUtilization:
    """Pools of endpoints that are compared with each other, updated at each tick.

    A ratio is an endpoint's utilization divided by the mean of its pool.
    """

    def __init__(self, settings: decision.Settings) -> None:
        self.pools: list[PoolUtilization] = []
        self._settings = settings
        self._zones: set[str] = set()  # zones of the ready endpoints

    def update(self, connections: ConnectionTable, endpoints: Sequence[EndpointSnapshot]) -> bool:
        """Estimate all pools again. Return True if the set of zones with ready endpoints has changed."""
        zones = {endpoint.zone for endpoint in endpoints if endpoint.is_ready}
        have_zones_changed = zones != self._zones
        self._zones = zones
        by_zone = self._settings.cross_zone_cost > 0 and len(zones) > 1
        relays_per_pool = self.relays_per_zone if by_zone else float(self._settings.relay_count)
        self.pools = estimate_utilization(
            connections, endpoints, relays_per_pool, by_zone, self._settings.groups
        )
        return have_zones_changed

    @property
    def relays_per_zone(self) -> float:
        """Relays per zone, at least 1, on the assumption that the relays are spread evenly over the zones."""
        return max(1.0, self._settings.relay_count / max(1, len(self._zones)))

    @property
    def max_ratio(self) -> float:
        """Highest ratio of an endpoint in any pool."""
        return max((pool.max_ratio for pool in self.pools), default=1.0)

    @property
    def min_ratio(self) -> float:
        """Lowest ratio of an endpoint in any pool."""
        return min((pool.min_ratio for pool in self.pools), default=1.0)

    @property
    def confidence(self) -> float:
        """Highest confidence of any pool (see ``PoolUtilization.confidence``)."""
        return max((pool.confidence for pool in self.pools), default=0.0)

    @property
    def description(self) -> str:
        """Short text that describes the imbalance to operators."""
        return f"fullest {self.max_ratio:.2f} and emptiest {self.min_ratio:.2f} of the mean"

    def ratios_by_endpoint(self) -> dict[str, float]:
        """Return the ratio of each endpoint that is in a pool, by name."""
        return {endpoint.name: endpoint.ratio for pool in self.pools for endpoint in pool.endpoints}

    def is_imbalanced(self, tolerance: float) -> bool:
        """Return True if any pool is imbalanced; ``tolerance`` is the allowed excess of a ratio over 1."""
        return any(is_imbalanced(pool, tolerance) for pool in self.pools)
