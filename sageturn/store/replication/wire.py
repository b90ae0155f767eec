"""What is said on a link, as octets: JSON, packed where that is shorter; bounded both ways."""

from __future__ import annotations

import json
import zlib
from typing import Any

from sageturn.store.records import (
    MAX_FRAME_BYTES,
    STATE_PREFIX,
    InvalidRecordError,
    StoreRecord,
    parse_record,
)

PROTOCOL = 2  # 1 was the exchange of whole digests
URGENT, STATES = 0, 1
LANES = (URGENT, STATES)
PART_OCTETS = 16 << 10  # of JSON in a part; one record that is larger goes alone
PACK_FROM = 400
_PACKED = b"z"


class SessionRejected(ValueError):
    """Why a link is ended; what it said last has changed nothing."""


def lane_of(key: str) -> int:
    """Nodes tell their states anew all the time; everything else is somebody's decision, and urgent."""
    return STATES if key.startswith(STATE_PREFIX) else URGENT


def octets_of(obj: Any) -> int:
    return len(json.dumps(obj, separators=(",", ":")))


def encode(message: dict[str, Any]) -> bytes:
    plain = json.dumps(message, separators=(",", ":")).encode()
    if len(plain) < PACK_FROM:
        return plain
    packed = _PACKED + zlib.compress(plain, 1)
    return packed if len(packed) < len(plain) else plain


def decode(payload: bytes) -> dict[str, Any]:
    """Raises Refusal for what is no message, or would unpack to more than is ever sent."""
    plain = payload
    if payload.startswith(_PACKED):
        unpacker = zlib.decompressobj()
        try:
            plain = unpacker.decompress(payload[1:], MAX_FRAME_BYTES)
        except zlib.error:
            raise SessionRejected("a frame cannot be unpacked") from None
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise SessionRejected("a frame is too large, or cut short")
    if len(plain) > MAX_FRAME_BYTES:
        raise SessionRejected("a frame is too large")
    try:
        message = json.loads(plain)
    except (ValueError, RecursionError):
        raise SessionRejected("a frame is no JSON") from None
    if not isinstance(message, dict) or not message:
        raise SessionRejected("a frame is no message")
    return message


def pack_record(record: StoreRecord) -> list[Any]:
    return [record.key, record.value, record.version, record.node, record.written_ms]


def unpack_records(obj: Any) -> list[StoreRecord]:
    """All of them or none. Raises Refusal."""
    try:
        return [
            parse_record({"key": key, "value": value, "version": version, "node": node, "written_ms": ms})
            for key, value, version, node, ms in obj
        ]
    except (InvalidRecordError, TypeError, ValueError) as error:
        raise SessionRejected(f"no record: {error}") from None


def natural(obj: Any, least: int = 0) -> int:
    if not isinstance(obj, int) or isinstance(obj, bool) or obj < least:
        raise SessionRejected(f"no count: {str(obj)[:40]}")
    return obj
