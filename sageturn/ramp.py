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

from sageturn.shares import warm_part

GOLDEN = 0.6180339887498949  # multiples of it, less their whole parts, are spread evenly however many there are
# Calls by which a window's sum may miss: turns are whole, and two estimates of a server's size differ a little.
ROUNDED = 2.0
# Where relays don't know their numbers, chance decides whose turn it is: so many standard deviations of the
# sum fit into the bound. One window in 740 is over it then.
DEVIATIONS = 3.0


def call_bound(budget: float) -> float:
    """Calls in a window that a server bears for sure where the settings allow it ``budget``."""
    return budget + 2.0 * sqrt(budget) + 2.0


@dataclass(slots=True)
class ColdStart:
    """One start of a server, as one relay counts it: turns so far, with their fraction, and the last used."""

    turns: float
    age_ms: float
    used: int = 0


class Ramp:
    """One relay's turns at servers that have just started, and its place among the relays."""

    def __init__(
        self,
        multiple: float,
        window_ms: float,
        within_ms: float,
        cold_from: float,
        relays: int,
        index: int | None,
        gap_ms: float,
        rng: Random,
    ) -> None:
        """The first four are the settings'. ``index``: the relay's number among all, None where not told.

        ``gap_ms``: mean time between two requests at one relay.
        """
        self._multiple, self._window_ms = multiple, max(1.0, window_ms)
        self._within_ms, self._cold_from = max(1.0, within_ms), cold_from
        self._relays, self._index, self._rng = relays, index, rng
        self._wait_ms = sqrt(gap_ms * self._window_ms)  # balances turns lost against fewer turns
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

    def started(self, age_ms: float, rounding: float, size: float, sharers: float) -> ColdStart:
        """A server was listed ``age_ms`` after its start. ``sharers``: see ``due``."""
        # Those that round up first, and so may place one first, are spread over a turn's time as well.
        phase = (1.0 - rounding) * self._relays * GOLDEN % 1.0 if self._index is not None else rounding
        pace, wait_ms = self._pace(age_ms, size, sharers)
        turns = phase + max(0.0, age_ms) * pace
        return ColdStart(turns, age_ms, int(max(0.0, turns - wait_ms * pace)))

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

    def due(self, start: ColdStart, age_ms: float, size: float, sharers: float) -> bool:
        """Whether a turn of ours is waiting. ``size``: connections that the server holds once it is warm.

        ``sharers``: relays among which the turns are shared. Where a server can hold fewer connections than
        there are relays, turns of those that may not place one there would be lost to all.
        """
        pace, wait_ms = self._pace(age_ms, size, sharers)
        start.turns += pace * max(0.0, age_ms - start.age_ms)
        start.age_ms = age_ms
        start.used = max(start.used, int(start.turns - pace * wait_ms))
        return int(start.turns) > start.used

    def use(self, start: ColdStart) -> None:
        """A call was sent, by a turn that ``due`` found."""
        start.used += 1
