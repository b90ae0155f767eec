"""The global order of members, and each member's preferences for a parent in the tree. No I/O, no clock.

Every member has a position in one order: a hash of its region, its zone and its name. It links to one member
before it, its *uplink*, so links cannot form a cycle. The position does not depend on the known members, so
members with different views of the membership still agree on the order of any two.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator, Sequence
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, islice, zip_longest
from typing import NamedTuple

from sageturn.store.replication.membership import Member

FARTHER_SCOPE_HEAD_SIZE = 4  # number of members of a farther scope to dial before the rest of a nearer one
MAX_SEARCH_CANDIDATES = 48
MAX_CACHED_RANKS = 1 << 16
MAX_CACHED_WEIGHTS = 1 << 17


class Scope(IntEnum):
    """Distance class of a member; a nearer scope is preferred."""

    ZONE = 0
    REGION = 1  # another zone of this member's region
    GLOBAL = 2  # another region


def _hash64(*parts: str) -> int:
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=MAX_CACHED_RANKS)
def rank_of(region: str, zone: str = "", name: str = "") -> int:
    """Return a position in the global order: 32 bits for the region, 32 for the zone, 64 for the member."""
    region_bits = _hash64(region) >> 32
    zone_bits = _hash64(region, zone) >> 32
    return region_bits << 96 | zone_bits << 64 | _hash64(region, zone, name)


def rank_of_member(member: Member) -> int:
    """Return the member's position in the global order."""
    return rank_of(member.region, member.zone, member.name)


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _rendezvous_weight(own: str, other: str) -> int:
    return _hash64(own, other)


def preferred_predecessors(ordered: Sequence[str], index: int, fanout: int) -> list[str]:
    """Return all names before ``ordered[index]``, in the order in which it prefers them as its parent.

    The order is divided into levels of 1, fanout, fanout squared and so on. The names of the next higher
    level come first, followed by those of the levels above it, and then by the preceding names of the same
    level. Within a level names are sorted by rendezvous hashing, so a change of membership moves few
    children, and the children of a dead hub are spread over its level.
    """
    level_starts = [0]
    while (start := level_starts[-1] * fanout + 1) <= index:
        level_starts.append(start)
    levels_above = [
        (level_starts[level - 1], level_starts[level]) for level in range(len(level_starts) - 1, 0, -1)
    ]
    own = ordered[index]
    preferred: list[str] = []
    for first, end in [*levels_above, (level_starts[-1], index)]:
        preferred += sorted(ordered[first:end], key=lambda other: _rendezvous_weight(own, other))
    return preferred


def _interleave(lists: Sequence[Sequence[str]]) -> list[str]:
    """Return the first of each list, then the second of each and so on."""
    return [name for names in zip_longest(*lists) for name in names if name is not None]


class _RankedName(NamedTuple):
    rank: int
    name: str


class ParentCandidates:
    """The members before this one in the global order, sorted by scope and preference."""

    def __init__(self, own: Member, fanout: int) -> None:
        self._own = own
        self._fanout = fanout
        self._rank = rank_of_member(own)
        self._zones: dict[str, dict[str, list[_RankedName]]] = {}  # keys: region, zone; sorted by rank
        self._preferences: dict[Scope, dict[str, int]] = {}
        self.add(own)

    def add(self, member: Member) -> None:
        """Add a member, whose name must not have been added yet."""
        zone = self._zones.setdefault(member.region, {}).setdefault(member.zone, [])
        insort(zone, _RankedName(rank_of_member(member), member.name))
        self._invalidate(member)

    def remove(self, member: Member) -> None:
        """Remove a member, which must have been added."""
        zones = self._zones[member.region]
        zones[member.zone].remove(_RankedName(rank_of_member(member), member.name))
        if not zones[member.zone]:
            del zones[member.zone]
        if not zones:
            del self._zones[member.region]
        self._invalidate(member)

    def scope_of(self, member: Member) -> Scope | None:
        """Return the scope of a member before this one in the global order; None for any other member."""
        if rank_of_member(member) >= self._rank:
            return None
        return self._distance(member)

    def preferences(self, scope: Scope) -> dict[str, int]:
        """Return the names of a scope in the order of preference, each with its position in that order."""
        positions = self._preferences.get(scope)
        if positions is None:
            names = self._names_by_preference(scope)
            positions = {name: position for position, name in enumerate(names)}
            self._preferences[scope] = positions
        return positions

    def by_preference(self, nearer_than: int = len(Scope)) -> Iterator[str]:
        """Yield the names of all scopes nearer than the given one, in the order of preference."""
        return chain.from_iterable(self.preferences(scope) for scope in Scope if scope < nearer_than)

    def search_order(self) -> Iterator[str]:
        """Yield the names in the order in which a member without an uplink dials them.

        The most preferred names of every scope come before the rest of any, since a whole zone may be dead.
        """
        heads = {
            Scope.ZONE: self._fanout,
            Scope.REGION: FARTHER_SCOPE_HEAD_SIZE,
            Scope.GLOBAL: FARTHER_SCOPE_HEAD_SIZE,
        }
        parts = [islice(self.preferences(scope), head) for scope, head in heads.items()]
        parts += [islice(self.preferences(scope), head, None) for scope, head in heads.items()]
        return islice(chain.from_iterable(parts), MAX_SEARCH_CANDIDATES)

    def _distance(self, member: Member) -> Scope:
        if member.region != self._own.region:
            return Scope.GLOBAL
        return Scope.ZONE if member.zone == self._own.zone else Scope.REGION

    def _invalidate(self, member: Member) -> None:
        self._preferences.pop(self._distance(member), None)

    def _names_by_preference(self, scope: Scope) -> list[str]:
        if scope is Scope.ZONE:
            return self._preferred_in_zone()
        if scope is Scope.REGION:
            return self._preferred_in_region()
        return self._preferred_elsewhere()

    def _preferred_in_zone(self) -> list[str]:
        names = self._names(self._own.region, self._own.zone)
        return preferred_predecessors(names, names.index(self._own.name), self._fanout)

    def _preferred_in_region(self) -> list[str]:
        zones = self._ordered_zones(self._own.region)
        preferred = preferred_predecessors(zones, zones.index(self._own.zone), self._fanout)
        return _interleave([self._names(self._own.region, zone) for zone in preferred])

    def _preferred_elsewhere(self) -> list[str]:
        regions = sorted(self._zones, key=rank_of)
        preferred = preferred_predecessors(regions, regions.index(self._own.region), self._fanout)
        return _interleave([self._names_of_region(region) for region in preferred])

    def _names_of_region(self, region: str) -> list[str]:
        return _interleave([self._names(region, zone) for zone in self._ordered_zones(region)])

    def _ordered_zones(self, region: str) -> list[str]:
        return sorted(self._zones[region], key=lambda zone: rank_of(region, zone))

    def _names(self, region: str, zone: str) -> list[str]:
        return [ranked.name for ranked in self._zones[region][zone]]
