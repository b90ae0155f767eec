"""Networks of overlays in simulated time: random faults, and the bounds in ``docs/design/overlay.md``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import pytest
from support.overlay_simulation import (
    SimulatedMember,
    SimulatedNetwork,
    in_global_order,
    make_members,
    tree_crossings,
)

from sageturn.store.replication.membership import Address, Member, MembershipStatus, RejectReason

SETTLE_S = 130.0  # time after the last fault from which nothing is dialed or closed any more

FLEET_SIZE = 460  # number of members, spread over 2 regions and 5 zones
SEED_COUNT = 6
MAX_ACCEPTED_LINKS = 32
REPLACED_WITHIN_S = 4.0  # time limit for the replacement of a dead member, including its detection


def started_network(
    members: list[Member], seed: int, fanout: int = 8, settle_s: float = 30.0
) -> SimulatedNetwork:
    """Return a settled network whose members started at the same time with the complete membership."""
    network = SimulatedNetwork(seed, fanout)
    view = {member.name: member for member in members}
    seeds = [member.address for member in members[:SEED_COUNT]]
    for member in members:
        network.start(member, seeds, view)
    network.wait_until(network.graph.is_connected, 10)
    network.clock.advance(settle_s)
    return network


def running_members(network: SimulatedNetwork) -> list[Member]:
    return [process.member for process in network.running()]


def overlay_status(network: SimulatedNetwork, member: Member) -> MembershipStatus:
    return network.processes[member.address].overlay.membership_status


def is_tree(network: SimulatedNetwork) -> bool:
    """Return whether the links form a spanning tree with no avoidable link between zones."""
    members = running_members(network)
    return (
        len(network.links) == len(members) - 1
        and network.graph.crossings() == tree_crossings(members)
        and network.graph.is_connected()
        and all(all(link.is_established.values()) for link in network.links)
    )


def is_linked_as_far_as_possible(network: SimulatedNetwork) -> bool:
    return network.graph.linked_groups() == network.graph.reachable_groups()


def assert_at_rest(network: SimulatedNetwork, for_s: float = 45.0, ignoring: Iterable[Address] = ()) -> None:
    """Assert that no member dials or closes a link, except for dials to the ignored addresses."""
    dials_before = len(network.record.dials)
    closes_before = len(network.record.closes)
    network.clock.advance(for_s)
    dials = [dial for dial in network.record.dials[dials_before:] if dial[2] not in ignoring]
    assert dials == [], network.describe()
    assert network.record.closes[closes_before:] == [], network.describe()


# Random faults


def random_pairs(salt: float, share: float) -> Callable[[Member, Member], bool]:
    """Return a predicate that is true for a share of all pairs of members, whatever their zones."""
    chosen: dict[tuple[str, str], bool] = {}

    def is_chosen(one: Member, other: Member) -> bool:
        pair = min(one.name, other.name), max(one.name, other.name)
        if pair not in chosen:
            chosen[pair] = Random(f"{salt} {pair}").random() < share
        return chosen[pair]

    return is_chosen


class FaultSchedule:
    """A network of random size with a sequence of random faults."""

    FAULTS = [
        "kill",
        "kill",
        "crash",
        "kills",
        "restart",
        "wipe",
        "regions",
        "zone",
        "pairs",
        "heal",
        "join",
        "remove",
    ]
    PARTITIONS = ("regions", "zone", "pairs")
    COUNT = 5

    def __init__(self, seed: int) -> None:
        self.rng = Random(f"schedule {seed}")
        count = self.rng.choice([2, 3, 4, 5, 7, 9, 12, 17, 24])
        zones = self.rng.choice([1, 2, 3, 5])
        regions = self.rng.choice([regions for regions in (1, 2, 3) if regions <= zones])
        members = make_members(count + 6, regions, zones)
        self.seeds = [member.address for member in members[: min(count, 3)]]
        self.network = SimulatedNetwork(seed, self.rng.choice([2, 4, 8]))
        self.not_started = members[count:]
        self.partitioned_by = ""
        knows_only_seeds = self.rng.random() < 0.4
        view = None if knows_only_seeds else {member.name: member for member in members[:count]}
        for member in members[:count]:
            self.network.start(member, self.seeds, view)
        self.wait_until_linked(10)

    def run(self) -> None:
        """Inject the faults, and assert after each that all members that can be linked are linked in time."""
        for _ in range(self.COUNT):
            self.network.clock.advance(self.rng.choice([0.3, 3, 20]))
            fault = self.rng.choice(self.FAULTS)
            self.inject(fault)
            if fault in self.PARTITIONS:
                self.partitioned_by = fault
            elif fault == "heal":
                self.partitioned_by = ""
            self.wait_until_linked(self.time_limit_s(fault))
            assert self.network.record.max_accepted_links <= 4 * self.network.fanout
        self.recover()

    def time_limit_s(self, fault: str) -> float:
        if self.partitioned_by == "pairs":
            return 400
        return 45 if self.partitioned_by or fault == "heal" else 30

    def wait_until_linked(self, within_s: float) -> None:
        self.network.wait_until(lambda: is_linked_as_far_as_possible(self.network), within_s)

    def inject(self, fault: str) -> None:
        running = self.network.running()
        stopped = self.stopped()
        if fault in ("kill", "crash") and len(running) > 1:
            self.network.kill(self.rng.choice(running), machine=fault == "kill")
        elif fault == "kills" and len(running) > 3:
            for process in self.rng.sample(running, len(running) // 4):
                self.network.kill(process)
        elif fault in ("restart", "wipe") and stopped:
            self.network.restart(self.rng.choice(stopped), fault == "restart", self.seeds)
        elif fault == "join" and self.not_started:
            self.network.start(self.not_started.pop(), self.seeds)
        elif fault == "remove" and len(running) > 2:
            self.remove_one(running)
        else:
            self.change_partition(fault, running)

    def change_partition(self, fault: str, running: list[SimulatedMember]) -> None:
        if fault == "regions":
            self.network.partition(lambda one, other: one.region != other.region)
        elif fault == "zone":
            zone = self.rng.choice(running).member.zone
            self.network.partition(lambda one, other: (one.zone == zone) != (other.zone == zone))
        elif fault == "pairs":
            self.network.partition(random_pairs(self.rng.random(), self.rng.choice([0.1, 0.3, 0.5])))
        elif fault == "heal":
            self.network.heal()

    def remove_one(self, running: list[SimulatedMember]) -> None:
        removed, remover = self.rng.sample(running, 2)
        remover.receive_members([], {removed.member.name: removed.member.incarnation})
        self.network.clock.advance(1)
        self.network.kill(removed)

    def stopped(self) -> list[SimulatedMember]:
        return [process for process in self.network.processes.values() if not process.is_running]

    def recover(self) -> None:
        """Remove all faults, restart all members but the removed ones, and assert a settled tree."""
        network = self.network
        network.heal()
        for process in self.stopped():
            member = process.member
            if all(other.removed.get(member.name, 0) < member.incarnation for other in network.running()):
                network.restart(process, seeds=self.seeds)
        self.wait_until_linked(45)
        statuses = {process.overlay.membership_status for process in network.running()}
        assert statuses == {MembershipStatus.MEMBER}
        network.clock.advance(SETTLE_S)
        assert is_tree(network), network.describe()
        # The root still dials a seed that is no longer a member from time to time.
        addresses = {member.address for member in running_members(network)}
        assert_at_rest(network, ignoring=[seed for seed in self.seeds if seed not in addresses])


@pytest.mark.parametrize("block", range(10))
def test_random_faults_leave_all_linked_that_can_be(block: int) -> None:
    for seed in range(20 * block, 20 * block + 20):
        FaultSchedule(seed).run()


# The bounds in docs/design/overlay.md


def test_a_fleet_that_starts_at_once_with_its_store_is_one_tree_within_seconds() -> None:
    network = started_network(make_members(FLEET_SIZE), 1, settle_s=0)
    assert network.clock.now <= 3
    network.clock.advance(30)
    assert is_tree(network) and network.graph.crossings() == (4, 1)
    assert len(network.record.dials) <= 1.1 * FLEET_SIZE
    assert network.record.max_dials_per_second() <= MAX_ACCEPTED_LINKS
    assert network.record.max_accepted_links <= MAX_ACCEPTED_LINKS
    assert_at_rest(network)


@pytest.mark.parametrize("seeds", [SEED_COUNT, 2])
def test_a_fleet_that_knows_only_its_seeds_does_not_overload_them(seeds: int) -> None:
    members = make_members(FLEET_SIZE if seeds == SEED_COUNT else FLEET_SIZE // 4)
    network = SimulatedNetwork(2)
    for member in members:
        network.start(member, [seed.address for seed in members[:seeds]])
    network.wait_until(network.graph.is_connected, 15)
    network.wait_until(lambda: is_tree(network), 60)
    assert network.record.max_dials_per_second() <= 64
    assert network.record.max_accepted_links <= MAX_ACCEPTED_LINKS
    assert network.record.max_links <= 2 * MAX_ACCEPTED_LINKS
    assert len(network.record.dials) <= 6 * len(members)


def test_dead_hubs_a_rack_and_a_zone_are_replaced_within_the_time_limit() -> None:
    network = started_network(make_members(FLEET_SIZE), 4, settle_s=5)
    ordered = in_global_order(running_members(network))
    zone_heads = {(member.region, member.zone): member for member in reversed(ordered)}
    for member in zone_heads.values():  # the members with the most links, killed one after another
        network.kill(network.processes[member.address])
        network.wait_until(network.graph.is_connected, REPLACED_WITHIN_S)
    rack = [process for process in network.running() if process.member.zone == "z1"][::4]
    for process in rack:
        network.kill(process)
    network.wait_until(network.graph.is_connected, REPLACED_WITHIN_S)
    root = in_global_order(running_members(network))[0]
    zone = [process for process in network.running() if process.member.zone == root.zone]
    for process in zone:  # all other zones are linked through the root's zone
        network.kill(process)
    assert not network.graph.is_connected()
    network.wait_until(network.graph.is_connected, REPLACED_WITHIN_S)
    assert network.record.max_accepted_links <= MAX_ACCEPTED_LINKS
    before_restart = network.clock.now
    network.clock.advance(20)
    for process in zone:
        network.restart(process)
    network.wait_until(network.graph.is_connected, 10)
    assert network.record.max_dials_per_second(before_restart) <= MAX_ACCEPTED_LINKS
    assert network.record.max_accepted_links <= MAX_ACCEPTED_LINKS


def test_after_a_partition_regions_are_joined_by_one_link_and_few_dials() -> None:
    network = started_network(make_members(FLEET_SIZE), 5, settle_s=5)
    network.partition(lambda one, other: one.region != other.region)
    network.wait_until(lambda: network.graph.is_connected(groups=2), REPLACED_WITHIN_S)
    network.clock.advance(60)
    assert len(network.graph.linked_groups()) == 2
    # A root temporarily has one more link while it dials others.
    network.wait_until(lambda: network.graph.crossings() == (3, 0), 10)
    healed_at = network.clock.now
    dials_before = len(network.record.dials)
    network.heal()
    network.wait_until(network.graph.is_connected, 30)
    network.wait_until(lambda: is_tree(network), 60)
    assert len(network.record.dials) - dials_before <= 20
    assert network.record.max_dials_per_second(healed_at) <= 4


def test_a_partition_of_an_hour_costs_few_dials_and_its_end_is_detected() -> None:
    network = started_network(make_members(12), 6)
    network.partition(lambda one, other: one.region != other.region)
    network.clock.advance(60)
    dials_before = len(network.record.dials)
    network.clock.advance(3600)
    max_dials_of_two_roots = 2 * 3600 / 7.5
    max_dials_of_other_members = 3600 / 8
    assert len(network.record.dials) - dials_before <= max_dials_of_two_roots + max_dials_of_other_members
    network.heal()
    network.wait_until(network.graph.is_connected, 30)
    network.clock.advance(SETTLE_S)
    assert is_tree(network)
    assert_at_rest(network)


def test_a_flapping_hub_is_soon_dialed_rarely() -> None:
    network = started_network(make_members(40, 1, 1), 7)
    hub = network.processes[in_global_order(running_members(network))[0].address]
    children = len(hub.links)
    rounds = 12
    dials_to_hub = []
    for _ in range(rounds):
        network.kill(hub, machine=False)
        network.clock.advance(3)
        network.wait_until(network.graph.is_connected, REPLACED_WITHIN_S)
        dials_before = len(network.record.dials)
        hub = network.restart(hub)
        network.clock.advance(12)
        addresses = [address for _, _, address in network.record.dials[dials_before:]]
        dials_to_hub.append(addresses.count(hub.member.address))
    assert children >= 8 and max(dials_to_hub) >= 6  # the hub's children dial it again at first
    assert sum(dials_to_hub[4:]) <= rounds, dials_to_hub  # children stop dialing it after a few losses
    network.clock.advance(300)
    assert is_tree(network)


def test_of_two_members_with_the_same_name_the_newer_incarnation_stays() -> None:
    members = make_members(20)
    network = started_network(members, 8)
    old = members[7]
    twin = Member(old.name, ("10.8.8.8", 7000), old.region, old.zone, 2)
    network.start(twin, [members[0].address])
    network.clock.advance(30)
    assert overlay_status(network, old) == MembershipStatus.SUPERSEDED
    assert overlay_status(network, twin) == MembershipStatus.MEMBER
    assert network.processes[twin.address].links
    assert not network.processes[old.address].links
    network.kill(network.processes[old.address])
    network.clock.advance(SETTLE_S)
    assert is_tree(network)
    # A stale incarnation that starts later learns of the newer one at its first dial.
    stale = Member(old.name, ("10.8.8.9", 7000), old.region, old.zone, 1)
    stale_process = network.start(stale, [members[0].address])
    network.clock.advance(10)
    assert overlay_status(network, stale) == MembershipStatus.SUPERSEDED
    assert not stale_process.links
    assert overlay_status(network, twin) == MembershipStatus.MEMBER
    stale_process.is_running = False
    assert is_tree(network)


def test_a_removed_member_that_returns_with_its_old_store_is_not_readmitted() -> None:
    members = make_members(20)
    network = started_network(members, 9)
    removed = network.processes[in_global_order(members)[0].address]  # the root
    network.kill(removed)
    network.wait_until(network.graph.is_connected, REPLACED_WITHIN_S)
    remover = network.running()[3]
    remover.receive_members([], {removed.member.name: removed.member.incarnation})
    network.clock.advance(SETTLE_S)
    assert is_tree(network)
    assert_at_rest(network)
    returned = network.start(removed.member, [members[1].address], removed.view)
    network.clock.advance(10)
    assert returned.overlay.membership_status == MembershipStatus.REMOVED
    assert not returned.links
    others = [process for process in network.running() if process is not returned]
    assert all(removed.member.name not in process.view for process in others)
    returned.is_running = False
    assert is_tree(network)
    network.restart(removed)  # a new incarnation is accepted
    network.clock.advance(SETTLE_S)
    assert is_tree(network) and len(network.running()) == 20
    assert_at_rest(network)


def test_a_member_rejected_by_a_full_one_dials_the_suggested_alternatives() -> None:
    members = make_members(60, 1, 2)
    network = SimulatedNetwork(10, fanout=2)
    for member in members:
        network.start(member, [members[0].address])
    network.wait_until(network.graph.is_connected, 40)
    assert RejectReason.FULL in {reason for _, _, reason in network.record.rejections}
    assert network.record.max_accepted_links <= 4 * 2
    network.clock.advance(SETTLE_S)
    assert is_tree(network)
    assert_at_rest(network)
