"""How far one replica has followed another's change logs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

BACKLOG_UNKNOWN = -1  # anti-entropy has to find out what is missing
MAX_REMEMBERED_INCARNATIONS = 2048


class ChangeStream(IntEnum):
    """The two ranges of a change log that are sent side by side; values are those of the wire protocol."""

    LIVE = 0  # changes after the session was opened
    BACKLOG = 1  # changes before that


@dataclass(slots=True)
class Cursor:
    """Held are all changes up to ``backlog``, and all after ``backlog_end`` up to ``live``."""

    backlog: int  # ``BACKLOG_UNKNOWN``, or a revision
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
    """The cursors of peers' incarnations, for a later session with the same incarnation.

    The least recently used are dropped first.
    """

    def __init__(self) -> None:
        self._cursors: OrderedDict[int, list[Cursor]] = OrderedDict()

    def get(self, incarnation: int) -> list[Cursor] | None:
        """The cursors by priority class; None for an incarnation that is not known."""
        return self._cursors.get(incarnation)

    def items(self) -> Iterable[tuple[int, list[Cursor]]]:
        """All incarnations with their cursors."""
        return self._cursors.items()

    def remember(self, incarnation: int, cursors: list[Cursor]) -> None:
        """Keep the cursors of a session, which go on being updated."""
        self._cursors[incarnation] = cursors
        self._cursors.move_to_end(incarnation)
        if len(self._cursors) > MAX_REMEMBERED_INCARNATIONS:
            self._cursors.popitem(last=False)

    def clear(self) -> None:
        """Forget all of them: this replica begins an incarnation of its own."""
        self._cursors.clear()
