"""Faults of a simulated day: a kind, a start, a length, the affected ratio and a strength.

The field names are the keys of an experiment file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sageturn.lab.errors import InvalidFaultError


class FaultKind(StrEnum):
    """The kind of a fault. ``part`` and ``strength`` are those of the fault, where the comment names them."""

    SLOW = "slow"  # ``part`` of the hosts are ``strength`` times slower
    STORE = "store"  # the session store that every set-up calls is ``strength`` times slower
    BURST = "burst"  # ``strength`` times the usual arrivals
    RECONNECT = "reconnect"  # ``part`` of the clients drop and reconnect within the length
    VANISH = "vanish"  # ``part`` of the hosts stop answering, and stay on the endpoint list
    RESTART = "restart"  # ``part`` of the hosts stop, and start again under their names after the length
    DRAIN = "drain"  # ``part`` of the hosts drain over the length, and are gone then
    DISCOVERY = "discovery"  # the endpoint list isn't updated
    FLAP = "flap"  # ``part`` of the hosts leave the endpoint list and return every 2 s
    RELAYS = "relays"  # ``part`` of the relays are killed, and start again after the length
    BEYOND = "beyond"  # ``strength`` times its usual arrivals from the largest tenant


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a day; times in seconds from the day's start."""

    kind: str  # of FaultKind; a plain string, so that an error names the file's value
    start_s: float
    length_s: float
    part: float = 0.25
    strength: float = 4.0

    def __post_init__(self) -> None:
        """Raises InvalidFaultError for a value outside its bounds."""
        if self.kind not in list(FaultKind):
            raise InvalidFaultError(f"kind: {self.kind} must be one of {', '.join(FaultKind)}")
        if self.start_s < 0 or self.length_s <= 0:
            raise InvalidFaultError("start_s must not be negative, and length_s must be above 0")
        if not 0 < self.part <= 1:
            raise InvalidFaultError("part: must be above 0 and at most 1")
        if self.strength < 1:
            raise InvalidFaultError("strength: must be 1 or more")

    @property
    def end_s(self) -> float:
        """Seconds from the day's start to the fault's end."""
        return self.start_s + self.length_s

    def is_active(self, now_s: float) -> bool:
        """Whether the fault is in effect at a moment."""
        return self.start_s <= now_s < self.end_s

    def starts_within(self, now_s: float, step_s: float) -> bool:
        """Whether the fault starts in the step that begins now."""
        return now_s <= self.start_s < now_s + step_s

    def ends_within(self, now_s: float, step_s: float) -> bool:
        """Whether the fault ends in the step that begins now."""
        return now_s <= self.end_s < now_s + step_s
