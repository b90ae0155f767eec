"""What goes wrong on a day: kinds of trouble, each with a start, a length, a part and a strength."""

from __future__ import annotations

from dataclasses import dataclass

# kind: what ``part`` and ``strength`` mean; "-" where the kind has none
FAULT_KINDS = {
    "slow": ("of the hosts", "times slower"),
    "store": ("-", "times slower: the session store that every set-up calls"),
    "burst": ("-", "times the usual arrivals"),
    "reconnect": ("of the clients drop and come again within the length", "-"),
    "vanish": ("of the hosts fall silent, and are listed all the while", "-"),
    "restart": ("of the hosts die, and start again under their names after the length", "-"),
    "drain": ("of the hosts drain over the length, and are gone then", "-"),
    "discovery": ("-", "-: nothing is told of the list"),
    "flap": ("of the hosts leave the list and return every 2 s", "-"),
    "relays": ("of the relays are killed, and start again after the length", "-"),
    "beyond": ("-", "times its usual arrivals from the largest member"),
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """Times in seconds from the day's start."""

    kind: str
    start_s: float
    length_s: float
    part: float = 0.25
    strength: float = 4.0

    def __post_init__(self) -> None:
        if self.kind not in FAULT_KINDS:
            raise ValueError(f"kind: {self.kind} must be one of {', '.join(FAULT_KINDS)}")
        if self.start_s < 0 or self.length_s <= 0:
            raise ValueError("start_s must not be negative, and length_s must be above 0")
        if not 0 < self.part <= 1:
            raise ValueError("part: must be above 0 and at most 1")
        if self.strength < 1:
            raise ValueError("strength: must be 1 or more")

    def on(self, now_s: float) -> bool:
        return self.start_s <= now_s < self.start_s + self.length_s

    def begins(self, now_s: float, step_s: float) -> bool:
        return now_s <= self.start_s < now_s + step_s

    def ends(self, now_s: float, step_s: float) -> bool:
        return now_s <= self.start_s + self.length_s < now_s + step_s
