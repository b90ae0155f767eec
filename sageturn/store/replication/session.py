"""One replication session: both directions of the conversation over one connection. No I/O, no clock.

Each side follows the other: it says how far it has got in each change log, is sent what changed since in
bounded chunks, and acknowledges them. Where a side cannot say how far it is with this incarnation of the
other, it compares Merkle trees and requests what differs, or, nearly empty, takes everything from the start.

This module decides the order of messages and dispatches those received. The state is kept by the parts:
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
    KINDS_WITHOUT_HELLO,
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
from sageturn.store.replication.session_host import SessionHost
from sageturn.store.replication.wire import decode


class ReplicationSession:
    """One side of a session; its replica opens it once the connection is authenticated.

    Args:
        host: The replica of this side.
        peer: The authenticated name of the other side.
        now: Monotonic seconds.
        dialed_address: The address that this side has dialed; None if it accepted the connection.
    """

    def __init__(self, host: SessionHost, peer: str, now: float, dialed_address: Address | None) -> None:
        self.peer = peer
        self.dialed_address = dialed_address
        self.peer_recently_in_sync = False
        self.closing = SessionClosing()
        self.keep_alive = KeepAlive(now)
        self._host = host
        self._allowance = SendAllowance(host.budget, host.is_ephemeral)
        self._hellos = HelloExchange(host, peer, is_dialing=dialed_address is not None)
        self.change_exchange = ChangeExchange(host.records, self._allowance, now)
        self.anti_entropy = AntiEntropyExchange(host.records, self.change_exchange, self._allowance)

    # ------------------------------------------------------------ state

    @property
    def peer_hello(self) -> Hello | None:
        """The peer's hello; None until it was admitted."""
        return self._hellos.peer_hello

    @property
    def is_ephemeral(self) -> bool:
        """Whether one side is an operator's client, to which no rule of membership applies."""
        hello = self._hellos.peer_hello
        return self._host.is_ephemeral or (hello is not None and hello.is_ephemeral)

    @property
    def is_caught_up(self) -> bool:
        """Whether this side has all that the peer had when the session was established."""
        hello = self._hellos.peer_hello
        return hello is not None and self.change_exchange.is_caught_up(hello)

    def take_sync_time(self) -> float | None:
        """Returns Unix seconds at which both sides held what both now hold, once for each; else None."""
        return self.anti_entropy.take_sync_time()

    def close(self, detail: str, code: str = CloseCode.FAULT) -> None:
        """Closes the session from this side, with a reason that is sent to the peer; the first one counts."""
        if self.closing.close(detail, code):
            self._host.on_output_pending()

    # ------------------------------------------------------------ sending

    def next_payload(self, now: float) -> bytes | None:
        """Returns what is to be sent now.

        None means that there is nothing: ask again at ``wake_at``, after a ``receive``, or when the replica
        has changed.
        """
        message = self._next_message(now)
        if message is None:
            return None
        payload = message_codec.encode_message(message)
        self._allowance.record_sent(now, len(payload))
        return payload

    def wake_at(self, now: float) -> float:
        """Returns when ``next_payload`` may return something though nothing happens in the meantime."""
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
        if not self.change_exchange.receiver.is_following and self._host.may_follow(self):
            return self._follow(hello)
        if self.keep_alive.is_heartbeat_due(now):
            self.keep_alive.on_heartbeat_sent(now)
            return self._make_heartbeat(now)
        acknowledgement = self.change_exchange.next_acknowledgement()
        if acknowledgement is not None:
            return acknowledgement
        return self._next_bulk_message(now)

    def _check_peer_timeout(self, now: float) -> None:
        if not self.closing.detail and self.keep_alive.is_peer_silent(now):
            self.close(f"silent for {self.keep_alive.silence_s(now):.1f} s")

    def _next_hello(self, now: float) -> Hello | None:
        hello = self._hellos.next_hello()
        if hello is not None:
            self.keep_alive.on_heartbeat_sent(now)
        return hello

    def _follow(self, hello: Hello) -> Follow:
        follow = self.change_exchange.follow(hello)
        self.anti_entropy.start(self.change_exchange.receiver.classes_of_unknown_backlog)
        return follow

    def _make_heartbeat(self, now: float) -> OutgoingHeartbeat:
        host = self._host
        changes = host.records.changes
        topology = None if self.is_ephemeral else host.topology
        return OutgoingHeartbeat(
            heads=changes.heads,
            roots=changes.roots,
            skipped=self.change_exchange.skip_known_changes(),
            acknowledged=self.change_exchange.heartbeat_acknowledgements(),
            tombstone_floor=host.store.replica_state.tombstone_floor,
            recently_in_sync=host.sync_status.recently_in_sync,
            zone_ages=host.zones.ages(now),
            route=None if topology is None else topology.make_advertisement(self.peer, now),
        )

    def _next_bulk_message(self, now: float) -> OutgoingMessage | None:
        """Returns the next urgent live changes, else the next of anti-entropy, else any other changes."""
        message: OutgoingMessage | None = self.change_exchange.next_urgent_chunk(now)
        if message is None:
            message = self.anti_entropy.next_message(now)
        if message is None:
            message = self.change_exchange.next_deferrable_chunk(now)
        return message

    # ------------------------------------------------------------ receiving

    def receive(self, payload: bytes, now: float) -> None:
        """Handles a payload of the peer.

        Raises:
            SessionRejectedError: Nothing of this payload's records was applied. ``closing.code`` has the
                reason; the caller closes the session with it and the error's text.
            OSError: The log cannot be written.
        """
        message = decode(payload)
        self.keep_alive.on_received(now)
        kind, body = next(iter(message.items()))
        try:
            if self.peer_hello is None and kind not in KINDS_WITHOUT_HELLO:
                raise SessionRejectedError(f"{kind} before any greeting")
            self._handle(message_codec.parse_kind(kind), body, now)
        except SessionRejectedError as rejection:
            self.closing.on_rejection(rejection)
            raise
        except MALFORMED_BODY_ERRORS as error:
            raise SessionRejectedError(f"not understood: {type(error).__name__} {error}") from error

    def _handle(self, kind: MessageKind, body: object, now: float) -> None:
        """Dispatches a message to the handler of its kind.

        Handlers check whether this side expects the kind before they decode the body, so a message out of
        place is rejected as that, and not for what its body holds.
        """
        match kind:
            case MessageKind.DIGEST:
                raise message_codec.protocol_mismatch(self.peer, message_codec.PROTOCOL_WITHOUT_HELLO)
            case MessageKind.BYE:
                self.closing.on_bye(body)
            case MessageKind.HELLO:
                self._on_hello(body, now)
            case _:
                self._handle_established(kind, body, now)
                self._host.on_session_progress(self)

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
        self._host.admit(self, hello, self._hellos.claimed_sync(), now)
        self._hellos.on_peer_admitted(hello)
        self.peer_recently_in_sync = hello.recently_in_sync
        self._allowance.is_unlimited = self.is_ephemeral
        self.keep_alive.request_heartbeat(now)
        self._host.on_session_established(self, now)

    def _on_chunk(self, chunk: Chunk) -> None:
        receiver = self.change_exchange.receiver
        receiver.check_chunk(chunk)
        self._host.apply_records(chunk.records, self)
        receiver.on_chunk_applied(chunk)

    def _on_records(self, response: RecordResponse, now: float) -> None:
        self.anti_entropy.check_records(response)
        applied = self._host.apply_records(response.records, self)
        self.anti_entropy.on_records_applied(applied, now)

    def _on_heartbeat(self, heartbeat: ReceivedHeartbeat, now: float) -> None:
        """Applies each part before it decodes the next one: a malformed part ends the session there."""
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
        """Applies what members tell each other of the cluster; an ephemeral client takes no part in it."""
        host = self._host
        host.store.raise_tombstone_floor(heartbeat.tombstone_floor())
        for zone, age in heartbeat.zone_ages():
            host.zones.merge({zone: age}, now)
        if host.topology is None:
            return
        route = heartbeat.route()
        if route is not None:
            host.topology.on_advertisement(self.peer, route, now)
