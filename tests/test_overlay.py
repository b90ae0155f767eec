"""Who links to whom: a simulated network of members under kills, cuts, heals, joins and odd views."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sageturn.store.spread.overlay import (
    FULL,
    MEMBER,
    REMOVED,
    SAME_NAME,
    SUPERSEDED,
    Address,
    Beacon,
    Member,
    Overlay,
    Refusal,
    before,
    Places,
    rank_of,
)

SILENT_S = 2.0  # a dead machine or a cut is noticed by silence
CONNECT_S = 1.0  # and a dial to one fails after
FLUSH_S = 0.2  # news is gathered for so long


class Node:
    def __init__(self, net: Net, member: Member, view: dict[str, Member], seeds: list[Address]) -> None:
        self.net, self.member, self.view = net, member, dict(view)
        self.view[member.name] = member
        self.removed: dict[str, int] = {}  # by name, the incarnation that was removed
        self.overlay = Overlay(member, seeds, Random(f"{net.seed} {member.name} {member.incarnation}"), net.fanout)
        self.overlay.saw(self.view.values())
        self.alive, self.machine_up = True, True
        self.links: dict[str, Link] = {}
        self.news: dict[str, Member] = {}
        self.poll_at = float("inf")

    def poll(self) -> None:
        net = self.net
        if not self.alive:
            return
        for name in self.overlay.to_close(net.now):
            if link := self.links.get(name):
                net.closes.append((net.now, self.member.name, name))
                net.end(link, by=self)
        for address in self.overlay.to_dial(net.now):
            net.dial(self, address)
        at = self.overlay.next_at(net.now)
        assert at > net.now
        if at < self.poll_at or self.poll_at <= net.now:
            self.poll_at = at
            net.at(at, self.timed, at)

    def timed(self, at: float) -> None:
        if at == self.poll_at:
            self.poll()

    def take(self, members: Iterable[Member], removed: dict[str, int], source: Node | None) -> None:
        """Records arrive; what is new goes on to the others, and the overlay sees the whole."""
        if not self.alive:
            return
        fresh = [
            m
            for m in members
            if self.removed.get(m.name, -1) < m.incarnation
            and (m.name not in self.view or self.view[m.name].incarnation < m.incarnation)
        ]
        gone = {name: inc for name, inc in removed.items() if self.removed.get(name, -1) < inc}
        if not fresh and not gone:
            return
        for m in fresh:
            self.view[m.name] = m
        self.removed.update(gone)
        for name, inc in gone.items():
            if name in self.view and self.view[name].incarnation <= inc:
                del self.view[name]
        if not self.news:
            self.net.at(self.net.now + FLUSH_S, self.flush)
        self.news.update({m.name: m for m in fresh})
        self.news.setdefault("", self.member)

    def flush(self) -> None:
        if not self.alive:
            return
        news, self.news = self.news, {}
        self.overlay.saw(self.view.values())
        for link in list(self.links.values()):
            other = link.other(self)
            self.net.send(self, link, other.take, list(news.values()), dict(self.removed), self)
        self.poll()


class Link:
    def __init__(self, one: Node, other: Node, dialler: Node) -> None:
        self.ends, self.dialler = (one, other), dialler
        self.up = {one: False, other: False}
        self.broken = False

    def other(self, node: Node) -> Node:
        return self.ends[1] if node is self.ends[0] else self.ends[0]


class Net:
    """Members, links with latency, and what may befall them. Nothing in it knows how the overlay decides."""

    def __init__(self, seed: int, fanout: int = 8) -> None:
        self.seed, self.fanout, self.rng = seed, fanout, Random(seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.count = itertools.count()
        self.nodes: dict[Address, Node] = {}
        self.cut: Callable[[Member, Member], bool] = lambda one, other: False
        self.dials: list[tuple[float, str, Address]] = []
        self.closes: list[tuple[float, str, str]] = []
        self.refusals: list[tuple[float, str, str]] = []
        self.links: set[Link] = set()
        self.most_in, self.most_links = 0, 0

    # The clock

    def at(self, when: float, what: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.heap, (when, next(self.count), what, args))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        self.now = until

    def run_until(self, holds: Callable[[], bool], most_s: float, step_s: float = 0.1) -> float:
        """Seconds until it holds; fails the test past the most."""
        start = self.now
        while not holds():
            assert self.now - start < most_s, f"not within {most_s} s: {self.describe()}"
            self.run(self.now + step_s)
        return self.now - start

    # Members

    def start(self, member: Member, seeds: Iterable[Address] = (), view: dict[str, Member] | None = None) -> Node:
        node = Node(self, member, view or {}, list(seeds))
        self.nodes[member.address] = node
        node.poll()
        return node

    def kill(self, node: Node, machine: bool = True) -> None:
        """The process ends; with its machine nobody is told."""
        node.alive, node.machine_up = False, not machine
        for link in list(node.links.values()):
            self.break_link(link, SILENT_S if machine else self.latency(*link.ends))

    def restart(self, node: Node, keeps: bool = True, seeds: Iterable[Address] = ()) -> Node:
        old = node.member
        member = Member(old.name, old.address, old.region, old.zone, old.incarnation + 1)
        return self.start(member, seeds, dict(node.view) if keeps else None)

    def set_cut(self, cut: Callable[[Member, Member], bool]) -> None:
        self.cut = cut
        for link in list(self.links):
            if cut(link.ends[0].member, link.ends[1].member):
                self.break_link(link, SILENT_S)

    # Links

    def latency(self, one: Node, other: Node) -> float:
        a, b = one.member, other.member
        base = 0.040 if a.region != b.region else 0.002 if a.zone != b.zone else 0.0005
        return base * self.rng.uniform(1, 1.5)

    def dial(self, node: Node, address: Address) -> None:
        self.dials.append((self.now, node.member.name, address))
        other = self.nodes.get(address)
        if other is None or not other.machine_up or self.cut(node.member, other.member):
            self.at(self.now + CONNECT_S, self.failed, node, address)
        elif other is node:
            self.failed(node, address)
        else:
            self.at(self.now + self.latency(node, other), self.arrives, node, other, address)

    def failed(self, node: Node, address: Address) -> None:
        if node.alive:
            node.overlay.unreachable(address, self.now)
            node.poll()

    def refused(self, node: Node, address: Address, refusal: Refusal) -> None:
        if node.alive:
            node.overlay.refused(address, self.now, refusal)
            node.poll()

    def arrives(self, node: Node, other: Node, address: Address) -> None:
        back = self.now + self.latency(node, other)
        if not other.machine_up or self.cut(node.member, other.member):
            self.at(self.now + CONNECT_S, self.failed, node, address)
            return
        if not other.alive:
            self.at(back, self.failed, node, address)
            return
        if not node.alive:
            return
        refusal = other.overlay.admits(node.member, self.now)
        if refusal is not None:
            self.refusals.append((self.now, node.member.name, refusal.reason))
            self.at(back, self.refused, node, address, refusal)
            other.poll()
            return
        standing = other.links.get(node.member.name)
        if standing is not None:
            if standing.other(other) is node and standing.dialler.member.name < node.member.name:
                self.at(back, self.failed, node, address)  # crossed: the other one's dial stays
                return
            self.drop(standing)
        link = Link(node, other, node)
        self.links.add(link)
        self.stand(link, other, None)
        self.at(back, self.stand, link, node, address)

    def stand(self, link: Link, node: Node, address: Address | None) -> None:
        if not node.alive or (link.broken and address is None):
            return
        if link.broken or node.member.name == link.other(node).member.name:
            self.failed(node, address)  # type: ignore[arg-type]
            return
        other = link.other(node)
        if (crossed := node.links.get(other.member.name)) is not None and crossed is not link:
            self.drop(crossed)
        node.links[other.member.name] = link
        link.up[node] = True
        node.overlay.linked(other.member.name, self.now, address)
        accepted = sum(1 for one in node.links.values() if one.dialler is not node)
        self.most_in = max(self.most_in, accepted)
        self.most_links = max(self.most_links, len(node.links))
        self.send(node, link, other.take, list(node.view.values()), dict(node.removed), node)
        self.tell(link, node)
        node.poll()

    def drop(self, link: Link) -> None:
        """One of two between a pair: nobody is told."""
        link.broken = True
        self.links.discard(link)
        for node in link.ends:
            other = link.other(node)
            if node.links.get(other.member.name) is link:
                del node.links[other.member.name]

    def send(self, node: Node, link: Link, what: Callable[..., None], *args: object) -> None:
        if not link.broken:
            self.at(self.now + self.latency(*link.ends), self.delivered, link, what, args)

    def delivered(self, link: Link, what: Callable[..., None], args: tuple[object, ...]) -> None:
        if not link.broken:
            what(*args)

    def tell(self, link: Link, node: Node) -> None:
        """A heartbeat each second."""
        other = link.other(node)
        if link.broken or not node.alive or node.links.get(other.member.name) is not link:
            return
        beacon = node.overlay.beacon(other.member.name, self.now)
        self.send(node, link, self.hears, link, other, node.member.name, beacon)
        self.at(self.now + 1.0, self.tell, link, node)

    def hears(self, link: Link, node: Node, name: str, beacon: Beacon) -> None:
        if node.alive and node.links.get(name) is link:
            node.overlay.heard(name, beacon, self.now)

    def end(self, link: Link, by: Node) -> None:
        """One side closes on purpose."""
        link.broken = True
        self.links.discard(link)
        self.lose(link, by, True)
        self.at(self.now + self.latency(*link.ends), self.lose, link, link.other(by), True)

    def break_link(self, link: Link, after_s: float) -> None:
        link.broken = True
        self.links.discard(link)
        for node in link.ends:
            self.at(self.now + after_s, self.lose, link, node, False)

    def lose(self, link: Link, node: Node, orderly: bool) -> None:
        name = link.other(node).member.name
        if node.alive and node.links.get(name) is link:
            del node.links[name]
            node.overlay.lost(name, self.now, orderly)
            node.poll()

    # What is seen from outside

    def alive(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.alive]

    def wholes(self, possible: bool = False) -> list[set[str]]:
        """Members linked together, or that could be."""
        nodes = self.alive()
        near: dict[str, set[str]] = {node.member.name: set() for node in nodes}
        if possible:
            for one, other in itertools.combinations(nodes, 2):
                if not self.cut(one.member, other.member):
                    near[one.member.name].add(other.member.name)
                    near[other.member.name].add(one.member.name)
        else:
            for link in self.links:
                one, other = link.ends
                if all(link.up.values()):
                    near[one.member.name].add(other.member.name)
                    near[other.member.name].add(one.member.name)
        left, wholes = set(near), []
        while left:
            whole, edge = set(), [min(left)]
            while edge:
                name = edge.pop()
                if name not in whole:
                    whole.add(name)
                    edge += near[name] - whole
            left -= whole
            wholes.append(whole)
        return sorted(wholes, key=min)

    def connected(self, wholes: int = 1) -> bool:
        return len(self.wholes()) == wholes

    def crossings(self) -> tuple[int, int]:
        """Links between zones, and of these those between regions."""
        pairs = [(link.ends[0].member, link.ends[1].member) for link in self.links]
        return (
            sum((a.region, a.zone) != (b.region, b.zone) for a, b in pairs),
            sum(a.region != b.region for a, b in pairs),
        )

    def busiest(self, since: float = 0.0) -> int:
        """The most dials that anyone got within any one second."""
        by_target: dict[Address, list[float]] = defaultdict(list)
        for at, _, address in self.dials:
            if at >= since:
                by_target[address].append(at)
        most = 0
        for times in by_target.values():
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - 1.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def describe(self) -> str:
        wholes = self.wholes()
        return f"seed {self.seed}, {self.now:.1f} s: {len(wholes)} wholes of {[len(w) for w in wholes][:20]}"


def fleet(count: int, regions: int = 2, zones: int = 5) -> list[Member]:
    """Members named at random order over zones, which are dealt to the regions in turn."""
    members = []
    for number in range(count):
        zone = number % zones
        address = (f"10.{zone}.{number >> 8}.{number & 255}", 7000)
        members.append(Member(f"m{number:04}", address, f"r{zone % regions}", f"z{zone}", 1))
    return members


def started(members: list[Member], seed: int, fanout: int = 8, settle_s: float = 30.0) -> Net:
    """All start at once, each with a copy of the membership, and have come to rest."""
    net = Net(seed, fanout)
    view = {member.name: member for member in members}
    seeds = [member.address for member in members[:6]]
    for member in members:
        net.start(member, seeds, view)
    net.run_until(net.connected, 10)
    net.run(net.now + settle_s)
    return net
