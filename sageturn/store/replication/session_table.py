"""The sessions of one replica, and the rules that hold between them."""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.peer_session import PeerSession
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.sync_status import SyncStatus

_INITIAL_SYNC_DETAIL = "being filled by a member that is in step"


class SessionTable:
    """Table of all sessions, including those that are not established yet.

    While a replica that is not recently in sync has a session with a peer that is, it accepts no records from
    members that are not: such records may have been deleted in the meantime.
    """

    def __init__(self, node: str, sync_status: SyncStatus) -> None:
        self._node = node
        self._sync_status = sync_status
        self.sessions: list[ReplicationSession] = []

    def established(self) -> list[ReplicationSession]:
        """Return the established sessions with other members."""
        return [
            session
            for session in self.sessions
            if session.peer_hello is not None and not session.is_ephemeral
        ]

    def open_sessions(self) -> list[ReplicationSession]:
        """Return the established sessions with other members that neither side has ended."""
        return [
            session
            for session in self.established()
            if not session.closing.detail and not session.closing.peer_detail
        ]

    def is_connected_to(self, peer: str) -> bool:
        """Return whether there is an established session with a peer."""
        return any(session.peer == peer and session.peer_hello for session in self.sessions)

    def may_settle(self) -> bool:
        """Return whether all connected members hold the same records and none is recently in sync."""
        sessions = self.established()
        return bool(sessions) and all(
            session.is_caught_up and not session.peer_recently_in_sync for session in sessions
        )

    def may_follow(self, session: PeerSession) -> bool:
        """Return whether the replica may take records from a session's peer."""
        if session.is_ephemeral or session.peer_recently_in_sync:
            return True
        return not self._sync_status.recently_in_sync and not self._has_peer_in_sync()

    def check_sync_claims(self, hello: Hello, claims_sync: bool) -> None:
        """Reject a peer that holds records of others and is not recently in sync, while this side is.

        Args:
            hello: The peer's hello.
            claims_sync: Whether this side claims in its own hello to be recently in sync.

        Raises:
            SessionRejectedError: The peer has to start over, or to wait for this side's initial sync.
        """
        if hello.recently_in_sync or not hello.holds_replicated_records:
            return
        if claims_sync:
            text = f"{hello.node} was away for longer than deletions are kept: it must start over"
            raise SessionRejectedError(text, CloseCode.AWAY)
        if self._has_peer_in_sync():
            raise SessionRejectedError(_INITIAL_SYNC_DETAIL, CloseCode.LATER)

    def _has_peer_in_sync(self) -> bool:
        return any(session.peer_recently_in_sync for session in self.sessions)

    # ------------------------------------------------------------ closing

    def close_all(self, detail: str, code: CloseCode) -> None:
        """Close every session."""
        for session in self.sessions:
            session.close(detail, code)

    def close_with(self, peer: str, detail: str, code: CloseCode) -> None:
        """Close every session with a peer, established or not."""
        for session in self.sessions:
            if session.peer == peer:
                session.close(detail, code)

    def close_established_with(self, peer: str, detail: str, code: CloseCode) -> None:
        """Close the established sessions with a member."""
        for session in self.established():
            if session.peer == peer:
                session.close(detail, code)

    def close_unsynced(self, detail: str) -> None:
        """Close the sessions with members that are not recently in sync; they may connect again."""
        for session in self.established():
            if not session.peer_recently_in_sync:
                session.close(detail, CloseCode.LATER)

    def close_conflicting(self, new: PeerSession) -> None:
        """Close the sessions that a newly established one replaces, or the new one if it is a duplicate."""
        is_initial_sync_from_new = new.peer_recently_in_sync and not self._sync_status.recently_in_sync
        for other in self.established():
            if other is new:
                continue
            if other.peer == new.peer:
                self._close_duplicate(other, new)
            elif is_initial_sync_from_new and not other.peer_recently_in_sync:
                other.close(_INITIAL_SYNC_DETAIL, CloseCode.LATER)

    def _close_duplicate(self, old: PeerSession, new: PeerSession) -> None:
        """Close one of two sessions with a peer.

        The session that the node with the smaller name has dialed is retained. Of two sessions with the same
        dialer, or with two incarnations of the peer, the newer one is retained.
        """
        assert old.peer_hello is not None and new.peer_hello is not None
        is_same_incarnation = old.peer_hello.incarnation == new.peer_hello.incarnation
        if is_same_incarnation and self._dialing_node(old) < self._dialing_node(new):
            new.close("a second link", CloseCode.ORDERLY)
        else:
            old.close("a second link", CloseCode.ORDERLY)

    def _dialing_node(self, session: PeerSession) -> str:
        return self._node if session.dialed_address is not None else session.peer
