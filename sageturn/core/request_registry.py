"""The registry of all requests of the relay, and the graceful shutdown that drains them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import Protocol

from sageturn.core.even_pacer import EvenPacer
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.shutdown_schedule import ShutdownSchedule
from sageturn.core.tasks import wait_for_event

log = logging.getLogger(__name__)

ACCEPT_AFTER_SIGNAL_S = 0.6  # new connections keep arriving for 0.2 to 0.4 s after the signal
DRAIN_STEP_S = 0.05  # interval between two steps of the migration
MIN_CLOSE_TIMEOUT_S = 0.1  # minimum time for connections to close, even if the schedule leaves less


class Ingress(Protocol):
    """The relay's listeners, and the accepted connections that have sent no request yet."""

    def pending_connections(self) -> int:
        """Return how many accepted connections have sent no request yet."""

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog and no further ones; answer pending connections at once."""

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait until all connections are closed, but no longer than ``timeout_s`` seconds."""


class RequestRegistry:
    """Registry of the requests of all frontends, which are drained in a graceful shutdown."""

    def __init__(self, schedule: ShutdownSchedule) -> None:
        self.schedule = schedule
        self.is_draining = False
        self.is_drain_forced = False
        self._requests: set[RequestLifecycle] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[RequestLifecycle]:
        return iter(self._requests)

    def add(self, lifecycle: RequestLifecycle) -> None:
        """Add a request at its start; called by ``RelayContext``."""
        self._requests.add(lifecycle)
        if self.is_drain_forced:  # a request that arrives this late is answered but not placed
            lifecycle.begin_drain()
            lifecycle.force_drain()

    def remove(self, lifecycle: RequestLifecycle) -> None:
        """Remove a request that has ended."""
        self._requests.discard(lifecycle)

    async def drain(self, ingress: Ingress, component_failed: asyncio.Event | None = None) -> None:
        """Shut down gracefully. Return once no request is left, or when the schedule's time is over.

        Args:
            ingress: the relay's listeners, closed when the drain is forced.
            component_failed: set once a component of the relay has failed, before or during the drain. No
                request may be placed then: the drain is forced at once, which answers all waiting requests
                and migrates all established connections together. None if no component can fail.
        """
        component_failed = component_failed or asyncio.Event()
        self.is_draining = True
        log.info("graceful shutdown began requests=%d", len(self._requests))
        schedule = self.schedule
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await wait_for_event(component_failed, schedule.migration_start_s)
        await self._migrate_established(ingress, schedule, started_s, component_failed)
        self._force_drain(ingress)
        deadline_s = started_s + schedule.exit_at_s
        await ingress.wait_closed(max(MIN_CLOSE_TIMEOUT_S, deadline_s - loop.time()))
        if self._requests:
            log.error("graceful shutdown incomplete connections=%d", len(self._requests))

    async def _migrate_established(
        self, ingress: Ingress, schedule: ShutdownSchedule, started_s: float, component_failed: asyncio.Event
    ) -> None:
        """Migrate established connections, evenly over the time that the schedule allows.

        Return early if no request is left, or once ``component_failed`` is set.
        """
        loop = asyncio.get_running_loop()
        pacer = EvenPacer()
        migration_end_s = schedule.migration_start_s + schedule.migration_duration_s
        while loop.time() - started_s < schedule.forced_drain_at_s and not component_failed.is_set():
            established = self._list_established_undrained()
            steps_left = max(1.0, (migration_end_s - (loop.time() - started_s)) / DRAIN_STEP_S)
            for lifecycle in established[: pacer.take_due_count(len(established), steps_left)]:
                lifecycle.begin_drain()
            await wait_for_event(component_failed, DRAIN_STEP_S)
            is_empty = not self._requests and not ingress.pending_connections()
            if is_empty and loop.time() - started_s > ACCEPT_AFTER_SIGNAL_S:
                break

    def _list_established_undrained(self) -> list[RequestLifecycle]:
        return [
            lifecycle
            for lifecycle in self._requests
            if lifecycle.is_established and not lifecycle.drain_requested.is_set()
        ]

    def _force_drain(self, ingress: Ingress) -> None:
        """Answer all accepted clients, including the latest ones, and accept no further connections."""
        self.is_drain_forced = True
        log.info(
            "graceful shutdown forced requests=%d pending=%d",
            len(self._requests),
            ingress.pending_connections(),
        )
        ingress.stop_accepting()
        for lifecycle in list(self._requests):
            lifecycle.begin_drain()
            lifecycle.force_drain()
