"""Loads that connections report: their sums return to zero as connections end, for any loads."""

from __future__ import annotations

from random import Random

import pytest
from support.balancer_driver import BalancerDriver

from sageturn import ClientDisconnected, Endpoint, MeasurementReported
from sageturn.decision.events import MeasurementKind

LOADS = (0.0, 0.0, 1.0, 300.0)


def report_load(driver: BalancerDriver, request_id: int, load: float) -> None:
    endpoint = driver.attempts[request_id][-1]
    driver.handle(MeasurementReported(request_id, 0, endpoint, MeasurementKind.LOAD, load))


def test_a_connection_that_reports_no_load_at_all_is_counted_once_and_only_while_it_is_open() -> None:
    # Each such report was counted as another connection, and never subtracted: the endpoint appeared to hold
    # a negative load, and was sent all requests.
    driver = BalancerDriver([Endpoint("a")], reports_delay=False)
    driver.send_request()
    driver.establish(driver.last_id)
    for _ in range(3):
        report_load(driver, driver.last_id, 0.0)
    load = driver.balancer.endpoints["a"].load
    assert load.reported_count == 1
    driver.end_attempt(driver.last_id, "ok", final=True)
    assert load.reported_count == 0


@pytest.mark.parametrize("seed", range(20))
def test_sums_of_reported_loads_are_those_of_the_open_connections(seed: int) -> None:
    rng = Random(seed)
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")], seed, reports_delay=False)
    reported: dict[int, float] = {}
    for _ in range(400):
        driver.now_ms += 200.0
        driver.send_request()
        if driver.last_id in driver.attempts:
            driver.establish(driver.last_id)
            reported[driver.last_id] = 0.0
        for request_id in rng.sample(sorted(reported), len(reported) // 2):
            reported[request_id] = rng.choice(LOADS)
            report_load(driver, request_id, reported[request_id])
        for request_id in [each for each in reported if rng.random() < 0.2]:
            del reported[request_id]
            if rng.random() < 0.5:
                driver.handle(ClientDisconnected(request_id))
            driver.end_attempt(request_id, "ok", final=True)
    for request_id in list(reported):
        driver.end_attempt(request_id, "ok", final=True)
    for endpoint in driver.balancer.endpoints.values():
        assert endpoint.load.reported_count == 0
        assert endpoint.load.reported_load == pytest.approx(0.0, abs=1e-6)
        assert endpoint.connections.open_count == 0
