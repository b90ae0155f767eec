"""One replication session: both directions of the message exchange over one connection. No I/O, no clock.

Each side follows the other: it sends its position in each change log, receives the changes since then in
bounded chunks, and acknowledges them. A side that has no position for this incarnation of the other compares
Merkle trees and requests the records that differ or, if it has few records itself, fetches the whole log.

This module decides the order of messages and dispatches those received. The parts keep the state:
``hello_exchange``, ``change_exchange``, ``anti_entropy_exchange``, ``keep_alive`` and ``session_closing``.
Times are seconds of a monotonic clock that is passed in.
"""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.anti_entropy_exchange import AntiEntropyExchange
from sageturn.store.replication.body_fields import MALFORMED_BODY_ERRORS
from sageturn.store.replication.change_exchange import ChangeExchange
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.heartbeat_codec import ReceivedHeartbeat, decode_heartbeat
from sageturn.store.replication.hello_exchange import HelloExchange
from sageturn.store.replication.keep_alive import KeepAlive
from sageturn.store.replication.membership import Address
from sageturn.store.replication.messages import (
    KINDS_ALLOWED_BEFORE_HELLO,
    Chunk,
    Follow,
    Hello,
    MessageKind,
    OutgoingHeartbeat,
    OutgoingMessage,
    RecordResponse,
)
from sageturn.store.replication.send_allowance import SendAllowance
from sageturn.store.replication.session_closing import SessionClosing
from sageturn.store.replication.session_context import SessionContext
from sageturn.store.replication.wire import decode


