"""Route advertisements: the root that a member follows, and the link over which it reaches the root."""

from __future__ import annotations

from support.overlay_simulation import in_global_order, make_members

from sageturn.store.replication.link_table import Link, LinkTable
from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.route_table import ROOT_HEARTBEAT_TTL_S, RouteTable
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.tree_order import rank_of_member

ROOT, UPLINK, OWN, CHILD = in_global_order(make_members(4, 1, 1))


class RouteFixture:
    """The tables of a member that is linked to its uplink and to a child."""

    def __init__(self) -> None:
        members = MemberTable(OWN, 8)
        members.update([ROOT, UPLINK, OWN, CHILD])
        self.links = LinkTable(members)
        self.links.add(UPLINK.name, Link(0.0, True))
        self.links.add(CHILD.name, Link(0.0, False))
        self.table = RouteTable(OWN, self.links)

    def advertise(
        self, name: str, sequence: int, now: float, is_root_path: bool = False, member_count: int = 4
    ) -> None:
        rank = rank_of_member(OWN if is_root_path else ROOT)
        advertisement = RouteAdvertisement(rank, 1, sequence, is_root_path, member_count)
        self.table.record(self.links[name], advertisement, now)


def test_without_advertisements_a_member_is_its_own_root() -> None:
    routes = RouteFixture()
    assert routes.table.root_path(0.0) is None
    assert routes.table.current_root(0.0) == rank_of_member(OWN)
    assert routes.table.make_advertisement(CHILD.name, 7.5) == RouteAdvertisement(
        rank_of_member(OWN), 1, 7, False, 1
    )


def test_the_root_is_advertised_to_the_others_and_the_subtree_to_the_root() -> None:
    routes = RouteFixture()
    routes.advertise(UPLINK.name, 3, 3.0)
    routes.advertise(CHILD.name, 3, 3.0, is_root_path=True, member_count=2)
    assert routes.table.root_path(3.0) == UPLINK.name
    assert routes.table.member_count(3.0) == 4
    to_child = routes.table.make_advertisement(CHILD.name, 3.0)
    assert to_child == RouteAdvertisement(rank_of_member(ROOT), 1, 3, False, 4)
    to_uplink = routes.table.make_advertisement(UPLINK.name, 3.0)
    assert to_uplink == RouteAdvertisement(rank_of_member(OWN), 1, 3, True, 3)


def test_a_root_without_a_newer_heartbeat_expires() -> None:
    routes = RouteFixture()
    routes.advertise(UPLINK.name, 3, 3.0)
    for second in (4.0, 5.0, 6.0):  # repeats the same heartbeat
        routes.advertise(UPLINK.name, 3, second)
    assert routes.table.root_path(3.0 + ROOT_HEARTBEAT_TTL_S) == UPLINK.name
    assert routes.table.root_path(3.0 + ROOT_HEARTBEAT_TTL_S + 0.01) is None


def test_a_link_with_outdated_root_heartbeats_is_no_path_to_the_root() -> None:
    routes = RouteFixture()
    routes.advertise(CHILD.name, 1, 1.0)
    assert routes.table.root_path(1.0) == CHILD.name
    routes.advertise(UPLINK.name, 7, 7.0)
    assert routes.table.advertised_root(routes.links[CHILD.name], 7.0) is None
    assert routes.table.root_path(7.0) == UPLINK.name
