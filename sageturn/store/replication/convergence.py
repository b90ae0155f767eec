"""Convergence: whether the two replicas of a session hold the same, judged from heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sageturn.store.replication.chunk_receiver import ChunkReceiver
from sageturn.store.replication.chunk_sender import ChunkSender
from sageturn.store.replication.messages import Heartbeat
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords

MIN_DIVERGED_HEARTBEATS = 2  # in a row, before anti-entropy is started


@dataclass(frozen=True, slots=True)
class _SyncPoint:
    """The ends of both sides' change logs at a heartbeat."""

    peer_heads: Sequence[int]
    own_heads: Sequence[int]
    wall_clock_s: float


class ConvergenceMonitor:
    """Detects when a session has brought both sides in sync, and when something was lost on the way."""

    def __init__(self, records: ReplicatedRecords) -> None:
        self._records = records
        self._sync_point: _SyncPoint | None = None
        self._diverged_heartbeats = dict.fromkeys(PRIORITY_CLASSES, 0)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Remembers where both sides are, unless an earlier point is not reached yet."""
        if self._sync_point is None:
            self._sync_point = _SyncPoint(
                heartbeat.heads, self._records.changes.heads, self._records.store.wall_clock()
            )

    def take_sync_time(self, receiver: ChunkReceiver, sender: ChunkSender | None) -> float | None:
        """Returns the Unix seconds of a heartbeat, once each side has what the other had then.

        A side that the peer does not follow yet, as while it is being filled, only has to have all itself.
        None if there is no such heartbeat, or it was returned before.
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
        """Whether a class differs at several heartbeats in a row though no changes are under way."""
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
        """Restarts the count of a class that anti-entropy compares now."""
        self._diverged_heartbeats[priority] = 0
