"""The overlay of one member: the links it needs so that all members form one tree. No I/O, no clock.

Every member has a position in one global order (``tree_order``) and maintains one link to a member before it,
its *uplink*: in its zone if a member before it can be reached there, else in another zone of its region, else
in another region. No cycle can form, only the first of all members has no uplink, and each zone and each
region is connected to the others by one link. The order needs no agreement: members with different views of
the membership only choose differently among the members before them.

A member cannot distinguish a dead member from one that only it cannot reach, so there can be several trees.
The root of each tree advertises itself over all links (``route_table``), and dials other members while it
counts fewer members than are known (``root_discovery``). A link established that way is retained as long as
it is the path to the root of either side.

All times are monotonic seconds that the caller passes in. ``docs/design/overlay.md`` explains the design.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from sageturn.store.replication.dial_table import MAX_ALTERNATIVES
from sageturn.store.replication.errors import InvalidFanoutError
from sageturn.store.replication.link_pruning import LinkPruner
from sageturn.store.replication.link_table import Link
from sageturn.store.replication.membership import (
    Address,
    LinkRejected,
    Member,
    MembershipStatus,
    RejectReason,
)
from sageturn.store.replication.overlay_state import IDLE_POLL_INTERVAL_S, POLL_INTERVAL_S, OverlayState
from sageturn.store.replication.root_discovery import RootDiscovery
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.uplink_selection import UplinkSearch, UplinkUpgrade

DEFAULT_FANOUT = 8
MIN_FANOUT = 2
MAX_ACCEPTED_LINKS_PER_FANOUT = 4
MAX_SEEDS_ONLY_START_DELAY_S = 4.0  # spreads the dials of a fleet whose members start at the same time
MAX_START_JITTER_S = 0.5  # maximum delay of the first search for an uplink
STABLE_LINK_S = 60.0  # minimum uptime of a link whose loss first clears its member's earlier failures


class Overlay:
    """Topology of one member, which decides on link events whom to dial and which links to close."""

    def __init__(
        self, own: Member, seeds: Sequence[Address], rng: Random, fanout: int = DEFAULT_FANOUT
    ) -> None:
        """Create an overlay without members and links.

        Args:
            own: This member, in its current incarnation.
            seeds: Addresses of any members, which are dialed while the membership is unknown.
            rng: The source of all jitter and random choices.
            fanout: Average number of links that a hub accepts.

        Raises:
            InvalidFanoutError: The fanout is less than 2.
        """
        if fanout < MIN_FANOUT:
            raise InvalidFanoutError(f"fanout: {fanout} is under {MIN_FANOUT}")
        self._own = own
        self._rng = rng
        self._max_accepted_links = MAX_ACCEPTED_LINKS_PER_FANOUT * fanout
        self._state = OverlayState(own, seeds, rng, fanout)
        self._search = UplinkSearch(self._state)
        self._upgrade = UplinkUpgrade(self._state)
        self._discovery = RootDiscovery(self._state)
        self._pruner = LinkPruner(self._state)
        self._has_started = False

    @property
    def membership_status(self) -> MembershipStatus:
        """The membership status; a process that is no member dials nobody and closes all links."""
        return self._state.members.status

    # ------------------------------------------------------------ events

    def update_members(self, members: Iterable[Member]) -> None:
        """Handle an update of the membership; ``members`` are all members but the removed ones."""
        state = self._state
        changes = state.members.update(members)
        if not changes:
            return
        state.invalidate_routes()
        for member in changes.updated:
            if member.name in state.links:
                state.links.confirm(member.name)
        for member in changes.started:
            state.suspicions.on_member_started(member.address)
            self._discovery.on_member_started()

    def on_link_established(self, name: str, now: float, dialed: Address | None = None) -> None:
        """Handle a new link to ``name``; ``dialed`` is the address if this side dialed, else None."""
        state = self._state
        member = state.members.get(name)
        if dialed is None and member is not None and state.dials.is_in_progress(member.address):
            dialed = member.address
        if dialed is not None:
            state.dials.finish(dialed)
            state.suspicions.on_dial_succeeded(dialed, now)
        state.links.add(name, Link(established_at=now, is_dialed=dialed is not None))
        state.invalidate_routes()
        state.dials.clear_alternatives()
        if member is not None:
            state.links.confirm(name)

    def on_link_closed(self, name: str, now: float, orderly: bool = False) -> None:
        """Handle the end of a link; ``orderly`` is true if either side closed it intentionally."""
        state = self._state
        if name not in state.links:
            return
        was_uplink = name == state.links.uplink()
        link = state.links.remove(name)
        state.invalidate_routes()
        member = state.members.get(name)
        if member is not None and not orderly:
            if now - link.established_at >= STABLE_LINK_S:
                state.suspicions.clear(member.address)
            state.record_failure(member.address, now, link_lost=True)
        if (was_uplink or not len(state.links)) and not state.has_uplink:
            self._discovery.on_uplink_lost()
            self._search.schedule(now)

    def on_dial_failed(self, address: Address, now: float) -> None:
        """Handle a dial without an answer, or whose connection ended before the link was established."""
        if self._state.dials.finish(address):
            self._state.record_failure(address, now)
            self._search.on_dial_failed(now)

    def on_dial_rejected(self, address: Address, now: float, rejection: LinkRejected) -> None:
        """Handle a dial that the member at the address has rejected."""
        state = self._state
        state.dials.finish(address)
        if rejection.reason == RejectReason.SUPERSEDED:
            state.members.supersede()
        state.suspicions.record_rejection(address, now)
        state.dials.set_alternatives(rejection.alternatives)
        self._search.on_dial_failed(now)

    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None:
        """Handle the route advertisement in a heartbeat from ``name``."""
        link = self._state.links.get(name)
        if link is not None:
            self._state.routes.record(link, advertisement, now)

    # ------------------------------------------------------------ decisions

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        """Return the rejection of a link that ``member`` dialed; None if the link is accepted."""
        if member.name == self._own.name:
            return self._reject_own_name(member)
        known = self._state.members.get(member.name)
        if known is not None and member.incarnation < known.incarnation:
            return LinkRejected(RejectReason.SUPERSEDED)
        if self._state.links.count_accepted(ignoring=member.name) >= self._max_accepted_links:
            return LinkRejected(RejectReason.FULL, self._alternatives_for(member))
        return None

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """Return the route advertisement for the next heartbeat to ``name``."""
        return self._state.routes.make_advertisement(name, now)

    def addresses_to_dial(self, now: float) -> list[Address]:
        """Return the addresses to dial now.

        For each the caller has to call ``on_link_established``, ``on_dial_failed`` or ``on_dial_rejected``.
        """
        if self.membership_status != MembershipStatus.MEMBER:
            return []
        if not self._has_started:
            self._start(now)
        for overdue in self._state.dials.timed_out_addresses(now):
            self.on_dial_failed(overdue, now)
        addresses = []
        for choose_address in (
            self._search.choose_address,
            self._upgrade.choose_address,
            self._discovery.choose_address,
        ):
            address = choose_address(now)
            if address is not None:
                self._state.dials.start(address, now)
                addresses.append(address)
        return addresses

    def links_to_close(self, now: float) -> list[str]:
        """Return the names of the members whose links should be closed now."""
        return self._pruner.links_to_close(now)

    def next_wakeup(self, now: float) -> float:
        """Return the time at which the caller has to ask for decisions again if no event occurs earlier."""
        sources = (self._upgrade, self._discovery, self._search)
        times = [at for source in sources if (at := source.next_dial_at(now)) is not None]
        is_pending = (
            bool(times) or self._state.dials.in_progress_count > 0 or self._state.links.has_redundant_link
        )
        return min([now + (POLL_INTERVAL_S if is_pending else IDLE_POLL_INTERVAL_S), *times])

    def _start(self, now: float) -> None:
        self._has_started = True
        self._search.schedule(now + self._rng.uniform(0, MAX_START_JITTER_S))
        if not self._state.members.other_members:
            self._discovery.schedule(now + self._rng.uniform(0, MAX_SEEDS_ONLY_START_DELAY_S))

    def _reject_own_name(self, member: Member) -> LinkRejected:
        if member.incarnation > self._own.incarnation:
            self._state.members.supersede()
        is_stale = member.incarnation < self._own.incarnation
        return LinkRejected(RejectReason.SUPERSEDED if is_stale else RejectReason.SAME_NAME)

    def _alternatives_for(self, member: Member) -> tuple[Member, ...]:
        """Return members for ``member`` to dial instead, from its own zone if there are any."""
        members = self._state.members.other_members.values()
        same_zone = [other for other in members if (other.region, other.zone) == (member.region, member.zone)]
        alternatives = [other for other in same_zone or members if other.name != member.name]
        return tuple(self._rng.sample(alternatives, min(MAX_ALTERNATIVES, len(alternatives))))
