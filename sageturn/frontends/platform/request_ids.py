"""Keeps the request ids in use, so that no two requests have the same."""

from __future__ import annotations

MAX_REMEMBERED_IDS = 4096  # of requests that have ended; misbehaving clients repeat recent ids


class RequestIds:
    """Rejects ids that are in use, or were used by one of the latest requests that have ended.

    Each connection must have an id of its own, so reusing one is a fault of the client.
    """

    def __init__(self) -> None:
        self._in_use: set[bytes] = set()
        self._ended: dict[bytes, None] = {}  # oldest first

    def claim(self, request_id: bytes) -> bool:
        """Reserve an id for a request; returns False if it was used before."""
        if request_id in self._in_use or request_id in self._ended:
            return False
        self._in_use.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Note that the request with this id has ended."""
        self._in_use.discard(request_id)
        self._ended[request_id] = None
        if len(self._ended) > MAX_REMEMBERED_IDS:
            del self._ended[next(iter(self._ended))]
