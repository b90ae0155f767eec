"""The tables that the modules of the overlay share. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from sageturn.store.replication.dial_table import DialTable
from sageturn.store.replication.link_table import LinkTable
from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.membership import Address, Member
from sageturn.store.replication.route_table import RouteTable
from sageturn.store.replication.suspicion import SuspicionTable

POLL_INTERVAL_S = 1.0  # interval if a dial or the closing of a redundant link is pending
IDLE_POLL_INTERVAL_S = 5.0


class OverlayState:
    """Tables of one member: members, links, routes, dials and suspected members."""

    def __init__(self, own: Member, seeds: Sequence[Address], rng: Random, fanout: int) -> None:
        self.rng = rng
        self.members = MemberTable(own, fanout)
        self.links = LinkTable(self.members)
        self.routes = RouteTable(own, self.links)
        self.suspicions = SuspicionTable(rng)
        self.dials = DialTable(seeds, self.members, self.links, self.suspicions)

    @property
    def has_uplink(self) -> bool:
        """True if a member before this one in the global order is linked."""
        return self.links.uplink() is not None

    def invalidate_routes(self) -> None:
        """Invalidate the cached uplink and path to the root, after links or members changed."""
        self.links.invalidate()
        self.routes.invalidate()

    def record_failure(self, address: Address, now: float, link_lost: bool = False) -> None:
        """Record a failed dial, or the loss of an established link."""
        self.suspicions.record_failure(address, now, link_lost)
        if len(self.suspicions) > self.dials.max_tracked_addresses:
            self.suspicions.drop_expired(now)
