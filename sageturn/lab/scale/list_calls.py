"""Calls of all relays for the endpoint list at once, in simulated time, with the program's own backoff."""

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
    """The kind of an event of the queue."""

    CALL = auto()
    ANSWER = auto()
    FAILURE = auto()


class _Event(NamedTuple):
    """``order`` is unique, and decides between events that are due at the same time."""

    due_ms: float
    order: int
    kind: _EventKind
    relay: int
    call: int


class _DiscoveryLoad:
    """Discovery works on one call after another, also on those that have given up."""

    def __init__(self, relay_count: int, service_ms: float, seed: int) -> None:
        self._service_ms = service_ms
        self.backoffs = [
            DiscoveryBackoff(relay_count, POLL_INTERVAL_MS, Random(seed * 10_000 + relay))
            for relay in range(relay_count)
        ]
        self._events: list[_Event] = []
        self._event_count = 0
        self._free_ms = 0.0  # when discovery has worked off all calls so far
        self._finished_calls: set[int] = set()
        self.call_times_ms: list[float] = []
        self.listed_ms: dict[int, float] = {}  # by relay
        self.failed_calls = 0

    def schedule_call(self, due_ms: float, relay: int) -> None:
        """Schedules a relay's call for the list."""
        self._schedule(due_ms, _EventKind.CALL, relay, 0)

    def run(self) -> None:
        """Runs the queue until every relay has the list."""
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
        self._free_ms = max(self._free_ms, event.due_ms) + self._service_ms
        self._schedule(event.due_ms + DISCOVERY_CALL_TIMEOUT_MS, _EventKind.FAILURE, event.relay, call)
        self._schedule(self._free_ms, _EventKind.ANSWER, event.relay, call)

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
    """The simulated time until relays had the list, and counts of calls; the fields are a cost line's."""

    p50_s: float
    p99_s: float
    last_s: float
    calls: int
    failed: int
    busiest_s: int  # maximum number of calls within a second


def list_calls(relay_count: int, service_ms: float, lost: bool, seed: int) -> ListCallTimes:
    """Has all relays call for the list at once, after their watches broke (``lost``) or after their start."""
    load = _DiscoveryLoad(relay_count, service_ms, seed)
    for relay, backoff in enumerate(load.backoffs):
        delay_ms = (
            backoff.retry_delay_ms(0.0, DiscoveryFailure.SILENT) if lost else backoff.first_call_delay_ms()
        )
        load.schedule_call(delay_ms, relay)
    load.run()
    times_ms = sorted(load.listed_ms.values())
    calls_ms = load.call_times_ms
    busiest = max(
        sum(since_ms <= call_ms < since_ms + MS_PER_S for call_ms in calls_ms)
        for since_ms in calls_ms[:relay_count]
    )
    return ListCallTimes(
        p50_s=times_ms[(len(times_ms) - 1) // 2] / MS_PER_S,
        p99_s=times_ms[int(0.99 * (len(times_ms) - 1))] / MS_PER_S,
        last_s=times_ms[-1] / MS_PER_S,
        calls=len(calls_ms),
        failed=load.failed_calls,
        busiest_s=busiest,
    )
