"""Status of an override, as relays report it and commands show it."""

from __future__ import annotations

from enum import StrEnum


class OverrideStatus(StrEnum):
    """Status of an override at one relay; the values appear in the relay's state record."""

    IN_FORCE = "in force"
    DORMANT = "dormant"  # none of its endpoints is listed
    SUSPENDED = "suspended"
    EXPIRED = "lapsed"
    REVOKED = "revoked"
