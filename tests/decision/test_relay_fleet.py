"""Many relays at once: load that is harmless from one relay is bounded over all. No sockets, no clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from sageturn import (
    AttemptEnded,
    Balancer,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    PlaceRequest,
    RejectRequest,
    RequestArrived,
    RequestClass,
    Settings,
    Tenant,
)

STORE_SETUPS_PER_S = 45.0  # set-ups per second of the endpoints' shared store, one at a time
CLASSES = (
    RequestClass("brisk", latency_objective_ms=300.0),
    RequestClass("slow", latency_objective_ms=800.0),
)
CLIENT_TIMEOUT_MS = {"brisk": 1200.0, "slow": 3200.0}


class SimulatedFleet:
    """Relays that share nothing, and endpoints that share a store. Clients retry until they are connected."""

    def __init__(self, relays: int, endpoints: int, seed: int) -> None:
        settings = Settings(
            classes=CLASSES,
            tenants=(Tenant("t", 13.0),),
            relay_count=relays,
            max_retry_after_ms=1500.0,
            reports_delay=False,
            weights="rough",
        )
        self.rng = Random(seed)
        self.relays = [Balancer(settings, seed * 1000 + number) for number in range(relays)]
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.now_ms, self.last_id, self.store_free_ms = 0.0, 0, 0.0
        self.in_flight = self.max_in_flight = self.established = self.wasted_setups = 0
        for relay in self.relays:
            relay.handle(
                0.0, EndpointListEvent("full", [Endpoint(f"h{number}") for number in range(endpoints)])
            )

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        self.last_id += 1
        heapq.heappush(self.scheduled, (when_ms, self.last_id, action))

    def connect_client(self, rejections: int = 0) -> None:
        cls = "brisk" if self.rng.random() < 0.6 else "slow"
        self.last_id += 1
        request, relay = self.last_id, self.rng.choice(self.relays)
        give_up_ms = self.now_ms + CLIENT_TIMEOUT_MS[cls]
        self.follow_actions(
            relay,
            request,
            relay.handle(self.now_ms, RequestArrived(request, cls, "t", give_up_ms)),
            rejections,
            0,
        )

    def follow_actions(
        self, relay: Balancer, request: int, actions: list[Any], rejections: int, attempt: int
    ) -> None:
        for action in actions:
            if isinstance(action, RejectRequest):
                # Four in ten clients follow the advice; the others retry at once, and later wait longer.
                own_wait_ms = (30.0, 30.0, 2000.0)[min(rejections, 2)]
                wait_ms = action.retry_after_ms if self.rng.random() < 0.4 else own_wait_ms
                self.schedule(self.now_ms + wait_ms, lambda: self.connect_client(rejections + 1))
            elif isinstance(action, PlaceRequest):
                self.set_up(relay, request, action, rejections, attempt)

    def set_up(
        self, relay: Balancer, request: int, placement: PlaceRequest, rejections: int, attempt: int
    ) -> None:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.store_free_ms = max(self.store_free_ms, self.now_ms) + 1000.0 / STORE_SETUPS_PER_S
        ready_ms, until_ms = self.store_free_ms + 20.0, self.now_ms + placement.timeout_ms
        is_timed_out = ready_ms > until_ms

        def finish() -> None:
            self.in_flight -= 1
            if is_timed_out:  # the store processes the set-up in any case
                self.wasted_setups += 1
                outcome = AttemptEnded(request, attempt, placement.endpoint, "timeout", False)
                self.follow_actions(
                    relay, request, relay.handle(self.now_ms, outcome), rejections, attempt + 1
                )
            else:
                self.established += 1
                relay.handle(
                    self.now_ms,
                    ConnectionEstablished(request, attempt, placement.endpoint, ready_ms - started_ms),
                )

        started_ms = self.now_ms
        self.schedule(min(ready_ms, until_ms), finish)

    def run(self, until_ms: float) -> None:
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self.scheduled)
            action()


def reconnect(relays: int, clients: int, seed: int, over_ms: float = 500.0) -> SimulatedFleet:
    """Return a fleet to which ``clients`` disconnected clients reconnect within ``over_ms``."""
    fleet = SimulatedFleet(relays, 13, seed)
    for _ in range(clients):
        fleet.schedule(fleet.rng.random() * over_ms, fleet.connect_client)
    return fleet


def test_clients_of_a_failed_zone_do_not_overload_the_shared_store() -> None:
    for seed in range(3):
        fleet = reconnect(relays=40, clients=160, seed=seed)
        fleet.run(9000.0)
        assert fleet.max_in_flight <= 40  # one per relay
        assert fleet.wasted_setups <= 4
        assert fleet.established >= 152


def test_relays_of_a_small_fleet_are_not_slowed_by_the_limits_of_a_large_one() -> None:
    fleet = reconnect(relays=4, clients=40, seed=1, over_ms=1000.0)
    fleet.run(1800.0)
    assert fleet.established == 40 and not fleet.wasted_setups
