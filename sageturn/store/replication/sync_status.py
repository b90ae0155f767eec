"""Whether a replica's records are known to be complete and current.

A replica is recently in sync if it held all that others did within the horizon, after which deletions are
forgotten. One that is not, and connects to one that is, drops what it has from others and takes it anew:
what it holds may have been deleted and the deletion forgotten. Until then nobody who is recently in sync
takes anything from it.
"""

from __future__ import annotations

from sageturn.store.store import Store

# Replicas of which none is recently in sync agree after so long that what they hold counts.
SETTLING_TIME_S = 60.0


class SyncStatus:
    """The sync status of one replica. ``horizon_s``: how long deletions are remembered."""

    def __init__(self, store: Store, horizon_s: float) -> None:
        self._store = store
        self._horizon_s = horizon_s
        has_records_of_others = any(record.node != store.node for record in store.records())
        self._holds_unverified_records = self.recently_in_sync or has_records_of_others
        self._filled_since: float | None = None  # Unix seconds; records came only from peers in sync since
        self._settling_since: float | None = None  # seconds of a monotonic clock

    @property
    def recently_in_sync(self) -> bool:
        """Whether this replica was in sync within the horizon."""
        last_in_sync = self._store.replica_state.last_in_sync
        return last_in_sync is not None and self._store.wall_clock() - last_in_sync <= self._horizon_s

    @property
    def holds_replicated_records(self) -> bool:
        """Whether what it holds of others may have been deleted meanwhile, were it not recently in sync."""
        if self._holds_unverified_records:
            return True
        filled_since = self._filled_since
        return filled_since is not None and self._store.wall_clock() - filled_since > self._horizon_s

    def on_records_applied(self, is_peer_in_sync: bool) -> None:
        """Records of a peer were taken into the store."""
        if not is_peer_in_sync:
            self._holds_unverified_records = True
        elif self._filled_since is None:
            self._filled_since = self._store.wall_clock()

    def on_in_sync(self, at: float) -> bool:
        """This replica held all that a peer did at ``at`` (Unix seconds).

        Returns whether it was only now filled by peers that are in sync.
        """
        was_in_sync = self.recently_in_sync
        last_in_sync = self._store.replica_state.last_in_sync or 0.0
        self._store.set_last_in_sync(max(at, last_in_sync))
        is_newly_filled = not was_in_sync and not self.holds_replicated_records
        self._holds_unverified_records = True
        return is_newly_filled

    def on_started_over(self) -> None:
        """All records of others were dropped."""
        self._holds_unverified_records = False
        self._filled_since = None

    def update_settling(self, now: float, may_settle: bool) -> None:
        """Count as in sync once ``may_settle`` has held for long enough.

        For a new cluster, or one that was off as a whole for long: there is nobody to be filled by.
        """
        if self.recently_in_sync or not may_settle:
            self._settling_since = None
        elif self._settling_since is None:
            self._settling_since = now
        elif now - self._settling_since >= SETTLING_TIME_S:
            self._store.set_last_in_sync(self._store.wall_clock())
            self._holds_unverified_records = True