class ReplicationSession:
    """One side of a session; its replica opens it once the connection is authenticated.

    Args:
        context: The replica of this side.
        peer: The authenticated name of the other side.
        now: Monotonic seconds.
        dialed_address: The address that this side has dialed; None if it accepted the connection.
    """

    def __init__(
        self, context: SessionContext, peer: str, now: float, dialed_address: Address | None
    ) -> None:
        self.peer = peer
        self.dialed_address = dialed_address
        self.peer_recently_in_sync = False
        self.closing = SessionClosing()
        self.keep_alive = KeepAlive(now)
        self._context = context
        self._allowance = SendAllowance(context.budget, context.is_ephemeral)
        self._hellos = HelloExchange(context, peer, is_dialing=dialed_address is not None)
        self.change_exchange = ChangeExchange(context.records, self._allowance, now)
        self.anti_entropy = AntiEntropyExchange(context.records, self.change_exchange, self._allowance)

    # ------------------------------------------------------------ state

    @property
    def peer_hello(self) -> Hello | None:
        """The peer's hello; None until it was admitted."""
        return self._hellos.peer_hello

    @property
    def is_ephemeral(self) -> bool:
        """True if one side is an operator's client, to which no rule of membership applies."""
        hello = self._hellos.peer_hello
        return self._context.is_ephemeral or (hello is not None and hello.is_ephemeral)

    @property
    def is_caught_up(self) -> bool:
        """True if this side has all that the peer had when the session was established."""
        hello = self._hellos.peer_hello
        return hello is not None and self.change_exchange.is_caught_up(hello)

    @property
    def is_followed(self) -> bool:
        """True if the peer takes this side's changes."""
        return self.change_exchange.sender is not None

    def take_sync_time(self) -> float | None:
        """Return Unix seconds of a time whose changes both sides now have; None if there is no new one."""
        return self.anti_entropy.take_sync_time()

    def close(self, detail: str, code: str = CloseCode.FAULT) -> None:
        """Close the session from this side, and send the reason to the peer; only the first one is used."""
        if self.closing.close(detail, code):
            self._context.on_output_pending()

    # ------------------------------------------------------------ sending

    def next_payload(self, now: float) -> bytes | None:
        """Return the next payload to send; None if there is none now.

        After None, call again at ``wake_at``, after a ``receive``, or when the replica has changed.
        """
        message = self._next_message(now)
        if message is None:
            return None
        payload = message_codec.encode_message(message)
        self._allowance.record_sent(now, len(payload))
        return payload

    def wake_at(self, now: float) -> float:
        """Return the time at which ``next_payload`` may return a payload if no other event occurs."""
        times = [self.keep_alive.peer_timeout_at]
        if self.peer_hello is not None:
            times.append(self.keep_alive.next_heartbeat_at)
        if not self.is_ephemeral:
            response_at = self.anti_entropy.next_response_at(now)
            chunk_at = self.change_exchange.next_chunk_at(now)
            times += [at for at in (response_at, chunk_at) if at is not None]
        return min(times)

    def _next_message(self, now: float) -> OutgoingMessage | None:
        if self.closing.is_output_finished:
            return None
        self._check_peer_timeout(now)
        if self.closing.detail:
            return self.closing.make_bye()
        hello = self._hellos.peer_hello
        if hello is None or not self._hellos.is_complete:
            return self._next_hello(now)
        if not self.change_exchange.receiver.is_following and self._context.may_follow(self):
            return self._follow(hello)
        if self.keep_alive.is_heartbeat_due(now):
            self.keep_alive.on_heartbeat_sent(now)
            return self._make_heartbeat(now)
        acknowledgement = self.change_exchange.next_acknowledgement()
        if acknowledgement is not None:
            return acknowledgement
        return self._next_bulk_message(now)

    def _check_peer_timeout(self, now: float) -> None:
        if not self.closing.detail and self.keep_alive.is_peer_unresponsive(now):
            self.close(f"silent for {self.keep_alive.since_received_s(now):.1f} s")

    def _next_hello(self, now: float) -> Hello | None:
        hello = self._hellos.next_hello()
        if hello is not None:
            self.keep_alive.on_heartbeat_sent(now)
        return hello

    def _follow(self, hello: Hello) -> Follow:
        follow = self.change_exchange.follow(hello)
        self.anti_entropy.start(self.change_exchange.receiver.classes_with_unknown_backlog)
        return follow

    def _make_heartbeat(self, now: float) -> OutgoingHeartbeat:
        context = self._context
        changes = context.records.changes
        topology = None if self.is_ephemeral else context.topology
        return OutgoingHeartbeat(
            heads=changes.heads,
            roots=changes.roots,
            skipped=self.change_exchange.take_skipped_ranges(),
            acknowledged=self.change_exchange.heartbeat_acknowledgements(),
            tombstone_floor=context.store.replica_state.tombstone_floor,
            recently_in_sync=context.sync_status.recently_in_sync,
            zone_ages=context.zones.ages(now),
            route=None if topology is None else topology.make_advertisement(self.peer, now),
        )

    def _next_bulk_message(self, now: float) -> OutgoingMessage | None:
        """Return the next urgent live chunk, else the next anti-entropy message, else any other chunk."""
        message: OutgoingMessage | None = self.change_exchange.next_urgent_chunk(now)
        if message is None:
            message = self.anti_entropy.next_message(now)
        if message is None:
            message = self.change_exchange.next_deferrable_chunk(now)
        return message

    # ------------------------------------------------------------ receiving

    def receive(self, payload: bytes, now: float) -> None:
        """Handle a payload of the peer.

        Raises:
            SessionRejectedError: No record of this payload was applied. ``closing.code`` has the reason;
                the caller closes the session with it and the error's text.
            OSError: The log cannot be written.
        """
        message = decode(payload)
        self.keep_alive.on_received(now)
        kind, body = next(iter(message.items()))
        try:
            if self.peer_hello is None and kind not in KINDS_ALLOWED_BEFORE_HELLO:
                raise SessionRejectedError(f"{kind} before any greeting")
            self._handle(message_codec.parse_kind(kind), body, now)
        except SessionRejectedError as rejection:
            self.closing.on_rejection(rejection)
            raise
        except MALFORMED_BODY_ERRORS as error:
            raise SessionRejectedError(f"not understood: {type(error).__name__} {error}") from error

    def _handle(self, kind: MessageKind, body: object, now: float) -> None:
        """Dispatch a message to the handler of its kind.

        Handlers check whether this side expects the kind before they decode the body, so an unexpected
        message is rejected as such, and not for the contents of its body.
        """
        match kind:
            case MessageKind.DIGEST:
                raise message_codec.protocol_mismatch(self.peer, message_codec.PROTOCOL_1_LABEL)
            case MessageKind.BYE:
                self.closing.on_bye(body)
            case MessageKind.HELLO:
                self._on_hello(body, now)
            case _:
                self._handle_established(kind, body, now)
                self._context.on_session_progress(self, now)

    def _handle_established(self, kind: MessageKind, body: object, now: float) -> None:
        changes = self.change_exchange
        match kind:
            case MessageKind.FOLLOW:
                assert self.peer_hello is not None
                changes.on_follow(body, self.peer_hello.incarnation)
            case MessageKind.CHUNK:
                self._on_chunk(message_codec.decode_chunk(body, changes.receiver.is_following))
            case MessageKind.ACKNOWLEDGEMENT:
                changes.on_acknowledgement(message_codec.decode_acknowledgement(body))
            case MessageKind.HEARTBEAT:
                self._on_heartbeat(decode_heartbeat(body), now)
            case MessageKind.NODE_REQUEST | MessageKind.RECORD_REQUEST:
                self.anti_entropy.on_request(kind, body)
            case MessageKind.NODE_RESPONSE:
                self.anti_entropy.on_nodes(message_codec.decode_node_response(body), now)
            case MessageKind.RECORD_RESPONSE:
                self._on_records(message_codec.decode_record_response(body), now)

    def _on_hello(self, body: object, now: float) -> None:
        hello = self._hellos.decode_peer_hello(body)
        self._context.admit(self, hello, self._hellos.is_sync_claimed(), now)
        self._hellos.on_peer_admitted(hello)
        self.peer_recently_in_sync = hello.recently_in_sync
        self._allowance.is_unlimited = self.is_ephemeral
        self.keep_alive.request_heartbeat(now)
        self._context.on_session_established(self, now)

    def _on_chunk(self, chunk: Chunk) -> None:
        receiver = self.change_exchange.receiver
        receiver.check_chunk(chunk)
        self._context.apply_records(chunk.records, self)
        receiver.on_chunk_applied(chunk)

    def _on_records(self, response: RecordResponse, now: float) -> None:
        self.anti_entropy.accept_record_response(response)
        applied = self._context.apply_records(response.records, self)
        self.anti_entropy.on_records_applied(applied, now)

    def _on_heartbeat(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        """Apply each part before the next one is decoded: a malformed part ends the session at that point."""
        acknowledgement = heartbeat.acknowledgement()
        if acknowledgement is not None:
            self.change_exchange.on_acknowledgement(acknowledgement)
        self.peer_recently_in_sync = heartbeat.recently_in_sync
        if not self.is_ephemeral:
            self._on_member_heartbeat(heartbeat, now)
        skipped = heartbeat.skipped()
        receiver = self.change_exchange.receiver
        if receiver.is_following and skipped is not None:
            receiver.skip(skipped)
            self.anti_entropy.on_heartbeat(heartbeat, now)

    def _on_member_heartbeat(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        """Apply the cluster state that members exchange; an ephemeral client ignores it."""
        context = self._context
        context.store.raise_tombstone_floor(heartbeat.tombstone_floor())
        for zone, age in heartbeat.zone_ages():
            context.zones.merge({zone: age}, now)
        if context.topology is None:
            return
        route = heartbeat.route()
        if route is not None:
            context.topology.on_advertisement(self.peer, route, now)
