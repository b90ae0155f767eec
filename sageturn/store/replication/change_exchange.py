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
    """This side's position in the peer's changes, and the peer's in this side's.

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
        """How far this side has followed the peer, by priority class."""
        return self.receiver.cursors

    @property
    def chunks_in_flight(self) -> int:
        """The number of chunks that were sent and are not acknowledged yet."""
        return 0 if self.sender is None else self.sender.chunks_in_flight

    @property
    def is_delivered(self) -> bool:
        """Whether the peer has acknowledged all that this side holds and it lacked."""
        return self.sender is not None and self.sender.is_delivered

    def is_caught_up(self, hello: Hello) -> bool:
        """Whether this side has all that the peer had when it sent its hello."""
        return self.receiver.is_following and self.receiver.has_all_up_to(hello.heads)

    # ------------------------------------------------------------ sending

    def follow(self, hello: Hello) -> Follow:
        """Returns the request for the peer's changes, from where an earlier session has got to."""
        records = self._records
        known_cursors = records.followed_cursors.get(hello.incarnation)
        follow = self.receiver.follow(hello, records.changes, known_cursors)
        records.followed_cursors.remember(hello.incarnation, self.receiver.cursors)
        return follow

    def next_acknowledgement(self) -> Acknowledgement | None:
        """Returns the confirmation of the chunks received since the last one; None if there are none."""
        if not self.receiver.has_unacknowledged_chunks:
            return None
        self.receiver.has_unacknowledged_chunks = False
        return Acknowledgement(self.receiver.acknowledged_positions())

    def next_urgent_chunk(self, now: float) -> Chunk | None:
        """Returns the next live changes of the urgent class, if any may be sent now."""
        return None if self.sender is None else self.sender.next_chunk(now, URGENT_LIVE)

    def next_deferrable_chunk(self, now: float) -> Chunk | None:
        """Returns the next changes of all other streams, if any may be sent now."""
        if self.sender is None:
            return None
        for stream in DEFERRABLE_STREAMS:
            chunk = self.sender.next_chunk(now, stream)
            if chunk is not None:
                return chunk
        return None

    def next_chunk_at(self, now: float) -> float | None:
        """Returns when a chunk may be sent though nothing happens in the meantime; None for never."""
        return None if self.sender is None else self.sender.next_chunk_at(now)

    def heartbeat_acknowledgements(self) -> list[AcknowledgedPosition] | None:
        """Returns what a heartbeat confirms to the peer; None while this side follows nothing."""
        return self.receiver.acknowledged_positions() if self.receiver.is_following else None

    def skip_known_changes(self) -> list[SkippedRange] | None:
        """Returns the live revisions that a heartbeat lets the peer skip; None until it follows this side."""
        return None if self.sender is None else self.sender.skip_known_changes()

    # ------------------------------------------------------------ receiving

    def on_follow(self, body: object, peer_incarnation: int) -> None:
        """Begins to send changes. Raises SessionRejectedError for a second or an impossible request."""
        if self.sender is not None:
            raise SessionRejectedError("follows twice")
        positions = message_codec.decode_follow(body).positions
        self.sender = ChunkSender(
            self._records, self._allowance, peer_incarnation, positions, self._opened_at
        )

    def on_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        """Takes the peer's confirmation. Raises SessionRejectedError for what was never sent."""
        if self.sender is None:
            raise SessionRejectedError("acknowledged what was never sent")
        self.sender.on_acknowledged(acknowledgement.positions)
