"""The log of one store, rewritten to the records that are held once it has grown far beyond them."""

from __future__ import annotations

import shutil
from collections.abc import Iterable
from pathlib import Path

from sageturn.store.log import RecordLog
from sageturn.store.records import StoreRecord

MIN_COMPACTION_BYTES = 1 << 20
COMPACTION_RATIO = 4  # of the log's size to its size after the last compaction


class CompactingLog:
    """Appends records to a ``RecordLog``, and tells when to compact it."""

    def __init__(self, path: Path, min_compaction_bytes: int) -> None:
        """Opens the log, or creates it.

        Args:
            path: The log's file.
            min_compaction_bytes: A smaller log is never compacted.

        Raises:
            LogInUseError: Another process has the log open.
            LogCorruptedError: No interrupted write explains the damage.
            OSError: The log cannot be read.
        """
        self.path = path
        self._log = RecordLog(path)
        self._min_compaction_bytes = min_compaction_bytes
        self._compact_at_bytes = min_compaction_bytes

    @property
    def torn_bytes(self) -> int:
        """The length of the torn tail that was cut off when the log was opened."""
        return self._log.torn_bytes

    @property
    def is_compaction_due(self) -> bool:
        """Whether the log has grown enough to be compacted."""
        return self._log.size > self._compact_at_bytes

    def take_records(self) -> list[StoreRecord]:
        """Returns the records that were read when the log was opened, and releases their memory."""
        records = self._log.records
        self._log.records = []
        return records

    def append(self, records: Iterable[StoreRecord]) -> None:
        """Adds records, durable once this returns. Raises OSError if none of them could be written."""
        self._log.append(records)

    def compact(self, records: Iterable[StoreRecord]) -> None:
        """Rewrites the log to these records. Raises OSError, with the old log intact."""
        self._log.rewrite(records)
        self._compact_at_bytes = max(self._min_compaction_bytes, COMPACTION_RATIO * self._log.size)

    def postpone_compaction(self) -> None:
        """Makes the next compaction due once the log has grown further."""
        self._compact_at_bytes = self._log.size + self._min_compaction_bytes

    def back_up(self, suffix: str) -> None:
        """Copies the log's file beside it, with ``suffix`` at the end of its name. Raises OSError."""
        shutil.copyfile(self.path, self.path.with_name(f"{self.path.name}.{suffix}"))

    def close(self) -> None:
        """Releases the file."""
        self._log.close()
