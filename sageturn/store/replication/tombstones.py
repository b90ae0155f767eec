"""Tombstones: which deletions are tracked, and when the tombstone of each may be discarded."""

from __future__ import annotations

from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

HORIZON_MARGIN_RATIO = 0.1  # fraction of the horizon by which members' clocks may differ


class TombstoneTracker:
    """Tracker of the deletions in a store, by the Unix seconds of their writer's clock.

    A deletion without a time, which an earlier version of the program wrote, is never discarded.
    """

    def __init__(self, store: Store, horizon_s: float) -> None:
        """Start without deletions; ``horizon_s`` is how long tombstones are retained."""
        self._store = store
        self._horizon_s = horizon_s
        self._deleted_at: dict[str, float] = {}

    def on_record(self, record: StoreRecord) -> None:
        """Track the version of a record that the store now holds."""
        self._deleted_at.pop(record.key, None)
        deleted_at = _deletion_time_s(record)
        if deleted_at is not None:
            self._deleted_at[record.key] = deleted_at

    def discard(self, key: str) -> None:
        """Drop a key whose record the store has discarded."""
        self._deleted_at.pop(key, None)

    def clear(self) -> None:
        """Drop all keys, before every record of the store is tracked again."""
        self._deleted_at.clear()

    def is_obsolete(self, record: StoreRecord) -> bool:
        """Return whether a record is a deletion past the horizon of a key that the store does not hold."""
        deleted_at = _deletion_time_s(record)
        if deleted_at is None or self._store.wall_clock() - deleted_at <= self._horizon_s:
            return False
        return self._store.record(record.key) is None

    def has_expirable(self) -> bool:
        """Return whether tombstones exist, and this replica was in sync recently enough to discard them."""
        last_in_sync = self._store.replica_state.last_in_sync
        if last_in_sync is None or not self._deleted_at:
            return False
        return self._store.wall_clock() - last_in_sync <= self._horizon_s / 2

    def discard_expired(self) -> None:
        """Discard the tombstones older than the horizon and its margin."""
        limit = self._store.wall_clock() - self._horizon_s * (1.0 + HORIZON_MARGIN_RATIO)
        expired = [key for key, deleted_at in self._deleted_at.items() if deleted_at < limit]
        if expired:
            self._store.discard_records(expired)


def _deletion_time_s(record: StoreRecord) -> float | None:
    """Return the Unix seconds of a deletion; None if it is no deletion, or its time is unknown."""
    if record.value is not None or record.written_ms is None:
        return None
    return record.written_ms / 1000.0
