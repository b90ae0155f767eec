"""Splits a stream into JSON objects, which may arrive in any pieces and with any white space."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from sageturn.net.errors import InvalidJsonStreamError

JsonObject = dict[str, Any]  # a decoded object; its values are checked where they are used

_WHITE_SPACE = re.compile(rb"[ \t\r\n]*")
# Matches up to and including the next brace outside of strings. The quantifiers are possessive, so that no
# part of an incomplete string is skipped: the match then ends before its opening quote, without a brace.
_NEXT_BRACE = re.compile(rb'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])?', re.DOTALL)


class JsonObjectSplitter:
    """Splitter that looks at braces and strings only; the decoder checks that the objects are valid JSON."""

    def __init__(self, max_object_bytes: int) -> None:
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()  # empty, or begins with an object
        self._scanned_bytes = 0  # length of the part of the buffer that was scanned
        self._depth = 0  # number of open braces at the end of the scanned part

    @property
    def is_inside_object(self) -> bool:
        """True if an object has begun and is not complete yet."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects that ``data`` completes, including those before an error.

        Raises:
            InvalidJsonStreamError: something other than an object was found, or an object is too long.
        """
        self._buffer += data
        while True:
            if not self._depth and not self._skip_to_object():
                break
            match = _NEXT_BRACE.match(self._buffer, self._scanned_bytes)
            assert match is not None  # the pattern also matches an empty buffer
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
        """Discard white space before the next object; return whether one begins in the buffer."""
        white_space = _WHITE_SPACE.match(self._buffer)
        assert white_space is not None  # the pattern also matches an empty buffer
        del self._buffer[: white_space.end()]
        if self._buffer and self._buffer[0] != ord("{"):
            raise InvalidJsonStreamError(f"expected an object, found {bytes(self._buffer[:1])!r}")
        return bool(self._buffer)
