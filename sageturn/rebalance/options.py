"""The operator's settings for rebalancing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class RebalanceMode(StrEnum):
    """Whether migrations are planned and made; the values are those of the operator's file."""

    OFF = "off"
    DRY_RUN = "dry-run"
    ON = "on"


MODES = tuple(RebalanceMode)
MINUTES_PER_DAY = 24 * 60


class QuietSpan(NamedTuple):
    """A span of the UTC day, in minutes from midnight; one that ends before it begins passes midnight."""

    begin_minute: int
    end_minute: int  # not included

    def contains(self, minute: int) -> bool:
        """Whether ``minute`` of the UTC day is within the span."""
        if self.begin_minute <= self.end_minute:
            return self.begin_minute <= minute < self.end_minute
        return minute >= self.begin_minute or minute < self.end_minute


@dataclass(frozen=True, slots=True)
class RebalanceOptions:
    """The section ``rebalance`` of the operator's file; the field names are its keys.

    Times are in seconds, and ratios against the mean utilization of the fleet.
    """

    mode: str = RebalanceMode.OFF  # a ``RebalanceMode``
    start: float = 1.10  # the fullest endpoint's ratio at which migrating starts
    stop: float = 1.04  # the fullest endpoint's ratio at which migrating stops
    part_per_min: float = 0.10  # of a relay's own connections, migrated in a minute at most
    fleet_per_s: float = 0.0  # migrations per second of all relays together at most; 0: no bound
    burst: int = 32  # migrations at once at most, and connections of a group that is migrated
    least_age_s: float = 5.0  # younger connections are not migrated
    again_s: float = 300.0  # minimum time between two migrations of a client, doubled with each
    again_most_s: float = 3600.0  # upper bound of the doubled ``again_s``
    back_within_s: float = 10.0  # a migrated client not back by then is taken for lost or gone elsewhere
    keep_classes: frozenset[str] = frozenset({"guest-checkin"})  # never migrated
    keep_tenants: frozenset[str] = frozenset()  # never migrated
    quiet_hours: tuple[QuietSpan, ...] = ()  # without migrations for the sake of balance
    tick_s: float = 1.0
    remember: int = 8192  # migrated clients remembered; while there are so many, nobody is migrated

    def is_quiet_at(self, minute: int) -> bool:
        """Whether ``minute`` of the UTC day is within quiet hours."""
        return any(span.contains(minute) for span in self.quiet_hours)
