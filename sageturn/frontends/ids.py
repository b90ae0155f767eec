"""Request ids in use: one that a client was heard to use cannot be another's."""

from __future__ import annotations

KEPT_MOST = 4096  # ended ones remembered; a bad client repeats an id that it has just seen


class RequestIds:
    """Each id is fresh for each connection, so a second use is a fault wherever the first one stands."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._ended: dict[bytes, None] = {}  # oldest first

    def take(self, request_id: bytes) -> bool:
        if request_id in self._open or request_id in self._ended:
            return False
        self._open.add(request_id)
        return True

    def end(self, request_id: bytes) -> None:
        self._open.discard(request_id)
        self._ended[request_id] = None
        if len(self._ended) > KEPT_MOST:
            del self._ended[next(iter(self._ended))]
