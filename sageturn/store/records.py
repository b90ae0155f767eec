"""Records and their order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

KEY_MOST = 256
STATE = "state/"


class BadRecord(ValueError):
    """What was read is no record; the text names the field."""


@dataclass(frozen=True, slots=True)
class Record:
    key: str
    value: Any  # None: deleted, and kept so that a replica that missed it learns of it
    version: int
    node: str

    @property
    def order(self) -> tuple[int, str]:
        return self.version, self.node

    def to_json(self) -> dict[str, Any]:
        return {"key": self.key, "value": self.value, "version": self.version, "node": self.node}


def read_record(obj: Any) -> Record:
    if not isinstance(obj, dict):
        raise BadRecord("not an object")
    key, version, node = obj.get("key"), obj.get("version"), obj.get("node")
    if not isinstance(key, str) or not 0 < len(key) <= KEY_MOST:
        raise BadRecord("key")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise BadRecord("version")
    if not isinstance(node, str) or not node:
        raise BadRecord("node")
    if not may_write(node, key):
        raise BadRecord(f"key: {key} is not {node}'s to write")
    return Record(key, obj.get("value"), version, node)


def may_write(node: str, key: str) -> bool:
    return not key.startswith(STATE) or key.startswith(f"{STATE}{node}/")
