"""The sync status of a replica: whether its records are known to be complete and current.

The horizon is the time for which tombstones are retained. A replica is recently in sync if at some time
within the horizon it held all records of the others. A replica that is not recently in sync may hold records
whose tombstones the others have discarded. When it connects to one that is, it therefore withholds these
records and fetches the peer's; until then no replica that is recently in sync accepts records from it.
"""

from __future__ import annotations

from sageturn.store.store import Store

SETTLING_TIME_S = 60.0  # seconds of agreement after which replicas count as in sync though none was


class SyncStatus:
    """Tracker of the sync status of one replica."""

    def __init__(self, store: Store, horizon_s: float) -> None:
        """Read the status from the store; ``horizon_s`` is how long tombstones are retained."""
        self._store = store
        self._horizon_s = horizon_s
        has_records_of_others = any(record.node != store.node for record in store.records())
        self._holds_unverified_records = self.recently_in_sync or has_records_of_others
        self._initial_sync_since: float | None = None  # Unix seconds of the first record from a peer in sync
        self._settling_since: float | None = None  # monotonic seconds

    @property
    def recently_in_sync(self) -> bool:
        """True if this replica was in sync within the horizon."""
        last_in_sync = self._store.replica_state.last_in_sync
        return last_in_sync is not None and self._store.wall_clock() - last_in_sync <= self._horizon_s

    @property
    def deletable_before(self) -> float:
        """Unix seconds; the deletion of a record that was written before may have been discarded."""
        return self._store.wall_clock() - self._horizon_s

    @property
    def holds_replicated_records(self) -> bool:
        """True if it holds records of others that may be deleted elsewhere unless it is recently in sync."""
        if self._holds_unverified_records:
            return True
        initial_sync_since = self._initial_sync_since
        return (
            initial_sync_since is not None and self._store.wall_clock() - initial_sync_since > self._horizon_s
        )

    def on_records_applied(self, is_peer_in_sync: bool) -> None:
        """Handle records of a peer that were merged into the store."""
        if not is_peer_in_sync:
            self._holds_unverified_records = True
        elif self._initial_sync_since is None:
            self._initial_sync_since = self._store.wall_clock()

    def on_in_sync(self, at: float) -> bool:
        """Record that this replica held all that a peer did at ``at``, Unix seconds.

        Returns:
            True if that completes the initial sync of a replica that was empty or has started over.

        Raises:
            OSError: Withheld records cannot be released now; it does not count as in sync.
        """
        was_in_sync = self.recently_in_sync
        last_in_sync = self._store.replica_state.last_in_sync or 0.0
        self._store.set_last_in_sync(max(at, last_in_sync))
        is_initial_sync_complete = not was_in_sync and not self.holds_replicated_records
        self._holds_unverified_records = True
        return is_initial_sync_complete

    def on_started_over(self) -> None:
        """Reset the status after all records that may be deleted elsewhere were removed from the store."""
        self._holds_unverified_records = False
        self._initial_sync_since = None

    def update_settling(self, now: float, may_settle: bool) -> None:
        """Count the replica as in sync once ``may_settle`` has held for ``SETTLING_TIME_S``.

        This serves a new cluster, or one that was shut down as a whole for long: no replica is in sync, so
        none can be copied from.
        ``now`` is monotonic seconds. Raises OSError as ``on_in_sync`` does.
        """
        if self.recently_in_sync or not may_settle:
            self._settling_since = None
        elif self._settling_since is None:
            self._settling_since = now
        elif now - self._settling_since >= SETTLING_TIME_S:
            self._store.set_last_in_sync(self._store.wall_clock())
            self._holds_unverified_records = True
