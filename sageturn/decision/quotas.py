"""One relay's part of what all relays may ask of a fleet: set-ups and connections.

Pure: no clock, no I/O; chance is passed in. What a relay allows itself here, times the number of relays,
stays inside what the session store and the servers bear, whatever the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp
from random import Random

# Set-ups that all relays together have out at once, in seconds of the tenants' allowances: the store that
# they share is behind every one of them, and a relay sees too few of its own to learn what it bears.
SHARED_S = 3.0
WINDOW_LEAST = 0.25  # below one, a window makes the time between two set-ups longer by its inverse,
PAUSE_MOST_MS = 1500.0  # up to this
BUSY_MS = 100.0  # how long until a set-up that is out is likely to have ended

# Of the connections that the quotas stand for, a server is given this part at the most: past it all its
# clients' messages are late. Kinds of machine differ by half in speed, which no list says.
QUOTA_PART = 0.68
# With few relays one sees for itself what a server holds, and is sent more than an even part of the clients:
# so much of the quotas more, over the square of the number of relays. Nothing binds at 6, and little is left
# of it at 20.
QUOTA_FEW = 32.0
QUOTA_OVER, QUOTA_LOOSE = 1.1, 2.0  # times the share of a server's part, and so many over all relays


class SetupWindow:
    """How many set-ups a relay may have out. Grows by one with each in time, halves with each late one."""

    def __init__(self, per_s: float, relays: int, settle_ms: float, rng: Random) -> None:
        """``per_s``: set-ups a second that all relays expect; one that takes over ``settle_ms`` is late."""
        self.top = max(1.0, per_s * SHARED_S / relays)
        self.size, self.out, self.until_ms = self.top, 0, 0.0
        self._settle_ms, self._rng = settle_ms, rng

    def ended(self, now_ms: float, took_ms: float, served: bool) -> None:
        late = took_ms > self._settle_ms
        if served and not late:
            self.size = min(self.top, self.size + 1.0)
        elif late:
            self.size = max(WINDOW_LEAST, self.size / 2.0)
        if self.size < 1.0:
            pause = min(PAUSE_MOST_MS, took_ms * (1.0 / self.size - 1.0))
            self.until_ms = now_ms + pause * (0.75 + 0.5 * self._rng.random())

    def wait_ms(self, now_ms: float) -> float:
        """0 when another may start, else after how long to ask again."""
        if now_ms < self.until_ms:
            return self.until_ms - now_ms
        return BUSY_MS if self.out >= max(1.0, self.size) else 0.0


@dataclass(slots=True)
class EndpointCapacity:
    """A server as the shares see it: what it can do now, and its zone, against the others."""

    zone: str
    size: float
    nominal: float


@dataclass(slots=True)
class QuotaBound:
    """Connections that one relay may hold at a server, not rounded.

    ``sharers``: relays that may hold one there at all, once each has rounded its own.
    """

    most: float
    sharers: float


def quota_bounds(
    places: Iterable[EndpointCapacity],
    zones: Iterable[str],
    own_zone: str | None,
    per_server: float,
    relays: int,
) -> tuple[float, list[QuotaBound]]:
    """Connections that one relay may hold in all, and at each place. None is rounded.

    ``zones``: all from which clients come. ``per_server``: what the quotas stand for at a mean server. A
    zone's servers are first for its own relays; what it has beyond an even part goes to those whose zone has
    less. ``own_zone`` is None where crossing zones costs nothing: then all are shared evenly.
    """
    places = list(places)
    sums = dict.fromkeys(zones, 0.0)
    for p in places:
        sums[p.zone] = sums.get(p.zone, 0.0) + p.size
    total = sum(sums.values()) or 1.0
    nominal = sum(p.nominal for p in places) / max(1, len(places)) or 1.0
    even, full, few = total / max(1, len(sums)), per_server / relays, QUOTA_FEW / relays**2
    whole = QUOTA_PART * full * total / nominal
    lacking = {zone: max(0.0, 1.0 - here / even) for zone, here in sums.items()}
    beyond = sum(max(0.0, s - even) for s in sums.values()) or 1.0
    loose, each_zone = few * full + QUOTA_LOOSE / relays, relays / max(1, len(sums))
    bounds = []
    for p in places:
        if own_zone is None:
            most = QUOTA_OVER * p.size / total * whole + loose
            bounds.append(QuotaBound(most, relays * min(1.0, most)))
            continue
        here = sums[p.zone]
        own = QUOTA_OVER * p.size / max(here, even) * whole + loose
        spare = QUOTA_OVER * max(0.0, here - even) / beyond * p.size / (here or 1.0) * whole
        most = own if p.zone == own_zone else lacking.get(own_zone, 1.0) * spare + loose
        others = sum(min(1.0, lack * spare + loose) for zone, lack in lacking.items() if zone != p.zone)
        bounds.append(QuotaBound(most, each_zone * (min(1.0, own) + others)))
    return whole + few * full * len(places), bounds


SPREAD = 0.12  # variance of servers' shares of all connections against even ones: a few of ours tell little


def count_trust(even: float) -> float:
    """How far a relay's count there tells of the others': half where it is due eight, little where one."""
    return SPREAD * even / (1.0 + SPREAD * even)


KIND_DOUBT = 8.0  # set-ups of one kind of machine as if seen at the mean of all, before its own count


class MachineKindSpeeds:
    """A list may call a fast and a slow kind of machine the same size; set-ups tell them apart."""

    def __init__(self) -> None:
        self.of: dict[str, float] = {}  # by kind, against the mean
        # By kind, and under "" for all: sum of the logs of set-up times, and their count.
        self._seen: dict[str, list[float]] = {"": [0.0, 0.0]}

    def learn(self, kind: str, took: float) -> None:
        """``took``: the log of a set-up's time."""
        both = self._seen[""], self._seen.setdefault(kind, [0.0, 0.0])
        for seen in both:
            seen[0] += took
            seen[1] += 1.0
        mean = both[0][0] / both[0][1]
        self.of[kind] = exp(mean - (both[1][0] + KIND_DOUBT * mean) / (both[1][1] + KIND_DOUBT))


def warm_part(age_ms: float, within_ms: float, initial_capacity_ratio: float) -> float:
    """Part of its size that a server can do so long after its start: it gets there evenly."""
    return (
        1.0
        if age_ms >= within_ms
        else initial_capacity_ratio + (1.0 - initial_capacity_ratio) * max(0.0, age_ms) / within_ms
    )
