"""Detects from heartbeats whether the two replicas of a session hold the same records."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sageturn.store.replication.chunk_receiver import ChunkReceiver
from sageturn.store.replication.chunk_sender import ChunkSender
from sageturn.store.replication.messages import Heartbeat
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords

MIN_DIVERGED_HEARTBEATS = 2  # consecutive heartbeats before anti-entropy starts


@dataclass(frozen=True, slots=True)
class _SyncPoint:
    """Heads of both sides' change logs at a heartbeat."""

    peer_heads: Sequence[int]
    own_heads: Sequence[int]
    wall_clock_s: float


class ConvergenceMonitor:
    """Detector of when both sides of a session are in sync, and of changes that the streams have missed."""

    def __init__(self, records: ReplicatedRecords) -> None:
        self._records = records
        self._sync_point: _SyncPoint | None = None
        self._diverged_heartbeats = dict.fromkeys(PRIORITY_CLASSES, 0)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record both sides' heads as the next sync point, unless an earlier one is still pending."""
        if self._sync_point is None:
            self._sync_point = _SyncPoint(
                heartbeat.heads, self._records.changes.heads, self._records.store.wall_clock()
            )

    def take_sync_time(self, receiver: ChunkReceiver, sender: ChunkSender | None) -> float | None:
        """Return the Unix seconds of a heartbeat, once each side has all that the other had then.

        While the peer does not follow this side, as during this side's initial sync, only this side has to
        have received everything. None if there is no such heartbeat, or it was returned before.
        """
        point = self._sync_point
        if point is None or not receiver.has_all_up_to(point.peer_heads):
            return None
        if sender is not None and not sender.has_acknowledged(point.own_heads):
            return None
        self._sync_point = None
        return point.wall_clock_s

    def has_diverged(
        self, priority: PriorityClass, heartbeat: Heartbeat, receiver: ChunkReceiver, sender: ChunkSender
    ) -> bool:
        """Return whether a class differs at consecutive heartbeats although no changes are in flight."""
        changes = self._records.changes
        cursor = receiver.cursors[priority]
        has_all = cursor.is_backlog_complete and cursor.live == heartbeat.heads[priority]
        is_idle = has_all and sender.is_idle(priority, changes)
        if not is_idle or heartbeat.roots[priority] == changes.trees[priority].root:
            self._diverged_heartbeats[priority] = 0
            return False
        self._diverged_heartbeats[priority] += 1
        return self._diverged_heartbeats[priority] >= MIN_DIVERGED_HEARTBEATS

    def on_repair_started(self, priority: PriorityClass) -> None:
        """Reset the count of diverged heartbeats of a class that anti-entropy now compares."""
        self._diverged_heartbeats[priority] = 0
