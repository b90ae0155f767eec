"""Checks and recorders for tests that run a whole relay."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import pytest

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.connection_record import ConnectionRecord
from sageturn.decision import Action, Event, PlaceRequest
from sageturn.relay import Relay


def is_balancer_idle(balancer_actor: BalancerActor) -> bool:
    """Return whether the balancer has no request, and no endpoint a connection or an attempt in flight."""
    balancer = balancer_actor.balancer
    endpoints = balancer.endpoints.values()
    return not balancer.requests and all(
        endpoint.connections.open_count == endpoint.connections.in_flight == 0 for endpoint in endpoints
    )


def is_idle(relay: Relay) -> bool:
    """Return whether neither the core nor the balancer has any request."""
    actor = relay.balancer_actor
    return not relay.request_registry and not actor.requests and is_balancer_idle(actor)


def record_closed_connections(relay: Relay, monkeypatch: pytest.MonkeyPatch) -> list[ConnectionRecord]:
    """Return a list to which each connection's record is added, instead of the relay handling it."""
    records: list[ConnectionRecord] = []
    monkeypatch.setattr(relay.context, "on_connection_closed", records.append)
    return records


class Placement(NamedTuple):
    """An attempt: the balancer's id of its request, and the endpoint on which it was placed."""

    request_id: int
    endpoint: str


class PlacementRecorder:
    """Observer of a balancer that records its placements."""

    def __init__(self) -> None:
        self.placements: list[Placement] = []

    def before_event(self, now_ms: float, event: Event) -> None:
        pass

    def after_event(self, now_ms: float, event: Event, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, PlaceRequest):
                self.placements.append(Placement(action.id, action.endpoint))

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        pass


def record_placements(relay: Relay) -> list[Placement]:
    """Return a list to which every placement by the relay's balancer is added from now on."""
    recorder = PlacementRecorder()
    relay.balancer_actor.observers.append(recorder)
    return recorder.placements


def record_balancer_events(relay: Relay, monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """Return a list to which each event is added just before the relay's balancer handles it."""
    events: list[Event] = []
    balancer = relay.balancer_actor.balancer
    handle = balancer.handle

    def recording_handle(now_ms: float, event: Event) -> list[Action]:
        events.append(event)
        return handle(now_ms, event)

    monkeypatch.setattr(balancer, "handle", recording_handle)
    return events
