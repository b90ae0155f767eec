"""How fast all relays together send to a server that has just started, and which of them each send is for.

Pure: no clock, no I/O. The settings allow such a server N calls in a window of ``fallMs``: ``fallMultiple``
times what fills it over its warm-up, by the part that it can do by then. What goes beyond that is put down to
chance up to ``2 * sqrt(N) + 2``. Only the sum over all relays counts, so it is what is paced here: the budget
is cut into turns of one call, and each turn is one relay's. Relays know the same start, the same settings and
their own numbers, so they agree on whose turn it is and need not talk.

A turn is lost when it has waited too long: else those of all relays would pile up until a burst spends them
in one window. What may be put down to chance pays for the wait, as nothing here is left to chance.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import gcd, sqrt
from random import Random

from sageturn.decision import Settings
from sageturn.decision.quotas import warm_part

UNKNOWN_PER_S = 10.0  # requests at all relays, where the settings name no allowances

GOLDEN = 0.6180339887498949  # multiples of it, less their whole parts, are spread evenly at any number
# Calls by which a window's sum may miss: turns are whole, and estimates of a server's size differ a little.
ROUNDED = 2.0
STEP_MS = 500.0
# Where relays don't know their numbers, chance decides whose turn it is: so many standard deviations of the
# sum fit into the bound. One window in 740 is over it then.
DEVIATIONS = 3.0


def call_bound(budget: float) -> float:
    """Calls in a window that a server bears for sure where the settings allow it ``budget``."""
    return budget + 2.0 * sqrt(budget) + 2.0


@dataclass(slots=True)
class SlowStartState:
    """One start of a server, as one relay counts it. ``told_ms``: its age when the relay heard of it.

    ``rounding``: what rounds the relay's part of what it can hold, from 0 to 1.
    """

    told_ms: float
    rounding: float
    age_ms: float = -1.0  # as of which the turns are counted; below 0 before they are
    turns: float = 0.0  # so far, with their fraction
    used: int = 0  # of these, by a call or by waiting for too long


class SlowStartBudget:
    """One relay's turns at servers that have just started, and its place among the relays."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Without a number among the relays (``settings.index``), or a wrong one, chance stands in for it."""
        self._multiple, self._window_ms = (
            settings.cold_overload_multiple,
            max(1.0, settings.cold_overload_window_ms),
        )
        self._within_ms, self._cold_from = max(1.0, settings.slow_start_ms), settings.initial_capacity_ratio
        self._relays, self._index, self._rng = settings.relay_count, settings.index, rng
        if self._index is not None and self._index >= self._relays:
            self._index = None
        per_s = sum(t.allowance_per_s for t in settings.tenants) or UNKNOWN_PER_S
        gap_ms = 1000.0 * settings.relay_count / per_s  # between two requests at one relay
        # For a turn not to be lost it should wait so long; the longer it waits, the fewer there can be.
        self._wait_ms = sqrt(gap_ms * self._window_ms)
        relays = self._relays
        # Far from one relay to the next, so that any few of them, and those of one zone, are spread as well.
        self._stride = max(1, round(relays * GOLDEN))
        while gcd(self._stride, relays) > 1:
            self._stride += 1

    def rounding(self, mark: int) -> float:
        """From 0 to 1, what rounds this relay's part of something that all share, named by ``mark``.

        Over all relays these are evenly spread, so that the rounded parts add up to the whole. By chance
        alone forty connections of two hundred relays came out as 30 on one server and 50 on the next.
        """
        if self._index is None:
            return self._rng.random()
        return ((self._index * self._stride + mark) % self._relays + 0.5) / self._relays

    def _pace(self, age_ms: float, size: float, sharers: float) -> tuple[float, float]:
        """Turns a millisecond of one relay at that age, and how long one may wait."""
        part = warm_part(age_ms, self._within_ms, self._cold_from)
        budget = self._multiple * max(1.0, size) * part * self._window_ms / self._within_ms
        spread = ROUNDED
        if self._index is None:
            spread += DEVIATIONS * sqrt(min(budget, sharers / 4.0))
        calls = max(1.0, call_bound(budget) - spread)
        # The bound's room beyond the budget first pays for the wait, and only then for a faster pace.
        wait_ms = min(self._wait_ms, max(0.25, calls / budget - 1.0) * self._window_ms)
        return calls / (self._window_ms + wait_ms) / max(1.0, sharers), wait_ms

    def _count(self, start: SlowStartState, age_ms: float, size: float, sharers: float) -> None:
        """Turns up to that age, in small steps as the pace rises: who asks seldom counts like others."""
        while start.age_ms < age_ms:
            step_ms = min(STEP_MS, age_ms - start.age_ms)
            start.turns += self._pace(start.age_ms + step_ms / 2.0, size, sharers)[0] * step_ms
            start.age_ms += step_ms

    def due(self, start: SlowStartState, age_ms: float, size: float, sharers: float) -> bool:
        """Whether a turn of ours is waiting. ``size``: connections that the server holds once it is warm.

        ``sharers``: relays among which the turns are shared. Where a server can hold fewer connections than
        there are relays, turns of those that may not place one there would be lost to all.
        """
        if start.age_ms < 0.0:
            # Those that round up first, and so may place one first, are spread over a turn's time as well.
            by_number = (1.0 - start.rounding) * self._relays * GOLDEN % 1.0
            start.turns = start.rounding if self._index is None else by_number
            start.age_ms = 0.0
            self._count(start, max(0.0, start.told_ms), size, sharers)
            start.used = int(start.turns)  # what came before it was told may be used by one that was stopped
        self._count(start, age_ms, size, sharers)
        pace, wait_ms = self._pace(age_ms, size, sharers)
        start.used = max(start.used, int(start.turns - pace * wait_ms))
        return int(start.turns) > start.used

    def use(self, start: SlowStartState) -> None:
        """A call was sent, by a turn that ``due`` found."""
        start.used += 1
