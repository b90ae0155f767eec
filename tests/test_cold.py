"""Servers that have just started, before many relays at once: what all send them, and what they get to hold."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from sageturn import (
    Balancer,
    FirstSign,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    Server,
    ServerList,
    Settings,
    Tenant,
)

WITHIN_MS, WINDOW_MS, COLD_FROM, MULTIPLE = 24_000.0, 3_000.0, 0.2, 4.0
CLASSES = (RequestClass("one", aim_ms=800.0, give_up_ms=3200.0),)


def most_in_window(times: list[float], excess: Callable[[float, int], float]) -> float:
    """Over all windows that end with a call, the most of ``excess(end, calls in the window)``."""
    worst, first = float("-inf"), 0
    for k, at in enumerate(times):
        while times[first] <= at - WINDOW_MS:
            first += 1
        worst = max(worst, excess(at, k + 1 - first))
    return worst


def allowed(age_ms: float, size: float) -> float:
    """Calls in the window that ends at that age, by the settings."""

    def sent(until_ms: float) -> float:
        until_ms = max(0.0, until_ms)
        part = COLD_FROM * until_ms + (1.0 - COLD_FROM) * until_ms**2 / 2.0 / WITHIN_MS
        return MULTIPLE * size / WITHIN_MS * part

    return max(sent(age_ms) - sent(age_ms - WINDOW_MS), MULTIPLE * size / WITHIN_MS * COLD_FROM * WINDOW_MS)


class Release:
    """Six in ten hosts are replaced within 7 s; their clients come again until they stand somewhere."""

    def __init__(
        self, relays: int, hosts: int, each: float, seed: int, numbered: bool = True, zones: str = ""
    ) -> None:
        self.rng, self.due = Random(seed), list[tuple[float, int, Callable[[], None]]]()
        self.now, self.ids, self.refused, self.tries = 0.0, 0, 0, 0
        total, clients = each * hosts, int(0.5 * each * hosts)
        allowance = clients / 25.0
        self.relays = []
        for k in range(relays):
            settings = Settings(
                classes=CLASSES,
                tenants=(Tenant("t", allowance, total),),
                balancers=relays,
                index=k if numbered else None,
                zone=zones[k % len(zones)] if zones else "",
                price_cross_zone=0.02 if zones else 0.0,
                max_retry_after_ms=1500.0,
                fall_multiple=MULTIPLE,
                fall_ms=WINDOW_MS,
                cold_from=COLD_FROM,
                warm_within_ms=WITHIN_MS,
                tells_delay=False,
                weights="rough",
            )
            self.relays.append(Balancer(settings, seed * 1000 + k))
        # Some relays get several times the traffic of others.
        self.traffic = [self.rng.lognormvariate(0.0, 0.7) for _ in range(relays)]
        self.lines = {
            f"h{k}": Server(f"h{k}", zone=zones[k % len(zones)] if zones else "") for k in range(hosts)
        }
        for relay in self.relays:
            relay.handle(0.0, ServerList("full", list(self.lines.values())))
        self.held: dict[str, dict[int, Balancer]] = {}
        self.sent: dict[str, list[float]] = {}
        for _ in range(clients):
            self.at(self.rng.random() * 8000.0, self.client)
        self.run(12_000.0)

    def at(self, when_ms: float, what: Callable[[], None]) -> None:
        self.ids += 1
        heapq.heappush(self.due, (when_ms, self.ids, what))

    def run(self, until_ms: float) -> None:
        while self.due and self.due[0][0] <= until_ms:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until_ms

    def client(self, tries: int = 0) -> None:
        self.ids += 1
        self.tries += 1
        request = self.ids
        relay = self.rng.choices(self.relays, self.traffic)[0]
        action = relay.handle(self.now, Request(request, "one", "t", self.now + 3200.0))[0]
        if isinstance(action, Refuse):
            self.refused += 1
            own_ms = (30.0, 30.0, 500.0, 1500.0)[min(tries, 3)]
            wait_ms = action.retry_after_ms if self.rng.random() < 0.4 else own_ms
            self.at(self.now + wait_ms, lambda: self.client(tries + 1))
        elif isinstance(action, Send):
            server, begun = action.server, self.now
            self.sent.setdefault(server, []).append(self.now)
            took = 30.0 + 60.0 * self.rng.random()

            def stands() -> None:
                relay.handle(self.now, FirstSign(request, 0, server, self.now - begun))
                self.held.setdefault(server, {})[request] = relay

            self.at(self.now + took, stands)

    def leave(self, server: str) -> None:
        """A draining host sends its clients away bit by bit."""
        for request, relay in self.held.pop(server, {}).items():

            def gone(request: int = request, relay: Balancer = relay) -> None:
                relay.handle(self.now, Outcome(request, 0, server, "cancelled", True))
                self.at(self.now + 100.0 + 700.0 * self.rng.random(), self.client)

            self.at(self.now + 2000.0 * self.rng.random(), gone)

    def tell(self, lines: list[Server]) -> None:
        for relay in self.relays:  # each has its own way to the news
            self.at(
                self.now + 500.0 * self.rng.random(),
                lambda relay=relay: relay.handle(self.now, ServerList("changes", lines)),  # type: ignore[misc]
            )

    def release(self) -> dict[str, float]:
        """Returns the starts of the new hosts."""
        old, starts = list(self.lines.values()), dict[str, float]()
        part = int(0.6 * len(old))
        for k in range(part):
            start = self.now + 7000.0 * k / part
            starts[f"n{k}"] = start

            def started(k: int = k, start: float = start) -> None:
                self.tell([Server(f"n{k}", zone=old[k].zone, started_at_ms=start)])

            def drains(k: int = k) -> None:
                self.tell([Server(f"h{k}", "draining", zone=old[k].zone)])
                self.at(self.now + 500.0, lambda: self.leave(f"h{k}"))

            self.at(start + 1200.0, started)
            self.at(start + 2500.0, drains)
        return starts


@pytest.mark.parametrize(("relays", "hosts", "zones"), [(200, 60, ""), (200, 60, "wxyz"), (40, 30, "wxyz")])
def test_a_fleet_that_is_replaced_fills_its_new_hosts_and_floods_none(
    relays: int, hosts: int, zones: str
) -> None:
    each = 40.0
    fleet = Release(relays, hosts, each, 1, zones=zones)
    starts = fleet.release()
    fleet.refused = fleet.tries = 0
    for k in range(20):
        fleet.run(12_000.0 + 1000.0 * k)
        old = sum(len(h) for n, h in fleet.held.items() if n not in starts)
        new = sum(len(h) for n, h in fleet.held.items() if n in starts)
        print(k, old, new, [len(h) for n, h in fleet.held.items() if n not in starts][-8:], fleet.refused, fleet.tries)
        fleet.refused = fleet.tries = 0
    worst = float("-inf")
    for name, start in starts.items():
        def over(at: float, calls: int, start: float = start) -> float:
            n = allowed(at - start, each)
            return (calls - n) / n**0.5

        worst = max(worst, most_in_window(fleet.sent.get(name, []), over))
    print("worst sigma", worst)
    assert 0
