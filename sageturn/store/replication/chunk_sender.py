"""Sending one follower what changed, in chunks, with a bounded number of them unacknowledged.

Nothing is queued: a chunk is made from the change log when it can be sent. A slow follower therefore costs
no memory, and a key that changed twice in the meantime is sent once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import StoreRecord
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.cursor import ChangeStream
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
MAX_URGENT_CHUNKS_IN_FLIGHT = 4  # live urgent chunks, counted apart from all others
# Live chunks of a class are sent at least so far apart on average, a few at once. A change alone costs more
# for its frame than for itself, and one by one a burst of changes would use the budget up.
LIVE_CHUNK_INTERVAL_S = {PriorityClass.URGENT: 0.05, PriorityClass.STATES: 0.25}
MAX_LIVE_BURST = 4
NO_END = -1  # the stream goes on as far as the change log does

Stream = tuple[PriorityClass, ChangeStream]
URGENT_LIVE: Stream = PriorityClass.URGENT, ChangeStream.LIVE
DEFERRABLE_STREAMS: tuple[Stream, ...] = (  # in the order in which they are served
    (PriorityClass.URGENT, ChangeStream.BACKLOG),
    (PriorityClass.STATES, ChangeStream.LIVE),
    (PriorityClass.STATES, ChangeStream.BACKLOG),
)


@dataclass(slots=True)
class SendPosition:
    """How far a stream of a change log was sent to the follower."""

    sent: int  # the follower was sent all it lacks up to this revision
    scanned: int  # and needs nothing up to this one
    acknowledged: int
    end: int  # the last revision of the stream, or ``NO_END``

    @property
    def is_acknowledged_to_end(self) -> bool:
        """Whether a bounded stream was received as a whole; true for one without an end."""
        return self.acknowledged >= self.end


class _ChunkInFlight(NamedTuple):
    stream: Stream
    end: int


class ChunkSender:
    """Sends the changes of this replica over one session. Times are seconds of a monotonic clock."""

    def __init__(
        self,
        records: ReplicatedRecords,
        allowance: SendAllowance,
        follower_incarnation: int,
        positions: Sequence[FollowPosition],
        opened_at: float,
    ) -> None:
        """Raises SessionRejectedError for a position that this replica never gave."""
        self._records = records
        self._allowance = allowance
        self._follower_incarnation = follower_incarnation
        self._positions: dict[Stream, SendPosition] = {}
        self._in_flight: list[_ChunkInFlight] = []
        self._last_live_chunk_at = dict.fromkeys(PRIORITY_CLASSES, opened_at)
        for priority, position in zip(PRIORITY_CLASSES, positions, strict=True):
            self._start_streams(priority, position)

    def _start_streams(self, priority: PriorityClass, follow: FollowPosition) -> None:
        head = self._records.changes.logs[priority].head
        if not follow.backlog <= follow.backlog_end <= follow.live <= head:
            raise SessionRejectedError("a cursor that was never given")
        start = follow.backlog_end if follow.backlog < 0 else follow.backlog
        live = SendPosition(follow.live, follow.live, follow.live, NO_END)
        backlog = SendPosition(start, start, start, follow.backlog_end)
        self._positions[priority, ChangeStream.LIVE] = live
        self._positions[priority, ChangeStream.BACKLOG] = backlog

    @property
    def chunks_in_flight(self) -> int:
        """Chunks that were sent and are not acknowledged yet."""
        return len(self._in_flight)

    @property
    def is_delivered(self) -> bool:
        """Whether the follower has acknowledged all that this replica holds and it lacked."""
        for stream, position in self._positions.items():
            self._skip_changes_of_follower(stream)
            if position.scanned < self._end_of(stream) or position.acknowledged < position.sent:
                return False
        return True

    def has_acknowledged(self, heads: Sequence[int]) -> bool:
        """Whether the follower has all up to these revisions of the live streams, and every backlog."""
        return all(
            self._positions[priority, ChangeStream.LIVE].acknowledged >= head
            and self._positions[priority, ChangeStream.BACKLOG].is_acknowledged_to_end
            for priority, head in zip(PRIORITY_CLASSES, heads, strict=True)
        )

    def is_idle(self, priority: PriorityClass, changes: ChangeLogSet) -> bool:
        """Whether the follower has acknowledged everything in one class."""
        live = self._positions[priority, ChangeStream.LIVE]
        backlog = self._positions[priority, ChangeStream.BACKLOG]
        return live.acknowledged == changes.logs[priority].head and backlog.is_acknowledged_to_end

    # ------------------------------------------------------------ sending

    def skip_known_changes(self) -> list[SkippedRange]:
        """The live revisions after the last chunk that the follower needs nothing of; it is told of them."""
        skipped = []
        for priority in PRIORITY_CLASSES:
            stream = priority, ChangeStream.LIVE
            self._skip_changes_of_follower(stream)
            position = self._positions[stream]
            skipped.append(SkippedRange(position.sent, position.scanned))
            position.sent = max(position.sent, position.scanned)
        return skipped

    def next_chunk(self, now: float, stream: Stream) -> Chunk | None:
        """The next chunk of a stream, which then counts as sent; None if nothing may be sent now."""
        if not self._has_chunk(stream) or not self._may_send(now, stream):
            return None
        position = self._positions[stream]
        start = position.sent
        records, end = self._collect_records(stream)
        position.scanned = end
        position.sent = end
        self._in_flight.append(_ChunkInFlight(stream, end))
        priority, kind = stream
        if kind == ChangeStream.LIVE:
            last_at = max(now, self._last_live_chunk_at[priority])
            self._last_live_chunk_at[priority] = last_at + LIVE_CHUNK_INTERVAL_S[priority]
        return Chunk(priority, kind, start, end, records)

    def next_chunk_at(self, now: float) -> float | None:
        """When there may be a chunk though nothing happens in the meantime; None for never."""
        times = []
        if self._has_chunk(URGENT_LIVE):
            allowed_at = self._allowance.next_chunk_at(now, urgent=True)
            times.append(max(self._live_chunk_due_at(PriorityClass.URGENT), allowed_at))
        for stream in DEFERRABLE_STREAMS:
            if self._has_chunk(stream):
                allowed_at = self._allowance.next_chunk_at(now)
                times.append(max(self._due_at(stream), allowed_at))
        return min(times, default=None)

    def _collect_records(self, stream: Stream) -> tuple[list[StoreRecord], int]:
        """The records of a chunk, and the revision at which it ends."""
        priority, _ = stream
        position = self._positions[stream]
        end = self._end_of(stream)
        remaining_bytes = MAX_CHUNK_BYTES
        records: list[StoreRecord] = []
        for change in self._records.changes.logs[priority].since(position.scanned):
            if change.revision > end:
                break
            if change.source == self._follower_incarnation:
                continue
            record = self._records.store.record(change.key)
            assert record is not None, change.key
            size = encoded_size(record_to_wire(record))
            if records and size > remaining_bytes:
                return records, position.scanned
            records.append(record)
            remaining_bytes -= size
            position.scanned = change.revision
        return records, end

    def _has_chunk(self, stream: Stream) -> bool:
        if self._is_window_full(stream):
            return False
        self._skip_changes_of_follower(stream)
        position = self._positions[stream]
        if position.scanned < self._end_of(stream):
            return True
        # An empty end of the backlog is sent too: the follower then knows that it has everything.
        return stream[1] == ChangeStream.BACKLOG and position.sent < position.end

    def _is_window_full(self, stream: Stream) -> bool:
        is_urgent_live = stream == URGENT_LIVE
        in_flight = sum((chunk.stream == URGENT_LIVE) == is_urgent_live for chunk in self._in_flight)
        return in_flight >= (MAX_URGENT_CHUNKS_IN_FLIGHT if is_urgent_live else MAX_CHUNKS_IN_FLIGHT)

    def _may_send(self, now: float, stream: Stream) -> bool:
        if now < self._due_at(stream) and not self._allowance.is_unlimited:
            return False
        return self._allowance.may_send_chunk(now, urgent=stream == URGENT_LIVE)

    def _due_at(self, stream: Stream) -> float:
        priority, kind = stream
        return self._live_chunk_due_at(priority) if kind == ChangeStream.LIVE else float("-inf")

    def _live_chunk_due_at(self, priority: PriorityClass) -> float:
        """By the generic cell rate algorithm (ITU-T I.371): what was saved up may be sent at once."""
        burst_s = (MAX_LIVE_BURST - 1) * LIVE_CHUNK_INTERVAL_S[priority]
        return self._last_live_chunk_at[priority] - burst_s

    def _end_of(self, stream: Stream) -> int:
        end = self._positions[stream].end
        return self._records.changes.logs[stream[0]].head if end == NO_END else end

    def _skip_changes_of_follower(self, stream: Stream) -> None:
        """What came from the follower need not go back to it."""
        position = self._positions[stream]
        end = self._end_of(stream)
        if position.scanned >= end:
            return
        for change in self._records.changes.logs[stream[0]].since(position.scanned):
            if change.revision > end:
                break
            if change.source != self._follower_incarnation:
                return
            position.scanned = change.revision
        position.scanned = end

    # ------------------------------------------------------------ acknowledgements

    def on_acknowledged(self, positions: Sequence[AcknowledgedPosition]) -> None:
        """Raises SessionRejectedError for what was never sent."""
        for priority, acknowledged in zip(PRIORITY_CLASSES, positions, strict=True):
            self._acknowledge((priority, ChangeStream.LIVE), acknowledged.live)
            self._acknowledge((priority, ChangeStream.BACKLOG), acknowledged.backlog)
        self._in_flight = [
            chunk for chunk in self._in_flight if self._positions[chunk.stream].acknowledged < chunk.end
        ]

    def _acknowledge(self, stream: Stream, revision: int) -> None:
        if revision < 0:
            return  # the follower uses anti-entropy in place of the backlog
        position = self._positions[stream]
        if revision > position.sent:
            raise SessionRejectedError("acknowledged what was never sent")
        position.acknowledged = max(position.acknowledged, revision)
