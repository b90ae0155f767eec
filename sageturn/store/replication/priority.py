"""The two priority classes of records; each has a change log, a Merkle tree and a send order of its own."""

from __future__ import annotations

from enum import IntEnum

from sageturn.store.records import STATE_PREFIX


class PriorityClass(IntEnum):
    """Values are the class's position in every per-class list of the wire protocol."""

    URGENT = 0  # somebody's decision: configuration, overrides
    STATES = 1  # what nodes report of themselves, again and again


PRIORITY_CLASSES = tuple(PriorityClass)


def priority_of(key: str) -> PriorityClass:
    """The class of a record, by its key."""
    return PriorityClass.STATES if key.startswith(STATE_PREFIX) else PriorityClass.URGENT
