"""Whether the two replicas of a session hold the same, judged from their heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sageturn.store.replication.chunk_receiver import ChunkReceiver
from sageturn.store.replication.chunk_sender import ChunkSender
from sageturn.store.replication.messages import Heartbeat
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords

MIN_DIVERGED_HEARTBEATS = 2  # in a row, with nothing under way, before anti-entropy is started


@dataclass(frozen=True, slots=True)
class _SyncPoint:
    """Where both change logs ended at a heartbeat."""

    peer_heads: Sequence[int]
    own_heads: Sequence[int]
    wall_clock_s: float


class ConvergenceMonitor:
    """Tells when a session has brought both sides in sync, and when it failed to though nothing changes."""

    def __init__(self, records: ReplicatedRecords) -> None:
        self._records = records
        self._sync_point: _SyncPoint | None = None
        self._diverged_heartbeats = dict.fromkeys(PRIORITY_CLASSES, 0)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Remember where both sides are, unless an earlier point is not reached yet."""
        if self._sync_point is None:
            self._sync_point = _SyncPoint(
                heartbeat.heads, self._records.changes.heads, self._records.store.wall_clock()
            )

    def take_sync_time(self, receiver: ChunkReceiver, sender: ChunkSender | None) -> float | None:
        """Unix seconds of a heartbeat at which each side had what the other now has too; once for each.

        A replica that is being filled, and that the peer does not follow yet, only has to have all itself.
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
        """Whether a class differs with nothing under way, and not just once: something was lost."""
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
        """Anti-entropy compares a class now."""
        self._diverged_heartbeats[priority] = 0
