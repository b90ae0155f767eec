"""The append-only log of records on disk.

Each entry is a header (length and checksum of the payload, and a checksum of the header itself) and a
payload of JSON. Without the header's own checksum a corrupted length would look like an entry whose writing
was cut short, and all that follows it like a torn tail.
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
    """The records of a log's bytes, and the length of the part that is intact."""

    records: list[StoreRecord]
    intact_bytes: int


def encode(record: StoreRecord) -> bytes:
    """Returns one entry of the log."""
    payload = json.dumps(record.to_json(), separators=(",", ":"), sort_keys=True).encode()
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + payload


def scan(data: bytes) -> LogContents:
    """Decodes a log's bytes; those past the intact part are a torn tail.

    Raises:
        LogCorruptedError: No interrupted write explains the damage.
    """
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return LogContents([], 0)
        raise LogCorruptedError("this is no log of the store")
    records = []
    offset = len(MAGIC)
    view = memoryview(data)  # slices without copying the rest of the log for each entry
    while offset < len(data):
        header = data[offset : offset + _FULL_HEADER_BYTES]
        if len(header) < _FULL_HEADER_BYTES or not any(view[offset:]):
            break  # cut short, or the file had grown before its bytes were written
        payload_bytes, payload_checksum = _parse_header(header, offset)
        start = offset + _FULL_HEADER_BYTES
        end = start + payload_bytes
        payload = data[start:end]
        if len(payload) < payload_bytes:
            break
        if zlib.crc32(payload) != payload_checksum:
            if end == len(data):
                break  # the last entry: its bytes had not all reached the disk
            raise LogCorruptedError(f"entry at byte {offset}")
        records.append(_parse_payload(payload, offset))
        offset = end
    return LogContents(records, offset)


def _parse_header(header: bytes, offset: int) -> _EntryHeader:
    """Decodes an entry's header. Raises LogCorruptedError if its own checksum is wrong."""
    payload_fields = header[: _HEADER.size]
    (header_checksum,) = _HEADER_CHECKSUM.unpack(header[_HEADER.size :])
    if header_checksum != zlib.crc32(payload_fields):
        raise LogCorruptedError(f"header at byte {offset}")
    return _EntryHeader(*_HEADER.unpack(payload_fields))


def _parse_payload(payload: bytes, offset: int) -> StoreRecord:
    try:
        return parse_record(json.loads(payload))
    except (InvalidRecordError, ValueError) as error:
        raise LogCorruptedError(f"entry at byte {offset}: {error}") from error


class RecordLog:
    """The log file of one node, open for this process alone.

    A write or sync that fails is undone: the bytes that it has left in the file are cut off before anything
    else is written, or the next entry would follow half of another. While they cannot be cut off, every write
    fails. The same holds for a torn tail that an earlier process has left, so a log can be opened and read
    while the disk is full.

    ``records`` are those read when the log was opened, ``torn_bytes`` the length of its torn tail then, and
    ``size`` the length of the intact part.
    """

    def __init__(self, path: Path) -> None:
        """Opens the log, or creates it with its directory.

        Raises:
            LogInUseError: Another process has the log open.
            LogCorruptedError: No interrupted write explains the damage.
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
        """Cuts off a torn tail, and writes the magic number of an empty log; tried again by ``append``."""
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
        """Adds records, durable once this returns.

        Raises:
            OSError: The disk cannot be written, and none of the records is in the log.
        """
        if not self._is_directory_synced:
            self._sync_directory()
        if self._has_unfinished_write:
            self._undo_write()
        self._write(b"".join(map(encode, records)))

    def _write(self, data: bytes) -> None:
        """Writes and syncs ``data``, after the file's magic number if the file is empty."""
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
            with suppress(OSError):  # repeated before the next write
                self._undo_write()
            raise
        self._has_unfinished_write = False
        self.size += len(data)

    def _undo_write(self) -> None:
        """Cuts off, durably, what a failed write has left behind the intact part."""
        self._cut_to_size()
        os.fsync(self._file.fileno())
        self._has_unfinished_write = False

    def _cut_to_size(self) -> None:
        self._file.truncate(self.size)
        self._file.seek(self.size)

    def rewrite(self, records: Iterable[StoreRecord]) -> None:
        """Replaces the log atomically by one that has only these records.

        Raises:
            OSError: The disk cannot be written, and the old log is intact.
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
        # The old file has no name any more, so this is the log from here on, whatever fails next.
        old_file, self._file = self._file, replacement._file
        self.size = replacement.size
        self._has_unfinished_write = False
        self._is_directory_synced = False
        with suppress(OSError):
            old_file.close()
        with suppress(OSError):  # repeated before the next write
            self._sync_directory()

    def _sync_directory(self) -> None:
        """Makes the replaced directory entry durable."""
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
        self._is_directory_synced = True

    def close(self) -> None:
        """Releases the file."""
        self._file.close()


def _open_locked(path: Path) -> BinaryIO:
    """Opens the file for this process alone. Raises LogInUseError if another one has it open."""
    file = path.open("r+b" if path.exists() else "w+b", buffering=0)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise LogInUseError(f"{path}: another process has it open") from error
    return file
