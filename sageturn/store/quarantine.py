"""Records that a store withholds until it is known whether other replicas have deleted them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from sageturn.store.records import StoreRecord, supersedes


class Quarantine:
    """Withheld records by key, each in the newest version that was withheld.

    They are not served and not replicated, but remain in the log.
    """

    def __init__(self) -> None:
        self._records: dict[str, StoreRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[StoreRecord]:
        return iter(self._records.values())

    def get(self, key: str) -> StoreRecord | None:
        """Return the withheld record of a key; None if there is none."""
        return self._records.get(key)

    def add(self, records: Iterable[StoreRecord]) -> None:
        """Withhold records that were removed from the store, unless a newer version is withheld already."""
        for record in records:
            if supersedes(record, self._records.get(record.key)):
                self._records[record.key] = record

    def restorable(self, tombstone_floor: int) -> list[StoreRecord]:
        """Return the records that no replica can have deleted without this replica knowing.

        A deletion has a larger version than the record that it deletes, and every deletion that was
        discarded has a version of at most ``tombstone_floor``. Records without a time were written by a
        program that did not maintain the floor, so nothing is known of them.
        """
        return [
            record
            for record in self._records.values()
            if record.written_ms is not None and record.version > tombstone_floor
        ]

    def clear(self) -> None:
        """Drop all withheld records."""
        self._records.clear()
