"""The append-only log of records on disk.

Each entry consists of a header (length and checksum of the payload, and a checksum of the header itself) and
a JSON payload. Without the checksum of the header, a corrupted length would look like an incomplete last
entry, and all entries after it would be dropped as a torn tail.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import struct
import zlib
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO, NamedTuple

from sageturn.store.errors import InvalidRecordError, LogCorruptedError, LogInUseError
from sageturn.store.records import StoreRecord, parse_record

log = logging.getLogger(__name__)

MAGIC = b"sageturn-store-1\n"
_HEADER = struct.Struct(">II")  # payload length, payload checksum
_HEADER_CHECKSUM = struct.Struct(">I")
_FULL_HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size


class _EntryHeader(NamedTuple):
    payload_bytes: int
    payload_checksum: int


class LogContents(NamedTuple):
    """The records decoded from a log, and the length in bytes of its intact part."""

    records: list[StoreRecord]
    intact_bytes: int


def encode_entry(record: StoreRecord) -> bytes:
    """Return the record as an entry of the log."""
    payload = json.dumps(record.to_json(), separators=(",", ":"), sort_keys=True).encode()
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + payload


def scan(data: bytes) -> LogContents:
    """Decode the bytes of a log; bytes after the intact part are a torn tail.

    Raises:
        LogCorruptedError: The log is damaged in a way that an interrupted write cannot cause.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return LogContents([], 0)
        raise LogCorruptedError("expected a log of the store: the magic number is missing")
    records = []
    offset = len(MAGIC)
    view = memoryview(data)  # its slices do not copy the rest of the log for each entry
    while offset < len(data):
        header = data[offset : offset + _FULL_HEADER_BYTES]
        if len(header) < _FULL_HEADER_BYTES or not any(view[offset:]):
            break  # incomplete header, or zeros: the file was extended before its data reached the disk
        payload_bytes, payload_checksum = _parse_header(header, offset)
        start = offset + _FULL_HEADER_BYTES
        end = start + payload_bytes
        payload = data[start:end]
        if len(payload) < payload_bytes:
            break
        if zlib.crc32(payload) != payload_checksum:
            if end == len(data):
                break  # the last entry was not completely written to the disk
            raise LogCorruptedError(f"entry at byte {offset}: wrong payload checksum")
        records.append(_parse_payload(payload, offset))
        offset = end
    return LogContents(records, offset)


def _parse_header(header: bytes, offset: int) -> _EntryHeader:
    """Decode an entry's header. Raise LogCorruptedError if the checksum of the header is wrong."""
    payload_fields = header[: _HEADER.size]
    (header_checksum,) = _HEADER_CHECKSUM.unpack(header[_HEADER.size :])
    if header_checksum != zlib.crc32(payload_fields):
        raise LogCorruptedError(f"header at byte {offset}: wrong header checksum")
    return _EntryHeader(*_HEADER.unpack(payload_fields))


def _parse_payload(payload: bytes, offset: int) -> StoreRecord:
    try:
        return parse_record(json.loads(payload))
    except (InvalidRecordError, ValueError) as error:
        raise LogCorruptedError(f"entry at byte {offset}: invalid record: {error}") from error


class RecordLog:
    """The log file of one node, locked by this process.

    A failed write or sync is undone: its partial data is truncated before anything else is written, since
    otherwise the next entry would follow an incomplete one. As long as the truncation fails, every write
    fails. A torn tail that an earlier process has left is handled in the same way, so a log can be opened and
    read while the disk is full.

    Attributes:
        records: The records that were read when the log was opened.
        torn_bytes: The length in bytes of the torn tail when the log was opened.
        size: The length in bytes of the intact part.
    """

    def __init__(self, path: Path) -> None:
        """Open the log, or create it with its directory.

        Raises:
            LogInUseError: Another process has the log open.
            LogCorruptedError: The log is damaged in a way that an interrupted write cannot cause.
            OSError: The log cannot be read.
        """
        self._path = path
        self._has_unfinished_write = False
        self._is_directory_synced = True
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = _open_locked(path)
        data = path.read_bytes()
        try:
            self.records, intact_bytes = scan(data)
            self.torn_bytes = len(data) - intact_bytes
            self.size = intact_bytes
        except LogCorruptedError:
            self._file.close()
            raise
        self._prepare_to_append()

    def _prepare_to_append(self) -> None:
        """Truncate a torn tail, and write the magic number of an empty log; ``append`` retries on failure."""
        if self.size and not self.torn_bytes:
            self._file.seek(self.size)
            return
        self._has_unfinished_write = True
        try:
            self._undo_write()
            if not self.size:
                self._write(b"")
        except OSError as error:
            log.warning("log not writable yet path=%s reason=%s", self._path, error)

    def append(self, records: Iterable[StoreRecord]) -> None:
        """Append records, which are durable once this returns.

        Raises:
            OSError: The log cannot be written, and none of the records is in it.
        """
        if not self._is_directory_synced:
            self._sync_directory()
        if self._has_unfinished_write:
            self._undo_write()
        self._write(b"".join(map(encode_entry, records)))

    def _write(self, data: bytes) -> None:
        """Write and sync ``data``, preceded by the magic number if the file is empty."""
        self._has_unfinished_write = True
        if not self.size:
            data = MAGIC + data
        try:
            view = memoryview(data)
            while view:
                written = self._file.write(view)
                view = view[written:]
            os.fsync(self._file.fileno())
        except OSError:
            with suppress(OSError):  # retried before the next write
                self._undo_write()
            raise
        self._has_unfinished_write = False
        self.size += len(data)

    def _undo_write(self) -> None:
        """Truncate, durably, what a failed write has left after the intact part."""
        self._truncate_to_size()
        os.fsync(self._file.fileno())
        self._has_unfinished_write = False

    def _truncate_to_size(self) -> None:
        self._file.truncate(self.size)
        self._file.seek(self.size)

    def rewrite(self, records: Iterable[StoreRecord]) -> None:
        """Replace the log atomically by one that contains only these records.

        Raises:
            OSError: The new log cannot be written, and the old log is intact.
        """
        replacement_path = self._path.with_suffix(".new")
        replacement_path.unlink(missing_ok=True)
        replacement = RecordLog(replacement_path)
        try:
            replacement.append(records)
            replacement_path.replace(self._path)
        except OSError:
            replacement.close()
            with suppress(OSError):
                replacement_path.unlink()
            raise
        # The old file is unlinked, so the new one is the log even if a later step fails.
        old_file, self._file = self._file, replacement._file
        self.size = replacement.size
        self._has_unfinished_write = False
        self._is_directory_synced = False
        with suppress(OSError):
            old_file.close()
        with suppress(OSError):  # retried before the next write
            self._sync_directory()

    def _sync_directory(self) -> None:
        """Sync the directory, which makes the replacement of the file durable."""
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
        self._is_directory_synced = True

    def close(self) -> None:
        """Close the file and release its lock."""
        self._file.close()


def _open_locked(path: Path) -> BinaryIO:
    """Open the file and lock it. Raise LogInUseError if another process has it locked."""
    file = path.open("r+b" if path.exists() else "w+b", buffering=0)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise LogInUseError(f"{path}: another process has it open") from error
    return file
