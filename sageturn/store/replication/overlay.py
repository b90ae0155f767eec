"""Who links to whom: a tree over the members seen, worked out by each for itself. No I/O, no clock.

Every member has a place in one order of all, a hash of its region, zone and name. Each keeps one link to a
member before it: inside its zone as long as one there can be reached, else in a zone before it in its region,
else in a region before it. Nobody can close a circle that way, only the first of all has no link upwards, and
one link crosses between zones or regions where one does. The order needs no agreement: members whose views
differ only choose differently among those before them.

What the order cannot mend, since a member can't tell a dead one from one that only it cannot reach, beacons
do. The first of those linked together, their root, sends a beat, which goes on over all links, and the links
that it came by count up how many there are (as switches find their root in the spanning tree protocol, IEEE
802.1D). Where these are fewer than the members seen, the root looks for others now and then, and the rest
seldom; such a link, a bridge, is kept while it is anyone's way to the root.

Times are seconds of a monotonic clock that the caller passes in. ``docs/design/overlay.md`` says why so.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, islice, zip_longest
from random import Random

from sageturn.store.replication.membership import (
    Address,
    LinkRejected,
    Member,
    MembershipStatus,
    RejectReason,
)
from sageturn.store.replication.routes import RouteAdvertisement

START_S = 4.0  # a member that knows only seeds waits up to so long, lest a fleet's start fall on them at once
SPREAD_S = 0.5  # and one that knows the others so long
HEDGE_S, HEDGES = 0.25, 4  # without a way up: another dial after so long, and so many at once
RETRY_S, RETRY_MOST_S = 1.0, 60.0  # a suspect is tried again after
FLAPS, FLAP_S, FLAP_MOST_S = 3, 5.0, 120.0  # one that was lost so often is left alone for longer, new or not
BUSY_S, BUSY_MOST_S = 2.0, 120.0  # one that was full is asked again after
CALM_S = 60.0  # a link that stood so long clears its member's record of failures
FORGET_S = 600.0  # and so does time
UPGRADE_S = 5.0  # a better place is taken within
LOOK_S, LOOK_MOST_S = 0.25, 10.0  # a root that may not be the only one looks for others each
LOOK_ALONE_S = 2.0  # and one that has no link at all
LOOK_REST_S, LOOK_EACH_S = 10.0, 6.0  # the rest look so seldom on average, and longer by so much a member
STOOD_S = 3.0  # what replaces a link has stood so long before that is closed
STRANGER_S = 10.0  # a link whose member is in no view is closed after
DIAL_S = 30.0  # a dial without an answer counts as failed after
BEAT_S, FRESH_S = 1.0, 5.0  # a root's beat, and how long one is believed
HEADS, TRIES = 4, 48  # an orphan tries so many of a wider circle before the rest of a nearer; so many in all
ROOTS = 64  # whose beats are remembered
INSTEAD = 8  # members named in a refusal
ASK_S, QUIET_S = 1.0, 5.0  # ``next_at`` is never later, nor when nothing is pending


@dataclass(slots=True)
class _Link:
    since: float
    dialled: bool
    told: RouteAdvertisement | None = None
    spare_since: float | None = None  # needed by neither side since
    patience: float = 0.0


@dataclass(slots=True)
class _Suspect:
    failures: int = 0
    losses: int = 0
    refusals: int = 0
    until: float = 0.0
    at: float = 0.0


def _number(*parts: str) -> int:
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=1 << 16)
def rank_of(region: str, zone: str = "", name: str = "") -> int:
    """The place in the order of all, 128 bits: the region's, the zone's in it, the member's in that."""
    return _number(region) >> 32 << 96 | _number(region, zone) >> 32 << 64 | _number(region, zone, name)


@lru_cache(maxsize=1 << 17)
def _weight(one: str, other: str) -> int:
    return _number(one, other)


def before(ordered: Sequence[str], index: int, fanout: int) -> list[str]:
    """Those before ``ordered[index]``, as it prefers them.

    The order is cut into levels of 1, fanout, fanout squared and so on. First come those of the level above,
    then the levels above that, then those before it on its own; within a level by rendezvous hashing, so that
    one more or less moves few, and those of a dead hub spread over its equals.
    """
    starts = [0]
    while (start := starts[-1] * fanout + 1) <= index:
        starts.append(start)
    bounds = [(starts[at - 1], starts[at]) for at in range(len(starts) - 1, 0, -1)] + [(starts[-1], index)]
    own = ordered[index]
    return [
        name
        for first, end in bounds
        for name in sorted(ordered[first:end], key=lambda other: _weight(own, other))
    ]


