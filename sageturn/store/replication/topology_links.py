"""Connection of a replica's sessions to the topology that decides which members link to each other."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.errors import LinkNotAdmittedError
from sageturn.store.replication.member_directory import MemberDirectory
from sageturn.store.replication.membership import Address, MembershipStatus
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.peer_session import PeerSession
from sageturn.store.replication.session_table import SessionTable
from sageturn.store.replication.topology import Topology


class TopologyLinks:
    """Adapter between a replica's sessions and the topology of one incarnation.

    It notifies the topology of members and sessions, and carries out its decisions. ``now`` is in monotonic
    seconds.
    """

    def __init__(self, topology: Topology, session_table: SessionTable) -> None:
        self.topology = topology
        self._session_table = session_table
        self._have_members_changed = True

    @property
    def is_superseded(self) -> bool:
        """True if a larger incarnation of this member exists."""
        return self.topology.membership_status == MembershipStatus.SUPERSEDED

    def on_members_changed(self) -> None:
        """Record that the members changed, so that the next ``update_members`` notifies the topology."""
        self._have_members_changed = True

    def update_members(self, directory: MemberDirectory) -> None:
        """Notify the topology of the members if they have changed."""
        if self._have_members_changed:
            self._have_members_changed = False
            self.topology.update_members(directory.active())

    def check_admission(self, hello: Hello, now: float) -> None:
        """Raise LinkNotAdmittedError if the topology rejects the link of a member that dialed this one."""
        member = hello.member()
        if member is None:
            return
        rejection = self.topology.check_admission(member, now)
        if rejection is not None:
            raise LinkNotAdmittedError(rejection)

    def on_session_established(self, session: PeerSession, now: float) -> None:
        """Notify the topology of a new link."""
        self.topology.on_link_established(session.peer, now, session.dialed_address)

    def on_session_closed(self, session: PeerSession, now: float) -> None:
        """Notify the topology of the end of the last link to a member, or of a dial without a link."""
        if session.peer_hello is not None:
            if not self._session_table.is_connected_to(session.peer):
                self.topology.on_link_closed(session.peer, now, session.closing.was_orderly)
        elif session.dialed_address is not None:
            self._report_failed_dial(session.dialed_address, session, now)

    def _report_failed_dial(self, address: Address, session: PeerSession, now: float) -> None:
        bye = session.closing.peer_bye
        rejection = None if bye is None else bye.link_rejection()
        if rejection is not None:
            self.topology.on_dial_rejected(address, now, rejection)
        else:
            self.topology.on_dial_failed(address, now)

    def close_unneeded_links(self, now: float) -> None:
        """Close the sessions with the members whose links the topology does not need."""
        for name in self.topology.links_to_close(now):
            self._session_table.close_established_with(name, "not needed any more", CloseCode.ORDERLY)

    def addresses_to_dial(self, now: float) -> Sequence[Address]:
        """Return the addresses to dial now."""
        return self.topology.addresses_to_dial(now)

    def next_wakeup(self, now: float) -> float:
        """Return the time at which the topology has to be asked again if no event occurs earlier."""
        return self.topology.next_wakeup(now)
