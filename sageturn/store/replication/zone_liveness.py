"""The liveness of zones: the time of the last message from each zone, received directly or through others."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.store.replication.messages import MAX_ZONES


class ZoneLiveness:
    """Table of zones by their labels, ``region/zone``. Times are monotonic seconds.

    Attributes:
        last_heard_at: The time at which the last known message from each zone was sent.
    """

    def __init__(self, own_zone: str | None) -> None:
        """Create an empty table; ``own_zone`` is None for an ephemeral client, which is in no zone."""
        self._own_zone = own_zone
        self.last_heard_at: dict[str, float] = {}

    def ages(self, now: float) -> dict[str, float]:
        """Return the rounded seconds since the last message from each zone; 0 for this member's own zone."""
        last_heard_at = dict(self.last_heard_at)
        if self._own_zone is not None:
            last_heard_at[self._own_zone] = now
        return {
            zone: 0.0 if zone == self._own_zone else round(max(0.0, now - heard_at), 1)
            for zone, heard_at in sorted(last_heard_at.items())
        }

    def merge(self, ages: dict[str, float], now: float) -> None:
        """Apply the ages in seconds by zone that a peer has sent; the more recent time of a zone wins."""
        for zone, age in ages.items():
            heard_at = now - age
            known_at = self.last_heard_at.get(zone)
            if known_at is not None:
                self.last_heard_at[zone] = max(heard_at, known_at)
            elif len(self.last_heard_at) < MAX_ZONES:
                self.last_heard_at[zone] = heard_at

    def is_any_unresponsive(self, zones: Iterable[str], now: float, limit_s: float) -> bool:
        """Return whether any of the zones, other than this member's own, has sent nothing for ``limit_s``."""
        return any(self._is_unresponsive(zone, now, limit_s) for zone in zones if zone != self._own_zone)

    def _is_unresponsive(self, zone: str, now: float, limit_s: float) -> bool:
        heard_at = self.last_heard_at.get(zone)
        return heard_at is None or now - heard_at > limit_s
