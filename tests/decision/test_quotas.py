"""Shares of many relays, added up: never more than the whole, whatever the fleet."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from support.balancer_driver import BalancerDriver

from sageturn import Endpoint, MeasurementReported, MigrateConnection, RejectRequest, Tenant
from sageturn.decision.quotas import (
    ENDPOINT_QUOTA_RATIO,
    FEW_RELAYS_SLACK,
    FLEET_SLACK_CONNECTIONS,
    QUOTA_UTILIZATION,
    EndpointWeights,
    QuotaBound,
    SetupWindow,
    quota_bounds,
)

ZONES = "wxyz"


@dataclass
class Place:
    zone: str
    weights: EndpointWeights


def place(zone: str, effective: float, nominal: float) -> Place:
    return Place(zone, EndpointWeights(nominal, effective))


@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.floats(0.1, 4.0)), min_size=1, max_size=60),
    st.integers(1, 10),
    st.booleans(),
)
def test_relays_of_all_zones_together_hold_no_more_than_the_quotas_part(
    drawn: list[tuple[str, float]], each_zone: int, priced: bool
) -> None:
    places = [place(zone, size, 2.0) for zone, size in drawn]
    zones = sorted({endpoint.zone for endpoint in places})
    relays = each_zone * len(zones)
    held, total = [0.0] * len(places), 0.0
    for zone in zones:
        bounds = quota_bounds(places, zones, zone if priced else None, 50.0, relays)
        held = [
            count + each_zone * bound.max_connections
            for count, bound in zip(held, bounds.by_endpoint, strict=True)
        ]
        total += each_zone * bounds.max_connections
    few = 50.0 * FEW_RELAYS_SLACK / relays**2
    for endpoint, count in zip(places, held, strict=True):
        assert (
            count
            <= ENDPOINT_QUOTA_RATIO * QUOTA_UTILIZATION * 50.0 * endpoint.weights.effective / 2.0
            + few
            + FLEET_SLACK_CONNECTIONS
            + 1e-6
        )
    assert (
        total
        <= QUOTA_UTILIZATION * 50.0 * sum(endpoint.weights.effective for endpoint in places) / 2.0
        + few * len(places)
        + 1e-6
    )


def test_bounds_change_smoothly_with_the_number_of_relays() -> None:
    places = [place(zone, 2.0, 2.0) for zone in ZONES * 3]
    whole = [
        relay_count * quota_bounds(places, ZONES, "w", 50.0, relay_count).max_connections
        for relay_count in range(4, 81)
    ]
    assert all(0.6 < more / fewer <= 1.0 for fewer, more in itertools.pairwise(whole))
    assert whole[0] > 600.0 * 2 and whole[-1] < 600.0 * 0.7


@given(st.lists(st.tuples(st.floats(5.0, 3000.0), st.booleans()), max_size=60), st.integers(1, 200))
def test_a_set_up_window_stays_inside_its_part_and_always_opens_again(
    ends: list[tuple[float, bool]], relays: int
) -> None:
    window, now = SetupWindow(13.0, relays, 300.0, Random(1)), 0.0
    for took, served in ends:
        now += took
        window.begin_setup()
        window.end_setup(now, took, served)
        assert 0.25 <= window.size <= max(1.0, 39.0 / relays)
        assert window.wait_ms(now) <= 1500.0 * 1.25
        window.in_flight = 1  # there is never room for a second one unless the part allows it
        assert window.wait_ms(now) > 0 or window.size > 1.0
        window.in_flight = 0
    assert window.wait_ms(now + 1500.0 * 1.25) == 0


def test_an_endpoint_beyond_its_quota_is_sent_nothing_and_is_relieved_one_by_one() -> None:
    # 40 relays put 70 clients on each of four endpoints while others warmed up: all messages came late.
    tenants = (Tenant("t", 13.0, 800.0),)
    endpoints = [Endpoint(name, share=2.0) for name in "ab"]
    driver = BalancerDriver(
        endpoints, tenants=tenants, relay_count=40, reports_delay=False, weights="rough", migration_cost=0.02
    )
    refused = 0
    for _ in range(60):
        driver.now_ms += 2000.0
        actions = driver.send_request()
        refused += isinstance(actions[0], RejectRequest)
        if driver.last_id in driver.attempts:
            driver.establish(driver.last_id)
    balancer = driver.balancer
    assert 12 <= balancer.fleet.open_count <= 16 and refused >= 44  # 0.7 of two endpoints' 400, shared by 40
    held = [request_id for request_id, sent in driver.attempts.items() if sent[-1] == "a"]
    balancer.endpoints["a"].quota = QuotaBound(
        2.0, balancer.endpoints["a"].quota.eligible_relays
    )  # most of it has gone to others
    moves = []
    for _ in range(200):
        driver.now_ms += 100.0
        moves += [
            action
            for action in driver.handle(MeasurementReported(held[-1], 0, "a", "load", 0.0))
            if isinstance(action, MigrateConnection)
        ]
    assert 2 <= len(moves) <= 8  # at 40 relays about one in five seconds each
