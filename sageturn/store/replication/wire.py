"""Payloads of the replication protocol: one JSON object each, compressed where that is shorter."""

from __future__ import annotations

import json
import zlib
from typing import Any

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import MAX_FRAME_BYTES

PROTOCOL_VERSION = 2  # version 1 exchanged complete digests of all keys
MIN_COMPRESSED_BYTES = 400
_COMPRESSED_PREFIX = b"z"
_COMPRESSION_LEVEL = 1


def _dump(obj: Any) -> str:
    return json.dumps(obj, separators=(",", ":"))


def encoded_size(obj: Any) -> int:
    """Return the number of bytes that a value takes in a payload before compression."""
    return len(_dump(obj))


def encode(message: dict[str, Any]) -> bytes:
    """Return the payload of a message."""
    plain = _dump(message).encode()
    if len(plain) < MIN_COMPRESSED_BYTES:
        return plain
    compressed = _COMPRESSED_PREFIX + zlib.compress(plain, _COMPRESSION_LEVEL)
    return compressed if len(compressed) < len(plain) else plain


def decode(payload: bytes) -> dict[str, Any]:
    """Return the message of a payload.

    Raises:
        SessionRejectedError: It is no message, or decompresses to more than ``MAX_FRAME_BYTES``.
    """
    plain = _decompress(payload) if payload.startswith(_COMPRESSED_PREFIX) else payload
    if len(plain) > MAX_FRAME_BYTES:
        raise SessionRejectedError("a frame is too large")
    try:
        message = json.loads(plain)
    except (ValueError, RecursionError) as error:
        raise SessionRejectedError("a frame is no JSON") from error
    if not isinstance(message, dict) or not message:
        raise SessionRejectedError("a frame is no message")
    return message


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(payload[len(_COMPRESSED_PREFIX) :], MAX_FRAME_BYTES)
    except zlib.error as error:
        raise SessionRejectedError("a frame cannot be unpacked") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise SessionRejectedError("a frame is too large, or cut short")
    return plain
