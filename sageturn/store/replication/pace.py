"""How much, and how often: a budget of octets, and waits that grow."""

from __future__ import annotations

from random import Random


class Budget:
    """A token bucket of octets (RFC 2697 has the idea), shared by all links of a member.

    What is urgent may overdraw it by ``debt``, and what is not urgent then waits until that is paid. Over
    any span of t seconds at most ``rate * t + burst + debt`` octets are taken, and one part.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate  # octets a second
        self.burst = rate
        self.debt = 4.0 * rate  # what is in force late was not urgent: 4 s of the budget
        self._left = self.burst
        self._at = now
        self.taken = 0

    def left(self, now: float, urgent: bool = False) -> float:
        self._left = min(self.burst, self._left + (now - self._at) * self.rate)
        self._at = now
        return self._left + self.debt if urgent else self._left

    def take(self, now: float, octets: int) -> None:
        self.left(now)
        self._left -= octets
        self.taken += octets

    def when(self, now: float, octets: float, urgent: bool = False) -> float:
        """The time at which so many are left; ``octets`` must not be more than the burst."""
        return now + max(0.0, octets - self.left(now, urgent)) / self.rate


class Backoff:
    """Waits that double, each drawn from its upper half so that many who wait do not come at once."""

    def __init__(self, least: float, most: float, rng: Random) -> None:
        self._least, self._most, self._rng = least, most, rng
        self._next = least

    def reset(self) -> None:
        self._next = self._least

    def draw(self) -> float:
        wait = self._next * (0.5 + 0.5 * self._rng.random())
        self._next = min(self._most, self._next * 2.0)
        return wait
