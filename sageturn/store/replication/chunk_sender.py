"""Sends changes to one follower in chunks, with a bounded number of chunks in flight.

Chunks are not queued: each is built from the change log when it can be sent. A slow follower therefore uses
no memory, and a key that changed twice in the meantime is sent once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import StoreRecord
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.cursor import StreamKind
from sageturn.store.replication.live_chunk_pacer import LiveChunkPacer
from sageturn.store.replication.message_codec import record_to_wire
from sageturn.store.replication.messages import (
    AcknowledgedPosition,
    Chunk,
    FollowPosition,
    SkippedRange,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.send_allowance import MAX_CHUNK_BYTES, SendAllowance
from sageturn.store.replication.wire import encoded_size

MAX_CHUNKS_IN_FLIGHT = 2
MAX_URGENT_CHUNKS_IN_FLIGHT = 4  # limit for the live urgent stream, counted separately from all others


class StreamId(NamedTuple):
    """Identity of a change stream: one range of one change log."""

    priority: PriorityClass
    kind: StreamKind


LIVE_STREAMS = {priority: StreamId(priority, StreamKind.LIVE) for priority in PRIORITY_CLASSES}
BACKLOG_STREAMS = {priority: StreamId(priority, StreamKind.BACKLOG) for priority in PRIORITY_CLASSES}
URGENT_LIVE = LIVE_STREAMS[PriorityClass.URGENT]
DEFERRABLE_STREAMS = (  # listed in the order in which they are served
    BACKLOG_STREAMS[PriorityClass.URGENT],
    LIVE_STREAMS[PriorityClass.STATES],
    BACKLOG_STREAMS[PriorityClass.STATES],
)


@dataclass(slots=True)
class SendPosition:
    """Progress of sending a stream to the follower, in revisions.

    All that the follower needs up to ``sent`` was sent, and it needs nothing between ``sent`` and
    ``scanned``. ``end`` is the last revision of a backlog, None for a live stream.
    """

    sent: int
    scanned: int
    acknowledged: int
    end: int | None

    @property
    def is_acknowledged_to_end(self) -> bool:
        """True if the whole backlog was acknowledged; always true for a live stream."""
        return self.end is None or self.acknowledged >= self.end


class _ChunkInFlight(NamedTuple):
    stream_id: StreamId
    end: int


class _ChunkContent(NamedTuple):
    """Records of a chunk, and the revision at which it ends."""

    records: list[StoreRecord]
    end: int


class ChunkSender:
    """Sender of this replica's changes to one follower. Times are monotonic seconds."""

    def __init__(
        self,
        records: ReplicatedRecords,
        allowance: SendAllowance,
        follower_incarnation: int,
        positions: Sequence[FollowPosition],
        opened_at: float,
    ) -> None:
        """Start sending from the follower's positions.

        Raises:
            SessionRejectedError: A position is not one that this replica has issued.
        """
        self._records = records
        self._allowance = allowance
        self._follower_incarnation = follower_incarnation
        self._positions: dict[StreamId, SendPosition] = {}
        self._in_flight: list[_ChunkInFlight] = []
        self._live_pacer = LiveChunkPacer(opened_at)
        for priority, position in zip(PRIORITY_CLASSES, positions, strict=True):
            self._start_streams(priority, position)

    def _start_streams(self, priority: PriorityClass, follow: FollowPosition) -> None:
        head = self._records.changes.logs[priority].head
        if not follow.backlog <= follow.backlog_end <= follow.live <= head:
            raise SessionRejectedError("a cursor that was never given")
        start = follow.backlog_end if follow.backlog < 0 else follow.backlog
        live = SendPosition(follow.live, follow.live, follow.live, None)
        backlog = SendPosition(start, start, start, follow.backlog_end)
        self._positions[LIVE_STREAMS[priority]] = live
        self._positions[BACKLOG_STREAMS[priority]] = backlog

    @property
    def chunks_in_flight(self) -> int:
        """Number of chunks that were sent and are not acknowledged yet."""
        return len(self._in_flight)

    @property
    def is_delivered(self) -> bool:
        """True if the follower has acknowledged every change that it needs from this replica."""
        for stream, position in self._positions.items():
            self._skip_changes_from_follower(stream)
            if position.scanned < self._end_of(stream) or position.acknowledged < position.sent:
                return False
        return True

    def has_acknowledged(self, heads: Sequence[int]) -> bool:
        """Return whether every backlog and the live streams up to these revisions were acknowledged."""
        return all(
            self._positions[LIVE_STREAMS[priority]].acknowledged >= head
            and self._positions[BACKLOG_STREAMS[priority]].is_acknowledged_to_end
            for priority, head in zip(PRIORITY_CLASSES, heads, strict=True)
        )

    def is_idle(self, priority: PriorityClass, changes: ChangeLogSet) -> bool:
        """Return whether the follower has acknowledged everything in one class."""
        live = self._positions[LIVE_STREAMS[priority]]
        backlog = self._positions[BACKLOG_STREAMS[priority]]
        return live.acknowledged == changes.logs[priority].head and backlog.is_acknowledged_to_end

    # ------------------------------------------------------------ sending

    def take_skipped_ranges(self) -> list[SkippedRange]:
        """Return, by priority class, the live revisions after the last chunk that the follower may skip.

        They count as sent, so a heartbeat has to carry them.
        """
        skipped = []
        for priority in PRIORITY_CLASSES:
            stream = LIVE_STREAMS[priority]
            self._skip_changes_from_follower(stream)
            position = self._positions[stream]
            skipped.append(SkippedRange(position.sent, position.scanned))
            position.sent = max(position.sent, position.scanned)
        return skipped

    def next_chunk(self, now: float, stream: StreamId) -> Chunk | None:
        """Return the next chunk of a stream and count it as sent; None if none may be sent now."""
        if not self._has_chunk(stream) or not self._may_send(now, stream):
            return None
        position = self._positions[stream]
        start = position.sent
        records, end = self._collect_records(stream)
        position.scanned = end
        position.sent = end
        self._in_flight.append(_ChunkInFlight(stream, end))
        if stream.kind == StreamKind.LIVE:
            self._live_pacer.on_chunk_sent(stream.priority, now)
        return Chunk(stream.priority, stream.kind, start, end, records)

    def next_chunk_at(self, now: float) -> float | None:
        """Return the time at which a chunk may be sent if no other event occurs; None for never."""
        times = []
        if self._has_chunk(URGENT_LIVE):
            allowed_at = self._allowance.next_chunk_at(now, urgent=True)
            times.append(max(self._live_pacer.next_chunk_at(PriorityClass.URGENT), allowed_at))
        for stream in DEFERRABLE_STREAMS:
            if self._has_chunk(stream):
                allowed_at = self._allowance.next_chunk_at(now)
                times.append(max(self._paced_at(stream, now), allowed_at))
        return min(times, default=None)

    def _collect_records(self, stream: StreamId) -> _ChunkContent:
        """Scan the change log for the next chunk of a stream, up to ``MAX_CHUNK_BYTES``."""
        position = self._positions[stream]
        end = self._end_of(stream)
        remaining_bytes = MAX_CHUNK_BYTES
        records: list[StoreRecord] = []
        for change in self._records.changes.logs[stream.priority].since(position.scanned):
            if change.revision > end:
                break
            if change.source == self._follower_incarnation:
                continue
            record = self._records.store.record(change.key)
            assert record is not None, change.key
            size = encoded_size(record_to_wire(record))
            if records and size > remaining_bytes:
                return _ChunkContent(records, position.scanned)
            records.append(record)
            remaining_bytes -= size
            position.scanned = change.revision
        return _ChunkContent(records, end)

    def _has_chunk(self, stream: StreamId) -> bool:
        if self._is_window_full(stream):
            return False
        self._skip_changes_from_follower(stream)
        position = self._positions[stream]
        if position.scanned < self._end_of(stream):
            return True
        # The end of a backlog is sent even without records, to notify the follower that it has them all.
        return position.end is not None and position.sent < position.end

    def _is_window_full(self, stream: StreamId) -> bool:
        is_urgent_live = stream == URGENT_LIVE
        in_flight = sum((chunk.stream_id == URGENT_LIVE) == is_urgent_live for chunk in self._in_flight)
        return in_flight >= (MAX_URGENT_CHUNKS_IN_FLIGHT if is_urgent_live else MAX_CHUNKS_IN_FLIGHT)

    def _may_send(self, now: float, stream: StreamId) -> bool:
        if now < self._paced_at(stream, now) and not self._allowance.is_unlimited:
            return False
        return self._allowance.may_send_chunk(now, urgent=stream == URGENT_LIVE)

    def _paced_at(self, stream: StreamId, now: float) -> float:
        """Return when the stream's pacing allows a chunk; only live streams are paced."""
        return self._live_pacer.next_chunk_at(stream.priority) if stream.kind == StreamKind.LIVE else now

    def _end_of(self, stream: StreamId) -> int:
        end = self._positions[stream].end
        return self._records.changes.logs[stream.priority].head if end is None else end

    def _skip_changes_from_follower(self, stream: StreamId) -> None:
        """Scan past changes that came from the follower, which are not sent back to it."""
        position = self._positions[stream]
        end = self._end_of(stream)
        if position.scanned >= end:
            return
        for change in self._records.changes.logs[stream.priority].since(position.scanned):
            if change.revision > end:
                break
            if change.source != self._follower_incarnation:
                return
            position.scanned = change.revision
        position.scanned = end

    # ------------------------------------------------------------ acknowledgements

    def on_acknowledged(self, positions: Sequence[AcknowledgedPosition]) -> None:
        """Apply the follower's acknowledgement, by priority class.

        Raises:
            SessionRejectedError: It covers revisions that were never sent.
        """
        for priority, acknowledged in zip(PRIORITY_CLASSES, positions, strict=True):
            self._acknowledge(LIVE_STREAMS[priority], acknowledged.live)
            self._acknowledge(BACKLOG_STREAMS[priority], acknowledged.backlog)
        self._in_flight = [
            chunk for chunk in self._in_flight if self._positions[chunk.stream_id].acknowledged < chunk.end
        ]

    def _acknowledge(self, stream: StreamId, revision: int) -> None:
        if revision < 0:
            return  # the follower uses anti-entropy in place of the backlog
        position = self._positions[stream]
        if revision > position.sent:
            raise SessionRejectedError("acknowledged what was never sent")
        position.acknowledged = max(position.acknowledged, revision)
