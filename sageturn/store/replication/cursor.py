"""Cursors: how far one replica has followed another's change logs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

BACKLOG_UNKNOWN = -1  # on the wire too; anti-entropy finds out what is missing
MAX_REMEMBERED_INCARNATIONS = 2048


class ChangeStream(IntEnum):
    """The two ranges of a change log that are sent side by side: before and after the session was opened.

    The values are those of the wire protocol.
    """

    LIVE = 0
    BACKLOG = 1


@dataclass(slots=True)
class Cursor:
    """A position in a change log: all changes up to ``backlog``, and after ``backlog_end`` up to ``live``.

    ``backlog`` may be ``BACKLOG_UNKNOWN``.
    """

    backlog: int
    backlog_end: int
    live: int

    @property
    def is_backlog_complete(self) -> bool:
        """Whether nothing before the live changes is missing."""
        return self.backlog >= self.backlog_end

    def has_all_up_to(self, revision: int) -> bool:
        """Whether every change up to a revision is held."""
        return self.is_backlog_complete and self.live >= revision


class CursorCache:
    """Caches the cursors of peers' incarnations, for a later session with the same incarnation.

    The least recently used are dropped first.
    """

    def __init__(self) -> None:
        self._cursors: OrderedDict[int, list[Cursor]] = OrderedDict()

    def get(self, incarnation: int) -> list[Cursor] | None:
        """Returns the cursors by priority class; None for an incarnation that is not known."""
        return self._cursors.get(incarnation)

    def items(self) -> Iterable[tuple[int, list[Cursor]]]:
        """Returns all incarnations with their cursors."""
        return self._cursors.items()

    def remember(self, incarnation: int, cursors: list[Cursor]) -> None:
        """Keeps the cursors of a session, which goes on to update them."""
        self._cursors[incarnation] = cursors
        self._cursors.move_to_end(incarnation)
        if len(self._cursors) > MAX_REMEMBERED_INCARNATIONS:
            self._cursors.popitem(last=False)

    def clear(self) -> None:
        """Drops all cursors, when this replica begins a new incarnation."""
        self._cursors.clear()
