"""How hosts come back once an override has ended: no faster than a cold one.

A host that was out of service is shown to the module as one that has just started, so that its cold budget
and its warm-up hold. One whose weight was low gets it back as evenly as a cold host gets its capacity.
"""

from __future__ import annotations

from dataclasses import replace

from sageturn.decision import Endpoint
from sageturn.overrides.resolve import Effect

STEPS = 24  # in which a weight comes back: about a second each


class RecoveryRamps:
    """``initial_capacity_ratio`` and ``slow_start_ms`` are those of the settings."""

    def __init__(self, initial_capacity_ratio: float, slow_start_ms: float) -> None:
        self._warm_ms = max(1.0, slow_start_ms)
        self._per_ms = (1.0 - initial_capacity_ratio) / self._warm_ms
        self._back_ms: dict[str, float] = {}  # hosts that were out, and when they came back
        self._rising: dict[str, tuple[float, float, float]] = {}  # from which factor, as of when, to which

    def turn(self, host: str, old: Effect, new: Effect, now_ms: float) -> None:
        """The effect on a host has changed."""
        if old.out and not new.out:
            self._back_ms[host] = now_ms
        elif new.out:
            self._back_ms.pop(host, None)
        has = self.factor(host, old, now_ms)
        if new.factor > has and not old.out:
            self._rising[host] = (has, now_ms, new.factor)
        else:
            self._rising.pop(host, None)

    def forget(self, host: str) -> None:
        """It has left the list, or started anew: it is cold by itself when it returns."""
        self._back_ms.pop(host, None)
        self._rising.pop(host, None)

    def factor(self, host: str, effect: Effect, now_ms: float) -> float:
        rising = self._rising.get(host)
        if rising is None:
            return effect.factor
        start, since_ms, to = rising
        return min(to, start + max(0.0, now_ms - since_ms) * self._per_ms)

    def line(self, endpoint: Endpoint, effect: Effect, now_ms: float) -> Endpoint:
        """The host as the module is to see it. What the list says of a drain or a loss always stands."""
        state = "draining" if effect.out and endpoint.state == "ready" else endpoint.state
        back_ms = self._back_ms.get(endpoint.name, 0.0)
        if back_ms and now_ms >= back_ms + self._warm_ms:
            del self._back_ms[endpoint.name]
            back_ms = 0.0
        started_ms = max(endpoint.started_at_ms, back_ms)
        factor = self.factor(endpoint.name, effect, now_ms)
        return replace(endpoint, state=state, started_at_ms=started_ms, factor=factor)

    def rising(self, now_ms: float) -> list[str]:
        """Hosts whose weight comes back; those that have it wholly are named for the last time."""
        names = list(self._rising)
        for name in names:
            start, since_ms, to = self._rising[name]
            if start + (now_ms - since_ms) * self._per_ms >= to:
                del self._rising[name]
        return names

    def next_ms(self, now_ms: float) -> float | None:
        return now_ms + self._warm_ms / STEPS if self._rising else None
