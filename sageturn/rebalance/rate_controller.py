"""How fast clients may be moved: one budget, a slow rise while all is well, halved at a sign of harm."""

from __future__ import annotations

from enum import Enum
from math import exp
from random import Random

from sageturn.rebalance.options import RebalanceOptions

START_PART = 8.0  # a pace starts at the top's part of this, also after each stop
RISE_MS, RISE_PART = 5000.0, 16.0  # and rises by this part of the top so often while moved clients do well
HALVE_MS = 5000.0  # a sign that stays halves again so often: what was moved since has to show first
SETTLING_TIME_MS = (
    20000.0  # after a start, and after an outage's last sign: its clients come back over such a time
)
LEAST_PART = 64.0  # a pace under the top's part of this is no pace: it waits until the signs are gone


class OverloadSignal(Enum):
    """What speaks against moving more just now, with the reason why it counts."""

    LATE = "set-ups take longer than their class wants: moved clients would add to them"
    REFUSED = "clients fail fast: who is moved now may stay out"
    RESET = "hosts break standing connections: they are beyond what they can do"
    UNREACHABLE = "calls to hosts fail: where the moved would land is not sure"
    NOT_BACK = "moved clients do not come back: they may not get in"
    PUT_OUT = "a host is put out: the others carry its part"
    LIST_FAILED = "no watch on the list: a drain or a loss would not be heard of"
    DRAINING = "a host drains: its clients come to the others already"
    LOST = "a host left without draining, or started again: its clients come at once"
    REFUSING = "many clients fail fast: an outage"
    BREAKING = "many connections break: an outage"


# No move at all while one of these is seen, and a slow start after it.
STOPS = frozenset(
    {
        OverloadSignal.LIST_FAILED,
        OverloadSignal.DRAINING,
        OverloadSignal.LOST,
        OverloadSignal.REFUSING,
        OverloadSignal.BREAKING,
    }
)


class Fading:
    """A count in which what lies ``tau_ms`` back weighs a third."""

    __slots__ = ("_tau_ms", "_value", "_at_ms")

    def __init__(self, tau_ms: float) -> None:
        self._tau_ms, self._value, self._at_ms = tau_ms, 0.0, 0.0

    def add(self, now_ms: float, by: float = 1.0) -> None:
        self._value, self._at_ms = self.at(now_ms) + by, now_ms

    def at(self, now_ms: float) -> float:
        return self._value * exp(min(0.0, self._at_ms - now_ms) / self._tau_ms)


class MigrationRateController:
    """Moves that may be asked for: over any span of ``t`` seconds at most ``burst`` and ``t`` times the top.

    Moves by others (the module, a drain) are never held back, only counted: they put the planner in debt.
    """

    def __init__(self, options: RebalanceOptions, relay_count: int, rng: Random) -> None:
        self.options = options
        self._relay_count, self._rng = relay_count, rng
        self.rate = 0.0  # moves a second
        self.tokens = 0.0
        self.stopped_until_ms = -1.0  # below 0: not started yet
        self.sign: OverloadSignal | None = None  # the last one seen, until the pace has risen again
        self._at_ms = self._risen_ms = self._halved_ms = 0.0

    def max_rate(self, own: int) -> float:
        """Moves a second at most, of a relay that holds ``own`` connections."""
        top = self.options.part_per_min * own / 60.0
        if self.options.fleet_per_s > 0:
            top = min(top, self.options.fleet_per_s / self._relay_count)
        return top

    def advance(self, now_ms: float, own: int, signs: list[OverloadSignal], doing_well: bool) -> None:
        """To be called at each tick. ``doing_well``: moved clients stand again in time, or none are due."""
        if self.stopped_until_ms < 0:
            self._stop(now_ms)
        top = self.max_rate(own)
        if now_ms >= self.stopped_until_ms:
            since_ms = now_ms - max(self._at_ms, self.stopped_until_ms)
            if not self.rate and not signs:
                # Spread, or relays that an outage has stopped together would start again together.
                self.rate = top / START_PART * (0.5 + 0.5 * self._rng.random())
                self._risen_ms, self.sign = now_ms, None
            self.rate = min(self.rate, top)
            self.tokens = min(float(self.options.burst), self.tokens + self.rate * since_ms / 1000.0)
        self._at_ms = now_ms
        stops = [sign for sign in signs if sign in STOPS]
        if stops:
            self.sign = stops[0]
            self._stop(now_ms)
        elif signs:
            self.sign = signs[0]
            if now_ms >= self._halved_ms + HALVE_MS:
                self._halved_ms = self._risen_ms = now_ms
                self.rate = self.rate / 2.0 if self.rate > top / LEAST_PART else 0.0
                self.tokens = min(self.tokens, self.tokens / 2.0)
        elif doing_well and now_ms >= max(self._risen_ms, self._halved_ms) + RISE_MS:
            self._risen_ms, self.sign = now_ms, None
            self.rate = min(top, self.rate + top / RISE_PART)

    def _stop(self, now_ms: float) -> None:
        self.rate, self.tokens = 0.0, min(0.0, self.tokens)
        self.stopped_until_ms = now_ms + SETTLING_TIME_MS

    def take(self, moves: int) -> bool:
        if self.tokens < moves:
            return False
        self.tokens -= moves
        return True

    def charge(self, moves: int) -> None:
        """Moves that others have made. A debt beyond a burst is not kept: it would outlast its cause."""
        self.tokens = max(-float(self.options.burst), self.tokens - moves)
