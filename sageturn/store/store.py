"""One node's copy: reads from memory, writes to the log first."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from sageturn.store.log import Log
from sageturn.store.records import KEY_MOST, BadRecord, Record, may_write

log = logging.getLogger(__name__)

COMPACT_FROM = 1 << 20  # octets; below this a log is never worth rewriting
COMPACT_TIMES = 4  # rewritten when it is so many times what its records need

Digest = dict[str, tuple[int, str]]


class Store:
    """``path`` None: memory only, as on the platform, where no disk survives."""

    def __init__(self, node: str, path: Path | None = None) -> None:
        self.node = node
        self._records: dict[str, Record] = {}
        self._log = Log(path) if path is not None else None
        self._compact_from = COMPACT_FROM
        self.on_change: list[Callable[[list[Record]], None]] = []
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

    def keys(self, prefix: str = "") -> list[str]:
        return sorted(k for k, r in self._records.items() if k.startswith(prefix) and r.value is not None)

    def digest(self) -> Digest:
        return {key: record.order for key, record in self._records.items()}

    def missing_from(self, digest: Digest) -> list[Record]:
        """What a replica with this digest has not got, or has got an older one of."""
        return [r for k, r in self._records.items() if k not in digest or digest[k] < r.order]

    # ------------------------------------------------------------ writing

    def put(self, key: str, value: Any) -> Record:
        """None deletes. Raises BadRecord for a key that is another node's."""
        if not key or len(key) > KEY_MOST or not may_write(self.node, key):
            raise BadRecord(f"key: {key} is not {self.node}'s to write")
        known = self._records.get(key)
        record = Record(key, value, known.version + 1 if known else 1, self.node)
        self._apply([record])
        return record

    def merge(self, records: Iterable[Record]) -> int:
        """Take from a replica what is newer; returns how many were."""
        newer: dict[str, Record] = {}
        for record in records:
            known = newer.get(record.key) or self._records.get(record.key)
            if known is None or known.order < record.order:
                newer[record.key] = record
        if newer:
            self._apply(list(newer.values()))
        return len(newer)

    def _apply(self, records: list[Record]) -> None:
        if self._log is not None:
            self._log.append(records)
        for record in records:
            self._keep(record)
        if self._log is not None and self._log.size > self._compact_from:
            self._log.rewrite(self._records.values())
            self._compact_from = max(COMPACT_FROM, COMPACT_TIMES * self._log.size)
        for told in self.on_change:
            told(records)

    def _keep(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is None or known.order < record.order:
            self._records[record.key] = record

    def close(self) -> None:
        if self._log is not None:
            self._log.close()
