"""Adds hints for the balancer to the request of a client that was migrated recently."""

from __future__ import annotations

from sageturn import decision
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.migration_history import hash_client_key

# Time after a migration by the planner in which the balancer does not migrate the client again.
BALANCER_EXEMPTION_MS = 60000.0


def hint_recent_migration(
    event: decision.RequestArrived, tracker: EventTracker, rebalance_excluded: frozenset[str]
) -> None:
    """Add hints for the balancer to the request of a client that the planner has migrated.

    The balancer then does not migrate the client again for a time. While the client is in flight, the
    balancer also avoids the endpoint that it has left, and those that operators exclude from rebalancing.
    """
    history = tracker.history
    client_hash = hash_client_key(event.client)
    migration = history.last_migration(client_hash)
    if migration is None or not migration.by_planner:
        return
    event.migration_exempt_until_ms = min(
        migration.excluded_until_ms, migration.migrated_ms + BALANCER_EXEMPTION_MS
    )
    if history.is_in_flight(client_hash):
        event.migrated_from = migration.source_endpoint
        if rebalance_excluded and event.allowed is None:
            event.allowed = frozenset(tracker.utilization_ratios.keys() - rebalance_excluded)
