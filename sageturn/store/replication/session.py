"""One replication session: both directions of the conversation over one connection. No I/O, no clock.

Each side follows the other: it says how far it has got in each change log, is sent what changed since in
bounded chunks, and acknowledges them. Where a side cannot say how far it is with this incarnation of the
other, it compares Merkle trees and requests what differs, or, nearly empty, takes everything from the start.

This module has the order of messages, the heartbeats and the closing; ``chunk_sender``, ``chunk_receiver``,
``anti_entropy`` and ``convergence`` do the rest. Times are seconds of a monotonic clock that is passed in.
"""

from __future__ import annotations

from typing import Any

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.anti_entropy import AntiEntropyResponder, AntiEntropySync
from sageturn.store.replication.body_fields import MALFORMED_BODY_ERRORS
from sageturn.store.replication.chunk_receiver import ChunkReceiver
from sageturn.store.replication.chunk_sender import DEFERRABLE_STREAMS, URGENT_LIVE, ChunkSender
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.convergence import ConvergenceMonitor
from sageturn.store.replication.cursor import Cursor
from sageturn.store.replication.heartbeat_codec import ReceivedHeartbeat, decode_heartbeat
from sageturn.store.replication.liveness import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S
from sageturn.store.replication.membership import Address, Member
from sageturn.store.replication.messages import (
    KINDS_WITHOUT_HELLO,
    Acknowledgement,
    Bye,
    Chunk,
    Follow,
    Hello,
    MessageKind,
    OutgoingHeartbeat,
    OutgoingMessage,
    RecordResponse,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES
from sageturn.store.replication.send_allowance import SendAllowance
from sageturn.store.replication.session_host import SessionHost
from sageturn.store.replication.wire import decode


class ReplicationSession:
    """One side of a session. ``dialed_address`` is None on the side that accepted the connection."""

    def __init__(self, replica: SessionHost, peer: str, now: float, dialed_address: Address | None) -> None:
        self._replica = replica
        self.peer = peer
        self.dialed_address = dialed_address
        self.last_received_at = now
        self.peer_hello: Hello | None = None
        self.peer_recently_in_sync = False  # as it last said
        # Set when this side ends the session, and when the peer has.
        self.close_detail = ""
        self.close_code: str = CloseCode.FAULT
        self.alternatives: tuple[Member, ...] = ()
        self.sent_bye = False
        self.peer_close_detail = ""
        self.peer_close_code = ""
        self.peer_bye: Bye | None = None

        self._opened_at = now
        self._sent_hello = False
        self._claims_sync: bool | None = None
        self._next_heartbeat_at = now
        self._allowance = SendAllowance(replica.budget, replica.is_ephemeral)
        self._receiver = ChunkReceiver()
        self._sender: ChunkSender | None = None  # until the peer follows
        self._anti_entropy = AntiEntropySync(replica)
        self._responder = AntiEntropyResponder(replica)
        self._convergence = ConvergenceMonitor(replica)

    # ------------------------------------------------------------ state

    @property
    def is_ephemeral(self) -> bool:
        """Whether one side is an operator's client, which no rule of membership applies to."""
        return self._replica.is_ephemeral or (self.peer_hello is not None and self.peer_hello.is_ephemeral)

    @property
    def cursors(self) -> list[Cursor]:
        """How far this side has followed the peer, by priority class."""
        return self._receiver.cursors

    @property
    def chunks_in_flight(self) -> int:
        """Chunks that were sent and are not acknowledged yet."""
        return 0 if self._sender is None else self._sender.chunks_in_flight

    @property
    def requested_items(self) -> int:
        """Tree nodes or keys that the peer waits for."""
        return self._responder.requested_items

    @property
    def anti_entropy_rounds(self) -> int:
        """How often this side compared Merkle trees."""
        return self._anti_entropy.rounds

    @property
    def caught_up(self) -> bool:
        """Whether this side has all that the peer had when the session was established."""
        if self.peer_hello is None or not self._receiver.is_following:
            return False
        return self._receiver.has_all_up_to(self.peer_hello.heads)

    @property
    def delivered(self) -> bool:
        """Whether the peer has acknowledged all that this side holds and it lacked."""
        return self._sender is not None and self._sender.is_delivered

    @property
    def was_closed_orderly(self) -> bool:
        """Whether either side closed the session because it was not needed any more."""
        own_close_code = self.close_code if self.close_detail else ""
        return CloseCode.ORDERLY in (self.peer_close_code, own_close_code)

    def close(self, detail: str, code: str = CloseCode.FAULT) -> None:
        """Close the session from this side, with a reason that is sent to the peer."""
        if not self.close_detail:
            self.close_detail = detail
            self.close_code = code
            self._replica.on_output_pending()

    # ------------------------------------------------------------ sending

    def next_payload(self, now: float) -> bytes | None:
        """What is to be sent now.

        None: ask again at ``wake_at``, after a ``receive``, or when the replica has changed.
        """
        message = self._next_message(now)
        if message is None:
            return None
        payload = message_codec.encode_message(message)
        self._allowance.record_sent(now, len(payload))
        return payload

    def wake_at(self, now: float) -> float:
        """When ``next_payload`` may have something though nothing happens in the meantime."""
        times = [self.last_received_at + PEER_TIMEOUT_S]
        if self.peer_hello is not None:
            times.append(self._next_heartbeat_at)
        if not self.is_ephemeral:
            if self._responder.has_request:
                times.append(self._allowance.next_chunk_at(now))
            chunk_at = None if self._sender is None else self._sender.next_chunk_at(now)
            if chunk_at is not None:
                times.append(chunk_at)
        return min(times)

    def _next_message(self, now: float) -> OutgoingMessage | None:
        if self.peer_close_detail or self.sent_bye:
            return None
        self._check_peer_timeout(now)
        if self.close_detail:
            self.sent_bye = True
            return Bye(self.close_code, self.close_detail, self.alternatives)
        if self.peer_hello is None or not self._sent_hello:
            return self._next_hello(now)
        if not self._receiver.is_following and self._replica.may_follow(self):
            return self._make_follow(self.peer_hello)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            return self._make_heartbeat(now)
        if self._receiver.has_unacknowledged_chunks:
            self._receiver.has_unacknowledged_chunks = False
            return Acknowledgement(self._receiver.acknowledged_positions())
        return self._next_bulk_message(now)

    def _next_hello(self, now: float) -> Hello | None:
        """The dialing side sends the first hello, the accepting side answers."""
        is_turn_of_peer = self.dialed_address is None and self.peer_hello is None
        if self._sent_hello or is_turn_of_peer:
            return None
        self._sent_hello = True
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        return self._make_hello()

    def _check_peer_timeout(self, now: float) -> None:
        silent_s = now - self.last_received_at
        if not self.close_detail and silent_s >= PEER_TIMEOUT_S:
            self.close(f"silent for {silent_s:.1f} s")

    def _next_bulk_message(self, now: float) -> OutgoingMessage | None:
        """Urgent live changes first, then anti-entropy, then all other changes."""
        message: OutgoingMessage | None = self._sender.next_chunk(now, URGENT_LIVE) if self._sender else None
        if message is None:
            message = self._anti_entropy.next_request()
        if message is None:
            message = self._responder.next_response(now, self._allowance)
        for stream in DEFERRABLE_STREAMS:
            if message is None and self._sender is not None:
                message = self._sender.next_chunk(now, stream)
        return message

    def _make_hello(self) -> Hello:
        replica = self._replica
        return Hello(
            node=replica.store.node,
            incarnation=replica.changes.incarnation,
            heads=replica.changes.heads,
            roots=replica.changes.roots,
            counts=replica.changes.counts,
            recently_in_sync=self._claimed_sync(),
            holds_replicated_records=replica.holds_replicated_records,
            tombstone_floor=replica.store.replica_state.tombstone_floor,
            is_ephemeral=replica.is_ephemeral,
            location=replica.location,
        )

    def _claimed_sync(self) -> bool:
        """Decided once: both sides judge by the two hello messages, and must come to the same result."""
        if self._claims_sync is None:
            self._claims_sync = self._replica.recently_in_sync
        return self._claims_sync

    def _make_follow(self, hello: Hello) -> Follow:
        replica = self._replica
        follow = self._receiver.follow(
            hello, replica.changes, replica.followed_cursors.get(hello.incarnation)
        )
        replica.followed_cursors.remember(hello.incarnation, self._receiver.cursors)
        for priority in self._receiver.classes_of_unknown_backlog:
            self._anti_entropy.start(priority)
        return follow

    def _make_heartbeat(self, now: float) -> OutgoingHeartbeat:
        replica = self._replica
        receiver = self._receiver
        return OutgoingHeartbeat(
            heads=replica.changes.heads,
            roots=replica.changes.roots,
            skipped=None if self._sender is None else self._sender.skip_known_changes(),
            acknowledged=receiver.acknowledged_positions() if receiver.is_following else None,
            tombstone_floor=replica.store.replica_state.tombstone_floor,
            recently_in_sync=replica.recently_in_sync,
            zone_ages=replica.zone_ages(now),
            route=replica.make_route_for(self, now),
        )

    # ------------------------------------------------------------ receiving

    def receive(self, payload: bytes, now: float) -> None:
        """Handle a payload of the peer.

        Raises SessionRejectedError, with nothing of this payload's records applied; ``close_code`` then holds
        the reason, and the caller closes the session with the error's text.
        """
        message = decode(payload)
        self.last_received_at = now
        kind, body = next(iter(message.items()))
        try:
            if self.peer_hello is None and kind not in KINDS_WITHOUT_HELLO:
                raise SessionRejectedError(f"{kind} before any greeting")
            self._handle(message_codec.parse_kind(kind), body, now)
        except SessionRejectedError as rejection:
            if rejection.close_code != CloseCode.FAULT:
                self.close_code = rejection.close_code
            raise
        except MALFORMED_BODY_ERRORS as error:
            raise SessionRejectedError(f"not understood: {type(error).__name__} {error}") from error

    # A message out of place is rejected as that, and not for what its body holds: the handlers check whether
    # this side expects the kind before they decode the body.

    def _handle(self, kind: MessageKind, body: Any, now: float) -> None:
        match kind:
            case MessageKind.DIGEST:
                raise message_codec.protocol_mismatch(self.peer, message_codec.PROTOCOL_WITHOUT_HELLO)
            case MessageKind.BYE:
                self._on_bye(body)
            case MessageKind.HELLO:
                self._on_hello(body, now)
            case _:
                self._handle_established(kind, body, now)
                self._replica.on_session_progress(self)

    def _handle_established(self, kind: MessageKind, body: Any, now: float) -> None:
        match kind:
            case MessageKind.FOLLOW:
                self._on_follow(body)
            case MessageKind.CHUNK:
                self._on_chunk(message_codec.decode_chunk(body, self._receiver.is_following))
            case MessageKind.ACKNOWLEDGEMENT:
                self._on_acknowledgement(message_codec.decode_acknowledgement(body))
            case MessageKind.HEARTBEAT:
                self._on_heartbeat(decode_heartbeat(body), now)
            case MessageKind.NODE_REQUEST | MessageKind.RECORD_REQUEST:
                self._on_request(kind, body)
            case MessageKind.NODE_RESPONSE:
                self._anti_entropy.on_nodes(message_codec.decode_node_response(body))
                self._continue_anti_entropy(now)
            case MessageKind.RECORD_RESPONSE:
                self._on_records(message_codec.decode_record_response(body))
                self._continue_anti_entropy(now)

    def _on_bye(self, body: Any) -> None:
        bye = message_codec.decode_bye(body)
        self.peer_close_detail = bye.detail
        self.peer_close_code = bye.close_code
        self.peer_bye = bye  # the peer has ended the session, whatever it names as alternatives
        self.peer_bye = message_codec.decode_bye_alternatives(bye, body)

    def _on_hello(self, body: Any, now: float) -> None:
        if self.peer_hello is not None:
            raise SessionRejectedError("greeted twice")
        hello = message_codec.decode_hello(body, self.peer)
        if hello.node != self.peer:
            raise SessionRejectedError(f"{self.peer} greets as {hello.node}")
        self._replica.admit(self, hello, self._claimed_sync(), now)
        self.peer_hello = hello
        self.peer_recently_in_sync = hello.recently_in_sync
        self._allowance.is_unlimited = self.is_ephemeral
        self._next_heartbeat_at = now
        self._replica.on_session_established(self, now)

    def _on_follow(self, body: Any) -> None:
        assert self.peer_hello is not None
        if self._sender is not None:
            raise SessionRejectedError("follows twice")
        positions = message_codec.decode_follow(body).positions
        self._sender = ChunkSender(
            self._replica, self._allowance, self.peer_hello.incarnation, positions, self._opened_at
        )

    def _on_chunk(self, chunk: Chunk) -> None:
        self._receiver.check_chunk(chunk)
        self._replica.apply_records(chunk.records, self)
        self._receiver.on_chunk_applied(chunk)

    def _on_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        if self._sender is None:
            raise SessionRejectedError("acknowledged what was never sent")
        self._sender.on_acknowledged(acknowledgement.positions)

    def _on_request(self, kind: MessageKind, body: Any) -> None:
        if self._responder.has_request:
            raise SessionRejectedError("asked before the answer")
        if kind == MessageKind.NODE_REQUEST:
            self._responder.on_request(message_codec.decode_node_request(body))
        else:
            self._responder.on_request(message_codec.decode_record_request(body))

    def _on_heartbeat(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        """A part is applied before the next one is decoded: a malformed part ends the session there."""
        acknowledgement = heartbeat.acknowledgement()
        if acknowledgement is not None:
            self._on_acknowledgement(acknowledgement)
        self.peer_recently_in_sync = heartbeat.recently_in_sync
        if not self.is_ephemeral:
            self._on_member_heartbeat(heartbeat, now)
        skipped = heartbeat.skipped()
        if not self._receiver.is_following or skipped is None:
            return
        self._receiver.skip(skipped)
        self._convergence.on_heartbeat(heartbeat)
        self._repair_divergence(heartbeat, now)

    def _on_member_heartbeat(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        """What members tell each other of the cluster; an ephemeral client takes no part in it."""
        replica = self._replica
        replica.store.raise_tombstone_floor(heartbeat.tombstone_floor())
        for zone, age in heartbeat.zone_ages():
            replica.merge_zone_ages({zone: age}, now)
        route = None if replica.topology is None else heartbeat.route()
        if route is not None:
            replica.on_route(self, route, now)

    def _repair_divergence(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        if self._sender is None:
            return
        for priority in PRIORITY_CLASSES:
            has_diverged = self._convergence.has_diverged(priority, heartbeat, self._receiver, self._sender)
            if has_diverged and self._anti_entropy.may_repeat(now):
                self._convergence.on_repair_started(priority)
                self._anti_entropy.start(priority)

    def _on_records(self, response: RecordResponse) -> None:
        self._anti_entropy.check_records(response)
        applied = self._replica.apply_records(response.records, self)
        self._anti_entropy.on_records_applied(applied)

    def _continue_anti_entropy(self, now: float) -> None:
        if not self._anti_entropy.is_active:
            self._receiver.complete_unknown_backlogs()
            self._anti_entropy.on_finished(now)

    def take_sync_time(self) -> float | None:
        """Unix seconds at which both sides held what both now hold; see ``ConvergenceMonitor``."""
        return self._convergence.take_sync_time(self._receiver, self._sender)
