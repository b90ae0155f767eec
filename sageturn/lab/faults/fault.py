"""Faults of a simulated day: a kind, a start, a length, the affected ratio and a strength.

The field names are the keys of an experiment file.
"""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.lab.errors import InvalidFaultError

# By kind: what ``part`` and ``strength`` mean; "-" where the kind has none.
FAULT_KINDS = {
    "slow": ("of the hosts", "times slower"),
    "store": ("-", "times slower: the session store that every set-up calls"),
    "burst": ("-", "times the usual arrivals"),
    "reconnect": ("of the clients drop and reconnect within the length", "-"),
    "vanish": ("of the hosts stop answering, and stay on the endpoint list", "-"),
    "restart": ("of the hosts stop, and start again under their names after the length", "-"),
    "drain": ("of the hosts drain over the length, and are gone then", "-"),
    "discovery": ("-", "-: the endpoint list isn't updated"),
    "flap": ("of the hosts leave the endpoint list and return every 2 s", "-"),
    "relays": ("of the relays are killed, and start again after the length", "-"),
    "beyond": ("-", "times its usual arrivals from the largest tenant"),
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a day; times in seconds from the day's start."""

    kind: str
    start_s: float
    length_s: float
    part: float = 0.25
    strength: float = 4.0

    def __post_init__(self) -> None:
        """Raise InvalidFaultError for a value outside its bounds."""
        if self.kind not in FAULT_KINDS:
            raise InvalidFaultError(f"kind: {self.kind} must be one of {', '.join(FAULT_KINDS)}")
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
        """Whether it is in effect at a moment."""
        return self.start_s <= now_s < self.end_s

    def starts_within(self, now_s: float, step_s: float) -> bool:
        """Whether it starts in the step that begins now."""
        return now_s <= self.start_s < now_s + step_s

    def ends_within(self, now_s: float, step_s: float) -> bool:
        """Whether it ends in the step that begins now."""
        return now_s <= self.end_s < now_s + step_s
