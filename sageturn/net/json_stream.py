"""Splits a stream of JSON objects into complete ones, wherever it is cut and whatever white space it has."""

from __future__ import annotations

import re
from collections.abc import Iterator

from sageturn.net.errors import InvalidJsonStreamError

_WHITE_SPACE = re.compile(rb"[ \t\r\n]*")
# Up to the next brace outside of strings. Possessive: a string that is not yet complete is not skipped even
# in part, so the match ends before its quote, with no brace.
_NEXT_BRACE = re.compile(rb'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])?', re.DOTALL)


class JsonObjectSplitter:
    """Looks only at braces and strings; whether an object is valid JSON is for its decoder to find out."""

    def __init__(self, max_object_bytes: int) -> None:
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()  # begins with an object, or is empty
        self._scanned_bytes = 0  # of the buffer
        self._depth = 0  # braces open at the end of what was scanned

    @property
    def is_inside_object(self) -> bool:
        """Whether an object has begun and is not yet complete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the objects that ``data`` completes, one by one: those before an error are yielded too."""
        self._buffer += data
        while True:
            if not self._depth and not self._skip_to_object():
                break
            match = _NEXT_BRACE.match(self._buffer, self._scanned_bytes)
            assert match is not None  # it matches the empty text too
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
        """Drop white space; True where an object begins. Between objects nothing else may stand."""
        white_space = _WHITE_SPACE.match(self._buffer)
        assert white_space is not None  # it matches the empty text too
        del self._buffer[: white_space.end()]
        if self._buffer and self._buffer[0] != ord("{"):
            raise InvalidJsonStreamError(f"expected an object, found {bytes(self._buffer[:1])!r}")
        return bool(self._buffer)
