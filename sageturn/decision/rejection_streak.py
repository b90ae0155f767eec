"""The rejections since a relay's last attempt, and when the next request is let past the relay's quota.

A relay that holds its quota of connections would reject all its clients until one connection ends, however
many come. Its quota is an even part of the fleet's, and its traffic need not be. The set-up window, slow
start and the quotas of the endpoints still hold, and the latter bound the sum of all relays.

The module is pure: it has no clock and does no I/O.
"""

from __future__ import annotations

MAX_STREAK_MS = 3000.0  # since the first rejection
MIN_REJECTIONS = 12  # fewer say little: the next client may find room at another relay


class RejectionStreak:
    """Counts the requests that were rejected since the last attempt."""

    def __init__(self) -> None:
        self._count = 0
        self._began_ms = 0.0  # the first of them

    def record_rejection(self, now_ms: float) -> None:
        """Count a request that is rejected without an attempt."""
        if not self._count:
            self._began_ms = now_ms
        self._count += 1

    def end(self) -> None:
        """Begin anew: an attempt is made."""
        self._count = 0

    def is_overdue(self, now_ms: float) -> bool:
        """Whether so many requests were rejected for so long that the next one should not be."""
        return self._count >= MIN_REJECTIONS and now_ms >= self._began_ms + MAX_STREAK_MS
