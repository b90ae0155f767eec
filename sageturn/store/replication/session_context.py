"""The interface through which a replication session uses its replica."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from sageturn.store.records import StoreRecord
from sageturn.store.replication.byte_budget import ByteBudget
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.peer_session import PeerSession
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.sync_status import SyncStatus
from sageturn.store.replication.topology import Topology
from sageturn.store.replication.zone_liveness import ZoneLiveness
from sageturn.store.store import Store


class SessionContext(Protocol):
    """Parts and decisions of a replica that its sessions use; implemented by ``replica.Replica``.

    Times are monotonic seconds.
    """

    store: Store
    records: ReplicatedRecords
    sync_status: SyncStatus
    zones: ZoneLiveness
    budget: ByteBudget
    location: ReplicaLocation | None

    @property
    def is_ephemeral(self) -> bool:
        """True if the replica belongs to an operator's short-lived client, which is no member."""

    @property
    def topology(self) -> Topology | None:
        """The topology of the current incarnation; None if links are not chosen by one."""

    def on_output_pending(self) -> None:
        """Handle a session that may have something to send."""

    def admit(self, session: PeerSession, hello: Hello, claims_sync: bool, now: float) -> None:
        """Raise SessionRejectedError if the peer's hello doesn't allow a session.

        Args:
            session: The session, which is not established yet.
            hello: The peer's hello.
            claims_sync: Whether this side claims in its own hello to be recently in sync.
            now: Monotonic seconds.
        """

    def on_session_established(self, session: PeerSession, now: float) -> None:
        """Handle a session whose peer was admitted."""

    def on_session_progress(self, session: PeerSession, now: float) -> None:
        """Handle a message after which this replica may be in sync with the peer."""

    def may_follow(self, session: PeerSession) -> bool:
        """Return whether this replica may take records from a session's peer."""

    def apply_records(self, records: Iterable[StoreRecord], session: PeerSession) -> int:
        """Merge records that a session received into the store; return how many were newer.

        Raises:
            OSError: The log cannot be written.
        """
