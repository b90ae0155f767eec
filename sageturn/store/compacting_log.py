"""A record log that is rewritten to the store's current records once it has grown far beyond them."""

from __future__ import annotations

import shutil
from collections.abc import Iterable
from pathlib import Path

from sageturn.store.log import RecordLog
from sageturn.store.records import StoreRecord

MIN_COMPACTION_BYTES = 1 << 20
COMPACTION_RATIO = 4  # growth factor since the last compaction at which the next one is due


class CompactingLog:
    """A ``RecordLog`` that determines when its compaction is due."""

    def __init__(self, path: Path, min_compaction_bytes: int) -> None:
        """Open the log, or create it.

        Args:
            path: The log's file.
            min_compaction_bytes: Minimum size of a log that is compacted.

        Raises:
            LogInUseError: Another process has the log open.
            LogCorruptedError: The log is damaged in a way that an interrupted write cannot cause.
            OSError: The log cannot be read.
        """
        self.path = path
        self._log = RecordLog(path)
        self._min_compaction_bytes = min_compaction_bytes
        self._compact_at_bytes = min_compaction_bytes

    @property
    def torn_bytes(self) -> int:
        """The length in bytes of the torn tail that was truncated when the log was opened."""
        return self._log.torn_bytes

    @property
    def is_compaction_due(self) -> bool:
        """True if the log has grown enough to be compacted."""
        return self._log.size > self._compact_at_bytes

    def take_records(self) -> list[StoreRecord]:
        """Return the records that were read when the log was opened, and drop the log's reference to them."""
        records = self._log.records
        self._log.records = []
        return records

    def append(self, records: Iterable[StoreRecord]) -> None:
        """Append records, which are durable once this returns. Raise OSError if none of them was written."""
        self._log.append(records)

    def compact(self, records: Iterable[StoreRecord]) -> None:
        """Replace the log's content by these records. Raise OSError, with the old log intact."""
        self._log.rewrite(records)
        self._compact_at_bytes = max(self._min_compaction_bytes, COMPACTION_RATIO * self._log.size)

    def postpone_compaction(self) -> None:
        """Make the next compaction due once the log has grown by another minimum size."""
        self._compact_at_bytes = self._log.size + self._min_compaction_bytes

    def back_up(self, suffix: str) -> None:
        """Copy the log's file to the same directory, with ``suffix`` appended to its name. Raise OSError."""
        shutil.copyfile(self.path, self.path.with_name(f"{self.path.name}.{suffix}"))

    def close(self) -> None:
        """Close the file and release its lock."""
        self._log.close()
