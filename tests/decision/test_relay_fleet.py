"""Many relays at once: what is harmless alone, counted across the fleet. No sockets, no clock."""

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

STORE_PER_S = 45.0  # set-ups a second that the session store behind all endpoints can do, one after another
CLASSES = (
    RequestClass("brisk", latency_objective_ms=300.0),
    RequestClass("slow", latency_objective_ms=800.0),
)
PATIENCE_MS = {"brisk": 1200.0, "slow": 3200.0}


class Fleet:
    """Relays that share nothing, before hosts that share one store. Clients come again until they stand."""

    def __init__(self, relays: int, hosts: int, seed: int) -> None:
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
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.now, self.ids, self.free_ms = 0.0, 0, 0.0
        self.in_flight = self.max_in_flight = self.established = self.wasted = 0
        for relay in self.relays:
            relay.handle(0.0, EndpointListEvent("full", [Endpoint(f"h{number}") for number in range(hosts)]))

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        self.ids += 1
        heapq.heappush(self.due, (when_ms, self.ids, action))

    def connect_client(self, tries: int = 0) -> None:
        cls = "brisk" if self.rng.random() < 0.6 else "slow"
        self.ids += 1
        request, relay = self.ids, self.rng.choice(self.relays)
        give_up_ms = self.now + PATIENCE_MS[cls]
        self.follow_actions(
            relay, request, relay.handle(self.now, RequestArrived(request, cls, "t", give_up_ms)), tries, 0
        )

    def follow_actions(
        self, relay: Balancer, request: int, actions: list[Any], tries: int, attempt: int
    ) -> None:
        for action in actions:
            if isinstance(action, RejectRequest):
                # Four in ten honour the advice; the others come at once, and only later wait for longer.
                own_ms = (30.0, 30.0, 2000.0)[min(tries, 2)]
                wait_ms = action.retry_after_ms if self.rng.random() < 0.4 else own_ms
                self.schedule(self.now + wait_ms, lambda: self.connect_client(tries + 1))
            elif isinstance(action, PlaceRequest):
                self.set_up(relay, request, action, tries, attempt)

    def set_up(self, relay: Balancer, request: int, send: PlaceRequest, tries: int, attempt: int) -> None:
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.free_ms = max(self.free_ms, self.now) + 1000.0 / STORE_PER_S
        ready_ms, until_ms = self.free_ms + 20.0, self.now + send.timeout_ms
        late = ready_ms > until_ms

        def finish() -> None:
            self.in_flight -= 1
            if late:  # the store does the work all the same
                self.wasted += 1
                outcome = AttemptEnded(request, attempt, send.endpoint, "timeout", False)
                self.follow_actions(relay, request, relay.handle(self.now, outcome), tries, attempt + 1)
            else:
                self.established += 1
                relay.handle(
                    self.now, ConnectionEstablished(request, attempt, send.endpoint, ready_ms - begun_ms)
                )

        begun_ms = self.now
        self.schedule(min(ready_ms, until_ms), finish)

    def run(self, until_ms: float) -> None:
        while self.due and self.due[0][0] <= until_ms:
            self.now, _, action = heapq.heappop(self.due)
            action()


def reconnect(relays: int, clients: int, seed: int, over_ms: float = 500.0) -> Fleet:
    """So many clients have lost their connections, and come again within half a second."""
    fleet = Fleet(relays, 13, seed)
    for _ in range(clients):
        fleet.schedule(fleet.rng.random() * over_ms, fleet.connect_client)
    return fleet


def test_a_lost_zones_clients_do_not_jam_the_store_that_all_relays_share() -> None:
    for seed in range(3):
        fleet = reconnect(relays=40, clients=160, seed=seed)
        fleet.run(9000.0)
        assert fleet.max_in_flight <= 40  # one a relay
        assert fleet.wasted <= 4
        assert fleet.established >= 152


def test_a_small_fleets_relays_are_not_held_up_by_what_many_would_have_to_share() -> None:
    fleet = reconnect(relays=4, clients=40, seed=1, over_ms=1000.0)
    fleet.run(1800.0)
    assert fleet.established == 40 and not fleet.wasted
