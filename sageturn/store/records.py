"""Records and their order."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from sageturn.store.errors import InvalidRecordError

MAX_KEY_LENGTH = 256
MAX_VALUE_BYTES = 256 << 10  # octets of JSON
MAX_FRAME_BYTES = 512 << 10  # octets on a link: any record whole, and room to spare
STATE_PREFIX = "state/"


@dataclass(frozen=True, slots=True)
class StoreRecord:
    key: str
    value: Any  # None: deleted, and kept for a time so that a replica that missed it learns of it
    version: int
    node: str
    written_ms: int | None = None  # Unix time on the writer's clock; None where an earlier program wrote it

    @property
    def order(self) -> tuple[int, str]:
        return self.version, self.node

    def to_json(self) -> dict[str, Any]:
        obj = {"key": self.key, "value": self.value, "version": self.version, "node": self.node}
        return obj if self.written_ms is None else {**obj, "written_ms": self.written_ms}


def record_digest(record: StoreRecord) -> int:
    """64 bits over all that makes a record, for comparing copies without sending them."""
    parts = [record.key, record.value, record.version, record.node, record.written_ms]
    text = json.dumps(parts, separators=(",", ":"), sort_keys=True)
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") or 1


def supersedes(new: StoreRecord, known: StoreRecord | None) -> bool:
    """By (version, node). A wiped node may use a version of its own twice: the digest then decides."""
    if known is None or new.order != known.order:
        return known is None or new.order > known.order
    return new != known and record_digest(new) > record_digest(known)


def parse_record(obj: Any) -> StoreRecord:
    if not isinstance(obj, dict):
        raise InvalidRecordError("not an object")
    key, version, node = obj.get("key"), obj.get("version"), obj.get("node")
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
    return not key.startswith(STATE_PREFIX) or key.startswith(f"{STATE_PREFIX}{node}/")
