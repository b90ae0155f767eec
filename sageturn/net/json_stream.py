"""Splits a stream of JSON objects, which may arrive in any pieces and with any white space, into objects."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from sageturn.net.errors import InvalidJsonStreamError

JsonObject = dict[str, Any]  # a decoded object; its values are checked where they are used

_WHITE_SPACE = re.compile(rb"[ \t\r\n]*")
# Matches up to the next brace outside of strings. Possessive quantifiers: no part of an incomplete string is
# skipped, so the match ends before its quote, without a brace.
_NEXT_BRACE = re.compile(rb'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])?', re.DOTALL)


class JsonObjectSplitter:
    """Finds the ends of objects by braces and strings alone; the decoder checks that they are valid JSON."""

    def __init__(self, max_object_bytes: int) -> None:
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()  # empty, or begins with an object
        self._scanned_bytes = 0  # of the buffer
        self._depth = 0  # open braces at the end of the scanned bytes

    @property
    def is_inside_object(self) -> bool:
        """Whether an object has begun and is not yet complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects that ``data`` completes, one by one; also those before an error.

        Raises:
            InvalidJsonStreamError: something other than an object was found, or an object is too long.
        """
        self._buffer += data
        while True:
            if not self._depth and not self._skip_to_object():
                break
            match = _NEXT_BRACE.match(self._buffer, self._scanned_bytes)
            assert match is not None  # it also matches an empty buffer
            self._scanned_bytes = match.end()
            if match[1] is None:
                break
            self._depth += 1 if match[1] == b"{" else -1
            if not self._depth:
                text = bytes(self._buffer[: self._scanned_bytes])
                del self._buffer[: self._scanned_bytes]
                self._scanned_bytes = 0
                yield text
        if len(self._buffer) > self._max_object_bytes:
            raise InvalidJsonStreamError(f"object longer than {self._max_object_bytes} bytes")

    def _skip_to_object(self) -> bool:
        """Discard white space before the next object; returns whether one begins in the buffer."""
        white_space = _WHITE_SPACE.match(self._buffer)
        assert white_space is not None  # it also matches an empty buffer
        del self._buffer[: white_space.end()]
        if self._buffer and self._buffer[0] != ord("{"):
            raise InvalidJsonStreamError(f"expected an object, found {bytes(self._buffer[:1])!r}")
        return bool(self._buffer)
