"""Streak of rejections since a relay's last attempt, after which a request may exceed the relay's quota.

A relay that holds its quota of connections would reject all its clients until one connection ends, however
many arrive. Its quota is an even part of the fleet's, but its traffic need not be. The set-up window, slow
start and the endpoints' quotas still apply, and the latter bound the sum over all relays.

The module is pure: it has no clock and does no I/O.
"""

from __future__ import annotations

MAX_STREAK_MS = 3000.0  # longest streak, from its first rejection
MIN_REJECTIONS = 12  # fewer prove little: another relay may have headroom for the next client


class RejectionStreak:
    """Counter of the requests that were rejected since the last attempt."""

    def __init__(self) -> None:
        self._count = 0
        self._began_ms = 0.0  # time of the first rejection

    def record_rejection(self, now_ms: float) -> None:
        """Count a request that is rejected without an attempt."""
        if not self._count:
            self._began_ms = now_ms
        self._count += 1

    def reset(self) -> None:
        """Reset the streak, because an attempt is made."""
        self._count = 0

    def is_limit_reached(self, now_ms: float) -> bool:
        """Return True if the streak is too long for the next request to be rejected by the quota."""
        return self._count >= MIN_REJECTIONS and now_ms >= self._began_ms + MAX_STREAK_MS
