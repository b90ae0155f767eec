"""All requests that the relay has, and their graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import Protocol

from sageturn.core.even_pacer import EvenPacer
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.shutdown_schedule import ShutdownSchedule

log = logging.getLogger(__name__)

ACCEPT_S = 0.6  # new connections keep coming for 0.2 to 0.4 s after the signal
STEP_S = 0.05


class Ingress(Protocol):
    """Where clients come in, and are before they have asked for anything."""

    def pending_connections(self) -> int:
        """How many have come that have not asked yet."""

    def stop_accepting(self) -> None:
        """Take whoever has come, and nobody more; who has not asked by now is answered at once."""

    async def wait_closed(self, timeout_s: float) -> None:
        """Returns once nobody is left inside, or after so long."""


class RequestRegistry:
    """All requests that the relay has, on every front."""

    def __init__(self, times: ShutdownSchedule) -> None:
        self.schedule = times
        self._requests: set[RequestLifecycle] = set()
        self.is_draining = self.is_drain_forced = False

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[RequestLifecycle]:
        return iter(self._requests)

    def add(self, lifecycle: RequestLifecycle) -> None:
        self._requests.add(lifecycle)
        if self.is_drain_forced:  # it came in the last moment: it is answered, but not placed any more
            lifecycle.begin_drain()
            lifecycle.force_drain()

    def remove(self, lifecycle: RequestLifecycle) -> None:
        self._requests.discard(lifecycle)

    async def drain(self, ingress: Ingress) -> None:
        """Returns once nothing is left, or when it is high time to go."""
        self.is_draining = True
        times = self.schedule
        loop = asyncio.get_running_loop()
        began, pace = loop.time(), EvenPacer()
        await asyncio.sleep(times.move_from_s)
        while loop.time() - began < times.hurry_at_s:
            standing = [
                lifecycle
                for lifecycle in self._requests
                if lifecycle.is_established and not lifecycle.drain_requested.is_set()
            ]
            steps_left = max(1.0, (times.move_from_s + times.over_s - (loop.time() - began)) / STEP_S)
            for lifecycle in standing[: pace.due(len(standing), steps_left)]:
                lifecycle.begin_drain()
            await asyncio.sleep(STEP_S)
            if not self._requests and not ingress.pending_connections() and loop.time() - began > ACCEPT_S:
                break
        # Whoever has been taken is answered, also who came in this instant; nobody is taken from here on.
        self.is_drain_forced = True
        ingress.stop_accepting()
        for lifecycle in list(self._requests):
            lifecycle.begin_drain()
            lifecycle.force_drain()
        await ingress.wait_closed(max(0.1, began + times.leave_at_s - loop.time()))
        if self._requests:
            log.error("%d connections were still held at the end", len(self._requests))
