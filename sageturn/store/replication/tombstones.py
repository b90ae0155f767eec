"""Which deletions are remembered, and when each may be forgotten."""

from __future__ import annotations

from sageturn.store.records import StoreRecord


class TombstoneTracker:
    """The deletions in a store, by the time on their writer's clock (Unix seconds).

    A deletion without a time, of an earlier program, is never forgotten.
    """

    def __init__(self) -> None:
        self._deleted_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._deleted_at)

    def on_record(self, record: StoreRecord) -> None:
        """The store holds this version of a record now."""
        self._deleted_at.pop(record.key, None)
        deleted_at = deletion_time_s(record)
        if deleted_at is not None:
            self._deleted_at[record.key] = deleted_at

    def discard(self, key: str) -> None:
        """The store has forgotten a key."""
        self._deleted_at.pop(key, None)

    def clear(self) -> None:
        """Start anew, before the records of a store are gone through again."""
        self._deleted_at.clear()

    def deleted_before(self, limit_s: float) -> list[str]:
        """The keys that were deleted before a time."""
        return [key for key, deleted_at in self._deleted_at.items() if deleted_at < limit_s]


def deletion_time_s(record: StoreRecord) -> float | None:
    """Unix seconds at which a record was deleted; None for one that is not, or whose time is not known."""
    if record.value is not None or record.written_ms is None:
        return None
    return record.written_ms / 1000.0
