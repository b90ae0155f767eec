"""Means of tests that run a whole relay: a time limit, polling, and whether anything is left behind."""

from __future__ import annotations

import pytest

from sageturn.core.balancer_actor import BalancerActor
from sageturn.decision import Action, Event
from sageturn.relay import Relay


def is_balancer_idle(balancer_actor: BalancerActor) -> bool:
    """No request is known to the balancer, and nothing is in flight or open at any endpoint."""
    balancer = balancer_actor.balancer
    endpoints = balancer.endpoints.values()
    return not balancer.requests and all(
        endpoint.open_count == endpoint.in_flight == 0 for endpoint in endpoints
    )


def is_idle(relay: Relay) -> bool:
    """Nothing is left of any request, in the core or the balancer."""
    actor = relay.balancer_actor
    return not relay.request_registry and not actor.requests and is_balancer_idle(actor)


def record_balancer_events(relay: Relay, monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """A list to which each event is added just before the relay's balancer handles it."""
    events: list[Event] = []
    balancer = relay.balancer_actor.balancer
    handle = balancer.handle

    def recording_handle(now_ms: float, event: Event) -> list[Action]:
        events.append(event)
        return handle(now_ms, event)

    monkeypatch.setattr(balancer, "handle", recording_handle)
    return events
