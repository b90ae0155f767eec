"""Baseline planner that migrates all excess connections of the fullest endpoint at once.

Measurements compare the rebalance planner with it; nothing else uses it.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.driver import Rebalancer
from sageturn.rebalance.plan import Migration, MigrationPlan, PlanPhase
from sageturn.rebalance.planner import RebalancePlanner

PLAN_INTERVAL_MS = 10000.0


def naive_plan(planner: RebalancePlanner, endpoints: Sequence[EndpointSnapshot]) -> MigrationPlan:
    """Plan to migrate the newest connections of the fullest endpoint, down to the mean of all endpoints."""
    migrations = tuple(_excess_migrations(planner.connections, endpoints))
    return MigrationPlan(migrations, PlanPhase.BALANCING, "")


def _excess_migrations(
    connections: ConnectionTable, endpoints: Sequence[EndpointSnapshot]
) -> Iterator[Migration]:
    ready = [endpoint for endpoint in endpoints if endpoint.is_ready]
    loads = {endpoint.name: _load(connections, endpoint.name) for endpoint in ready}
    total_size = sum(endpoint.size for endpoint in ready)
    if not loads or total_size <= 0:
        return
    fullest = max(ready, key=lambda endpoint: (loads[endpoint.name] / endpoint.size, endpoint.name))
    excess = loads[fullest.name] - sum(loads.values()) * fullest.size / total_size
    totals = connections.endpoints.get(fullest.name)
    for allocation in totals.groups.values() if totals is not None else ():
        for connection in connections.members(allocation):
            load = connections.load_of(connection.request_id)
            if excess < load:
                return
            excess -= load
            yield Migration(connection.request_id, f"{fullest.name} is the fullest")


def _load(connections: ConnectionTable, name: str) -> float:
    totals = connections.endpoints.get(name)
    return totals.estimate_load(connections.mean_load, group_cost=0.0) if totals is not None else 0.0


class NaivePlanner(RebalancePlanner):
    """Baseline with the interface of the rebalance planner."""

    _planned_ms = 0.0

    def tick(
        self, now_ms: float, endpoints: Sequence[EndpointSnapshot], minute: int, stopping: bool = False
    ) -> MigrationPlan:
        """Plan once per ``PLAN_INTERVAL_MS``, regardless of quiet hours and overload signals."""
        if now_ms < self._planned_ms + PLAN_INTERVAL_MS:
            return MigrationPlan((), PlanPhase.WAITING, "")
        self._planned_ms = now_ms
        return naive_plan(self, endpoints)

    def before_event(self, now_ms: float, event: object) -> None:
        """Leave the event unchanged: the balancer is not notified of recent migrations."""


class NaiveRebalancer(NaivePlanner, Rebalancer):
    """Baseline planner in a relay."""
