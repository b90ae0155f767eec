"""The append-only log on disk.

Each entry is a header (length and checksum of the payload, and a checksum of the header itself) and a
payload of JSON. The header's own checksum tells a length that rotted, which would make all that follows
look like a torn tail, from an entry whose writing was cut short.
"""

from __future__ import annotations

import fcntl
import json
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

from sageturn.store.errors import InvalidRecordError, LogCorruptedError
from sageturn.store.records import StoreRecord, parse_record

MAGIC = b"sageturn-store-1\n"
_HEADER = struct.Struct(">II")
_CHECK = struct.Struct(">I")
_HEAD = _HEADER.size + _CHECK.size


def encode(record: StoreRecord) -> bytes:
    payload = json.dumps(record.to_json(), separators=(",", ":"), sort_keys=True).encode()
    head = _HEADER.pack(len(payload), zlib.crc32(payload))
    return head + _CHECK.pack(zlib.crc32(head)) + payload


def scan(data: bytes) -> tuple[list[StoreRecord], int]:
    """The records, and where the sound part ends; what lies past it is a torn tail."""
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return [], 0
        raise LogCorruptedError("this is no log of the store")
    records, at = [], len(MAGIC)
    view = memoryview(data)  # a slice of it is no copy: copying the rest for each entry took 3.5 s at 27,000
    while at < len(data):
        head = data[at : at + _HEAD]
        if len(head) < _HEAD or not any(view[at:]):
            break  # cut short, or the file had grown before its bytes were written
        size, check = _HEADER.unpack(head[: _HEADER.size])
        if _CHECK.unpack(head[_HEADER.size :])[0] != zlib.crc32(head[: _HEADER.size]):
            raise LogCorruptedError(f"header at byte {at}")
        end = at + _HEAD + size
        payload = data[at + _HEAD : end]
        if len(payload) < size:
            break
        if zlib.crc32(payload) != check:
            if end == len(data):
                break  # the last entry: its bytes had not all reached the disk
            raise LogCorruptedError(f"entry at byte {at}")
        try:
            records.append(parse_record(json.loads(payload)))
        except (InvalidRecordError, ValueError) as error:
            raise LogCorruptedError(f"entry at byte {at}: {error}") from None
        at = end
    return records, at


class RecordLog:
    """The file of one node."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = open(path, "r+b" if path.exists() else "w+b", buffering=0)  # noqa: SIM115
        try:
            # Two writers would tear each other's entries.
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._file.close()
            raise BlockingIOError(f"{path}: another process has it open") from None
        data = path.read_bytes()
        try:
            self.records, sound = scan(data)
        except LogCorruptedError:
            self._file.close()
            raise
        self.cut_off = len(data) - sound
        self._file.truncate(sound)
        self._file.seek(sound)
        self.size = sound
        if not sound:
            self._write(MAGIC)

    def append(self, records: Iterable[StoreRecord]) -> None:
        """Durable once this returns."""
        self._write(b"".join(map(encode, records)))

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._file.write(view) :]
        os.fsync(self._file.fileno())
        self.size += len(data)

    def rewrite(self, records: Iterable[StoreRecord]) -> None:
        """Replace the log by one of the records that still count, all at once or not at all."""
        fresh = self._path.with_suffix(".new")
        fresh.unlink(missing_ok=True)
        new = RecordLog(fresh)
        new.append(records)
        os.replace(fresh, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self._file.close()
        self._file, self.size = new._file, new.size

    def close(self) -> None:
        self._file.close()
