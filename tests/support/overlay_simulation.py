"""A simulated network of members with its own clock: links with latency, kills, restarts, partitions.

It is independent of the overlay's rules and only carries out the decisions of each member's overlay.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable
from random import Random

from sageturn.store.replication.membership import Address, LinkRejected, Member
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.tree_order import rank_of_member

PEER_TIMEOUT_S = 2.0  # time after which missing heartbeats reveal a dead machine or a partition
CONNECT_TIMEOUT_S = 1.0  # time after which a dial to a dead machine fails
HEARTBEAT_INTERVAL_S = 1.0
BATCH_INTERVAL_S = 0.2  # time for which membership changes are batched before they are forwarded
INTRA_ZONE_LATENCY_S = 0.0005  # latency between members of a zone
INTER_ZONE_LATENCY_S = 0.002  # latency between zones of a region
INTER_REGION_LATENCY_S = 0.040  # latency between regions


class EventQueue:
    """The simulation's clock, which advances by running scheduled events in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._event_numbers = itertools.count()

    def schedule(self, at_s: float, action: Callable[..., None], *args: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action, args))

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until


class SimulatedMember:
    """A process of a member: its view of the membership, its links and its overlay."""

    def __init__(
        self, network: SimulatedNetwork, member: Member, view: dict[str, Member], seeds: list[Address]
    ) -> None:
        self.network = network
        self.member = member
        self.view = {**view, member.name: member}
        self.seeds = seeds
        self.removed: dict[str, int] = {}  # removed incarnation by member name
        rng = Random(f"{network.seed} {member.name} {member.incarnation}")
        self.overlay = Overlay(member, seeds, rng, network.fanout)
        self.overlay.update_members(self.view.values())
        self.is_running = True
        self.machine_is_up = True
        self.links: dict[str, SimulatedLink] = {}
        self._unsent: dict[str, Member] = {}
        self._poll_at = float("inf")

    def poll(self) -> None:
        """Carry out the overlay's decisions, and schedule the next poll at the time that it returns."""
        network = self.network
        if not self.is_running:
            return
        for name in self.overlay.links_to_close(network.clock.now):
            if link := self.links.get(name):
                network.record.closes.append((network.clock.now, self.member.name, name))
                network.close_link(link, closer=self)
        for address in self.overlay.addresses_to_dial(network.clock.now):
            network.dial(self, address)
        at_s = self.overlay.next_wakeup(network.clock.now)
        assert at_s > network.clock.now
        if at_s < self._poll_at or self._poll_at <= network.clock.now:
            self._poll_at = at_s
            network.clock.schedule(at_s, self._poll_if_due, at_s)

    def _poll_if_due(self, at_s: float) -> None:
        if at_s == self._poll_at:
            self.poll()

    def receive_members(self, members: Iterable[Member], removed: dict[str, int]) -> None:
        """Apply membership records; forward new ones, and update the overlay with the whole membership."""
        if not self.is_running:
            return
        updated = [member for member in members if self._is_newer(member)]
        newly_removed = {
            name: incarnation
            for name, incarnation in removed.items()
            if self.removed.get(name, -1) < incarnation
        }
        if not updated and not newly_removed:
            return
        for member in updated:
            self.view[member.name] = member
        self.removed.update(newly_removed)
        for name, incarnation in newly_removed.items():
            if name in self.view and self.view[name].incarnation <= incarnation:
                del self.view[name]
        if not self._unsent:
            self.network.clock.schedule(self.network.clock.now + BATCH_INTERVAL_S, self._send_members)
        self._unsent.update({member.name: member for member in updated})
        self._unsent.setdefault("", self.member)

    def _is_newer(self, member: Member) -> bool:
        if self.removed.get(member.name, -1) >= member.incarnation:
            return False
        return member.name not in self.view or self.view[member.name].incarnation < member.incarnation

    def _send_members(self) -> None:
        if not self.is_running:
            return
        unsent = list(self._unsent.values())
        self._unsent = {}
        self.overlay.update_members(self.view.values())
        for link in list(self.links.values()):
            other = link.other(self)
            self.network.send(link, other.receive_members, unsent, dict(self.removed))
        self.poll()


class SimulatedLink:
    """A link between two members, which each side establishes at a different time."""

    def __init__(self, one: SimulatedMember, other: SimulatedMember, dialer: SimulatedMember) -> None:
        self.ends = (one, other)
        self.dialer = dialer
        self.is_established = {one: False, other: False}
        self.is_broken = False

    def other(self, process: SimulatedMember) -> SimulatedMember:
        return self.ends[1] if process is self.ends[0] else self.ends[0]


