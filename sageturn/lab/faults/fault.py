"""Faults of a simulated run: a kind, a start, a length, the affected fraction and a strength.

The field names are the keys of an experiment file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sageturn.lab.errors import InvalidFaultError


class FaultKind(StrEnum):
    """Kind of a fault; ``part`` and ``strength`` in the comments are fields of ``ScheduledFault``."""

    SLOW = "slow"  # ``part`` of the endpoints are ``strength`` times slower
    STORE = "store"  # the session store, which every set-up calls, is ``strength`` times slower
    BURST = "burst"  # ``strength`` times the usual arrivals
    RECONNECT = "reconnect"  # ``part`` of the clients disconnect and reconnect within the length
    VANISH = "vanish"  # ``part`` of the endpoints become unresponsive, but stay on the endpoint list
    RESTART = "restart"  # ``part`` of the endpoints stop, and restart under the same names after the length
    DRAIN = "drain"  # ``part`` of the endpoints drain over the length, and stop at its end
    DISCOVERY = "discovery"  # the discovery watch fails: the endpoint list is not updated
    FLAP = "flap"  # ``part`` of the endpoints leave the endpoint list and return every 2 s
    RELAYS = "relays"  # ``part`` of the relays are killed, and restart after the length
    BEYOND = "beyond"  # the largest tenant has ``strength`` times its usual arrivals


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """Fault of a run; times are seconds since the start of the run."""

    kind: str  # value of FaultKind; a plain string, so that an error can quote an invalid value
    start_s: float
    length_s: float
    part: float = 0.25
    strength: float = 4.0

    def __post_init__(self) -> None:
        """Check the values.

        Raises:
            InvalidFaultError: The kind is unknown, or a value is out of bounds.
        """
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
        """End of the fault, in seconds since the start of the run."""
        return self.start_s + self.length_s

    def is_active(self, now_s: float) -> bool:
        """Return True if the fault is in effect at ``now_s``."""
        return self.start_s <= now_s < self.end_s

    def starts_within(self, now_s: float, step_s: float) -> bool:
        """Return True if the fault starts in the step that begins at ``now_s``."""
        return now_s <= self.start_s < now_s + step_s

    def ends_within(self, now_s: float, step_s: float) -> bool:
        """Return True if the fault ends in the step that begins at ``now_s``."""
        return now_s <= self.end_s < now_s + step_s
