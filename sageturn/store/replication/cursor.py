"""Cursors: how far one replica has followed another's change logs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

BACKLOG_UNKNOWN = -1  # also sent on the wire; anti-entropy then finds the missing records
MAX_CACHED_INCARNATIONS = 2048


class StreamKind(IntEnum):
    """Range of a change log: changes before or after the session was opened, which are sent concurrently.

    The values are those of the wire protocol.
    """

    LIVE = 0
    BACKLOG = 1


@dataclass(slots=True)
class Cursor:
    """Position of a follower in a change log.

    All changes up to ``backlog`` were received, and those after ``backlog_end`` up to ``live``. ``backlog``
    may be ``BACKLOG_UNKNOWN``.
    """

    backlog: int
    backlog_end: int
    live: int

    @property
    def is_backlog_complete(self) -> bool:
        """True if nothing before the live changes is missing."""
        return self.backlog >= self.backlog_end

    def has_all_up_to(self, revision: int) -> bool:
        """Return whether every change up to a revision was received."""
        return self.is_backlog_complete and self.live >= revision


class CursorCache:
    """Cache of the cursors of peers' incarnations, for a later session with the same incarnation.

    The least recently followed incarnations are evicted first.
    """

    def __init__(self) -> None:
        self._cursors: OrderedDict[int, list[Cursor]] = OrderedDict()

    def get(self, incarnation: int) -> list[Cursor] | None:
        """Return the cursors by priority class; None for an incarnation that is not cached."""
        return self._cursors.get(incarnation)

    def items(self) -> Iterable[tuple[int, list[Cursor]]]:
        """Return all incarnations with their cursors."""
        return self._cursors.items()

    def cache(self, incarnation: int, cursors: list[Cursor]) -> None:
        """Cache the cursors of a session, which continues to update them in place."""
        self._cursors[incarnation] = cursors
        self._cursors.move_to_end(incarnation)
        if len(self._cursors) > MAX_CACHED_INCARNATIONS:
            self._cursors.popitem(last=False)

    def clear(self) -> None:
        """Drop all cursors, when this replica begins a new incarnation."""
        self._cursors.clear()
