"""The change streams of a replication session, in both directions: follow, chunks, acknowledgements."""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.chunk_receiver import ChunkReceiver
from sageturn.store.replication.chunk_sender import DEFERRABLE_STREAMS, URGENT_LIVE, ChunkSender
from sageturn.store.replication.cursor import Cursor
from sageturn.store.replication.messages import (
    AcknowledgedPosition,
    Acknowledgement,
    Chunk,
    Follow,
    Hello,
    SkippedRange,
)
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.send_allowance import SendAllowance


class ChangeExchange:
    """Receiver of the peer's changes, and sender of this side's.

    Times are seconds of the monotonic clock that the caller passes in. ``sender`` is None until the peer
    follows this side.
    """

    def __init__(self, records: ReplicatedRecords, allowance: SendAllowance, opened_at: float) -> None:
        self.receiver = ChunkReceiver()
        self.sender: ChunkSender | None = None
        self._records = records
        self._allowance = allowance
        self._opened_at = opened_at

    @property
    def cursors(self) -> list[Cursor]:
        """Positions of this side in the peer's change logs, by priority class."""
        return self.receiver.cursors

    @property
    def chunks_in_flight(self) -> int:
        """Number of chunks that were sent and are not acknowledged yet."""
        return 0 if self.sender is None else self.sender.chunks_in_flight

    @property
    def is_delivered(self) -> bool:
        """True if the peer has acknowledged every change that it needs from this side."""
        return self.sender is not None and self.sender.is_delivered

    def is_caught_up(self, hello: Hello) -> bool:
        """Return whether this side has all that the peer had when it sent its hello."""
        return self.receiver.is_following and self.receiver.has_all_up_to(hello.heads)

    # ------------------------------------------------------------ sending

    def follow(self, hello: Hello) -> Follow:
        """Return the request for the peer's changes, starting where an earlier session ended."""
        records = self._records
        cached_cursors = records.followed_cursors.get(hello.incarnation)
        follow = self.receiver.follow(hello, records.changes, cached_cursors)
        records.followed_cursors.cache(hello.incarnation, self.receiver.cursors)
        return follow

    def next_acknowledgement(self) -> Acknowledgement | None:
        """Return the acknowledgement of chunks received since the last one; None if there are none."""
        if not self.receiver.has_unacknowledged_chunks:
            return None
        self.receiver.has_unacknowledged_chunks = False
        return Acknowledgement(self.receiver.acknowledged_positions())

    def next_urgent_chunk(self, now: float) -> Chunk | None:
        """Return the next chunk of live urgent changes; None if none may be sent now."""
        return None if self.sender is None else self.sender.next_chunk(now, URGENT_LIVE)

    def next_deferrable_chunk(self, now: float) -> Chunk | None:
        """Return the next chunk of any other stream; None if none may be sent now."""
        if self.sender is None:
            return None
        for stream in DEFERRABLE_STREAMS:
            chunk = self.sender.next_chunk(now, stream)
            if chunk is not None:
                return chunk
        return None

    def next_chunk_at(self, now: float) -> float | None:
        """Return the time at which a chunk may be sent if no other event occurs; None for never."""
        return None if self.sender is None else self.sender.next_chunk_at(now)

    def heartbeat_acknowledgements(self) -> list[AcknowledgedPosition] | None:
        """Return the positions that a heartbeat acknowledges; None until this side follows the peer."""
        return self.receiver.acknowledged_positions() if self.receiver.is_following else None

    def take_skipped_ranges(self) -> list[SkippedRange] | None:
        """Return the live revisions that a heartbeat lets the peer skip; None until it follows this side."""
        return None if self.sender is None else self.sender.take_skipped_ranges()

    # ------------------------------------------------------------ receiving

    def on_follow(self, body: object, peer_incarnation: int) -> None:
        """Start sending changes. Raise SessionRejectedError for a second request or an invalid position."""
        if self.sender is not None:
            raise SessionRejectedError("follows twice")
        positions = message_codec.decode_follow(body).positions
        self.sender = ChunkSender(
            self._records, self._allowance, peer_incarnation, positions, self._opened_at
        )

    def on_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        """Apply an acknowledgement. Raise SessionRejectedError if it covers revisions never sent."""
        if self.sender is None:
            raise SessionRejectedError("acknowledged what was never sent")
        self.sender.on_acknowledged(acknowledgement.positions)
