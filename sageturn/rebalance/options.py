"""Operator's settings for rebalancing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class RebalanceMode(StrEnum):
    """Extent to which migrations are planned and carried out; the values appear in the operator's file."""

    OFF = "off"
    DRY_RUN = "dry-run"
    ON = "on"


MODES = tuple(RebalanceMode)
MINUTES_PER_DAY = 24 * 60


class QuietSpan(NamedTuple):
    """Span of the UTC day, in minutes from midnight; if the end is before the begin, it spans midnight."""

    begin_minute: int
    end_minute: int  # exclusive

    def contains(self, minute: int) -> bool:
        """Return True if ``minute`` of the UTC day is within the span."""
        if self.begin_minute <= self.end_minute:
            return self.begin_minute <= minute < self.end_minute
        return minute >= self.begin_minute or minute < self.end_minute


@dataclass(frozen=True, slots=True)
class RebalanceOptions:
    """Section ``rebalance`` of the operator's file; the field names are its keys.

    Times are in seconds. A ratio is an endpoint's utilization divided by the mean. ``start`` and ``stop``
    also apply to the emptiest endpoint, at twice the distance from 1.
    """

    mode: str = RebalanceMode.OFF  # value of a ``RebalanceMode``
    start: float = 1.10  # migration starts if the fullest endpoint's ratio exceeds this
    stop: float = 1.04  # migration stops once the fullest endpoint's ratio is at most this
    part_per_min: float = 0.10  # maximum fraction of a relay's own connections migrated per minute
    fleet_per_s: float = 0.0  # maximum migrations per second of all relays together; 0: no limit
    burst: int = 32  # maximum migrations at once, and maximum connections of a migrated group
    least_age_s: float = 5.0  # younger connections are not migrated
    again_s: float = 300.0  # minimum time between two migrations of a client, doubled with each migration
    again_most_s: float = 3600.0  # upper bound of the doubled ``again_s``
    back_within_s: float = 10.0  # time until a migrated client that has not reconnected is overdue
    keep_classes: frozenset[str] = frozenset({"guest-checkin"})  # never migrated
    keep_tenants: frozenset[str] = frozenset()  # never migrated
    quiet_hours: tuple[QuietSpan, ...] = ()  # no migrations for balance; evacuations continue
    tick_s: float = 1.0  # interval of the planner's ticks
    remember: int = 8192  # capacity of the migration history; while it is full, nobody is migrated

    def is_quiet_at(self, minute: int) -> bool:
        """Return True if ``minute`` of the UTC day is within quiet hours."""
        return any(span.contains(minute) for span in self.quiet_hours)
