"""The receiving side of a session: how far this replica has followed the peer's change logs."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.cursor import BACKLOG_UNKNOWN, Cursor, StreamKind
from sageturn.store.replication.messages import (
    AcknowledgedPosition,
    Chunk,
    Follow,
    FollowPosition,
    Hello,
    SkippedRange,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass, priority_of

SNAPSHOT_RATIO = 4  # ratio of the peer's record count to this replica's above which all are fetched


class ChunkReceiver:
    """Receiver of chunks, with one cursor per priority class that each chunk has to continue."""

    def __init__(self) -> None:
        self.is_following = False
        self.has_unacknowledged_chunks = False
        self.cursors = [Cursor(0, 0, 0) for _ in PRIORITY_CLASSES]

    def has_all_up_to(self, heads: Sequence[int]) -> bool:
        """Return whether every change up to these revisions of the peer's change logs was received."""
        return all(cursor.has_all_up_to(head) for cursor, head in zip(self.cursors, heads, strict=True))

    def follow(self, hello: Hello, changes: ChangeLogSet, cached: list[Cursor] | None) -> Follow:
        """Start following a peer, and return the request that is sent to it.

        Args:
            hello: The peer's hello.
            changes: This replica's change logs.
            cached: The cursors of an earlier session with the peer's incarnation; None if there was none.
        """
        self.is_following = True
        for priority in PRIORITY_CLASSES:
            if cached is not None and cached[priority].live <= hello.heads[priority]:
                self.cursors[priority] = cached[priority]
            else:
                self.cursors[priority] = _initial_cursor(priority, hello, changes)
        return Follow(
            [FollowPosition(cursor.backlog, cursor.backlog_end, cursor.live) for cursor in self.cursors]
        )

    @property
    def classes_with_unknown_backlog(self) -> list[PriorityClass]:
        """Priority classes whose backlog anti-entropy has to fetch."""
        return [
            priority for priority in PRIORITY_CLASSES if self.cursors[priority].backlog == BACKLOG_UNKNOWN
        ]

    def complete_unknown_backlogs(self) -> None:
        """Mark the backlogs that anti-entropy has fetched as complete."""
        for cursor in self.cursors:
            if cursor.backlog == BACKLOG_UNKNOWN:
                cursor.backlog = cursor.backlog_end

    def check_chunk(self, chunk: Chunk) -> None:
        """Raise SessionRejectedError for a chunk that is not the next one of its stream."""
        if not self.is_following:
            raise SessionRejectedError("changes that nobody asked for")
        cursor = self.cursors[chunk.priority]
        is_live = chunk.stream_kind == StreamKind.LIVE
        next_start = cursor.live if is_live else cursor.backlog
        is_past_backlog = not is_live and chunk.end > cursor.backlog_end
        if chunk.start != next_start or chunk.end <= next_start or is_past_backlog:
            raise SessionRejectedError(
                f"out of order: changes from {chunk.start} to {chunk.end}, where {next_start} is next"
            )
        if any(priority_of(record.key) != chunk.priority for record in chunk.records):
            raise SessionRejectedError("a record in the wrong lane")

    def on_chunk_applied(self, chunk: Chunk) -> None:
        """Advance the cursor over a checked chunk whose records are in the store."""
        cursor = self.cursors[chunk.priority]
        if chunk.stream_kind == StreamKind.LIVE:
            cursor.live = chunk.end
        else:
            cursor.backlog = chunk.end
        self.has_unacknowledged_chunks = True

    def skip(self, skipped: Sequence[SkippedRange]) -> None:
        """Advance over live revisions that hold nothing new. Raise SessionRejectedError for a gap."""
        for cursor, (start, end) in zip(self.cursors, skipped, strict=True):
            if start != cursor.live or end < start:
                raise SessionRejectedError(f"out of order: a beat at {start}, where {cursor.live} is next")
        for cursor, (_, end) in zip(self.cursors, skipped, strict=True):
            cursor.live = end

    def acknowledged_positions(self) -> list[AcknowledgedPosition]:
        """Return the positions that are acknowledged to the peer."""
        return [AcknowledgedPosition(cursor.backlog, cursor.live) for cursor in self.cursors]


def _initial_cursor(priority: PriorityClass, hello: Hello, changes: ChangeLogSet) -> Cursor:
    """Return the first cursor for an incarnation that this replica has not followed yet."""
    head = hello.heads[priority]
    peer_count = hello.counts[priority]
    if hello.roots[priority] == changes.roots[priority] or not peer_count:
        backlog = head
    elif changes.counts[priority] * SNAPSHOT_RATIO < peer_count:
        backlog = 0
    else:
        backlog = BACKLOG_UNKNOWN
    return Cursor(backlog, head, head)
