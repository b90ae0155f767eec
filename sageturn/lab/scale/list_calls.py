"""Simulation of all relays calling discovery for the endpoint list at once, with the relay's own backoff."""

from __future__ import annotations

import heapq
from enum import Enum, auto
from random import Random
from typing import NamedTuple

from msgspec import Struct

from sageturn.decision import DiscoveryFailure
from sageturn.decision.discovery_backoff import DiscoveryBackoff
from sageturn.lab.scale.units import MS_PER_S

DISCOVERY_CALL_TIMEOUT_MS = 3000.0
POLL_INTERVAL_MS = 10_000.0


class _EventKind(Enum):
    """Kind of a queued event."""

    CALL = auto()
    ANSWER = auto()
    FAILURE = auto()


class _Event(NamedTuple):
    """A queued event. ``order`` is unique and breaks ties between events that are due at the same time."""

    due_ms: float
    order: int
    kind: _EventKind
    relay: int
    call: int


class _DiscoverySimulation:
    """Event simulation of relays that call a discovery service.

    Discovery serves one call after another, including calls that the relay has already abandoned.
    """

    def __init__(self, relay_count: int, service_ms: float, seed: int) -> None:
        self._service_ms = service_ms
        self.backoffs = [
            DiscoveryBackoff(relay_count, POLL_INTERVAL_MS, Random(seed * 10_000 + relay))
            for relay in range(relay_count)
        ]
        self._events: list[_Event] = []
        self._event_count = 0
        self._busy_until_ms = 0.0  # time at which discovery has served all calls so far
        self._finished_calls: set[int] = set()
        self.call_times_ms: list[float] = []
        self.listed_ms: dict[int, float] = {}  # time at which each relay received the list
        self.failed_calls = 0

    def schedule_call(self, due_ms: float, relay: int) -> None:
        """Schedule a relay's call for the list."""
        self._schedule(due_ms, _EventKind.CALL, relay, 0)

    def run(self) -> None:
        """Process events until every relay has the list."""
        while self._events and len(self.listed_ms) < len(self.backoffs):
            event = heapq.heappop(self._events)
            if event.kind is _EventKind.CALL:
                self._on_call(event)
            elif event.call not in self._finished_calls:
                self._finished_calls.add(event.call)
                self._on_call_finished(event)

    def _schedule(self, due_ms: float, kind: _EventKind, relay: int, call: int) -> None:
        self._event_count += 1
        heapq.heappush(self._events, _Event(due_ms, self._event_count, kind, relay, call))

    def _on_call(self, event: _Event) -> None:
        self.call_times_ms.append(event.due_ms)
        call = len(self.call_times_ms)
        self._busy_until_ms = max(self._busy_until_ms, event.due_ms) + self._service_ms
        self._schedule(event.due_ms + DISCOVERY_CALL_TIMEOUT_MS, _EventKind.FAILURE, event.relay, call)
        self._schedule(self._busy_until_ms, _EventKind.ANSWER, event.relay, call)

    def _on_call_finished(self, event: _Event) -> None:
        backoff = self.backoffs[event.relay]
        if event.kind is _EventKind.ANSWER:
            self.listed_ms[event.relay] = event.due_ms
            backoff.on_success()
            return
        self.failed_calls += 1
        delay_ms = backoff.retry_delay_ms(event.due_ms, DiscoveryFailure.OVERLOADED)
        self.schedule_call(event.due_ms + delay_ms, event.relay)


class ListCallTimes(Struct, frozen=True):
    """Simulated times until relays had the list, and counts of calls; the fields are keys of a cost line."""

    p50_s: float
    p99_s: float
    last_s: float
    calls: int
    failed: int
    busiest_s: int  # largest number of calls within one second


def list_calls(relay_count: int, service_ms: float, lost: bool, seed: int) -> ListCallTimes:
    """Simulate all relays calling for the list at once, after losing their watches (``lost``) or at start."""
    simulation = _DiscoverySimulation(relay_count, service_ms, seed)
    for relay, backoff in enumerate(simulation.backoffs):
        delay_ms = (
            backoff.retry_delay_ms(0.0, DiscoveryFailure.SILENT) if lost else backoff.first_call_delay_ms()
        )
        simulation.schedule_call(delay_ms, relay)
    simulation.run()
    times_ms = sorted(simulation.listed_ms.values())
    calls_ms = simulation.call_times_ms
    busiest = max(
        sum(since_ms <= call_ms < since_ms + MS_PER_S for call_ms in calls_ms)
        for since_ms in calls_ms[:relay_count]
    )
    return ListCallTimes(
        p50_s=times_ms[(len(times_ms) - 1) // 2] / MS_PER_S,
        p99_s=times_ms[int(0.99 * (len(times_ms) - 1))] / MS_PER_S,
        last_s=times_ms[-1] / MS_PER_S,
        calls=len(calls_ms),
        failed=simulation.failed_calls,
        busiest_s=busiest,
    )
