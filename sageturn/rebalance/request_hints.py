"""Tells the balancer, in the request of a migrated client, what it needs to know of the migration."""

from __future__ import annotations

from sageturn import decision
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.migration_history import client_hash

# For this long after a migration by the planner the balancer does not migrate the client again.
BALANCER_EXEMPTION_MS = 60000.0


def hint_recent_migration(
    event: decision.RequestArrived, tracker: EventTracker, rebalance_excluded: frozenset[str]
) -> None:
    """Exempts a client that the planner has migrated, and keeps it off the endpoint that it has left.

    A client that is still awaited does not land at endpoints that operators exclude from rebalancing.
    """
    history = tracker.history
    client = client_hash(event.client)
    migration = history.last_migration(client)
    if migration is None or not migration.by_planner:
        return
    event.migration_exempt_until_ms = min(
        migration.excluded_until_ms, migration.migrated_ms + BALANCER_EXEMPTION_MS
    )
    if history.is_in_flight(client):
        event.migrated_from = migration.source_endpoint
        if rebalance_excluded and event.allowed is None:
            event.allowed = frozenset(tracker.ratios.keys() - rebalance_excluded)
