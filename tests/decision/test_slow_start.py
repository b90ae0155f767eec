"""Endpoints in slow start: the attempts that many relays together send them, and their connections."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any
from zlib import crc32

import pytest
from support.balancer_driver import BalancerDriver

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
from sageturn.config.errors import ConfigError
from sageturn.config.settings import read_settings
from sageturn.decision.slow_start import SlowStartBudget
from sageturn.lab.model.fleet_spec import FleetSpec, relay_settings

SLOW_START_MS, WINDOW_MS, INITIAL_CAPACITY_RATIO, OVERLOAD_MULTIPLE = 24_000.0, 3_000.0, 0.2, 4.0
CLASSES = (RequestClass("one", latency_objective_ms=800.0, give_up_ms=3200.0),)


def make_settings(relays: int, index: int | None, tenant: Tenant, **fields: Any) -> Settings:
    """Return the settings of one of ``relays``; ``fields`` are added to those of the slow start."""
    return Settings(
        classes=CLASSES,
        tenants=(tenant,),
        relay_count=relays,
        index=index,
        cold_overload_multiple=OVERLOAD_MULTIPLE,
        cold_overload_window_ms=WINDOW_MS,
        initial_capacity_ratio=INITIAL_CAPACITY_RATIO,
        slow_start_ms=SLOW_START_MS,
        **fields,
    )


def windows_over_budget(times: list[float], budget_at: Callable[[float], float]) -> list[tuple[int, float]]:
    """Return the number of attempts and the bound of each window that exceeds what an endpoint tolerates.

    Each window ends with an attempt.

    Args:
        times: The endpoint's ages at the attempts.
        budget_at: Returns the budget (N) of the window that ends at an age.
    """
    over, first = [], 0
    for number, at_ms in enumerate(times):
        while times[first] <= at_ms - WINDOW_MS:
            first += 1
        budget = budget_at(at_ms)
        if number + 1 - first > budget + 2.0 * budget**0.5 + 2.0:
            over.append((number + 1 - first, budget + 2.0 * budget**0.5 + 2.0))
    return over


def window_budget(age_ms: float, size: float) -> float:
    """Return the attempts (N) that the settings allow in the window that ends at the age.

    Args:
        age_ms: The endpoint's age at the end of the window.
        size: The connections that the endpoint holds once it is warm.
    """

    def allowed_until(until_ms: float) -> float:
        until_ms = max(0.0, until_ms)
        part = (
            INITIAL_CAPACITY_RATIO * until_ms
            + (1.0 - INITIAL_CAPACITY_RATIO) * until_ms**2 / 2.0 / SLOW_START_MS
        )
        return OVERLOAD_MULTIPLE * size / SLOW_START_MS * part

    return max(
        allowed_until(age_ms) - allowed_until(age_ms - WINDOW_MS),
        OVERLOAD_MULTIPLE * size / SLOW_START_MS * INITIAL_CAPACITY_RATIO * WINDOW_MS,
    )


class SimulatedRelease:
    """Release that replaces six in ten endpoints within 7 s; their clients retry until they are connected."""

    def __init__(
        self,
        relays: int,
        endpoint_count: int,
        connections_per_endpoint: float,
        seed: int,
        numbered: bool = True,
        zones: str = "",
    ) -> None:
        self.rng, self.scheduled = Random(seed), list[tuple[float, int, Callable[[], None]]]()
        self.now_ms, self.last_id, self.rejection_count, self.request_count = 0.0, 0, 0, 0
        total, clients = (
            connections_per_endpoint * endpoint_count,
            int(0.5 * connections_per_endpoint * endpoint_count),
        )
        allowance = clients / 25.0
        self.relays = []
        for number in range(relays):
            settings = Settings(
                classes=CLASSES,
                tenants=(Tenant("t", allowance, total),),
                relay_count=relays,
                index=number if numbered else None,
                zone=zones[number % len(zones)] if zones else "",
                cross_zone_cost=0.02 if zones else 0.0,
                max_retry_after_ms=1500.0,
                cold_overload_multiple=OVERLOAD_MULTIPLE,
                cold_overload_window_ms=WINDOW_MS,
                initial_capacity_ratio=INITIAL_CAPACITY_RATIO,
                slow_start_ms=SLOW_START_MS,
                reports_delay=False,
                weights="rough",
            )
            self.relays.append(Balancer(settings, seed * 1000 + number))
        # Some relays get several times the traffic of others.
        self.traffic = [self.rng.lognormvariate(0.0, 0.7) for _ in range(relays)]
        self.lines = {
            f"h{number}": Endpoint(f"h{number}", zone=zones[number % len(zones)] if zones else "")
            for number in range(endpoint_count)
        }
        for relay in self.relays:
            relay.handle(0.0, EndpointListEvent("full", list(self.lines.values())))
        self.connections: dict[str, dict[int, tuple[Balancer, int]]] = {}  # keyed by endpoint and request
        self.sent: dict[str, list[float]] = {}
        for _ in range(clients):
            self.schedule(self.rng.random() * 8000.0, self.connect_client)
        self.run(12_000.0)

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        self.last_id += 1
        heapq.heappush(self.scheduled, (when_ms, self.last_id, action))

    def run(self, until_ms: float) -> None:
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self.scheduled)
            action()
        self.now_ms = until_ms

    def connect_client(self, rejections: int = 0) -> None:
        self.last_id += 1
        self.request_count += 1
        request = self.last_id
        relay = self.rng.choices(self.relays, self.traffic)[0]
        actions = relay.handle(self.now_ms, RequestArrived(request, "one", "t", self.now_ms + 3200.0))
        self.follow_actions(relay, request, 0, actions, rejections)

    def follow_actions(
        self, relay: Balancer, request: int, attempt: int, actions: list[Any], rejections: int
    ) -> None:
        for action in actions:
            if isinstance(action, RejectRequest):
                self.rejection_count += 1
                own_wait_ms = (30.0, 30.0, 500.0, 1500.0)[min(rejections, 3)]
                wait_ms = action.retry_after_ms if self.rng.random() < 0.4 else own_wait_ms
                self.schedule(self.now_ms + wait_ms, lambda: self.connect_client(rejections + 1))
            elif isinstance(action, PlaceRequest):
                self.set_up(relay, request, attempt, action.endpoint, rejections)

    def set_up(self, relay: Balancer, request: int, attempt: int, endpoint: str, rejections: int) -> None:
        started_ms = self.now_ms
        self.sent.setdefault(endpoint, []).append(self.now_ms)

        def establish() -> None:
            relay.handle(
                self.now_ms, ConnectionEstablished(request, attempt, endpoint, self.now_ms - started_ms)
            )
            self.connections.setdefault(endpoint, {})[request] = (relay, attempt)

        def fail() -> None:  # a retry counts in the budget like the first attempt
            outcome = AttemptEnded(request, attempt, endpoint, "error", False)
            self.follow_actions(relay, request, attempt + 1, relay.handle(self.now_ms, outcome), rejections)

        took_ms = 30.0 + 60.0 * self.rng.random()
        self.schedule(self.now_ms + took_ms, fail if self.rng.random() < 0.05 else establish)

    def disconnect_clients(self, endpoint: str) -> None:
        """Disconnect the clients of a draining endpoint over 2 s."""
        for request, (relay, attempt) in self.connections.pop(endpoint, {}).items():

            def disconnect(request: int = request, relay: Balancer = relay, attempt: int = attempt) -> None:
                relay.handle(self.now_ms, AttemptEnded(request, attempt, endpoint, "cancelled", True))
                self.schedule(self.now_ms + 100.0 + 700.0 * self.rng.random(), self.connect_client)

            self.schedule(self.now_ms + 2000.0 * self.rng.random(), disconnect)

    def publish(self, lines: list[Endpoint]) -> None:
        for relay in self.relays:  # each relay is notified at another time
            self.schedule(
                self.now_ms + 500.0 * self.rng.random(),
                lambda relay=relay: relay.handle(self.now_ms, EndpointListEvent("changes", lines)),  # type: ignore[misc]
            )

    def start_release(self) -> dict[str, float]:
        """Schedule the release. Return the start times of the new endpoints."""
        old, starts = list(self.lines.values()), dict[str, float]()
        part = int(0.6 * len(old))
        for number in range(part):
            start = self.now_ms + 7000.0 * number / part
            starts[f"n{number}"] = start

            def list_started(number: int = number, start: float = start) -> None:
                self.publish([Endpoint(f"n{number}", zone=old[number].zone, started_at_ms=start)])

            def list_draining(number: int = number) -> None:
                self.publish([Endpoint(f"h{number}", "draining", zone=old[number].zone)])
                self.schedule(self.now_ms + 500.0, lambda: self.disconnect_clients(f"h{number}"))

            self.schedule(start + 1200.0, list_started)
            self.schedule(start + 2500.0, list_draining)
        return starts


@pytest.mark.parametrize(("relays", "hosts", "zones"), [(200, 60, ""), (200, 60, "wxyz"), (40, 30, "wxyz")])
def test_a_fleet_that_is_replaced_fills_its_new_endpoints_and_floods_none(
    relays: int, hosts: int, zones: str
) -> None:
    # Nine in ten relays could place no client on a new endpoint, because their quota there was less than one
    # connection, and the tenth had to wait for its part of the budget: 36 endpoints held 14 clients 10 s
    # after the start of the release, and seven in ten requests were rejected. Warm ones held up to 39 clients
    # instead of 33.
    connections_per_endpoint = 40.0
    fleet = SimulatedRelease(relays, hosts, connections_per_endpoint, 1, zones=zones)
    starts = fleet.start_release()
    fleet.run(22_000.0)
    counts = {name: len(fleet.connections.get(name, {})) for name in (*starts, *fleet.lines)}
    on_new = [counts[name] for name in starts]
    # The quotas allow 14 connections on each endpoint at that age; requests are spread unevenly over relays.
    assert sum(on_new) >= 4.0 * len(on_new) and sum(count > 0 for count in on_new) >= 0.9 * len(on_new)
    on_warm = [counts[name] for name in list(fleet.lines)[len(on_new) :]]
    assert max(on_warm) <= 36
    for name, start in starts.items():
        ages = [at_ms - start for at_ms in fleet.sent.get(name, [])]
        assert not windows_over_budget(ages, lambda age: window_budget(age, connections_per_endpoint))


PATTERNS = ("steady", "bursts", "uneven", "late")


def request_times(pattern: str, rng: Random, first_ms: float) -> list[float]:
    """Return the times of requests to one relay, which is notified of the endpoint at ``first_ms``."""
    if pattern == "steady":
        return [first_ms + 200.0 * step for step in range(int((SLOW_START_MS - first_ms) / 200.0))]
    if pattern == "bursts":  # reach all relays at once, after idle times
        return [at_ms + step for at_ms in range(5_000, 24_000, 4_500) for step in range(12)]
    if pattern == "late":
        return [8_000.0 + 200.0 * step for step in range(75)]
    pace = rng.lognormvariate(0.0, 1.2) / 1000.0
    times = [first_ms]
    while times[-1] < SLOW_START_MS:
        times.append(times[-1] + rng.expovariate(pace))
    return times


def ages_of_attempts(
    relays: int, budget: float, pattern: str, seed: int, numbered: bool, differ: float
) -> list[float]:
    """Return the ages of an endpoint at the attempts that all relays send it.

    Args:
        relays: The number of relays.
        budget: The attempts (N) that a window allows once the endpoint is warm.
        pattern: The distribution of the requests' times, one of ``PATTERNS``.
        seed: The seed of all random numbers.
        numbered: True if relays know their numbers.
        differ: The largest relative error, up or down, of relays' estimates of the endpoint's size.
    """
    rng = Random(seed)
    size, sent = budget * SLOW_START_MS / OVERLOAD_MULTIPLE / WINDOW_MS, list[float]()
    allowance = rng.choice((3.0, 20.0, 150.0))
    for number in range(relays):
        quota = size * (1.0 + differ * (2.0 * rng.random() - 1.0))
        index = number if numbered else None
        settings = make_settings(relays, index, Tenant("t", allowance, quota))
        relay = Balancer(settings, seed * 1000 + number)
        notified_ms = 800.0 + 1500.0 * rng.random() * (1.0 + 4.0 * (rng.random() < 0.1))
        relay.handle(notified_ms, EndpointListEvent("full", [Endpoint("new", started_at_ms=1e-9)]))
        times = request_times(pattern, rng, notified_ms)
        for request, at_ms in enumerate(times):
            if notified_ms <= at_ms < SLOW_START_MS:
                for action in relay.handle(at_ms, RequestArrived(request, "one", "t", at_ms + 3200.0)):
                    if isinstance(action, PlaceRequest):
                        sent.append(at_ms)
                        relay.handle(at_ms, ConnectionEstablished(request, 0, "new", 1.0))
                        relay.handle(at_ms, AttemptEnded(request, 0, "new", "ok", True))
    return sorted(sent)


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize(("numbered", "differ"), [(True, 0.0), (True, 0.1), (False, 0.0)])
def test_all_relays_together_stay_inside_a_slow_start_budget(
    pattern: str, numbered: bool, differ: float
) -> None:
    # Each of 200 relays had accumulated part of a permit when a burst came: they sent 35 attempts instead of
    # 18.
    size = SLOW_START_MS / OVERLOAD_MULTIPLE / WINDOW_MS
    rng = Random(PATTERNS.index(pattern))
    drawn = [(200, 20.0), (30, 60.0), (4, 5.0), (1, 200.0)]
    drawn += [(rng.randint(1, 200), 2.0 * 100.0 ** rng.random()) for _ in range(4)]
    over = []
    for seed, (relays, budget) in enumerate(drawn):
        ages = ages_of_attempts(relays, budget, pattern, seed, numbered, differ)
        found = windows_over_budget(ages, lambda age: window_budget(age, size * budget))  # noqa: B023
        over += [(relays, budget, *window) for window in found]
    assert not over


def test_permits_taken_outside_placement_keep_all_relays_inside_the_budget() -> None:
    relays, budget = 200, 20.0
    size = budget * SLOW_START_MS / OVERLOAD_MULTIPLE / WINDOW_MS
    taken: list[float] = []
    for number in range(relays):
        settings = make_settings(relays, number, Tenant("t", 20.0, size))
        balancer = Balancer(settings, number)
        balancer.handle(800.0, EndpointListEvent("full", [Endpoint("new", started_at_ms=1e-9)]))
        for step in range(200):
            now_ms = 800.0 + 100.0 * step
            if balancer.fleet.take_slow_start_permit(now_ms, "new"):
                taken.append(now_ms)
        assert balancer.fleet.slow_start.overdrawn_permits == 0
        assert balancer.fleet.take_slow_start_permit(now_ms, "unknown")
    assert len(taken) > 50
    assert not windows_over_budget(sorted(taken), lambda age: window_budget(age, size))


def ages_after_a_zones_return(
    kind: str, part_listed: float, connections_per_endpoint: float
) -> dict[str, list[float]]:
    """Return the ages, at the attempts of all relays, of endpoints that return while all others drain.

    Args:
        kind: The kind of the list with which the relays have started.
        part_listed: The part of the fleet that this list has.
        connections_per_endpoint: The connections that an endpoint holds once it is warm.
    """
    relays, endpoint_count = 60, 50
    found = [Endpoint(f"h{number}") for number in range(int(endpoint_count * part_listed))]
    returning = [
        Endpoint(f"h{number}", started_at_ms=5_000.0) for number in range(len(found), endpoint_count)
    ]
    draining = [Endpoint(endpoint.name, "draining") for endpoint in found]
    sent: dict[str, list[float]] = {endpoint.name: [] for endpoint in returning}
    for number in range(relays):
        tenant = Tenant("t", 40.0, connections_per_endpoint * endpoint_count)
        settings = make_settings(relays, number, tenant, reports_delay=False)
        relay = Balancer(settings, number)
        relay.handle(4_000.0, EndpointListEvent(kind, found))
        relay.handle(6_000.0 + 10.0 * number, EndpointListEvent("changes", returning))
        relay.handle(6_000.0 + 10.0 * number, EndpointListEvent("changes", draining))
        for request in range(1, 500):
            now_ms = 6_700.0 + 40.0 * request + number / 2.0
            for action in relay.handle(now_ms, RequestArrived(request, "one", "t", now_ms + 3200.0)):
                if isinstance(action, PlaceRequest):
                    sent[action.endpoint].append(now_ms - 5_000.0)
                    relay.handle(now_ms, ConnectionEstablished(request, 0, action.endpoint, 1.0))
                    relay.handle(now_ms, AttemptEnded(request, 0, action.endpoint, "ok", True))
    return sent


def test_relays_that_start_during_a_zone_outage_do_not_flood_the_zone_when_it_returns() -> None:
    # The relays took the listed endpoints for the whole fleet, and so overestimated each endpoint's part of
    # the quotas two or three times: one that returned while the others drained got 53 attempts instead of 27.
    connections_per_endpoint = 40.0
    for kind, part_listed in (("stale", 0.34), ("full", 0.6)):
        calls = ages_after_a_zones_return(kind, part_listed, connections_per_endpoint)
        over = {
            name: windows_over_budget(sorted(ages), lambda age: window_budget(age, connections_per_endpoint))
            for name, ages in calls.items()
        }
        assert not {name: max(windows) for name, windows in over.items() if windows}, (kind, part_listed)
        assert sum(map(len, calls.values())) > len(calls) * 20  # the returned endpoints get connections


def test_a_relay_that_starts_in_a_release_counts_those_that_drain() -> None:
    # Half of the fleet was draining and its successors were not listed yet, so each ready endpoint counted
    # twice.
    listed = [Endpoint(f"w{number}", "ready" if number % 2 else "draining") for number in range(40)]
    new = Endpoint("n", started_at_ms=1_000.0)

    def count_sent(endpoints: list[Endpoint]) -> int:
        driver = BalancerDriver(
            endpoints,
            tenants=(Tenant("t", 100.0, 400.0),),
            reports_delay=False,
            index=0,
            slow_start_ms=SLOW_START_MS,
        )
        driver.now_ms = 2_000.0
        driver.update_endpoints(
            [new, *(Endpoint(endpoint.name, "draining") for endpoint in endpoints)], "changes"
        )
        sent = 0
        while driver.now_ms < 5_000.0:
            driver.now_ms += 20.0
            driver.send_request()
            if driver.last_id in driver.attempts:
                driver.end_attempt(driver.last_id, "full", final=True)
                sent += 1
        return sent

    assert count_sent(listed) == count_sent([Endpoint(f"w{number}") for number in range(40)])


def test_a_relay_that_started_in_an_outage_holds_no_more_than_the_others_after_it() -> None:
    # The relay took a third of the fleet for all of it: once the rest had returned, its quota was three times
    # as large as intended.
    def bounds(first_listed: int) -> list[float]:
        fleet = [Endpoint(f"w{number}") for number in range(60)]
        driver = BalancerDriver(
            fleet[:first_listed],
            tenants=(Tenant("t", 100.0, 2400.0),),
            reports_delay=False,
            relay_count=50,
            index=0,
        )
        driver.update_endpoints(fleet[first_listed:], "changes")
        balancer = driver.balancer
        return [
            balancer.fleet.max_connections,
            *(endpoint.quota.max_connections for endpoint in balancer.fleet.ready),
        ]

    assert bounds(20) == pytest.approx(bounds(60)) and bounds(45) == pytest.approx(bounds(60))


def test_rounded_parts_of_all_relays_add_up_at_each_endpoint() -> None:
    # With random rounding, endpoints that were meant to hold 33 connections held 22 to 62.
    for relays in (7, 40, 200, 220):
        budgets = [
            SlowStartBudget(Settings(CLASSES, relay_count=relays, index=number), Random(number))
            for number in range(relays)
        ]
        for number in range(20):
            key = crc32(f"host-{number}".encode())
            for part in (0.03, 0.17, 0.5, 0.9):
                rounded_up_count = sum(budget.rounding_offset(key) > 1.0 - part for budget in budgets)
                assert abs(rounded_up_count - part * relays) <= 1.0
                zone = budgets[number % 4 :: 4] if relays % 4 == 0 else budgets
                zone_rounded_up_count = sum(budget.rounding_offset(key) > 1.0 - part for budget in zone)
                assert abs(zone_rounded_up_count - part * len(zone)) <= 1.5


def test_connections_on_draining_endpoints_leave_headroom_for_their_clients_elsewhere() -> None:
    # A quarter of the relays' connections were on draining endpoints while the relays rejected these clients.
    tenants = (Tenant("t", 13.0, 160.0),)
    driver = BalancerDriver(
        [Endpoint("a"), Endpoint("b")], tenants=tenants, relay_count=20, reports_delay=False, index=10
    )
    for _ in range(30):
        driver.now_ms += 2000.0
        driver.send_request()
        if driver.last_id in driver.attempts:
            driver.establish(driver.last_id)
    open_count = driver.balancer.fleet.open_count
    assert open_count >= 6 and isinstance(driver.send_request()[0], RejectRequest)
    driver.update_endpoints([Endpoint("a", "draining"), Endpoint("c")], "changes")
    driver.now_ms += 100.0
    assert driver.place_request().endpoint == "c"


def test_warm_endpoints_are_not_given_what_is_meant_for_those_in_slow_start() -> None:
    # Relays filled the warm endpoints with the quota of the new ones, which were then not sent any requests.
    tenants = (Tenant("t", 13.0, 1600.0),)
    endpoints = [Endpoint(f"w{number}") for number in range(4)]
    driver = BalancerDriver(
        endpoints, tenants=tenants, relay_count=40, reports_delay=False, index=20, slow_start_ms=24_000.0
    )
    driver.now_ms = 100_000.0
    driver.update_endpoints(
        [Endpoint(f"n{number}", started_at_ms=88_000.0) for number in range(4)], "changes"
    )
    balancer = driver.balancer
    for _ in range(400):
        driver.now_ms += 5.0
        driver.send_request()
        if driver.last_id in driver.attempts:
            driver.establish(driver.last_id)
    warm = sum(
        endpoint.connections.open_count for endpoint in balancer.fleet.ready if not endpoint.slow_start
    )
    cold = sum(endpoint.connections.open_count for endpoint in balancer.fleet.ready if endpoint.slow_start)
    part = sum(endpoint.weights.effective for endpoint in balancer.fleet.ready if not endpoint.slow_start)
    part /= sum(endpoint.weights.effective for endpoint in balancer.fleet.ready)
    assert part < 0.7 and warm <= balancer.fleet.max_connections * part + 1.0
    assert cold >= 3


@pytest.mark.parametrize(
    ("given", "index"), [(7, 7), (None, None), ("absent", None), (-1, "me"), (1.5, "me"), ("x", "me")]
)
def test_a_relays_number_is_read_from_the_settings(given: Any, index: Any) -> None:
    conf = relay_settings(FleetSpec(relays=9), 3) | {"me": given}
    if given == "absent":
        del conf["me"]
    if index == "me":
        with pytest.raises(ConfigError, match="me"):
            read_settings(conf)
    else:
        assert read_settings(conf).index == index


def test_a_relay_number_beyond_the_relay_count_is_ignored() -> None:
    # Two relays with the same number would take the same permits.
    budgets = [SlowStartBudget(Settings(CLASSES, relay_count=4, index=9), Random(seed)) for seed in range(9)]
    assert len({budget.rounding_offset(1) for budget in budgets}) == 9
