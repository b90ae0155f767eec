"""Events at the clients of a run, by the names of counts in result files."""

from __future__ import annotations

from enum import StrEnum


class ClientEvent(StrEnum):
    """An event that a run counts; a simulated run and one on loopback count different ones."""

    CUT = "cut"  # connections that ended without a migration and before their time
    MIGRATED = "moved"
    CHECK_IN_MIGRATED = "checkin_moved"  # migrations of clients of the class that travels in no group

    # In a simulated run.
    REQUESTED = "asked"
    REJECTED = "refused"
    DROPPED = "dropped"  # connections that their clients ended because of a fault
    RELIEVED = "relieved"  # migrations by the balancer
    MIGRATED_AGAIN = "moved_twice"  # of MIGRATED, clients that had been migrated before
    GROUPS_MIGRATED = "groups_moved"
    GROUPS_SPLIT = "groups_split"  # groups of which a plan migrated only a part

    # On loopback.
    SET_UP = "set_up"
    BUSY = "busy"  # answers that reject a request
    ERROR = "error"  # answers that fail a request
    UNANSWERED = "unanswered"
    CONNECT_FAILED = "no_connect"
    MIGRATED_REPEATEDLY = "moved_again"
    LEFT_BEHIND = "left_behind"  # migrations after which members of the client's group stayed


def late_event(class_name: str) -> str:
    """Names the count of a class's set-ups that took longer than its latency objective."""
    return f"late_{class_name}"
