"""The conditions under which migrating more clients would do harm."""

from __future__ import annotations

from enum import Enum


class OverloadSignal(Enum):
    """A reason to slow down or stop migrations.

    The names in lower case and the texts appear in the stored state and in explanations to operators.
    """

    LATE = "set-ups take longer than their class wants: moved clients would add to them"
    REFUSED = "clients fail fast: who is moved now may stay out"
    RESET = "hosts break standing connections: they are beyond what they can do"
    UNREACHABLE = "calls to hosts fail: where the moved would land is not sure"
    NOT_BACK = "moved clients do not come back: they may not get in"
    PUT_OUT = "a host is put out: the others carry its part"
    LIST_FAILED = "no watch on the list: a drain or a loss would not be heard of"
    DRAINING = "a host drains: its clients come to the others already"
    LOST = "a host left without draining, or started again: its clients come at once"
    REFUSING = "many clients fail fast: an outage"
    BREAKING = "many connections break: an outage"


# While one of these holds nothing is migrated, and migration starts slowly afterwards.
STOP_SIGNALS = frozenset(
    {
        OverloadSignal.LIST_FAILED,
        OverloadSignal.DRAINING,
        OverloadSignal.LOST,
        OverloadSignal.REFUSING,
        OverloadSignal.BREAKING,
    }
)
