"""Driver of one balancer with a simulated clock, with short methods that send its events."""

from __future__ import annotations

from typing import Any

from sageturn import (
    Action,
    AttemptEnded,
    Balancer,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    Event,
    PlaceRequest,
    RequestArrived,
    RequestClass,
    Settings,
    Tenant,
)


class BalancerDriver:
    """Driver that sends events to a balancer at ``now_ms`` and records its placements.

    Requests are numbered from 1; ``last_id`` is the last one's number, and ``attempts`` holds the endpoints
    of each request's attempts, in order.
    """

    def __init__(self, endpoints: list[Endpoint] | None = None, seed: int = 1, **settings: Any) -> None:
        """Create the balancer and send it the endpoint list.

        Args:
            endpoints: The list; None for endpoints "a" to "d".
            seed: The balancer's seed.
            settings: Fields of `Settings`; the class "c" and the tenants "t" and "u" are the defaults.
        """
        settings.setdefault("classes", (RequestClass("c", latency_objective_ms=500),))
        settings.setdefault("tenants", (Tenant("t", 5.0), Tenant("u", 5.0)))
        self.balancer = Balancer(Settings(**settings), seed)
        self.now_ms = 0.0
        self.last_id = 0
        self.attempts: dict[int, list[str]] = {}
        if endpoints is None:
            endpoints = [Endpoint(name) for name in "abcd"]
        self.update_endpoints(endpoints)

    def handle(self, event: Event) -> list[Action]:
        """Send ``event``, and return the balancer's actions."""
        actions = self.balancer.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, PlaceRequest):
                self.attempts.setdefault(action.id, []).append(action.endpoint)
        return actions

    def update_endpoints(self, endpoints: list[Endpoint], kind: str = "full") -> list[Action]:
        """Send an endpoint list, or changes to it."""
        return self.handle(EndpointListEvent(kind, endpoints))

    def send_request(
        self, tenant: str = "t", class_name: str = "c", timeout_ms: float = 2000, **more: Any
    ) -> list[Action]:
        """Send a new request; ``more`` has further fields of `RequestArrived`."""
        self.last_id += 1
        deadline_ms = self.now_ms + timeout_ms
        return self.handle(RequestArrived(self.last_id, class_name, tenant, deadline_ms, **more))

    def place_request(
        self, tenant: str = "t", class_name: str = "c", timeout_ms: float = 2000, **more: Any
    ) -> PlaceRequest:
        """Send a new request that must be placed at once, and return its placement."""
        first_action = self.send_request(tenant, class_name, timeout_ms, **more)[0]
        assert isinstance(first_action, PlaceRequest)
        return first_action

    def establish(self, request_id: int) -> list[Action]:
        """Establish the request's latest attempt."""
        attempts = self.attempts[request_id]
        return self.handle(ConnectionEstablished(request_id, len(attempts) - 1, attempts[-1]))

    def end_attempt(self, request_id: int, status: str, final: bool = False) -> list[Action]:
        """End the request's latest attempt, and the request as well if ``final``."""
        attempts = self.attempts[request_id]
        return self.handle(AttemptEnded(request_id, len(attempts) - 1, attempts[-1], status, final))
