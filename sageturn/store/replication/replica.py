"""One replica of the store: its records, its sessions and its links to other members. No I/O, no clock.

Records that a session receives enter the change logs (``replicated_records``), from which all other sessions
forward them. This module connects the parts that decide which sessions may be opened (``session_table``),
whether the records are known to be complete (``sync_status``), and whom to dial (``topology_links``).

``now`` is seconds of a monotonic clock that is passed in; ``store.wall_clock`` returns Unix seconds.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import StoreRecord
from sageturn.store.replication.backoff import Backoff
from sageturn.store.replication.byte_budget import ByteBudget
from sageturn.store.replication.catch_up import CatchUpMonitor
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.incarnation import next_incarnation
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.member_directory import encode_member, member_key
from sageturn.store.replication.membership import Address, Member, RejectReason
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.options import DEFAULT_HORIZON_S, DEFAULT_MAX_BYTES_PER_S
from sageturn.store.replication.peer_session import PeerSession
from sageturn.store.replication.replicated_records import ReplicatedRecords
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.session_table import SessionTable
from sageturn.store.replication.start_over import StartOver
from sageturn.store.replication.sync_status import SyncStatus
from sageturn.store.replication.topology import Topology, TopologyFactory
from sageturn.store.replication.topology_links import TopologyLinks
from sageturn.store.replication.zone_liveness import ZoneLiveness
from sageturn.store.store import Store

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 5.0
# Without a delay, two processes under one name would supersede each other in an endless loop.
MIN_SUPERSEDE_DELAY_S = 10.0
MAX_SUPERSEDE_DELAY_S = 600.0
SUPERSEDE_INCARNATION_STEP = 1 << 40  # equals 4.7 hours of the clock in an incarnation number


@dataclass(frozen=True, slots=True)
class TickResult:
    """Addresses to dial after a tick, and the time of the next tick."""

    addresses_to_dial: Sequence[Address]
    next_tick_at: float  # monotonic seconds


def _do_nothing() -> None:
    pass


@dataclass(frozen=True, slots=True)
class ReplicaCallbacks:
    """The callbacks by which a replica notifies the tasks that drive it.

    ``on_output_pending`` is called when sessions may have something to send, ``on_tick_due`` when ``tick``
    should be called now.
    """

    on_output_pending: Callable[[], None] = _do_nothing
    on_tick_due: Callable[[], None] = _do_nothing


class Replica:
    """Replica of a member, or, without a ``location``, of an ephemeral client, which is not a member.

    Without ``make_topology`` it dials no member and accepts links from every member. ``expects_peers`` says
    whether it has seeds: it then serves no client before it has looked for other members.
    """

    def __init__(
        self,
        store: Store,
        rng: Random,
        now: float,
        location: ReplicaLocation | None = None,
        make_topology: TopologyFactory | None = None,
        max_bytes_per_s: float = DEFAULT_MAX_BYTES_PER_S,
        horizon_s: float = DEFAULT_HORIZON_S,
        callbacks: ReplicaCallbacks = ReplicaCallbacks(),
        expects_peers: bool = False,
    ) -> None:
        self.store = store
        self.location = location
        self.budget = ByteBudget(max_bytes_per_s, now)
        self.sync_status = SyncStatus(store, horizon_s)
        self._starting_over = StartOver(store, self.sync_status)
        self.records = ReplicatedRecords(store, horizon_s, self)
        self.zones = ZoneLiveness(None if location is None else location.zone_label)
        self.catch_up = CatchUpMonitor(store.node, now)
        self._callbacks = callbacks
        self._rng = rng
        self._horizon_s = horizon_s
        self._make_topology = make_topology
        self._expects_peers = expects_peers
        self._links: TopologyLinks | None = None
        self._session_table = SessionTable(store.node, self.sync_status)
        self._is_announced = False
        self._maintenance_at = now
        self._supersede_backoff = Backoff(MIN_SUPERSEDE_DELAY_S, MAX_SUPERSEDE_DELAY_S, rng)
        self._supersede_at = now
        self._begin_incarnation()
        store.on_change.append(self.records.on_store_changed)
        store.on_discarded.append(self.records.on_records_discarded)
        self._has_caught_up(now)

    def close(self) -> None:
        """Unsubscribe from the store's changes."""
        self.store.on_change.remove(self.records.on_store_changed)
        self.store.on_discarded.remove(self.records.on_records_discarded)

    # ------------------------------------------------------------ state

    @property
    def is_ephemeral(self) -> bool:
        """True if the replica belongs to an operator's short-lived client, which is no member."""
        return self.location is None

    @property
    def sessions(self) -> list[ReplicationSession]:
        """All sessions, including those that are not established yet."""
        return self._session_table.sessions

    @property
    def members(self) -> dict[str, Member]:
        """All members by name, this one included."""
        return self.records.directory.members

    @property
    def topology(self) -> Topology | None:
        """The topology of the current incarnation; None if links are not chosen by one."""
        return None if self._links is None else self._links.topology

    # ------------------------------------------------------------ incarnation

    def _begin_incarnation(self, step: int = 1) -> None:
        """Start new change logs, for which the cursors that peers have of the earlier ones are not valid."""
        incarnation = next_incarnation(self.store, self._rng, self.records.changes.incarnation, step)
        self._is_announced = False  # the next tick announces it, if there is a topology
        self.records.begin_incarnation(incarnation)
        if self.location is not None:
            if self._make_topology is not None:
                own = self.location.as_member(self.store.node, incarnation)
                self._links = TopologyLinks(self._make_topology(own), self._session_table)
            self.on_members_changed()

    def announce(self) -> None:
        """Publish this member's location and incarnation. Raise OSError if the log cannot be written."""
        assert self.location is not None
        key = member_key(self.store.node)
        value = encode_member(self.location, self.records.changes.incarnation)
        if self.store.get(key) != value:
            self.store.put(key, value)
        self._is_announced = True

    def _start_over(self, now: float) -> None:
        self._starting_over.remove_unverified_records()
        self.catch_up.restart(now)
        self._session_table.close_all("starting over", CloseCode.LATER)
        self._begin_incarnation()

    # ------------------------------------------------------------ changes of the records

    def on_records_changed(self) -> None:
        """Handle new versions of records, which sessions may have to send."""
        self._callbacks.on_output_pending()

    def on_members_changed(self) -> None:
        """Handle a member that was added, removed, or advertises itself differently."""
        if self._links is not None:
            self._links.on_members_changed()
        self._callbacks.on_tick_due()

    def on_member_removed(self, node: str) -> None:
        """Handle the removal of a member, this one included, by an operator."""
        if node == self.store.node:
            self._starting_over.on_own_removal("config")
        else:
            self._session_table.close_with(node, f"{node} was removed", CloseCode.REMOVED)

    # ------------------------------------------------------------ sessions

    def on_output_pending(self) -> None:
        """Handle a session that may have something to send."""
        self._callbacks.on_output_pending()

    def open_session(
        self, peer: str, now: float, dialed_address: Address | None = None
    ) -> ReplicationSession:
        """Open a session over a connection that was authenticated as the peer's.

        ``dialed_address`` is None if this side accepted the connection. The caller has to call
        ``on_session_closed`` when the connection ends.
        """
        session = ReplicationSession(self, peer, now, dialed_address)
        self.sessions.append(session)
        return session

    def on_session_closed(self, session: ReplicationSession, now: float) -> None:
        """Handle the end of a session's connection, whoever closed it."""
        if session not in self.sessions:
            return
        self.sessions.remove(session)
        self._callbacks.on_tick_due()
        if not self.is_ephemeral:
            self._on_peer_closed(session.closing.peer_code, now)
        if (
            session.peer_hello is not None
            and not session.is_ephemeral
            and not self._session_table.established()
        ):
            self.catch_up.restart(now)
        if self._links is not None and not session.is_ephemeral:
            self._links.on_session_closed(session, now)

    def _on_peer_closed(self, close_code: str, now: float) -> None:
        if close_code == CloseCode.AWAY:
            if self.sync_status.holds_replicated_records and not self.sync_status.recently_in_sync:
                self._start_over(now)
        elif close_code == CloseCode.REMOVED:
            self._starting_over.on_own_removal("peer")

    def admit(self, session: PeerSession, hello: Hello, claims_sync: bool, now: float) -> None:
        """Check whether a peer's hello allows a session, and start over if this side has to.

        Args:
            session: The session, which is not established yet.
            hello: The peer's hello.
            claims_sync: Whether this side claims in its own hello to be recently in sync.
            now: Monotonic seconds.

        Raises:
            SessionRejectedError: The session has to be closed.
        """
        if self.is_ephemeral:
            return
        if hello.is_ephemeral:
            self._check_client_admission(now)
            return
        if hello.node == self.store.node:
            raise SessionRejectedError(
                f"a second copy that calls itself {hello.node}", RejectReason.SAME_NAME
            )
        if hello.node in self.records.directory.removed:
            raise SessionRejectedError(f"{hello.node} was removed", CloseCode.REMOVED)
        if hello.recently_in_sync and not claims_sync and self.sync_status.holds_replicated_records:
            self._start_over(now)
            text = "away for longer than deletions are remembered: starting over"
            raise SessionRejectedError(text, CloseCode.LATER)
        self._session_table.check_sync_claims(hello, claims_sync)
        if session.dialed_address is None and self._links is not None:
            self._links.check_admission(hello, now)

    def _check_client_admission(self, now: float) -> None:
        """Reject a client that could write over newer records which this replica has not fetched yet."""
        if not self._has_caught_up(now):
            self.catch_up.rejected_clients += 1
            text = f"{self.store.node} is still catching up with the other members: try again shortly"
            raise SessionRejectedError(text, CloseCode.LATER)

    def _has_caught_up(self, now: float) -> bool:
        """Return whether this replica holds what the other members had when they linked to it."""
        if self.members.keys() - {self.store.node}:
            self._expects_peers = True  # also while a start over withholds the others' advertisements
        followed = [session for session in self._session_table.open_sessions() if self.may_follow(session)]
        return self.catch_up.update(now, self._expects_peers, followed)

    def on_session_established(self, session: PeerSession, now: float) -> None:
        """Handle a session whose peer was admitted."""
        assert session.peer_hello is not None
        # A client needs the floor as well: it writes an unknown key above all discarded tombstones.
        self.store.raise_tombstone_floor(session.peer_hello.tombstone_floor)
        if session.is_ephemeral:
            return
        self._session_table.close_conflicting(session)
        if self._links is not None and not session.closing.detail:
            self._links.on_session_established(session, now)
            self._callbacks.on_tick_due()

    def may_follow(self, session: PeerSession) -> bool:
        """Return whether this replica may take records from a session's peer."""
        return self._session_table.may_follow(session)

    def apply_records(self, records: Iterable[StoreRecord], session: PeerSession) -> int:
        """Merge records that a session received into the store; return how many were newer.

        Of a client only what it wrote itself counts: its copy of the others is older than the members', and
        may hold records that were deleted in the meantime.

        Raises:
            OSError: The log cannot be written.
        """
        assert session.peer_hello is not None
        if session.is_ephemeral and not self.is_ephemeral:
            records = [record for record in records if record.node == session.peer]
        applied = self.records.apply(records, session.peer_hello.incarnation)
        if applied and not session.is_ephemeral:
            self.sync_status.on_records_applied(session.peer_recently_in_sync)
        return applied

    def on_session_progress(self, session: PeerSession, now: float) -> None:
        """Handle a message after which this replica may be in sync with the peer."""
        if not self.is_ephemeral and not self.catch_up.is_caught_up:
            self._has_caught_up(now)
        in_sync_at = session.take_sync_time()
        if in_sync_at is None or self.is_ephemeral or session.is_ephemeral:
            return
        if session.peer_recently_in_sync and self.sync_status.on_in_sync(in_sync_at):
            # Records that peers which are not in sync still offer may have been deleted in the meantime.
            self._session_table.close_unsynced("in step now: greet again")

    # ------------------------------------------------------------ time

    def tick(self, now: float) -> TickResult:
        """Perform due maintenance, close links that are not needed, and find the addresses to dial.

        Raises:
            OSError: The log cannot be written now, and this member could not be announced.
        """
        if now >= self._maintenance_at:
            self._maintenance_at = now + MAINTENANCE_INTERVAL_S
            self._has_caught_up(now)
            self.sync_status.update_settling(now, self._session_table.may_settle())
            self._discard_tombstones(now)
        if self._links is None:
            return TickResult((), self._maintenance_at)
        if not self._is_announced:
            self.announce()
        self._links.update_members(self.records.directory)
        if self._links.is_superseded and now >= self._supersede_at:
            self._supersede_stale_incarnation(now)
        self._links.close_unneeded_links(now)
        addresses = self._links.addresses_to_dial(now)
        return TickResult(addresses, min(self._maintenance_at, self._links.next_wakeup(now)))

    def _discard_tombstones(self, now: float) -> None:
        """Discard tombstones older than the horizon, but only while messages from every zone arrive.

        Replicas in a partitioned zone may still hold the deleted records, and consider themselves in sync.
        """
        if not self.records.has_expirable_tombstones():
            return
        zones = self.records.directory.active_zones()
        if not self.zones.is_any_unresponsive(zones, now, limit_s=self._horizon_s / 2):
            self.records.discard_expired_tombstones()

    def _supersede_stale_incarnation(self, now: float) -> None:
        """Begin an incarnation with a larger number, after an earlier one of this member counted as newer."""
        self._supersede_at = now + self._supersede_backoff.next_delay_s()
        log.warning("stale incarnation superseded node=%s", self.store.node)
        self._session_table.close_all("a new incarnation", CloseCode.LATER)
        self._begin_incarnation(SUPERSEDE_INCARNATION_STEP)
