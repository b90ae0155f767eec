"""One node's copy: reads from memory, writes to the log first."""

from __future__ import annotations

import json
import logging
import shutil
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

from sageturn.store.errors import InvalidRecordError
from sageturn.store.log import RecordLog
from sageturn.store.records import (
    MAX_KEY_LENGTH,
    MAX_VALUE_BYTES,
    STATE_PREFIX,
    StoreRecord,
    may_write,
    supersedes,
)
from sageturn.store.replica_state import ReplicaState, read_replica_state, write_replica_state

log = logging.getLogger(__name__)

COMPACT_FROM = 1 << 20  # octets; below this a log is never worth rewriting
COMPACT_TIMES = 4  # rewritten when it is so many times what its records need
STATE_WRITE_INTERVAL_S = 60.0  # how often "in step until now" goes to the disk

Digest = dict[str, tuple[int, str]]


class Store:
    """One node's copy of all records; the only writer of its log.

    ``path`` None keeps records in memory only, as on the platform, where no disk survives a restart.
    ``wall_clock`` returns Unix seconds.
    """

    def __init__(
        self, node: str, path: Path | None = None, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.node, self.wall_clock = node, wall_clock
        self._records: dict[str, StoreRecord] = {}
        self._path = path
        self._log = RecordLog(path) if path is not None else None
        self._compact_from = COMPACT_FROM
        self.on_change: list[Callable[[list[StoreRecord]], None]] = []
        self.on_forgotten: list[Callable[[list[str]], None]] = []
        self.replica_state = (
            ReplicaState() if path is None else read_replica_state(self._replica_state_path(path))
        )
        self._written_in_sync = self.replica_state.last_in_sync or 0.0
        if self._log is not None:
            if self._log.cut_off:
                log.warning("store: %d octets of a torn tail were cut off", self._log.cut_off)
            for record in self._log.records:
                self._keep(record)
            self._log.records = []

    # ------------------------------------------------------------ reading

    def get(self, key: str) -> Any:
        record = self._records.get(key)
        return None if record is None else record.value

    def record(self, key: str) -> StoreRecord | None:
        """Also a deleted one, as long as the deletion is remembered."""
        return self._records.get(key)

    def records(self) -> list[StoreRecord]:
        return list(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def keys(self, prefix: str = "") -> list[str]:
        return sorted(k for k, r in self._records.items() if k.startswith(prefix) and r.value is not None)

    def digest(self) -> Digest:
        return {key: record.order for key, record in self._records.items()}

    # ------------------------------------------------------------ writing

    def put(self, key: str, value: Any) -> StoreRecord:
        """None deletes. Raises InvalidRecordError for another node's key, and for too large a value."""
        if not key or len(key) > MAX_KEY_LENGTH or not may_write(self.node, key):
            raise InvalidRecordError(f"key: {key} is not {self.node}'s to write")
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise InvalidRecordError(f"value: of {key} is larger than {MAX_VALUE_BYTES} octets")
        known = self._records.get(key)
        # Above every deletion that was forgotten: another copy may still remember it, and must not win.
        version = known.version + 1 if known else self.replica_state.tombstone_floor + 1
        record = StoreRecord(key, value, version, self.node, int(self.wall_clock() * 1000.0))
        self._apply([record])
        return record

    def merge(self, records: Iterable[StoreRecord]) -> int:
        """Take from a replica what is newer; returns how many were."""
        newer: dict[str, StoreRecord] = {}
        for record in records:
            if supersedes(record, newer.get(record.key) or self._records.get(record.key)):
                newer[record.key] = record
        if newer:
            self._apply(list(newer.values()))
        return len(newer)

    def _apply(self, records: list[StoreRecord]) -> None:
        if self._log is not None:
            self._log.append(records)
        for record in records:
            self._keep(record)
        if self._log is not None and self._log.size > self._compact_from:
            self._rewrite()
        for told in self.on_change:
            told(records)

    def _rewrite(self) -> None:
        assert self._log is not None
        self._log.rewrite(self._records.values())
        self._compact_from = max(COMPACT_FROM, COMPACT_TIMES * self._log.size)

    def _keep(self, record: StoreRecord) -> None:
        if supersedes(record, self._records.get(record.key)):
            self._records[record.key] = record

    # ------------------------------------------------------------ forgetting

    def forget(self, keys: Iterable[str]) -> None:
        """Deletions that nobody can miss any more, and states of members that were removed.

        They leave the log when it is next rewritten; until then a restart reads them, and forgets them again.
        """
        gone = [self._records.pop(key) for key in keys if key in self._records]
        floor = max((record.version for record in gone), default=0)
        if floor > self.replica_state.tombstone_floor:
            self.raise_tombstone_floor(floor)
        if gone:
            for told in self.on_forgotten:
                told([record.key for record in gone])

    def raise_tombstone_floor(self, floor: int) -> None:
        if floor > self.replica_state.tombstone_floor:
            self._write_replica_state(replace(self.replica_state, tombstone_floor=floor))

    def drop_copied(self) -> int:
        """Away for too long: what others have deleted meanwhile may be here still, so none of it counts.

        Kept are this node's own states, and what was written here since it was last in step. The log is
        set aside as it was, with ``.dropped-`` and the time at its end, for an operator to look into.
        """
        since, own = self.replica_state.last_in_sync, f"{STATE_PREFIX}{self.node}/"
        kept = {
            key: record
            for key, record in self._records.items()
            if key.startswith(own) or (since is not None and (record.written_ms or 0) > since * 1000.0)
        }
        dropped = [key for key in self._records if key not in kept]
        if self._path is not None:
            aside = self._path.with_name(f"{self._path.name}.dropped-{int(self.wall_clock())}")
            shutil.copyfile(self._path, aside)
        floor = max([self.replica_state.tombstone_floor] + [self._records[key].version for key in dropped])
        self._write_replica_state(ReplicaState(None, floor))
        self._records = kept
        if self._log is not None:
            self._rewrite()
        for told in self.on_forgotten:
            told(dropped)
        return len(dropped)

    def set_last_in_sync(self, at: float | None) -> None:
        """``at``: Unix seconds until which this copy held all that the others did; None: not known."""
        if at is None or at - self._written_in_sync >= STATE_WRITE_INTERVAL_S:
            self._written_in_sync = at or 0.0
            self._write_replica_state(replace(self.replica_state, last_in_sync=at))
        else:
            self.replica_state = replace(self.replica_state, last_in_sync=at)

    def _write_replica_state(self, standing: ReplicaState) -> None:
        self.replica_state = standing
        if self._path is not None:
            write_replica_state(self._replica_state_path(self._path), standing)

    @staticmethod
    def _replica_state_path(path: Path) -> Path:
        return path.with_name(path.name + ".standing")

    def close(self) -> None:
        if self._log is not None:
            self._log.close()
