"""One node's replica of all records: reads are served from memory, writes go to the log first."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

from sageturn.store.compacting_log import MIN_COMPACTION_BYTES, CompactingLog
from sageturn.store.errors import InvalidRecordError
from sageturn.store.quarantine import Quarantine
from sageturn.store.records import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    STATE_PREFIX,
    RecordOrder,
    StoreRecord,
    may_write,
    supersedes,
)
from sageturn.store.replica_state import ReplicaState, ReplicaStateFile

log = logging.getLogger(__name__)

Digest = dict[str, RecordOrder]


class Store:
    """One node's replica of all records, and the only writer of its log.

    Attributes:
        on_change: Callbacks for each batch of records that was applied.
        on_discarded: Callbacks for the keys of each batch of records that was dropped without a tombstone.
    """

    def __init__(
        self,
        node: str,
        path: Path | None = None,
        wall_clock: Callable[[], float] = time.time,
        min_compaction_bytes: int = MIN_COMPACTION_BYTES,
        versions_follow_clock: bool = False,
    ) -> None:
        """Open the store.

        Args:
            node: The name under which this replica writes.
            path: The log's file; None keeps the records in memory only, for a node whose disk does not
                survive a restart.
            wall_clock: Returns Unix seconds.
            min_compaction_bytes: Minimum size of a log that is compacted.
            versions_follow_clock: Whether the versions of this node's writes are at least Unix milliseconds,
                so that of two writes at replicas that have not exchanged them the later one wins. Meant for
                records with several writers; the only writer of a state counts.

        Raises:
            LogInUseError: Another process has the log open.
            LogCorruptedError: The log is damaged.
            OSError: The log cannot be read.
        """
        self.node = node
        self.wall_clock = wall_clock
        self._versions_follow_clock = versions_follow_clock
        self.on_change: list[Callable[[list[StoreRecord]], None]] = []
        self.on_discarded: list[Callable[[list[str]], None]] = []
        self._records: dict[str, StoreRecord] = {}
        self._quarantine = Quarantine()
        self._has_dropped_records_in_log = False
        self._log = None if path is None else CompactingLog(path, min_compaction_bytes)
        self.replica_state_file = ReplicaStateFile(path)
        if self._log is not None:
            self._load(self._log)

    def _load(self, record_log: CompactingLog) -> None:
        if record_log.torn_bytes:
            log.warning("torn log tail dropped path=%s bytes=%d", record_log.path, record_log.torn_bytes)
        for record in record_log.take_records():
            self._put_if_newer(record)

    def close(self) -> None:
        """Close the log and release its lock."""
        if self._log is not None:
            self._log.close()

    # ------------------------------------------------------------ reading

    def get(self, key: str) -> Any:
        """Return the value of a key; None if the key is unknown or was deleted."""
        record = self._records.get(key)
        return None if record is None else record.value

    def record(self, key: str) -> StoreRecord | None:
        """Return the record of a key, which may be a tombstone; None if there is no record."""
        return self._records.get(key)

    def records(self) -> list[StoreRecord]:
        """Return all records, tombstones included."""
        return list(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys that start with ``prefix`` and have a value, sorted."""
        return sorted(
            key
            for key, record in self._records.items()
            if key.startswith(prefix) and record.value is not None
        )

    def digest(self) -> Digest:
        """Return the version and node of each record by key; equal replicas have equal digests."""
        return {key: record.order for key, record in self._records.items()}

    # ------------------------------------------------------------ writing

    def put(self, key: str, value: object) -> StoreRecord:
        """Write a value, durable once this returns; None deletes the key. Return the new record.

        Raises:
            InvalidRecordError: The key is empty, too long or a state key of another node, or the value is too
                large.
            OSError: The log cannot be written; the store is unchanged.
        """
        if not key or len(key) > MAX_KEY_LENGTH or not may_write(self.node, key):
            raise InvalidRecordError(f"key: {key} is empty, too long or not writable by node {self.node}")
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise InvalidRecordError(f"value: the JSON value of {key} is larger than {MAX_VALUE_BYTES} bytes")
        written_ms = int(self.wall_clock() * 1000.0)
        record = StoreRecord(key, value, self._next_version(key, written_ms), self.node, written_ms)
        self._apply([record])
        return record

    def _next_version(self, key: str, written_ms: int) -> int:
        """Return a version above all that are known here of a key, however the clock was stepped."""
        known = self._records.get(key) or self._quarantine.get(key)
        # The version exceeds every discarded tombstone: another replica may still have one, and must not win.
        version = known.version + 1 if known else self.replica_state.tombstone_floor + 1
        return max(version, written_ms) if self._versions_follow_clock else version

    def merge(self, records: Iterable[StoreRecord]) -> int:
        """Apply the records of another replica that supersede this one's; return their number.

        Raises:
            OSError: The log cannot be written; the store is unchanged.
        """
        newer: dict[str, StoreRecord] = {}
        for record in records:
            known = newer.get(record.key) or self._records.get(record.key)
            if supersedes(record, known):
                newer[record.key] = record
        if newer:
            self._apply(list(newer.values()))
        return len(newer)

    def _apply(self, records: list[StoreRecord]) -> None:
        if self._log is not None:
            self._log.append(records)
        for record in records:
            self._put_if_newer(record)
        # The records are already durable, so observers are notified even if the compaction fails.
        for on_change in self.on_change:
            on_change(records)
        if self._log is not None and self._log.is_compaction_due:
            self._try_to_compact(self._log)

    def _put_if_newer(self, record: StoreRecord) -> None:
        if supersedes(record, self._records.get(record.key)):
            self._records[record.key] = record

    # ------------------------------------------------------------ compaction

    def compact(self) -> None:
        """Rewrite the log to the current records; do nothing without a log.

        Raises:
            OSError: The log cannot be rewritten now, and is unchanged.
        """
        if self._log is not None:
            # Compaction removes discarded tombstones from the log: a floor not below their versions has to be
            # on disk first.
            self.replica_state_file.flush()
            self._log.compact([*self._records.values(), *self._quarantine])
            self._has_dropped_records_in_log = False

    def _try_to_compact(self, record_log: CompactingLog) -> bool:
        """Compact the log. Return whether that succeeded; otherwise the log is intact, and it is retried."""
        try:
            self.compact()
        except OSError as error:
            log.warning("log compaction failed path=%s reason=%s", record_log.path, error)
            record_log.postpone_compaction()
            return False
        return True

    # ------------------------------------------------------------ discarding

    def discard_records(self, keys: Iterable[str]) -> None:
        """Drop records without leaving a tombstone: expired tombstones, and states of removed members.

        The next compaction removes them from the log; after an earlier restart they are read and dropped
        again.
        """
        discarded = [self._records.pop(key) for key in keys if key in self._records]
        self.raise_tombstone_floor(max((record.version for record in discarded), default=0))
        if discarded:
            self._notify_discarded([record.key for record in discarded])

    def quarantine_records(self, deletable_before: float) -> int:
        """Withhold the records that other nodes may have deleted while this replica was long out of sync.

        Records stay that are this node's own states, that were written after it was last in sync, or that
        were written at or after ``deletable_before``, Unix seconds: others still hold the deletions of these.
        The log keeps all records until this replica is in sync, so that a restart in the meantime loses none.
        It is also copied for operators to a file with the suffix ``.dropped-`` and the Unix time.

        Returns:
            The number of records that are withheld.

        Raises:
            OSError: The backup or the replica's state cannot be written; the store is unchanged.
        """
        withheld = [
            record
            for record in self._records.values()
            if not self._survives_drop(record) and not _is_written_since(record, deletable_before)
        ]
        self._back_up_log()
        self.replica_state_file.on_start_over()
        self._quarantine.add(withheld)
        self._remove([record.key for record in withheld])
        return len(withheld)

    @property
    def quarantined_records(self) -> list[StoreRecord]:
        """The records that are withheld until this replica is in sync."""
        return list(self._quarantine)

    def _release_quarantine(self) -> None:
        """Restore the withheld records that nobody can have deleted, and drop the others, also from the log.

        The store holds all records and the tombstone floor of a replica that is in sync.

        Raises:
            OSError: The log or the replica's state cannot be written; the records are still withheld.
        """
        state = self.replica_state
        restored = self._quarantine.restorable(state.tombstone_floor)
        self.merge(restored)
        restored_keys = {record.key for record in restored}
        dropped = [record for record in self._quarantine if record.key not in restored_keys]
        floor = max([state.tombstone_floor, *(record.version for record in dropped)])
        self.replica_state_file.write(replace(state, tombstone_floor=floor))
        if self._log is not None and dropped:
            self._log.compact(self._records.values())
        self._quarantine.clear()
        log.warning("withheld records released node=%s dropped_records=%d", self.node, len(dropped))

    def drop_replicated_records(self) -> int:
        """Drop the records of a member that an operator removed, which is added again.

        This node's own states are retained, and so are records that were written after it was last in sync.
        The old log is copied for operators to a file with the suffix ``.dropped-`` and the Unix time.

        Returns:
            The number of records that were dropped.

        Raises:
            OSError: The backup or the replica's state cannot be written; no record was dropped.
        """
        dropped = [record.key for record in self._records.values() if not self._survives_drop(record)]
        self._back_up_log()
        dropped_versions = [self._records[key].version for key in dropped]
        floor = max([self.replica_state.tombstone_floor, *dropped_versions])
        was_removed = self.replica_state.was_removed
        self.replica_state_file.write(ReplicaState(None, floor, was_removed=was_removed))
        self._remove(dropped)
        if self._log is not None:
            # If the compaction fails, the next restart drops the same records again.
            self._has_dropped_records_in_log = not self._try_to_compact(self._log)
        return len(dropped)

    def _survives_drop(self, record: StoreRecord) -> bool:
        """Return whether a record is this node's state, or is newer than the last time in sync."""
        if record.key.startswith(f"{STATE_PREFIX}{self.node}/"):
            return True
        last_sync = self.replica_state.last_confirmed_sync
        return last_sync is not None and (record.written_ms or 0) > last_sync * 1000.0

    def _back_up_log(self) -> None:
        if self._log is not None:
            self._log.back_up(f"dropped-{int(self.wall_clock())}")

    def _remove(self, keys: list[str]) -> None:
        for key in keys:
            del self._records[key]
        self._notify_discarded(keys)

    def _notify_discarded(self, keys: list[str]) -> None:
        for on_discarded in self.on_discarded:
            on_discarded(keys)

    # ------------------------------------------------------------ replica state

    @property
    def replica_state(self) -> ReplicaState:
        """The time at which this replica was last in sync, and its tombstone floor."""
        return self.replica_state_file.state

    def set_last_in_sync(self, at: float | None) -> None:
        """Set the Unix time at which this replica was last in sync; None if unknown.

        Before it counts as in sync, withheld records are released, and the log holds none that were dropped:
        a restart of a replica in sync takes all that it finds in its log for valid.

        Raises:
            OSError: There are such records, and the log or the replica's state cannot be written now.
        """
        if at is not None:
            if len(self._quarantine):
                self._release_quarantine()
            if self._has_dropped_records_in_log:
                self.compact()
        self.replica_state_file.set_last_in_sync(at)

    def mark_removed(self) -> None:
        """Record that an operator removed this member: if it is added again, it drops what it holds."""
        self.replica_state_file.mark_removed()

    def raise_tombstone_floor(self, floor: int) -> None:
        """Record that tombstones up to version ``floor`` were discarded, here or by another replica."""
        self.replica_state_file.raise_tombstone_floor(floor)


def _is_written_since(record: StoreRecord, since: float) -> bool:
    """Return whether a record was written at or after Unix seconds; False if its time is unknown."""
    return record.written_ms is not None and record.written_ms >= since * 1000.0