def _in_turn(lists: Sequence[Sequence[str]]) -> list[str]:
    """The first of each, then the second of each and so on."""
    return [name for names in zip_longest(*lists) for name in names if name is not None]


class Places:
    """The members before one's own in the order, in three circles: one's zone, the region, and beyond."""

    def __init__(self, own: Member, fanout: int) -> None:
        self._own, self._fanout = own, fanout
        self._rank = rank_of(own.region, own.zone, own.name)
        self._zones: dict[str, dict[str, list[tuple[int, str]]]] = {}
        self._circles: list[dict[str, int] | None] = [None] * 3
        self.add(own)

    def add(self, member: Member) -> None:
        zone = self._zones.setdefault(member.region, {}).setdefault(member.zone, [])
        insort(zone, (rank_of(member.region, member.zone, member.name), member.name))
        self._forget(member)

    def remove(self, member: Member) -> None:
        zones = self._zones[member.region]
        zones[member.zone].remove((rank_of(member.region, member.zone, member.name), member.name))
        if not zones[member.zone]:
            del zones[member.zone]
        if not zones:
            del self._zones[member.region]
        self._forget(member)

    def before(self, member: Member) -> int | None:
        """The circle of one that comes before this one's own member; None for one that comes after."""
        if rank_of(member.region, member.zone, member.name) >= self._rank:
            return None
        return 2 if member.region != self._own.region else int(member.zone != self._own.zone)

    def circle(self, at: int) -> dict[str, int]:
        """Its members, the best first, with their place in it."""
        if (circle := self._circles[at]) is None:
            names = (self._of_zone, self._of_region, self._of_all)[at]()
            circle = self._circles[at] = {name: place for place, name in enumerate(names)}
        return circle

    def best(self, circles: int = 3) -> Iterator[str]:
        return chain.from_iterable(self.circle(at) for at in range(circles))

    def tries(self) -> Iterator[str]:
        """As an orphan tries them: of each circle the best, then the rest."""
        heads = (self._fanout, HEADS, HEADS)
        parts = [islice(self.circle(at), head) for at, head in enumerate(heads)]
        parts += [islice(self.circle(at), head, None) for at, head in enumerate(heads)]
        return islice(chain.from_iterable(parts), TRIES)

    def _forget(self, member: Member) -> None:
        if member.region == self._own.region:
            self._circles[0 if member.zone == self._own.zone else 1] = None
        else:
            self._circles[2] = None

    def _of_zone(self) -> list[str]:
        names = [name for _, name in self._zones[self._own.region][self._own.zone]]
        return before(names, names.index(self._own.name), self._fanout)

    def _of_region(self) -> list[str]:
        zones = self._ordered(self._own.region)
        lower = before(zones, zones.index(self._own.zone), self._fanout)
        return _in_turn([self._names(self._own.region, zone) for zone in lower])

    def _of_all(self) -> list[str]:
        regions = sorted(self._zones, key=rank_of)
        lower = before(regions, regions.index(self._own.region), self._fanout)
        return _in_turn([_in_turn([self._names(r, zone) for zone in self._ordered(r)]) for r in lower])

    def _ordered(self, region: str) -> list[str]:
        return sorted(self._zones[region], key=lambda zone: rank_of(region, zone))

    def _names(self, region: str, zone: str) -> list[str]:
        return [name for _, name in self._zones[region][zone]]


