"""Events at the clients of a run, whose values are the names of counts in result files."""

from __future__ import annotations

from enum import StrEnum


class ClientEvent(StrEnum):
    """Event that a run counts; simulated runs and runs on loopback count different ones."""

    CUT = "cut"  # connections that ended early and without a migration
    MIGRATED = "moved"
    CHECK_IN_MIGRATED = "checkin_moved"  # migrations of clients of the class without groups

    # Events of a simulated run.
    REQUESTED = "asked"
    REJECTED = "refused"
    DROPPED = "dropped"  # connections that their clients closed because of a fault
    MIGRATED_BY_BALANCER = "relieved"
    MIGRATED_AGAIN = "moved_twice"  # events counted in MIGRATED whose client had been migrated before
    GROUPS_MIGRATED = "groups_moved"
    GROUPS_SPLIT = "groups_split"  # groups that a plan migrated only in part

    # Events of a run on loopback.
    SET_UP = "set_up"
    BUSY = "busy"  # responses that reject a request
    ERROR = "error"  # responses that fail a request
    UNANSWERED = "unanswered"
    CONNECT_FAILED = "no_connect"
    MIGRATED_REPEATEDLY = "moved_again"
    # Migrations after which other members of the client's group remained connected.
    LEFT_BEHIND = "left_behind"


def late_setup_key(class_name: str) -> str:
    """Return the key of the count of a class's set-ups that exceeded its latency objective."""
    return f"late_{class_name}"
