"""Evacuates endpoints on an operator's request, in every mode and within the usual migration rate."""

from __future__ import annotations

from collections.abc import Iterator

from sageturn.rebalance.allocations import EndpointTotals
from sageturn.rebalance.batches import EligibilityRules, MigrationBatch
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.plan import MigrationPlan, PlanPhase
from sageturn.rebalance.tick_context import TickContext


def plan_evacuation(context: TickContext) -> MigrationPlan | None:
    """Return the migrations off endpoints that are being evacuated; None if none can be made now."""
    connections = context.tracker.connections
    totals_by_endpoint = connections.endpoints
    evacuating = [
        totals_by_endpoint[name]
        for name in sorted(context.restrictions.evacuating)
        if name in totals_by_endpoint
    ]
    if not evacuating or context.rate_controller.is_stopped(context.now_ms):
        return None
    capacity = context.migration_capacity()
    max_batch_connections = max(1, min(capacity.total, context.options.burst))
    migration_round = context.start_round(capacity, dry_run=False)
    rules = context.eligibility_rules()
    for endpoint in evacuating:
        reason = f"{endpoint.name} is cleared by an operator"
        for batch in _evacuation_batches(connections, endpoint, rules, max_batch_connections):
            if migration_round.try_add(batch, reason) is not None:
                break
    if not migration_round.migrations:
        return None
    remaining = sum(endpoint.connection_count for endpoint in evacuating)
    migrations = tuple(migration_round.migrations)
    return MigrationPlan(migrations, PlanPhase.EVACUATING, f"{remaining} still there")


def _evacuation_batches(
    connections: ConnectionTable,
    endpoint: EndpointTotals,
    rules: EligibilityRules,
    max_batch_connections: int,
) -> Iterator[MigrationBatch]:
    """Yield all connections that may leave an endpoint, group by group; large groups are split into parts.

    Only clients that may not be migrated again yet, or that have no key, are skipped; the other rules of
    eligibility (excluded classes and tenants, age) do not apply to an evacuation.
    """
    mean_load = connections.mean_load
    for group in sorted(endpoint.groups):
        allocation = endpoint.groups[group]
        request_ids = [
            connection.request_id
            for connection in connections.members(allocation)
            if not rules.was_migrated_recently(connection)
        ]
        batch_size = max_batch_connections if group else 1
        for start in range(0, len(request_ids), batch_size):
            batch_ids = tuple(request_ids[start : start + batch_size])
            load = allocation.estimate_load(mean_load) * len(batch_ids) / allocation.connection_count
            is_partial = len(batch_ids) < allocation.connection_count
            yield MigrationBatch(batch_ids, load, is_grouped=bool(group), is_partial=is_partial)
