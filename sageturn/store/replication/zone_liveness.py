"""The liveness of zones: how long ago each was last heard from, directly or through others."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.store.replication.messages import MAX_ZONES


class ZoneLiveness:
    """Tracks zones by their labels, ``region/zone``. Times are monotonic seconds.

    ``last_heard_at`` has the time at which the last message known to have left a zone was sent.
    """

    def __init__(self, own_zone: str | None) -> None:
        """``own_zone`` is None for an ephemeral client, which is in no zone."""
        self._own_zone = own_zone
        self.last_heard_at: dict[str, float] = {}

    def ages(self, now: float) -> dict[str, float]:
        """Returns the seconds since the last message left each zone, rounded; 0 for this member's own."""
        last_heard_at = dict(self.last_heard_at)
        if self._own_zone is not None:
            last_heard_at[self._own_zone] = now
        return {
            zone: 0.0 if zone == self._own_zone else round(max(0.0, now - heard_at), 1)
            for zone, heard_at in sorted(last_heard_at.items())
        }

    def merge(self, ages: dict[str, float], now: float) -> None:
        """Takes over what a peer knows better: ``ages`` is seconds by zone."""
        for zone, age in ages.items():
            heard_at = now - age
            known_at = self.last_heard_at.get(zone)
            if known_at is not None:
                self.last_heard_at[zone] = max(heard_at, known_at)
            elif len(self.last_heard_at) < MAX_ZONES:
                self.last_heard_at[zone] = heard_at

    def is_any_silent(self, zones: Iterable[str], now: float, limit_s: float) -> bool:
        """Whether one of these zones, other than this member's own, was silent for longer than the limit."""
        return any(self._is_silent(zone, now, limit_s) for zone in zones if zone != self._own_zone)

    def _is_silent(self, zone: str, now: float, limit_s: float) -> bool:
        heard_at = self.last_heard_at.get(zone)
        return heard_at is None or now - heard_at > limit_s