class Overlay:
    """One member's part. ``fanout`` is how many others a hub carries on average, and at most four times that.

    Raises ValueError for a fanout under 2.
    """

    def __init__(self, own: Member, seeds: Sequence[Address], rng: Random, fanout: int = 8) -> None:
        if fanout < 2:
            raise ValueError(f"fanout: {fanout} is under 2")
        self.own, self._rng, self.fanout = own, rng, fanout
        self.in_most = 4 * fanout
        self.membership_status = MembershipStatus.MEMBER
        self._rank = rank_of(own.region, own.zone, own.name)
        self._seeds = [seed for seed in dict.fromkeys(seeds) if seed != own.address]
        self._members: dict[str, Member] = {}  # the others
        self._names: dict[Address, str] = {}
        self._hints: set[Address] = set()
        self._enlisted = False  # the view has held this member
        self._places = Places(own, fanout)
        self._links: dict[str, _Link] = {}
        self._known: set[str] = set()  # linked, and in a view since
        self._up: str | None = None  # the best linked of those before this one
        self._up_known = True
        self._port_name: str | None = None  # as it was at
        self._port_at: float | None = None
        self._dialling: dict[Address, float] = {}
        self._suspects: dict[Address, _Suspect] = {}
        self._beats: dict[int, tuple[tuple[int, int], float]] = {}  # by root: the last, and when it came
        self._started = False
        self._orphan_at = 0.0
        self._upgrade_at: float | None = None
        self._look_at: float | None = None
        self._look_wait, self._looks = LOOK_S, 0
        self._look_root = True  # the look that is due is a root's
        self._looked: dict[Address, float] = {}

    # What is told

    def update_members(self, members: Iterable[Member]) -> None:
        """The whole membership as the store has it now, without those removed."""
        seen = {member.name: member for member in members}
        mine = seen.pop(self.own.name, None)
        if mine is not None:
            self._enlisted = True
            newer = mine.incarnation > self.own.incarnation
            self.membership_status = (
                MembershipStatus.SUPERSEDED
                if newer or self.membership_status == MembershipStatus.SUPERSEDED
                else MembershipStatus.MEMBER
            )
        elif self._enlisted and self.membership_status == MembershipStatus.MEMBER:
            self.membership_status = MembershipStatus.REMOVED
        for gone in [member for name, member in self._members.items() if name not in seen]:
            self._drop(gone)
        for name, member in seen.items():
            was = self._members.get(name)
            if was is not member and was != member:
                self._take(member, was)

    def _drop(self, member: Member) -> None:
        del self._members[member.name]
        self._places.remove(member)
        self._up_known, self._port_at = False, None
        if self._names.get(member.address) == member.name:
            del self._names[member.address]

    def _take(self, member: Member, was: Member | None) -> None:
        if was is not None:
            self._drop(was)
        self._members[member.name] = member
        self._names[member.address] = member.name
        self._places.add(member)
        self._up_known, self._port_at = False, None
        if member.name in self._links:
            self._known.add(member.name)
        if was is None or was.incarnation < member.incarnation:
            suspect = self._suspects.get(member.address)
            if suspect is not None:
                suspect.failures = 0
                if suspect.losses < FLAPS:
                    suspect.until = 0.0
            self._look_wait = LOOK_S

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        """None to take a link that this member has dialled, else what to answer before it is closed."""
        if member.name == self.own.name:
            if member.incarnation > self.own.incarnation:
                self.membership_status = MembershipStatus.SUPERSEDED
            return LinkRejected(
                RejectReason.SUPERSEDED
                if member.incarnation < self.own.incarnation
                else RejectReason.SAME_NAME
            )
        seen = self._members.get(member.name)
        if seen is not None and member.incarnation < seen.incarnation:
            return LinkRejected(RejectReason.SUPERSEDED)
        accepted = sum(not link.dialled for name, link in self._links.items() if name != member.name)
        return LinkRejected(RejectReason.FULL, self._instead(member)) if accepted >= self.in_most else None

    def on_link_established(self, name: str, now: float, dialled: Address | None = None) -> None:
        """A link stands; ``dialled`` is the address if it was this side that did."""
        member = self._members.get(name)
        if dialled is None and member is not None and member.address in self._dialling:
            dialled = member.address
        if dialled is not None:
            self._dialling.pop(dialled, None)
            if suspect := self._suspects.get(dialled):
                suspect.until, suspect.refusals = now, 0
        self._links[name] = _Link(now, dialled is not None)
        self._up_known, self._port_at = False, None
        self._hints.clear()
        if member is not None:
            self._known.add(name)

    def on_link_lost(self, name: str, now: float, orderly: bool = False) -> None:
        """A link that stood is over; ``orderly`` if either side closed it on purpose."""
        if name not in self._links:
            return
        uplink = self._uplink()
        link = self._links.pop(name)
        self._known.discard(name)
        lost_uplink = name == uplink or not self._links
        self._up_known, self._port_at = False, None
        member = self._members.get(name)
        if member is not None and not orderly:
            if now - link.since >= CALM_S:
                self._suspects.pop(member.address, None)
            self._suspect(member.address, now, lost=True)
        if lost_uplink and self._uplink() is None:
            self._look_wait, self._look_at = LOOK_S, None
            self._orphan_at = now

    def on_dial_failed(self, address: Address, now: float) -> None:
        """A dial failed."""
        if self._dialling.pop(address, None) is not None:
            self._suspect(address, now)
            self._orphan_at = min(self._orphan_at, now + HEDGE_S / 5)

    def on_dial_rejected(self, address: Address, now: float, refusal: LinkRejected) -> None:
        """A dial was answered by ``refusal``."""
        self._dialling.pop(address, None)
        if refusal.reason == RejectReason.SUPERSEDED:
            self.membership_status = MembershipStatus.SUPERSEDED
        suspect = self._suspects.setdefault(address, _Suspect())
        wait = min(BUSY_MOST_S, BUSY_S * 2**suspect.refusals) * self._rng.uniform(0.5, 1.5)
        suspect.refusals, suspect.at, suspect.until = min(suspect.refusals + 1, 10), now, now + wait
        self._hints = {m.address for m in refusal.alternatives[:INSTEAD] if m.address != self.own.address}
        self._orphan_at = min(self._orphan_at, now + HEDGE_S / 5)

    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None:
        """The other side's word in a heartbeat of the link to ``name``."""
        if (link := self._links.get(name)) is None:
            return
        link.told = advertisement
        self._port_at = None
        beat = (advertisement.root_incarnation, advertisement.sequence)
        last = self._beats.get(advertisement.root_rank)
        if last is None or beat > last[0]:
            # What goes round in circles after a root's death never has a new beat.
            self._beats.pop(advertisement.root_rank, None)
            self._beats[advertisement.root_rank] = beat, now
            while len(self._beats) > ROOTS:
                del self._beats[next(iter(self._beats))]

    # What is to be done

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """What to say in the next heartbeat of the link to ``name``."""
        port = self._port(now)
        below = 1 + sum(
            link.told.member_count
            for other, link in self._links.items()
            if link.told is not None and link.told.is_root_path and other != port
        )
        told = None if port is None else self._links[port].told
        if told is None or port == name:
            return RouteAdvertisement(
                self._rank, self.own.incarnation, int(now / BEAT_S), port is not None, below
            )
        return RouteAdvertisement(
            told.root_rank, told.root_incarnation, told.sequence, False, told.member_count
        )

    def addresses_to_dial(self, now: float) -> list[Address]:
        """Whom to dial now, each once; every one is answered by linked, unreachable or refused."""
        if self.membership_status != MembershipStatus.MEMBER:
            return []
        if not self._started:
            self._started = True
            self._orphan_at = now + self._rng.uniform(0, SPREAD_S)
            if not self._members:
                self._look_at = now + self._rng.uniform(0, START_S)
        for late in [address for address, at in self._dialling.items() if now - at >= DIAL_S]:
            self.on_dial_failed(late, now)
        dials = []
        for choose in (self._rescue, self._upgrade, self._look):
            if (address := choose(now)) is not None:
                self._dialling[address] = now
                dials.append(address)
        return dials

    def links_to_close(self, now: float) -> list[str]:
        """Links to end: of no use to either side for a while, or to one that is no member."""
        if self.membership_status != MembershipStatus.MEMBER:
            return list(self._links)
        uplink, port = self._uplink(), self._port(now)
        closes = []
        for name, link in self._links.items():
            if name not in self._members:
                if name in self._known or now - link.since >= STRANGER_S:
                    closes.append(name)
            elif not link.dialled or not self._spare(name, link, uplink, port, now):
                link.spare_since = None
            elif link.spare_since is None:
                # By chance, so that two that are spare only because of each other don't go together.
                link.spare_since, link.patience = now, self._rng.uniform(STOOD_S, 2 * STOOD_S)
            elif now - link.spare_since >= link.patience:
                closes.append(name)
        return closes

    def next_wakeup(self, now: float) -> float:
        """When to ask again at the latest if nothing is told before."""
        times = [at for at in (self._upgrade_at, self._look_at) if at is not None and at > now]
        if self._uplink() is None and self._orphan_at > now:
            times.append(self._orphan_at)
        spare = any(link.spare_since is not None for link in self._links.values())
        pending = spare or bool(times or self._dialling)
        return min([now + (ASK_S if pending else QUIET_S), *times])

    # Dials

    def _rescue(self, now: float) -> Address | None:
        """Without a way up: the next of those that have not failed."""
        if now < self._orphan_at or len(self._dialling) >= HEDGES or self._uplink() is not None:
            return None
        if (address := self._untried(now)) is not None:
            # With a bridge there is no hurry.
            wait = HEDGE_S if self._port(now) is None else self._rng.uniform(1, 2) * ASK_S
            self._orphan_at = now + wait
        return address

    def _untried(self, now: float) -> Address | None:
        for name in self._places.tries():
            address = self._members[name].address
            suspect = self._suspects.get(address)
            if self._eligible(name, now) and (suspect is None or not suspect.failures):
                return address
        return None

    def _upgrade(self, now: float) -> Address | None:
        """From a stopgap to the best place, or to a nearer circle."""
        uplink = self._uplink()
        best = next(self._places.best(), None)
        better: list[str] = []
        if uplink is not None and best is not None and uplink != best:
            circle = self._places.before(self._members[uplink]) or 0
            names = self._places.best(circle) if next(self._places.best(circle), None) else (best,)
            better = [name for name in names if self._eligible(name, now)]
        if not better:
            self._upgrade_at = None
            return None
        if self._upgrade_at is None:
            self._upgrade_at = now + self._rng.uniform(0, UPGRADE_S)
        if now < self._upgrade_at:
            return None
        self._upgrade_at = now + self._rng.uniform(0.5, 1) * UPGRADE_S
        return self._members[self._either(better)].address

    def _look(self, now: float) -> Address | None:
        """For others that are not linked to the same root."""
        uplink, port = self._uplink(), self._port(now)
        members = len(self._members) + 1
        strange = [seed for seed in self._seeds if seed not in self._names]
        if not self._links:
            wanted = bool(members > 1 or strange or self._hints)
        elif port is None and uplink is None:
            wanted = self.count(now) < members or bool(strange)
        elif uplink is None:
            wanted = next(self._places.best(), None) is not None
        else:
            wanted = port is not None and self.count(now) < members
        if not wanted:
            self._look_at = None
            return None
        root = uplink is None
        wait = self._look_wait if root else LOOK_REST_S + LOOK_EACH_S * members
        if root != self._look_root:
            self._look_root, self._look_at = root, None
        if self._look_at is None and root:
            # Those before it are tried first.
            first = 2 * ASK_S if self._dialling or self._untried(now) else wait
            self._look_at = now + self._rng.uniform(0.5, 1) * first
        elif self._look_at is None:
            self._look_at = now + FRESH_S + self._late(wait)
        if now < self._look_at:
            return None
        if root:
            self._look_wait = min(LOOK_MOST_S if self._links else LOOK_ALONE_S, self._look_wait * 2)
        self._looks += 1
        self._look_at = now + (wait * self._rng.uniform(0.75, 1.25) if root else self._late(wait))
        free = [name for name in self._places.best() if self._eligible(name, now, root)]
        lower = [self._members[name].address for name in free]
        others = [a for a in (*strange, *sorted(self._hints)) if self._eligible_address(a, now, root)]
        whole = bool(self._links) and self.count(now) >= members
        if whole:  # it is only for a way up, or for seeds that are no members
            return self._stalest(lower if port is not None else others, now)
        if lower and self._looks % 2:
            return self._stalest(lower, now)
        if not others or self._rng.random() < 0.5:
            any_one = [m.address for m in self._members.values() if self._eligible(m.name, now, root)]
            others = any_one or others
        if not others and not self._links:
            # Alone, and all have failed just now.
            others = [a for a in (*self._names, *strange, *sorted(self._hints)) if a not in self._dialling]
        return self._stalest(others, now)

    def _stalest(self, addresses: Sequence[Address], now: float) -> Address | None:
        """The one that was looked at longest ago, so that all have their turn; by chance among equals."""
        if not addresses:
            return None
        oldest = min(self._looked.get(address, 0.0) for address in addresses)
        chosen = self._rng.choice([a for a in addresses if self._looked.get(a, 0.0) == oldest])
        if len(self._looked) > 2 * (len(self._names) + len(self._seeds) + INSTEAD):
            self._looked.clear()
        self._looked[chosen] = now
        return chosen

    # Views

    def count(self, now: float) -> int:
        """Members linked together with this one, as far as beacons tell."""
        port = self._port(now)
        told = None if port is None else self._links[port].told
        return self.make_advertisement("", now).member_count if told is None else told.member_count

    def _uplink(self) -> str | None:
        if not self._up_known:
            self._up, self._up_known = self._best_linked(), True
        return self._up

    def _best_linked(self) -> str | None:
        found: str | None = None
        least = (3, 0)
        for name in self._links:
            member = self._members.get(name)
            circle = None if member is None else self._places.before(member)
            if circle is not None and circle <= least[0]:
                place = circle, self._places.circle(circle)[name]
                if place < least:
                    found, least = name, place
        return found

    def _root(self, link: _Link, now: float) -> int | None:
        """Whom this link tells of as root, if that one still beats and this is not the other's way to it."""
        told = link.told
        if told is None or told.is_root_path:
            return None
        (incarnation, beat), at = self._beats.get(told.root_rank, ((0, 0), -FRESH_S))
        late = told.root_incarnation != incarnation or (beat - told.sequence) * BEAT_S > FRESH_S
        return None if late or now - at > FRESH_S else told.root_rank

    def _port(self, now: float) -> str | None:
        """The link that is the way to the root; None if this is it."""
        if self._port_at != now:
            self._port_name, self._port_at = self._way(now), now
        return self._port_name

    def _way(self, now: float) -> str | None:
        best, port = self._rank, None
        uplink = self._uplink()
        for name, link in self._links.items():
            root = self._root(link, now)
            if root is not None and (root < best or root == best and port is not None and name == uplink):
                best, port = root, name
        return port

    def _spare(self, name: str, link: _Link, uplink: str | None, port: str | None, now: float) -> bool:
        if name in (uplink, port) or (link.told is not None and link.told.is_root_path):
            return False
        way = None if port is None else self._links[port]
        root = self._rank if way is None or way.told is None else way.told.root_rank
        return self._root(link, now) == root and (way is None or now - way.since >= STOOD_S)

    def _eligible(self, name: str, now: float, root: bool = False) -> bool:
        return name not in self._links and self._eligible_address(self._members[name].address, now, root)

    def _eligible_address(self, address: Address, now: float, root: bool = False) -> bool:
        """A root that looks for others doesn't wait as long as who only wants a better place."""
        suspect = self._suspects.get(address)
        if suspect is not None and now - suspect.at > FORGET_S:
            del self._suspects[address]
            suspect = None
        if address in self._dialling:
            return False
        if suspect is None or suspect.until <= now:
            return True
        return root and suspect.losses < FLAPS and now - suspect.at >= LOOK_MOST_S

    def _suspect(self, address: Address, now: float, lost: bool = False) -> None:
        suspect = self._suspects.setdefault(address, _Suspect())
        suspect.failures, suspect.at = min(suspect.failures + 1, 10), now
        suspect.losses = min(suspect.losses + lost, 10)
        wait = min(RETRY_MOST_S, RETRY_S * 2 ** (suspect.failures - 1))
        if lost and suspect.losses >= FLAPS:
            wait = min(FLAP_MOST_S, FLAP_S * 2**suspect.losses)
        suspect.until = max(suspect.until, now + wait * self._rng.uniform(0.5, 1))
        if len(self._suspects) > 2 * (len(self._names) + len(self._seeds) + INSTEAD):
            self._suspects = {a: s for a, s in self._suspects.items() if now - s.at <= FORGET_S}

    def _either(self, names: Sequence[str]) -> str:
        """The best or any: the best may be dead for long, and the rest then wait behind it."""
        return names[0] if self._rng.random() < 0.5 else self._rng.choice(names)

    def _late(self, mean: float) -> float:
        return self._rng.expovariate(1 / mean)

    def _instead(self, member: Member) -> tuple[Member, ...]:
        near = [m for m in self._members.values() if (m.region, m.zone) == (member.region, member.zone)]
        others = [m for m in near or self._members.values() if m.name != member.name]
        return tuple(self._rng.sample(others, min(INSTEAD, len(others))))
