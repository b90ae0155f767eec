"""What an operator sets for rebalancing."""

from __future__ import annotations

from dataclasses import dataclass

MODES = ("off", "dry-run", "on")
DAY_MIN = 24 * 60


@dataclass(frozen=True, slots=True)
class RebalanceOptions:
    """Times in seconds, ratios against the mean of the fleet; ``quiet_hours`` in minutes of the UTC day."""

    mode: str = "off"
    start: float = 1.10  # the fullest host against the mean: planning starts above this
    stop: float = 1.04  # and goes on until it is under this
    part_per_min: float = 0.10  # of a relay's own connections, moved in a minute at most
    fleet_per_s: float = 0.0  # moves a second of all relays together at most; 0: no such bound
    burst: int = 32  # moves at once at most, so also the largest group that is ever moved
    least_age_s: float = 5.0
    again_s: float = 300.0  # the least time between two moves of one client, doubled with each move
    again_most_s: float = 3600.0  # up to this
    back_within_s: float = 10.0  # a moved client not back by then is taken for lost or gone elsewhere
    keep_classes: frozenset[str] = frozenset({"guest-checkin"})
    keep_tenants: frozenset[str] = frozenset()
    quiet_hours: tuple[tuple[int, int], ...] = ()
    tick_s: float = 1.0
    remember: int = 8192  # moved clients remembered; with no room for another, nobody is moved

    def quiet(self, minute: int) -> bool:
        """Whether ``minute`` of the UTC day lies in quiet hours; a span may pass midnight."""
        return any(
            begin <= minute < end if begin <= end else minute >= begin or minute < end
            for begin, end in self.quiet_hours
        )
