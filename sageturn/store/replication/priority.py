"""The two priority classes of records, each with its own change log, Merkle tree and send order."""

from __future__ import annotations

from enum import IntEnum

from sageturn.store.records import STATE_PREFIX


class PriorityClass(IntEnum):
    """The class of a record; its value is the position in every per-class list of the wire protocol."""

    URGENT = 0  # configuration and overrides
    STATES = 1  # state that nodes report of themselves repeatedly


PRIORITY_CLASSES = tuple(PriorityClass)


def priority_of(key: str) -> PriorityClass:
    """Return the class of a record, by its key."""
    return PriorityClass.STATES if key.startswith(STATE_PREFIX) else PriorityClass.URGENT
