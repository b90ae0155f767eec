"""The pacing of live chunks, so that the changes of a burst share chunks. No I/O, no clock."""

from __future__ import annotations

from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass

LIVE_CHUNK_INTERVAL_S = {PriorityClass.URGENT: 0.05, PriorityClass.STATES: 0.25}  # mean interval
MAX_LIVE_BURST_CHUNKS = 4


class LiveChunkPacer:
    """Pacer of the live chunks of each priority class, by the generic cell rate algorithm (ITU-T I.371).

    Times are monotonic seconds that the caller passes in.
    """

    def __init__(self, opened_at: float) -> None:
        self._theoretical_arrival_at = dict.fromkeys(PRIORITY_CLASSES, opened_at)

    def next_chunk_at(self, priority: PriorityClass) -> float:
        """Return when the next live chunk may be sent; it is in the past while a burst is allowed."""
        burst_s = (MAX_LIVE_BURST_CHUNKS - 1) * LIVE_CHUNK_INTERVAL_S[priority]
        return self._theoretical_arrival_at[priority] - burst_s

    def on_chunk_sent(self, priority: PriorityClass, now: float) -> None:
        """Account for a live chunk."""
        arrival_at = max(now, self._theoretical_arrival_at[priority])
        self._theoretical_arrival_at[priority] = arrival_at + LIVE_CHUNK_INTERVAL_S[priority]
