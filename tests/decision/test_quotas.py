"""Quotas of many relays never add up to more than the whole, for any fleet."""

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
class FakeEndpoint:
    zone: str
    weights: EndpointWeights


def make_endpoint(zone: str, effective: float, nominal: float) -> FakeEndpoint:
    return FakeEndpoint(zone, EndpointWeights(nominal, effective))


@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.floats(0.1, 4.0)), min_size=1, max_size=60),
    st.integers(1, 10),
    st.booleans(),
)
def test_relays_of_all_zones_together_hold_no_more_than_the_quotas_allow(
    zones_and_weights: list[tuple[str, float]], relays_per_zone: int, has_cross_zone_cost: bool
) -> None:
    endpoints = [make_endpoint(zone, size, 2.0) for zone, size in zones_and_weights]
    zones = sorted({endpoint.zone for endpoint in endpoints})
    relays = relays_per_zone * len(zones)
    fleet_counts, total = [0.0] * len(endpoints), 0.0
    for zone in zones:
        bounds = quota_bounds(endpoints, zones, zone if has_cross_zone_cost else None, 50.0, relays)
        fleet_counts = [
            count + relays_per_zone * bound.max_connections
            for count, bound in zip(fleet_counts, bounds.by_endpoint, strict=True)
        ]
        total += relays_per_zone * bounds.max_connections
    few_relays_slack = 50.0 * FEW_RELAYS_SLACK / relays**2
    for endpoint, count in zip(endpoints, fleet_counts, strict=True):
        assert (
            count
            <= ENDPOINT_QUOTA_RATIO * QUOTA_UTILIZATION * 50.0 * endpoint.weights.effective / 2.0
            + few_relays_slack
            + FLEET_SLACK_CONNECTIONS
            + 1e-6
        )
    assert (
        total
        <= QUOTA_UTILIZATION * 50.0 * sum(endpoint.weights.effective for endpoint in endpoints) / 2.0
        + few_relays_slack * len(endpoints)
        + 1e-6
    )


def test_bounds_change_smoothly_with_the_number_of_relays() -> None:
    endpoints = [make_endpoint(zone, 2.0, 2.0) for zone in ZONES * 3]
    fleet_limits = [
        relay_count * quota_bounds(endpoints, ZONES, "w", 50.0, relay_count).max_connections
        for relay_count in range(4, 81)
    ]
    assert all(0.6 < more / fewer <= 1.0 for fewer, more in itertools.pairwise(fleet_limits))
    assert fleet_limits[0] > 600.0 * 2 and fleet_limits[-1] < 600.0 * 0.7


@given(st.lists(st.tuples(st.floats(5.0, 3000.0), st.booleans()), max_size=60), st.integers(1, 200))
def test_a_set_up_window_stays_within_its_bounds_and_always_opens_again(
    setups: list[tuple[float, bool]], relays: int
) -> None:
    window, now_ms = SetupWindow(13.0, relays, 300.0, Random(1)), 0.0
    for took_ms, served in setups:
        now_ms += took_ms
        window.begin_setup()
        window.end_setup(now_ms, took_ms, served)
        assert 0.25 <= window.size <= max(1.0, 39.0 / relays)
        assert window.wait_ms(now_ms) <= 1500.0 * 1.25
        window.in_flight = 1  # a second set-up may start only if the window is larger than 1
        assert window.wait_ms(now_ms) > 0 or window.size > 1.0
        window.in_flight = 0
    assert window.wait_ms(now_ms + 1500.0 * 1.25) == 0


def test_an_endpoint_beyond_its_quota_is_sent_nothing_and_is_relieved_one_by_one() -> None:
    # 40 relays placed 70 clients on each of four endpoints while others warmed up, and all messages were
    # late.
    tenants = (Tenant("t", 13.0, 800.0),)
    endpoints = [Endpoint(name, weight=2.0) for name in "ab"]
    driver = BalancerDriver(
        endpoints, tenants=tenants, relay_count=40, reports_delay=False, weights="rough", migration_cost=0.02
    )
    rejected_count = 0
    for _ in range(60):
        driver.now_ms += 2000.0
        actions = driver.send_request()
        rejected_count += isinstance(actions[0], RejectRequest)
        if driver.last_id in driver.attempts:
            driver.establish(driver.last_id)
    balancer = driver.balancer
    # Two endpoints have a quota of 400 connections each; 40 relays share 0.7 of the sum.
    assert 12 <= balancer.fleet.open_count <= 16 and rejected_count >= 44
    open_ids = [request_id for request_id, sent in driver.attempts.items() if sent[-1] == "a"]
    balancer.endpoints["a"].quota = QuotaBound(
        2.0, balancer.endpoints["a"].quota.eligible_relays
    )  # other endpoints have most of the quota
    migrations = []
    for _ in range(200):
        driver.now_ms += 100.0
        migrations += [
            action
            for action in driver.handle(MeasurementReported(open_ids[-1], 0, "a", "load", 0.0))
            if isinstance(action, MigrateConnection)
        ]
    assert 2 <= len(migrations) <= 8  # each of 40 relays migrates about one in five seconds
