"""Tracks request ids, so that no two requests have the same one."""

from __future__ import annotations

# Bound the ids of ended requests. Those of requests without an attempt are remembered apart, so that a flood
# of them makes the relay forget none that may have been executed.
MAX_REMEMBERED_IDS = 4096
MAX_REMEMBERED_UNSENT_IDS = 4096


class RecentIds:
    """Set of the latest ids that were added, up to a limit."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: dict[bytes, None] = {}  # oldest first

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._ids

    def add(self, request_id: bytes) -> None:
        """Add an id, and forget the oldest one beyond the limit."""
        self._ids[request_id] = None
        if len(self._ids) > self._max_ids:
            del self._ids[next(iter(self._ids))]


class RequestIds:
    """Set of the ids that are in use, and of those that the latest ended requests used.

    A client must choose a new id for each connection, so a reused id is the client's fault.
    """

    def __init__(self) -> None:
        self._in_use: set[bytes] = set()
        self._sent = RecentIds(MAX_REMEMBERED_IDS)
        self._unsent = RecentIds(MAX_REMEMBERED_UNSENT_IDS)

    def claim(self, request_id: bytes) -> bool:
        """Reserve an id for a request; return False if it is in use, or was used recently."""
        if request_id in self._in_use or request_id in self._sent or request_id in self._unsent:
            return False
        self._in_use.add(request_id)
        return True

    def release(self, request_id: bytes, *, was_sent: bool) -> None:
        """Record that the request with this id has ended; the id stays rejected for a while.

        Args:
            request_id: the id.
            was_sent: whether an attempt was made, so that an endpoint may have executed the request.
        """
        self._in_use.discard(request_id)
        (self._sent if was_sent else self._unsent).add(request_id)