class NetworkRecord:
    """Record of the events in a network; each entry begins with the time and the member's name."""

    def __init__(self) -> None:
        self.dials: list[tuple[float, str, Address]] = []
        self.closes: list[tuple[float, str, str]] = []
        self.rejections: list[tuple[float, str, str]] = []
        self.max_accepted_links = 0
        self.max_links = 0

    def count_links(self, process: SimulatedMember) -> None:
        """Update the maximum numbers of links, total and accepted, that any member had."""
        accepted = sum(1 for link in process.links.values() if link.dialer is not process)
        self.max_accepted_links = max(self.max_accepted_links, accepted)
        self.max_links = max(self.max_links, len(process.links))

    def max_dials_per_second(self, since: float = 0.0) -> int:
        """Return the maximum number of dials that any member received within one second."""
        times_by_target: dict[Address, list[float]] = defaultdict(list)
        for at_s, _, address in self.dials:
            if at_s >= since:
                times_by_target[address].append(at_s)
        busiest = 0
        for times in times_by_target.values():
            first = 0
            for last, at_s in enumerate(times):
                while times[first] <= at_s - 1.0:
                    first += 1
                busiest = max(busiest, last - first + 1)
        return busiest


class LinkGraph:
    """The graphs of the members that are linked and of those that could be linked."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self._network = network

    def linked_groups(self) -> list[set[str]]:
        """Return groups of names of members that are linked, directly or through others."""
        neighbours: dict[str, set[str]] = {process.member.name: set() for process in self._network.running()}
        for link in self._network.links:
            if all(link.is_established.values()):
                self._join(neighbours, *link.ends)
        return _connected_components(neighbours)

    def reachable_groups(self) -> list[set[str]]:
        """Return groups of names of members that could be linked: one knows the other and can reach it."""
        neighbours: dict[str, set[str]] = {process.member.name: set() for process in self._network.running()}
        for one, other in itertools.combinations(self._network.running(), 2):
            if (_knows(one, other) or _knows(other, one)) and not self._network.is_partitioned(
                one.member, other.member
            ):
                self._join(neighbours, one, other)
        return _connected_components(neighbours)

    @staticmethod
    def _join(neighbours: dict[str, set[str]], one: SimulatedMember, other: SimulatedMember) -> None:
        neighbours[one.member.name].add(other.member.name)
        neighbours[other.member.name].add(one.member.name)

    def is_connected(self, groups: int = 1) -> bool:
        return len(self.linked_groups()) == groups

    def crossings(self) -> tuple[int, int]:
        """Return the number of links between zones, and the number of those between regions."""
        pairs = [(link.ends[0].member, link.ends[1].member) for link in self._network.links]
        return (
            sum((one.region, one.zone) != (other.region, other.zone) for one, other in pairs),
            sum(one.region != other.region for one, other in pairs),
        )


class SimulatedNetwork:
    """The simulated members and the links between them: starts, faults, dials and messages."""

    def __init__(self, seed: int, fanout: int = 8) -> None:
        self.seed = seed
        self.fanout = fanout
        self.clock = EventQueue()
        self.processes: dict[Address, SimulatedMember] = {}
        self.links: dict[SimulatedLink, None] = {}  # ordered, so that a run is reproducible by its seed
        self.record = NetworkRecord()
        self.graph = LinkGraph(self)
        self._rng = Random(seed)
        self.is_partitioned: Callable[[Member, Member], bool] = lambda one, other: False

    def wait_until(self, condition: Callable[[], bool], within_s: float, step_s: float = 0.1) -> float:
        """Advance until the condition holds; return the elapsed seconds, or fail after ``within_s``."""
        start = self.clock.now
        while not condition():
            assert self.clock.now - start < within_s, (
                f"condition not fulfilled within {within_s} s: {self.describe()}"
            )
            self.clock.advance(step_s)
        return self.clock.now - start

    # Members

    def start(
        self, member: Member, seeds: Iterable[Address] = (), view: dict[str, Member] | None = None
    ) -> SimulatedMember:
        process = SimulatedMember(self, member, view or {}, list(seeds))
        self.processes[member.address] = process
        process.poll()
        return process

    def kill(self, process: SimulatedMember, machine: bool = True) -> None:
        """Kill the process; if its machine dies too, its peers detect this only by missing heartbeats."""
        process.is_running = False
        process.machine_is_up = not machine
        for link in list(process.links.values()):
            self._break_link(link, PEER_TIMEOUT_S if machine else self._latency(*link.ends))

    def restart(
        self, process: SimulatedMember, keeps_store: bool = True, seeds: Iterable[Address] = ()
    ) -> SimulatedMember:
        old = process.member
        member = Member(old.name, old.address, old.region, old.zone, old.incarnation + 1)
        if not keeps_store:
            return self.start(member, seeds)
        started = self.start(member, seeds, process.view)
        started.removed = dict(process.removed)
        return started

    def partition(self, is_partitioned: Callable[[Member, Member], bool]) -> None:
        """Disconnect all pairs of members for which the predicate holds, until the next partition."""
        self.is_partitioned = is_partitioned
        for link in list(self.links):
            if is_partitioned(link.ends[0].member, link.ends[1].member):
                self._break_link(link, PEER_TIMEOUT_S)

    def heal(self) -> None:
        self.partition(lambda one, other: False)

    # Dials

    def dial(self, dialer: SimulatedMember, address: Address) -> None:
        self.record.dials.append((self.clock.now, dialer.member.name, address))
        target = self.processes.get(address)
        if target is None or not self._can_reach(dialer, target):
            self.clock.schedule(self.clock.now + CONNECT_TIMEOUT_S, self._fail_dial, dialer, address)
        elif target is dialer:
            self._fail_dial(dialer, address)
        else:
            at_s = self.clock.now + self._latency(dialer, target)
            self.clock.schedule(at_s, self._on_dial_arrived, dialer, target, address)

    def _can_reach(self, one: SimulatedMember, other: SimulatedMember) -> bool:
        return other.machine_is_up and not self.is_partitioned(one.member, other.member)

    def _fail_dial(self, dialer: SimulatedMember, address: Address) -> None:
        if dialer.is_running:
            dialer.overlay.on_dial_failed(address, self.clock.now)
            dialer.poll()

    def _reject_dial(self, dialer: SimulatedMember, address: Address, rejection: LinkRejected) -> None:
        if dialer.is_running:
            dialer.overlay.on_dial_rejected(address, self.clock.now, rejection)
            dialer.poll()

    def _on_dial_arrived(self, dialer: SimulatedMember, target: SimulatedMember, address: Address) -> None:
        answer_at = self.clock.now + self._latency(dialer, target)
        if not self._can_reach(dialer, target):
            self.clock.schedule(self.clock.now + CONNECT_TIMEOUT_S, self._fail_dial, dialer, address)
            return
        if not target.is_running:
            self.clock.schedule(answer_at, self._fail_dial, dialer, address)
            return
        if not dialer.is_running:
            return
        rejection = target.overlay.check_admission(dialer.member, self.clock.now)
        if rejection is not None:
            self.record.rejections.append((self.clock.now, dialer.member.name, rejection.reason))
            self.clock.schedule(answer_at, self._reject_dial, dialer, address, rejection)
            target.poll()
            return
        existing = target.links.get(dialer.member.name)
        if existing is not None:
            dialed_by_smaller = existing.dialer.member.name < dialer.member.name
            if existing.other(target) is dialer and dialed_by_smaller:
                # Both members dialed: the link that the other dialed stays.
                self.clock.schedule(answer_at, self._fail_dial, dialer, address)
                return
            self._discard(existing)
        link = SimulatedLink(dialer, target, dialer)
        self.links[link] = None
        self._establish(link, target, None)
        self.clock.schedule(answer_at, self._establish, link, dialer, address)

    # Links

    def _latency(self, one: SimulatedMember, other: SimulatedMember) -> float:
        if one.member.region != other.member.region:
            base_s = INTER_REGION_LATENCY_S
        elif one.member.zone != other.member.zone:
            base_s = INTER_ZONE_LATENCY_S
        else:
            base_s = INTRA_ZONE_LATENCY_S
        return base_s * self._rng.uniform(1, 1.5)

    def _establish(self, link: SimulatedLink, process: SimulatedMember, dialed: Address | None) -> None:
        """Establish a link on one side; ``dialed`` is the address on the dialer's side, else None."""
        if not process.is_running or (link.is_broken and dialed is None):
            return
        other = link.other(process)
        if link.is_broken or process.member.name == other.member.name:
            assert dialed is not None
            self._fail_dial(process, dialed)
            return
        existing = process.links.get(other.member.name)
        if existing is not None and existing is not link:
            self._discard(existing)
        process.links[other.member.name] = link
        link.is_established[process] = True
        process.overlay.on_link_established(other.member.name, self.clock.now, dialed)
        self.record.count_links(process)
        self.send(link, other.receive_members, list(process.view.values()), dict(process.removed))
        self._send_heartbeat(link, process)
        process.poll()

    def _discard(self, link: SimulatedLink) -> None:
        """Drop one of two links between a pair of members without notifying the overlays."""
        link.is_broken = True
        self.links.pop(link, None)
        for process in link.ends:
            other = link.other(process)
            if process.links.get(other.member.name) is link:
                del process.links[other.member.name]

    def send(self, link: SimulatedLink, deliver: Callable[..., None], *args: object) -> None:
        if not link.is_broken:
            self.clock.schedule(
                self.clock.now + self._latency(*link.ends), self._deliver, link, deliver, args
            )

    def _deliver(self, link: SimulatedLink, deliver: Callable[..., None], args: tuple[object, ...]) -> None:
        if not link.is_broken:
            deliver(*args)

    def _send_heartbeat(self, link: SimulatedLink, process: SimulatedMember) -> None:
        other = link.other(process)
        if link.is_broken or not process.is_running or process.links.get(other.member.name) is not link:
            return
        advertisement = process.overlay.make_advertisement(other.member.name, self.clock.now)
        self.send(link, self._on_heartbeat, link, other, process.member.name, advertisement)
        self.clock.schedule(self.clock.now + HEARTBEAT_INTERVAL_S, self._send_heartbeat, link, process)

    def _on_heartbeat(
        self, link: SimulatedLink, process: SimulatedMember, sender: str, advertisement: RouteAdvertisement
    ) -> None:
        if process.is_running and process.links.get(sender) is link:
            process.overlay.on_advertisement(sender, advertisement, self.clock.now)

    def close_link(self, link: SimulatedLink, closer: SimulatedMember) -> None:
        """Close a link from one side in an orderly way."""
        link.is_broken = True
        self.links.pop(link, None)
        self._on_link_closed(link, closer, True)
        at_s = self.clock.now + self._latency(*link.ends)
        self.clock.schedule(at_s, self._on_link_closed, link, link.other(closer), True)

    def _break_link(self, link: SimulatedLink, noticed_after_s: float) -> None:
        link.is_broken = True
        self.links.pop(link, None)
        for process in link.ends:
            self.clock.schedule(self.clock.now + noticed_after_s, self._on_link_closed, link, process, False)

    def _on_link_closed(self, link: SimulatedLink, process: SimulatedMember, orderly: bool) -> None:
        name = link.other(process).member.name
        if process.is_running and process.links.get(name) is link:
            del process.links[name]
            process.overlay.on_link_closed(name, self.clock.now, orderly)
            process.poll()

    def running(self) -> list[SimulatedMember]:
        return [process for process in self.processes.values() if process.is_running]

    def describe(self) -> str:
        groups = self.graph.linked_groups()
        sizes = [len(group) for group in groups][:20]
        return f"seed {self.seed}, {self.clock.now:.1f} s: {len(groups)} groups of {sizes}"


def _knows(one: SimulatedMember, other: SimulatedMember) -> bool:
    return other.member.name in one.view or other.member.address in one.seeds


def _connected_components(neighbours: dict[str, set[str]]) -> list[set[str]]:
    unvisited = set(neighbours)
    components = []
    while unvisited:
        component: set[str] = set()
        pending = [min(unvisited)]
        while pending:
            name = pending.pop()
            if name not in component:
                component.add(name)
                pending += neighbours[name] - component
        unvisited -= component
        components.append(component)
    return sorted(components, key=min)


def make_members(count: int, regions: int = 2, zones: int = 5) -> list[Member]:
    """Return members that are distributed round-robin over the zones, and these over the regions."""
    members = []
    for number in range(count):
        zone = number % zones
        address = (f"10.{zone}.{number >> 8}.{number & 255}", 7000)
        members.append(Member(f"m{number:04}", address, f"r{zone % regions}", f"z{zone}", 1))
    return members


def in_global_order(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=rank_of_member)


def tree_crossings(members: Iterable[Member]) -> tuple[int, int]:
    """Return the number of links of a tree between zones, and between regions: one fewer than there are."""
    zones = {(member.region, member.zone) for member in members}
    return len(zones) - 1, len({region for region, _ in zones}) - 1
