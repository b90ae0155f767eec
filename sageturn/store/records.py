"""Records, the order of their versions, and their validation."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from sageturn.store.errors import InvalidRecordError

MAX_KEY_LENGTH = 256
MAX_VALUE_BYTES = 256 << 10  # size of the value as JSON
MAX_FRAME_BYTES = 512 << 10  # size of a frame's payload; the largest record fits
STATE_PREFIX = "state/"
_DIGEST_BYTES = 8

RecordOrder = tuple[int, str]  # version and node; the larger of two versions of a record wins


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """One version of a record.

    Attributes:
        key: The name of the record.
        value: A JSON value; None for a tombstone, retained for a time so that it reaches all replicas.
        version: The version number, which increases with each write.
        node: The node that wrote the version.
        written_ms: The time of the write in Unix milliseconds on the writer's clock; None for a record of an
            earlier program version.
    """

    key: str
    value: Any
    version: int
    node: str
    written_ms: int | None = None

    @property
    def order(self) -> RecordOrder:
        """The sort key of this version among all versions of the record."""
        return self.version, self.node

    def to_json(self) -> dict[str, Any]:
        """Return the JSON object of the record, as stored in the log and decoded by ``parse_record``."""
        obj = {"key": self.key, "value": self.value, "version": self.version, "node": self.node}
        return obj if self.written_ms is None else {**obj, "written_ms": self.written_ms}


def record_digest(record: StoreRecord) -> int:
    """Return a nonzero 64-bit digest that identifies a version and its content."""
    parts = [record.key, record.value, record.version, record.node, record.written_ms]
    text = json.dumps(parts, separators=(",", ":"), sort_keys=True)
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def supersedes(new: StoreRecord, known: StoreRecord | None) -> bool:
    """Return whether a version replaces the known one; None is no known version.

    The larger order wins. A node whose store was wiped can use an order again for other content: then the
    larger digest wins.
    """
    if known is None:
        return True
    if new.order != known.order:
        return new.order > known.order
    return new != known and record_digest(new) > record_digest(known)


def parse_record(obj: object) -> StoreRecord:
    """Return the record of a decoded JSON object. Raise InvalidRecordError if it is malformed."""
    if not isinstance(obj, dict):
        raise InvalidRecordError("not an object")
    key = obj.get("key")
    version = obj.get("version")
    node = obj.get("node")
    written_ms = obj.get("written_ms")
    if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_LENGTH:
        raise InvalidRecordError("key")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise InvalidRecordError("version")
    if not isinstance(node, str) or not node:
        raise InvalidRecordError("node")
    if written_ms is not None and (type(written_ms) is not int or written_ms < 0):
        raise InvalidRecordError("written_ms")
    if not may_write(node, key):
        raise InvalidRecordError(f"key: {key} is not {node}'s to write")
    return StoreRecord(key, obj.get("value"), version, node, written_ms)


def may_write(node: str, key: str) -> bool:
    """Return whether a node may write a key: its own state keys, and all keys that are not state keys."""
    return not key.startswith(STATE_PREFIX) or key.startswith(f"{STATE_PREFIX}{node}/")
