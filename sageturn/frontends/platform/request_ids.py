"""The request ids in use: one that a client has used cannot be another's."""

from __future__ import annotations

MAX_REMEMBERED_IDS = 4096  # a misbehaving client repeats an id that it has just seen


class RequestIds:
    """Ids are unique for each connection, so a second use of one is a client's fault.

    Also of one whose request has ended: the most recent of those are remembered.
    """

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._ended: dict[bytes, None] = {}  # oldest first

    def claim(self, request_id: bytes) -> bool:
        """False if the id was used before."""
        if request_id in self._open or request_id in self._ended:
            return False
        self._open.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """The request of this id has ended."""
        self._open.discard(request_id)
        self._ended[request_id] = None
        if len(self._ended) > MAX_REMEMBERED_IDS:
            del self._ended[next(iter(self._ended))]
