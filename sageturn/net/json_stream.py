"""Cuts a stream of JSON objects into whole ones, however it comes in pieces and wherever lines end in it."""

from __future__ import annotations

import re
from collections.abc import Iterator

_WHITE = re.compile(rb"[ \t\r\n]*")
# Up to the next brace outside of strings. Possessive: of a string that is not yet whole nothing is passed
# over, so the match ends before its quote, with no brace.
_BRACE = re.compile(rb'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])?', re.DOTALL)


class NoObject(ValueError):
    """What came can be no object, or is too long for one."""


class ObjectCutter:
    """Looks only at braces and strings; whether an object is good JSON is for its reader to say."""

    def __init__(self, most: int) -> None:
        """``most``: octets that one object may have."""
        self._most = most
        self._held = bytearray()  # begins with an object, or is empty
        self._seen = self._depth = 0  # in what is held: how much was looked at, and braces open there

    @property
    def within(self) -> bool:
        """Whether an object has begun and is not yet whole."""
        return bool(self._held)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Those that are whole by now, one by one: the ones before a fault have come all the same."""
        self._held += data
        while True:
            if not self._depth and not self._begin():
                break
            match = _BRACE.match(self._held, self._seen)
            assert match is not None  # it matches nothing at all, too
            self._seen = match.end()
            if match[1] is None:
                break
            self._depth += 1 if match[1] == b"{" else -1
            if not self._depth:
                text = bytes(self._held[: self._seen])
                del self._held[: self._seen]
                self._seen = 0
                yield text
        if len(self._held) > self._most:
            raise NoObject("object too long")

    def _begin(self) -> bool:
        """Whether anything but white space is held; between objects nothing else may stand."""
        white = _WHITE.match(self._held)
        assert white is not None  # it matches nothing at all, too
        del self._held[: white.end()]
        if self._held and self._held[0] != ord("{"):
            raise NoObject("no object")
        return bool(self._held)
