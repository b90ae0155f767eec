"""The decisions of one member's overlay after each event."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

import pytest
from support.overlay_simulation import in_global_order, make_members

from sageturn.store.replication.errors import InvalidFanoutError
from sageturn.store.replication.membership import LinkRejected, Member, MembershipStatus, RejectReason
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.tree_order import ParentCandidates, rank_of_member


def test_a_fanout_of_one_is_rejected() -> None:
    with pytest.raises(InvalidFanoutError, match="fanout: 1 is under 2"):
        Overlay(make_members(1)[0], [], Random(1), fanout=1)


def learn_from_store(overlay: Overlay, newer: Member, other: Member) -> None:
    overlay.update_members([newer, other])


def learn_from_rejection(overlay: Overlay, newer: Member, other: Member) -> None:
    overlay.on_dial_rejected(other.address, 0.0, LinkRejected(RejectReason.SUPERSEDED))


def learn_from_dialer(overlay: Overlay, newer: Member, other: Member) -> None:
    overlay.check_admission(newer, 0.0)


def test_a_stale_incarnation_learns_of_the_newer_one_and_stops_dialing() -> None:
    own, other = make_members(2)
    newer = Member(own.name, ("10.9.9.9", 1), own.region, own.zone, 2)
    learning_functions: tuple[Callable[[Overlay, Member, Member], None], ...] = (
        learn_from_store,
        learn_from_rejection,
        learn_from_dialer,
    )
    for learn in learning_functions:
        overlay = Overlay(own, [other.address], Random(1))
        overlay.update_members([own, other])
        overlay.on_link_established(other.name, 0.0)
        learn(overlay, newer, other)
        assert overlay.membership_status == MembershipStatus.SUPERSEDED
        assert overlay.addresses_to_dial(99.0) == [] and overlay.links_to_close(0.0) == [other.name]
        overlay.update_members([own, other])  # an older record has no effect
        assert overlay.membership_status == MembershipStatus.SUPERSEDED


def test_links_are_accepted_up_to_the_limit_and_from_current_incarnations_of_others() -> None:
    own, other, *rest = make_members(60)
    restarted = Member(other.name, other.address, other.region, other.zone, 5)
    overlay = Overlay(own, [], Random(1), fanout=2)
    overlay.update_members([own, restarted, *rest])
    assert overlay.check_admission(other, 0.0) == LinkRejected(RejectReason.SUPERSEDED)
    assert overlay.check_admission(own, 0.0) == LinkRejected(RejectReason.SAME_NAME)
    for member in rest[: 4 * 2]:
        assert overlay.check_admission(member, 0.0) is None
        overlay.on_link_established(member.name, 0.0)
    excess_member = rest[20]
    rejection = overlay.check_admission(excess_member, 0.0)
    assert rejection is not None and rejection.reason == RejectReason.FULL and rejection.alternatives
    assert {member.zone for member in rejection.alternatives} == {excess_member.zone}
    assert excess_member not in rejection.alternatives
    assert overlay.check_admission(rest[0], 0.0) is None  # a member that is already linked replaces its link
    overlay.on_link_closed(rest[0].name, 0.0)
    assert overlay.check_admission(excess_member, 0.0) is None


def test_the_link_to_a_removed_member_is_closed_at_once_and_to_an_unknown_one_after_a_grace_period() -> None:
    own, other, unknown = make_members(3)
    overlay = Overlay(own, [], Random(1))
    overlay.update_members([own, other])
    overlay.on_link_established(other.name, 0.0)
    overlay.on_link_established(unknown.name, 0.0)
    assert overlay.links_to_close(1.0) == []
    overlay.update_members([own])
    assert overlay.links_to_close(1.0) == [other.name]
    overlay.on_link_closed(other.name, 1.0, orderly=True)
    assert overlay.links_to_close(9.0) == [] and overlay.links_to_close(11.0) == [unknown.name]
    overlay.update_members([])
    status_once_removed = overlay.membership_status
    assert status_once_removed == MembershipStatus.REMOVED and overlay.addresses_to_dial(20.0) == []
    overlay.update_members([own])  # the member is listed again
    assert overlay.membership_status == MembershipStatus.MEMBER


def test_a_link_is_closed_only_once_its_replacement_is_stable_and_leads_to_the_same_root() -> None:
    *predecessors, own = in_global_order(make_members(12, 1, 1))
    overlay = Overlay(own, [], Random(1))
    overlay.update_members([own, *predecessors])
    candidates = ParentCandidates(own, 8)
    for member in predecessors:
        candidates.add(member)
    best, other = itertools.islice(candidates.by_preference(), 2)
    root = rank_of_member(predecessors[0])
    overlay.on_link_established(other, 0.0, predecessors[0].address)
    overlay.on_link_established(best, 10.0, predecessors[1].address)
    now = 10.0
    closed: list[str] = []
    while not closed:
        assert now < 40
        now += 0.25
        advertisement = RouteAdvertisement(root, 1, int(now), False, 12)
        overlay.on_advertisement(other, advertisement, now)
        if now >= 15:  # before its first advertisement the new link might lead to another root
            overlay.on_advertisement(best, advertisement, now)
        closed = overlay.links_to_close(now)
    assert closed == [other] and 18 <= now <= 22
    # A link that is the other side's path to the root is never closed.
    overlay.on_advertisement(other, RouteAdvertisement(root, 1, 99, True, 3), now)
    assert overlay.links_to_close(now) == []
