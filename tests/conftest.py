"""A small driver: one balancer, a clock, and short words for events."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as checks

from sageturn import (
    Action,
    Balancer,
    FirstSign,
    Outcome,
    Request,
    RequestClass,
    Send,
    Server,
    ServerList,
    Settings,
    Tenant,
)

# What is checked is what comes out, not how fast: with the cores busy 200 ms are soon over.
checks.register_profile("sageturn", deadline=None)
checks.load_profile("sageturn")


class Relay:
    def __init__(self, servers: list[Server] | None = None, seed: int = 1, **settings: Any) -> None:
        settings.setdefault("classes", (RequestClass("c", aim_ms=500),))
        settings.setdefault("tenants", (Tenant("t", 5.0), Tenant("u", 5.0)))
        self.balancer = Balancer(Settings(**settings), seed)
        self.now = 0.0
        self.ids = 0
        self.sent: dict[int, list[str]] = {}
        if servers is None:
            servers = [Server(name) for name in "abcd"]
        self.listed(servers)

    def tell(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sent.setdefault(action.id, []).append(action.server)
        return actions

    def listed(self, servers: list[Server], kind: str = "full") -> list[Action]:
        return self.tell(ServerList(kind, servers))

    def ask(self, tenant: str = "t", cls: str = "c", patience_ms: float = 2000, **more: Any) -> list[Action]:
        self.ids += 1
        return self.tell(Request(self.ids, cls, tenant, self.now + patience_ms, **more))

    def stands(self, id: int) -> list[Action]:
        return self.tell(FirstSign(id, len(self.sent[id]) - 1, self.sent[id][-1]))

    def ends(self, id: int, status: str, final: bool = False) -> list[Action]:
        return self.tell(Outcome(id, len(self.sent[id]) - 1, self.sent[id][-1], status, final))


@pytest.fixture
def make() -> type[Relay]:
    return Relay
