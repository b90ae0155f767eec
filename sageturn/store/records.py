"""Records, the order of their versions, and their validation."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from sageturn.store.errors import InvalidRecordError

MAX_KEY_LENGTH = 256
MAX_VALUE_BYTES = 256 << 10  # of JSON
MAX_FRAME_BYTES = 512 << 10  # on a connection; fits the largest record
STATE_PREFIX = "state/"
_DIGEST_BYTES = 8

RecordOrder = tuple[int, str]  # version and node; of two versions of a record the larger one wins


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """One version of a record.

    Attributes:
        key: The name of the record.
        value: A JSON value; None is a deletion, which is kept for a time so that all replicas learn of it.
        version: The version number, which counts up.
        node: The writer.
        written_ms: Unix milliseconds on the writer's clock; None if an earlier version of the program wrote
            the record.
    """

    key: str
    value: Any
    version: int
    node: str
    written_ms: int | None = None

    @property
    def order(self) -> RecordOrder:
        """The version's place among all versions of the record."""
        return self.version, self.node

    def to_json(self) -> dict[str, Any]:
        """Returns the object that stands in the log, which ``parse_record`` reads."""
        obj = {"key": self.key, "value": self.value, "version": self.version, "node": self.node}
        return obj if self.written_ms is None else {**obj, "written_ms": self.written_ms}


def record_digest(record: StoreRecord) -> int:
    """Returns 64 bits, never 0, that identify a version's content without sending it."""
    parts = [record.key, record.value, record.version, record.node, record.written_ms]
    text = json.dumps(parts, separators=(",", ":"), sort_keys=True)
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


def supersedes(new: StoreRecord, known: StoreRecord | None) -> bool:
    """Whether a version replaces a known one.

    Its order decides. A node whose store was wiped may give an order twice: then the digest decides.
    """
    if known is None:
        return True
    if new.order != known.order:
        return new.order > known.order
    return new != known and record_digest(new) > record_digest(known)


def parse_record(obj: object) -> StoreRecord:
    """Returns the record of a decoded JSON object. Raises InvalidRecordError."""
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
    """Whether a node may write a key: its own states, and all keys that are no states."""
    return not key.startswith(STATE_PREFIX) or key.startswith(f"{STATE_PREFIX}{node}/")
