"""How long ago each zone was last heard of, directly or through others."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.store.replication.messages import MAX_ZONES

NEVER_HEARD_AT = -1e18


class ZoneLiveness:
    """Zones are named ``region/zone``; times are seconds of a monotonic clock."""

    def __init__(self, own_zone: str | None) -> None:
        self._own_zone = own_zone
        self.last_heard_at: dict[str, float] = {}

    def ages(self, now: float) -> dict[str, float]:
        """Seconds since the last message that left each zone; 0 for one's own."""
        last_heard_at = dict(self.last_heard_at)
        if self._own_zone is not None:
            last_heard_at[self._own_zone] = now
        return {
            zone: 0.0 if zone == self._own_zone else round(max(0.0, now - heard_at), 1)
            for zone, heard_at in sorted(last_heard_at.items())
        }

    def merge(self, ages: dict[str, float], now: float) -> None:
        """Take over what a peer knows better."""
        for zone, age in ages.items():
            heard_at = now - age
            known_at = self.last_heard_at.get(zone)
            if known_at is not None:
                self.last_heard_at[zone] = max(heard_at, known_at)
            elif len(self.last_heard_at) < MAX_ZONES:
                self.last_heard_at[zone] = heard_at

    def is_any_silent(self, zones: Iterable[str], now: float, limit_s: float) -> bool:
        """Whether one of these zones, other than one's own, was not heard of for longer than the limit."""
        return any(
            now - self.last_heard_at.get(zone, NEVER_HEARD_AT) > limit_s
            for zone in zones
            if zone != self._own_zone
        )
