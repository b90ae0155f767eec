"""The receiving side of a session: how far this replica has followed the peer's change logs."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.cursor import BACKLOG_UNKNOWN, ChangeStream, Cursor
from sageturn.store.replication.messages import (
    AcknowledgedPosition,
    Chunk,
    Follow,
    FollowPosition,
    Hello,
    SkippedRange,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass, priority_of

SNAPSHOT_RATIO = 4  # of the peer's records to this replica's, above which all are fetched


class ChunkReceiver:
    """Keeps one cursor per priority class, and checks that chunks continue it."""

    def __init__(self) -> None:
        self.is_following = False
        self.has_unacknowledged_chunks = False
        self.cursors = [Cursor(0, 0, 0) for _ in PRIORITY_CLASSES]

    def has_all_up_to(self, heads: Sequence[int]) -> bool:
        """Whether everything up to these revisions of the peer's change logs is held."""
        return all(cursor.has_all_up_to(head) for cursor, head in zip(self.cursors, heads, strict=True))

    def follow(self, hello: Hello, changes: ChangeLogSet, known: list[Cursor] | None) -> Follow:
        """Begins to follow a peer.

        Args:
            hello: The peer's hello.
            changes: This replica's change logs.
            known: The cursors of an earlier session with the peer's incarnation; None if there was none.
        """
        self.is_following = True
        for priority in PRIORITY_CLASSES:
            if known is not None and known[priority].live <= hello.heads[priority]:
                self.cursors[priority] = known[priority]
            else:
                self.cursors[priority] = _first_cursor(priority, hello, changes)
        return Follow(
            [FollowPosition(cursor.backlog, cursor.backlog_end, cursor.live) for cursor in self.cursors]
        )

    @property
    def classes_of_unknown_backlog(self) -> list[PriorityClass]:
        """The priority classes whose backlog anti-entropy has to fill."""
        return [
            priority for priority in PRIORITY_CLASSES if self.cursors[priority].backlog == BACKLOG_UNKNOWN
        ]

    def complete_unknown_backlogs(self) -> None:
        """Counts every backlog as received that anti-entropy had to fill."""
        for cursor in self.cursors:
            if cursor.backlog == BACKLOG_UNKNOWN:
                cursor.backlog = cursor.backlog_end

    def check_chunk(self, chunk: Chunk) -> None:
        """Raises SessionRejectedError for a chunk that is not the next one of its stream."""
        if not self.is_following:
            raise SessionRejectedError("changes that nobody asked for")
        cursor = self.cursors[chunk.priority]
        is_live = chunk.stream == ChangeStream.LIVE
        next_start = cursor.live if is_live else cursor.backlog
        is_past_backlog = not is_live and chunk.end > cursor.backlog_end
        if chunk.start != next_start or chunk.end <= next_start or is_past_backlog:
            raise SessionRejectedError(
                f"out of order: changes from {chunk.start} to {chunk.end}, where {next_start} is next"
            )
        if any(priority_of(record.key) != chunk.priority for record in chunk.records):
            raise SessionRejectedError("a record in the wrong lane")

    def on_chunk_applied(self, chunk: Chunk) -> None:
        """Advances the cursor over a checked chunk whose records are in the store."""
        cursor = self.cursors[chunk.priority]
        if chunk.stream == ChangeStream.LIVE:
            cursor.live = chunk.end
        else:
            cursor.backlog = chunk.end
        self.has_unacknowledged_chunks = True

    def skip(self, skipped: Sequence[SkippedRange]) -> None:
        """Advances over live revisions that hold nothing new. Raises SessionRejectedError for a gap."""
        for cursor, (start, end) in zip(self.cursors, skipped, strict=True):
            if start != cursor.live or end < start:
                raise SessionRejectedError(f"out of order: a beat at {start}, where {cursor.live} is next")
        for cursor, (_, end) in zip(self.cursors, skipped, strict=True):
            cursor.live = end

    def acknowledged_positions(self) -> list[AcknowledgedPosition]:
        """Returns the positions that are confirmed to the peer."""
        return [AcknowledgedPosition(cursor.backlog, cursor.live) for cursor in self.cursors]


def _first_cursor(priority: PriorityClass, hello: Hello, changes: ChangeLogSet) -> Cursor:
    """Returns where to begin with an incarnation that this replica has not followed yet."""
    head = hello.heads[priority]
    peer_count = hello.counts[priority]
    if hello.roots[priority] == changes.roots[priority] or not peer_count:
        backlog = head
    elif changes.counts[priority] * SNAPSHOT_RATIO < peer_count:
        backlog = 0
    else:
        backlog = BACKLOG_UNKNOWN
    return Cursor(backlog, head, head)
