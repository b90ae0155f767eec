"""How far the fleet is from balance, as far as one relay can tell.

A host's fill is its load over its size. The measure is the fullest host's fill over the mean of those it is
compared with. A relay sees only its own connections, a sample of each host's: with few of them chance alone
makes hosts look unequal. What the other relays hold there is therefore guessed by what is left of the spread
once that which chance explains is taken off (empirical Bayes, as in the James-Stein estimator).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.decision.balancer import GROUP_COST
from sageturn.rebalance.book import ConnectionTable


@dataclass(frozen=True, slots=True)
class EndpointUtilization:
    name: str
    load: float
    due: float  # what it would hold if all were as full as the mean
    ratio: float  # its fill over the mean, by estimate
    room: int
    size: float


@dataclass(frozen=True, slots=True)
class Balance:
    """Of one set of hosts that are compared with each other."""

    fills: tuple[EndpointUtilization, ...]
    trust: float  # how much of our own spread the whole fleet is guessed to have, from 0 to 1
    load: float

    @property
    def fullest(self) -> float:
        return max((f.ratio for f in self.fills), default=1.0)

    @property
    def emptiest(self) -> float:
        return min((f.ratio for f in self.fills), default=1.0)


def weigh(
    book: ConnectionTable, hosts: Iterable[EndpointSnapshot], sharers: float, by_zone: bool, grouped: bool
) -> list[Balance]:
    """``sharers``: relays among which the clients of one such set of hosts are spread.

    Where crossings of zones are priced, the module keeps to its own zone, and hosts of another zone hold
    less on purpose: hosts are then compared within their zone only.
    """
    sets: dict[str, list[EndpointSnapshot]] = {}
    for host in hosts:
        if host.ready and host.size > 0:
            sets.setdefault(host.zone if by_zone else "", []).append(host)
    return [_weigh_set(book, members, sharers, grouped) for _, members in sorted(sets.items())]


def _weigh_set(
    book: ConnectionTable, hosts: list[EndpointSnapshot], sharers: float, grouped: bool
) -> Balance:
    mean, cost = book.mean, GROUP_COST if grouped else 0.0
    loads = []
    for host in hosts:
        held = book.hosts.get(host.name)
        loads.append(held.load(mean, cost) if held is not None else 0.0)
    total, size = sum(loads), sum(h.size for h in hosts)
    if total <= 0 or len(hosts) < 2:
        return Balance((), 0.0, total)
    dues = [total * h.size / size for h in hosts]
    spread = sum((load - due) ** 2 / due for load, due in zip(loads, dues, strict=True))
    # Each of a host's connections is ours with the chance of one in ``sharers``: the variance of our load
    # there is what one weighs, times what is due, less the part of the fleet that we see whole.
    chance = (len(hosts) - 1) * book.weight_of_one * max(0.0, 1.0 - 1.0 / max(1.0, sharers))
    common = max(0.0, 1.0 - chance / spread) if spread > 0 else 0.0
    # Ours is a part of each host's load itself, and so counts whole; of the others' we expect what is common.
    trust = common + (1.0 - common) / max(1.0, sharers)
    fills = tuple(
        EndpointUtilization(h.name, load, due, 1.0 + trust * (load / due - 1.0), h.available_capacity, h.size)
        for h, load, due in zip(hosts, loads, dues, strict=True)
    )
    return Balance(fills, trust, total)
