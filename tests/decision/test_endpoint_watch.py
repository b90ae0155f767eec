"""Calls to discovery keep to their backoff, whatever else starts or fails a watch in the meantime."""

from __future__ import annotations

import heapq
from itertools import pairwise

from sageturn.decision import (
    Action,
    DiscoveryFailure,
    EndpointListEvent,
    RequestClass,
    SetTimer,
    Settings,
    TimerFired,
    WatchEndpoints,
)
from sageturn.decision.balancer import Balancer
from sageturn.decision.endpoint_watch import TIMER_TAG

DOWN = EndpointListEvent("failed", [], DiscoveryFailure.UNREACHED)
DURATION_MS = 120_000.0


class DownDiscovery:
    """Balancer whose every call to discovery fails at once."""

    def __init__(self) -> None:
        settings = Settings(classes=(RequestClass("c", 500),), discovery="ask", relay_count=40)
        self.calls_ms: list[float] = []
        self.timers: list[float] = []
        self._balancer = Balancer(settings, 1)

    def handle(self, now_ms: float, event: EndpointListEvent | TimerFired) -> None:
        self._follow(now_ms, self._balancer.handle(now_ms, event))

    def _follow(self, now_ms: float, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer) and action.tag == TIMER_TAG:
                heapq.heappush(self.timers, now_ms + action.delay_ms)
            elif isinstance(action, WatchEndpoints):
                self.calls_ms.append(now_ms)
                self.handle(now_ms, DOWN)


def calls_while_down(reloads: int) -> list[float]:
    """Return the times of calls to discovery, whose address changes ``reloads`` times while it is down."""
    discovery = DownDiscovery()
    discovery.handle(0.0, EndpointListEvent("stale", []))
    reload_ms = [1000.0 * number for number in range(1, reloads + 1)]
    while discovery.timers[0] < DURATION_MS:
        if reload_ms and reload_ms[0] <= discovery.timers[0]:
            discovery.handle(reload_ms.pop(0), DOWN)  # a reload makes its own call, which fails
        else:
            discovery.handle(heapq.heappop(discovery.timers), TimerFired(TIMER_TAG))
    return discovery.calls_ms


def test_reloads_while_discovery_is_down_do_not_multiply_the_calls() -> None:
    # Each reload left another timer, which was set anew for as long as discovery was down: ten reloads caused
    # ten times the calls.
    usual = len(calls_while_down(reloads=0))
    assert usual > 40
    assert len(calls_while_down(reloads=10)) <= 1.3 * usual


def test_no_call_comes_later_than_its_backoff_allows() -> None:
    for reloads in (0, 1, 10):
        calls_ms = calls_while_down(reloads)
        pauses_ms = [later - sooner for sooner, later in pairwise(calls_ms)]
        assert max(pauses_ms) <= 2800.0 + 1000.0 * (reloads > 0)
