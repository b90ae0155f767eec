"""A planned stop: answer everything, move everyone, and be gone before the last signal comes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Protocol

from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.decision import RequestClass

log = logging.getLogger(__name__)

ACCEPT_S = 0.6  # new connections keep coming for 0.2 to 0.4 s after the signal
MOVE_FROM_S = 0.45
# The last signal comes no sooner than so long after the longest deadline, which counts as 3 s at the most.
LAST_SIGNAL_S, DEADLINE_MOST_S = 0.7, 3.0
EARLY_S = 0.3  # everything has ended so long before it,
STEP_S = 0.05
HURRY_S = 0.5  # and whoever is left is answered and moved at once so long before that
MOVE_PART = 0.735  # of the time until then clients are moved: moved ones may need a second try elsewhere


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds after the signal. Clients are moved evenly over ``over_s``, not to come again all at once."""

    move_from_s: float
    over_s: float
    hurry_at_s: float
    leave_at_s: float


def shutdown_schedule(classes: Iterable[RequestClass]) -> ShutdownSchedule:
    """As long as the deadlines of all classes allow, and no longer; 3 s where one of them is not told."""
    deadline_s = max((c.give_up_ms or DEADLINE_MOST_S * 1000.0 for c in classes), default=0.0) / 1000.0
    leave_s = min(deadline_s, DEADLINE_MOST_S) + LAST_SIGNAL_S - EARLY_S
    hurry_s = max(leave_s - HURRY_S, leave_s / 2.0)
    from_s = min(MOVE_FROM_S, hurry_s / 2.0)
    return ShutdownSchedule(from_s, (hurry_s - from_s) * MOVE_PART, hurry_s, leave_s)


class EvenPacer:
    """How many of those left are due at each step. Parts of one are carried over, not rounded up:
    with one at each step at the least, a few connections were gone in a fifth of the time that there is.
    """

    def __init__(self) -> None:
        self._due = 0.0

    def due(self, count: int, steps_left: float) -> int:
        self._due += count / steps_left
        whole = count if steps_left <= 1.0 else min(count, int(self._due + 1e-9))
        self._due -= whole
        return whole


class IngressListener(Protocol):
    """Where clients come in, and are before they have asked for anything."""

    def awaiting_request(self) -> int:
        """How many have come that have not asked yet."""

    def shut(self) -> None:
        """Take whoever has come, and nobody more; who has not asked by now is answered at once."""

    async def finish(self, patience_s: float) -> None:
        """Returns once nobody is left inside, or after so long."""


class RequestRegistry:
    """All requests that the relay has, on every front."""

    def __init__(self, times: ShutdownSchedule) -> None:
        self.schedule = times
        self._request_registry: set[RequestLifecycle] = set()
        self.is_draining = self.is_drain_forced = False

    def __len__(self) -> int:
        return len(self._request_registry)

    def __iter__(self) -> Iterator[RequestLifecycle]:
        return iter(self._request_registry)

    def add(self, lifecycle: RequestLifecycle) -> None:
        self._request_registry.add(lifecycle)
        if self.is_drain_forced:  # it came in the last moment: it is answered, but not placed any more
            lifecycle.begin_drain()
            lifecycle.force_drain()

    def remove(self, lifecycle: RequestLifecycle) -> None:
        self._request_registry.discard(lifecycle)

    async def drain(self, doors: IngressListener) -> None:
        """Returns once nothing is left, or when it is high time to go."""
        self.is_draining = True
        times = self.schedule
        loop = asyncio.get_running_loop()
        began, pace = loop.time(), EvenPacer()
        await asyncio.sleep(times.move_from_s)
        while loop.time() - began < times.hurry_at_s:
            standing = [
                lifecycle
                for lifecycle in self._request_registry
                if lifecycle.is_established and not lifecycle.drain_requested.is_set()
            ]
            steps_left = max(1.0, (times.move_from_s + times.over_s - (loop.time() - began)) / STEP_S)
            for lifecycle in standing[: pace.due(len(standing), steps_left)]:
                lifecycle.begin_drain()
            await asyncio.sleep(STEP_S)
            if not self._request_registry and not doors.awaiting_request() and loop.time() - began > ACCEPT_S:
                break
        # Whoever has been taken is answered, also who came in this instant; nobody is taken from here on.
        self.is_drain_forced = True
        doors.shut()
        for lifecycle in list(self._request_registry):
            lifecycle.begin_drain()
            lifecycle.force_drain()
        await doors.finish(max(0.1, began + times.leave_at_s - loop.time()))
        if self._request_registry:
            log.error("%d connections were still held at the end", len(self._request_registry))
