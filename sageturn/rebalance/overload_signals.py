"""Overload signals: conditions under which further migrations would do harm."""

from __future__ import annotations

from enum import StrEnum


class OverloadSignal(StrEnum):
    """Reason to slow down or stop migrations; the values are the names in the stored state."""

    SLOW_SETUPS = "late"
    REJECTIONS = "refused"
    RESETS = "reset"
    CONNECT_FAILURES = "unreachable"
    MISSING_CLIENTS = "not_back"
    ENDPOINT_EJECTED = "put_out"
    ENDPOINT_LIST_FAILED = "list_failed"
    ENDPOINT_DRAINING = "draining"
    ENDPOINT_LOST = "lost"
    REJECTION_OUTAGE = "refusing"
    RESET_OUTAGE = "breaking"

    @property
    def explanation(self) -> str:
        """Text that explains the signal to operators."""
        return _EXPLANATIONS[self]


_EXPLANATIONS = {
    OverloadSignal.SLOW_SETUPS: "set-ups take longer than their class wants: moved clients would add to them",
    OverloadSignal.REJECTIONS: "clients fail fast: who is moved now may stay out",
    OverloadSignal.RESETS: "hosts break standing connections: they are beyond what they can do",
    OverloadSignal.CONNECT_FAILURES: "calls to hosts fail: where the moved would land is not sure",
    OverloadSignal.MISSING_CLIENTS: "moved clients do not come back: they may not get in",
    OverloadSignal.ENDPOINT_EJECTED: "a host is put out: the others carry its part",
    OverloadSignal.ENDPOINT_LIST_FAILED: "no watch on the list: a drain or a loss would not be heard of",
    OverloadSignal.ENDPOINT_DRAINING: "a host drains: its clients come to the others already",
    OverloadSignal.ENDPOINT_LOST: (
        "a host left without draining, or started again: its clients come at once"
    ),
    OverloadSignal.REJECTION_OUTAGE: "many clients fail fast: an outage",
    OverloadSignal.RESET_OUTAGE: "many connections break: an outage",
}

# While one of these signals holds, nothing is migrated; migration then resumes at a low rate.
STOP_SIGNALS = frozenset(
    {
        OverloadSignal.ENDPOINT_LIST_FAILED,
        OverloadSignal.ENDPOINT_DRAINING,
        OverloadSignal.ENDPOINT_LOST,
        OverloadSignal.REJECTION_OUTAGE,
        OverloadSignal.RESET_OUTAGE,
    }
)
