"""A small driver: one balancer, a clock, and short words for events."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as checks

from sageturn import (
    Action,
    AttemptEnded,
    Balancer,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    PlaceRequest,
    RequestArrived,
    RequestClass,
    Settings,
    Tenant,
)

# What is checked is what comes out, not how fast: with the cores busy 200 ms are soon over.
checks.register_profile("sageturn", deadline=None)
checks.load_profile("sageturn")


class Relay:
    def __init__(self, endpoints: list[Endpoint] | None = None, seed: int = 1, **settings: Any) -> None:
        settings.setdefault("classes", (RequestClass("c", latency_objective_ms=500),))
        settings.setdefault("tenants", (Tenant("t", 5.0), Tenant("u", 5.0)))
        self.balancer = Balancer(Settings(**settings), seed)
        self.now = 0.0
        self.ids = 0
        self.sent: dict[int, list[str]] = {}
        if endpoints is None:
            endpoints = [Endpoint(name) for name in "abcd"]
        self.listed(endpoints)

    def tell(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, PlaceRequest):
                self.sent.setdefault(action.id, []).append(action.endpoint)
        return actions

    def listed(self, endpoints: list[Endpoint], kind: str = "full") -> list[Action]:
        return self.tell(EndpointListEvent(kind, endpoints))

    def ask(self, tenant: str = "t", cls: str = "c", patience_ms: float = 2000, **more: Any) -> list[Action]:
        self.ids += 1
        return self.tell(RequestArrived(self.ids, cls, tenant, self.now + patience_ms, **more))

    def stands(self, id: int) -> list[Action]:
        return self.tell(ConnectionEstablished(id, len(self.sent[id]) - 1, self.sent[id][-1]))

    def ends(self, id: int, status: str, final: bool = False) -> list[Action]:
        return self.tell(AttemptEnded(id, len(self.sent[id]) - 1, self.sent[id][-1], status, final))


@pytest.fixture
def make() -> type[Relay]:
    return Relay
