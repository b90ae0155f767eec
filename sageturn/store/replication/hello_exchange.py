"""The exchange of hello messages, by which each side of a session decides whether to accept the other."""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication import message_codec
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.session_context import SessionContext


class HelloExchange:
    """One side of the exchange: the dialing side sends the first hello, the accepting side answers.

    ``peer_hello`` is None until the peer was admitted.
    """

    def __init__(self, context: SessionContext, peer: str, is_dialing: bool) -> None:
        self.peer_hello: Hello | None = None
        self._context = context
        self._peer = peer
        self._is_dialing = is_dialing
        self._is_sent = False
        self._is_sync_claimed: bool | None = None  # None until it is decided

    @property
    def is_complete(self) -> bool:
        """True if this side has sent its hello and accepted the peer's."""
        return self._is_sent and self.peer_hello is not None

    def is_sync_claimed(self) -> bool:
        """Return whether this side claims to be recently in sync.

        The claim is evaluated once: both sides judge by the two hello messages and must reach one result.
        """
        if self._is_sync_claimed is None:
            self._is_sync_claimed = self._context.sync_status.recently_in_sync
        return self._is_sync_claimed

    def next_hello(self) -> Hello | None:
        """Return this side's hello and count it as sent; None if it was sent or the peer is to send first."""
        is_turn_of_peer = not self._is_dialing and self.peer_hello is None
        if self._is_sent or is_turn_of_peer:
            return None
        self._is_sent = True
        context = self._context
        changes = context.records.changes
        return Hello(
            node=context.store.node,
            incarnation=changes.incarnation,
            heads=changes.heads,
            roots=changes.roots,
            counts=changes.counts,
            recently_in_sync=self.is_sync_claimed(),
            holds_replicated_records=context.sync_status.holds_replicated_records,
            tombstone_floor=context.store.replica_state.tombstone_floor,
            is_ephemeral=context.is_ephemeral,
            location=context.location,
        )

    def decode_peer_hello(self, body: object) -> Hello:
        """Decode the peer's hello, without accepting it yet.

        Raises:
            SessionRejectedError: It is the second one, malformed, of another protocol version, or names
                another node than the one that was authenticated.
        """
        if self.peer_hello is not None:
            raise SessionRejectedError("greeted twice")
        hello = message_codec.decode_hello(body, self._peer)
        if hello.node != self._peer:
            raise SessionRejectedError(f"{self._peer} greets as {hello.node}")
        return hello

    def on_peer_admitted(self, hello: Hello) -> None:
        """Store the hello of a peer that the replica has admitted."""
        self.peer_hello = hello
