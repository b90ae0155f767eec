"""How far one replica has followed another's change logs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

BACKLOG_UNKNOWN = -1  # anti-entropy has to find out what is missing


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
