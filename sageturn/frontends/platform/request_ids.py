"""Tracks request ids, so that no two requests have the same one."""

from __future__ import annotations

MAX_REMEMBERED_IDS = 4096  # bounds the ids of ended requests; misbehaving clients repeat recent ids


class RequestIds:
    """Set of the ids that are in use, and of those that the latest ended requests used.

    A client must choose a new id for each connection, so a reused id is the client's fault.
    """

    def __init__(self) -> None:
        self._in_use: set[bytes] = set()
        self._recently_used: dict[bytes, None] = {}  # oldest first

    def claim(self, request_id: bytes) -> bool:
        """Reserve an id for a request; return False if it is in use, or was used recently."""
        if request_id in self._in_use or request_id in self._recently_used:
            return False
        self._in_use.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Record that the request with this id has ended; the id stays rejected for a while."""
        self._in_use.discard(request_id)
        self._recently_used[request_id] = None
        if len(self._recently_used) > MAX_REMEMBERED_IDS:
            del self._recently_used[next(iter(self._recently_used))]
