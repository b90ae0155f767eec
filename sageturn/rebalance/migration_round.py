"""Collects one tick's migrations within the limits of fleet capacity, migration rate and history size."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.batches import MigrationBatch
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.migration_counts import MigrationCount
from sageturn.rebalance.plan import Migration
from sageturn.rebalance.rate_controller import MigrationRateController

# Fraction of the endpoints' set-up capacity that migrations may use; new clients need the rest.
MAX_MIGRATION_CAPACITY_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class MigrationCapacity:
    """Number of connection set-ups that migrated clients may use.

    A client in flight, one that has yet to reconnect, uses one set-up. If it reconnects to another relay, it
    counts until its deadline, because a client that another relay migrated may connect here instead.
    """

    total: int
    available: int  # ``total`` less the clients in flight; may be negative

    @classmethod
    def from_endpoints(cls, endpoints: Sequence[EndpointSnapshot], in_flight_count: int) -> MigrationCapacity:
        """Return the capacity that the endpoints have now, given the number of clients in flight."""
        setups = sum(endpoint.available_capacity for endpoint in endpoints if endpoint.is_ready)
        total = int(MAX_MIGRATION_CAPACITY_RATIO * setups)
        return cls(total, total - in_flight_count)


class MigrationRound:
    """Migrations collected in one tick; a dry run consumes tokens, but begins no migration."""

    def __init__(
        self,
        tracker: EventTracker,
        rate_controller: MigrationRateController,
        now_ms: float,
        available_capacity: int,
        dry_run: bool,
    ) -> None:
        self.migrations: list[Migration] = []
        self._tracker = tracker
        self._rate_controller = rate_controller
        self._now_ms = now_ms
        self._available_capacity = available_capacity
        self._dry_run = dry_run

    def try_add(self, batch: MigrationBatch, reason: str) -> str | None:
        """Add a batch if it may be migrated now. Otherwise return why it waits, as a text for operators."""
        wait_reason = self._try_acquire(batch)
        if wait_reason is None:
            self._add(batch, reason)
        return wait_reason

    def _try_acquire(self, batch: MigrationBatch) -> str | None:
        count = len(batch.request_ids)
        history = self._tracker.history
        if self._available_capacity < count:
            return f"{history.in_flight_count} on the way, no room for {count} more"
        if not history.has_capacity_for(count):
            return "as many moved clients remembered as there is room for"
        if not self._rate_controller.try_acquire(count):
            return f"saves for {batch.description}: {max(0.0, self._rate_controller.tokens):.1f} saved"
        return None

    def _add(self, batch: MigrationBatch, reason: str) -> None:
        count = len(batch.request_ids)
        self._available_capacity -= count
        self.migrations.extend(Migration(request_id, reason) for request_id in batch.request_ids)
        counts = self._tracker.counts
        if self._dry_run:
            counts[MigrationCount.MIGRATED_IN_DRY_RUN] += count
            return
        counts[MigrationCount.MIGRATED] += count
        counts[MigrationCount.MIGRATED_BATCHES] += 1
        for request_id in batch.request_ids:
            self._tracker.begin_migration(self._now_ms, request_id, by_planner=True)
