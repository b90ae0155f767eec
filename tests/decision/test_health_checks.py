"""Load reports: strict parsing, the rate of health checks within their budget, and the effects of reports."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.balancer_driver import BalancerDriver
from support.load_reports import FIELDS, answers_health_checks
from support.network_fakes import (
    SETTINGS,
    EndpointScript,
    echo_lines,
    encode_request_line,
    exchange_line,
    never_respond,
    reset_connection,
    respond_with,
    running_relay,
    send_request,
)
from support.relay_checks import record_balancer_events

from sageturn import decision
from sageturn.decision.health_checks import (
    CHECK_INTERVAL_MS,
    HEALTH_CHECK_BUDGET_RATIO,
    MIN_FLEET_INTERVAL_MS,
    HealthCheckScheduler,
)
from sageturn.decision.load_reports import parse_report, select_usable_values

HEALTH_CHECK_SETTINGS: dict[str, Any] = {
    "probes": True,
    "reports": "probe",
    "report_fields": FIELDS,
    "health_check_cost": 0.0025,
    "reports_delay": False,
}


def make_checks(**change: Any) -> HealthCheckScheduler:
    settings = decision.Settings(
        classes=(decision.RequestClass("c", 500),), **{**HEALTH_CHECK_SETTINGS, **change}
    )
    return HealthCheckScheduler(settings, 80.0, Random(1))


# ---------------------------------------------------------------- reports


@pytest.mark.parametrize(
    ("text", "found", "why"),
    [
        (b" x0=0.5,x1=0,util=0.61\r\n", {"x0": 0.5, "x1": 0.0, "cpu": 0.61}, {}),
        (b"", {}, {}),
        (b"x0=nan,x1=inf,cpu=0x1", {}, {"malformed": 3}),
        (b"x0=-1,x1=99999,cpu=1e9", {}, {"absurd": 3}),
        (b"x0,=1,x1=1=1,cpu=1 ", {"cpu": 1.0}, {"malformed": 3}),
        (b"x0=1,x0=2,cpu=1,util=2", {"x0": 1.0, "cpu": 1.0}, {"malformed": 1, "twice": 1}),
        (b"x0=1,queue=4,mood=9", {"x0": 1.0}, {"unknown": 2}),
        (b"x0=1," * 40, {}, {"too long": 1}),
        (b"x0=" + b"1" * 600, {}, {"too long": 1}),
    ],
)
def test_a_report_is_read_strictly(text: bytes, found: dict[str, float], why: dict[str, int]) -> None:
    dropped: Counter[str] = Counter()
    assert parse_report(text, FIELDS, dropped) == found and +dropped == why


@given(st.binary(max_size=700))
def test_arbitrary_bytes_give_only_valid_numbers(text: bytes) -> None:
    found = parse_report(text, FIELDS, Counter())
    assert found.keys() <= set(FIELDS) and all(0.0 <= value <= 3600.0 for value in found.values())
    values = {"x0": math.nan, "x1": True, "cpu": "1", "rps": -1, "active": 3}
    assert select_usable_values(values) == {"active": 3.0}


# ---------------------------------------------------------------- schedule of health checks


@given(st.integers(1, 300), st.integers(1, 90), st.floats(0.0001, 0.1), st.integers(0, 40))
def test_checks_stay_within_their_budget_and_the_rate_per_endpoint(
    relays: int, endpoints: int, price: float, requests: int
) -> None:
    names = [f"s{number}" for number in range(endpoints)]
    checks = make_checks(relay_count=relays, health_check_cost=price)
    check_counts: Counter[str] = Counter()
    for tick in range(240):  # one minute
        if tick < requests:
            checks.record_request()
        check_counts.update(checks.take_due_endpoints(250.0 * tick, names))
    assert (
        endpoints
        <= check_counts.total()
        <= endpoints + max(1.0, requests * HEALTH_CHECK_BUDGET_RATIO / price) + 1e-6
    )
    min_interval_ms = 0.75 * max(CHECK_INTERVAL_MS, MIN_FLEET_INTERVAL_MS * relays)
    assert max(check_counts.values()) <= 60000.0 / min_interval_ms + 1.0


def test_an_endpoint_that_takes_no_health_checks_is_not_checked_again_while_listed() -> None:
    checks = make_checks(health_check_cost=0.0)
    assert checks.take_due_endpoints(0.0, "ab") == ["a", "b"]
    checks.record_request()
    checks.exclude_endpoint("a")
    assert checks.take_due_endpoints(5000.0, "ab") == ["b"]
    assert checks.take_due_endpoints(10000.0, "b") == [
        "b"
    ]  # a was removed, and counts as a new endpoint when it is listed again
    checks.record_request()
    assert sorted(checks.take_due_endpoints(15000.0, "ab")) == ["a", "b"]


# ---------------------------------------------------------------- reactions of the balancer to reports


def report_load(driver: BalancerDriver, endpoint: str, **report: float) -> list[decision.Action]:
    """Send the outcome of a health check of ``endpoint`` with ``report``. Return the actions."""
    return driver.handle(decision.HealthCheckCompleted(endpoint, "ok", report))


def establish_connections(driver: BalancerDriver, count: int) -> None:
    for _ in range(count):
        driver.send_request()
        driver.establish(driver.last_id)


def test_health_checks_are_made_only_where_they_are_allowed_and_useful() -> None:
    without = {"probes": False}, {"reports": "none"}, {"report_fields": ("rps",)}, {"reports_delay": True}
    for change in ({}, *without):
        driver = BalancerDriver([], **{**HEALTH_CHECK_SETTINGS, **change})
        actions = driver.handle(decision.EndpointListEvent("stale", [decision.Endpoint("a")]))
        timers = [action.tag for action in actions if isinstance(action, decision.SetTimer)]
        assert timers == ([] if change else ["probe"])
        if not change:
            assert driver.handle(decision.TimerFired("probe"))[0] == decision.CheckHealth("a")


def test_an_endpoint_reported_full_is_sent_nothing_and_one_beyond_it_is_relieved_once() -> None:
    # Without reports an endpoint at its limit was detected only once it reset connections.
    driver = BalancerDriver(
        [decision.Endpoint("a"), decision.Endpoint("b")],
        **HEALTH_CHECK_SETTINGS,
        tenants=(decision.Tenant("t", 90.0),),
    )
    establish_connections(driver, 20)
    open_count = driver.balancer.endpoints["a"].connections.open_count
    assert report_load(driver, "a", x0=0.7, x1=0.0) == [] and not driver.balancer.endpoints["a"].is_full()
    report_load(driver, "a", x0=0.78, x1=0.0)
    assert driver.balancer.endpoints["a"].is_full()
    migrations = report_load(driver, "a", x0=1.4, x1=0.4)
    assert len(migrations) in (open_count // 2, open_count // 2 + 1) and all(
        isinstance(action, decision.MigrateConnection) for action in migrations
    )
    driver.now_ms += 500.0
    assert report_load(driver, "a", x0=1.4, x1=0.4) == []  # no report shows the effect of the migrations yet
    for _ in range(60):
        driver.now_ms += 1000.0
        assert report_load(driver, "a", x0=0.4, x1=0.0) == []
        driver.balancer.reevaluate_endpoints(driver.now_ms)
    assert not driver.balancer.endpoints["a"].is_full()


def test_reports_in_answers_count_and_failed_health_checks_eject_no_endpoint() -> None:
    settings = {**HEALTH_CHECK_SETTINGS, "reports": "answers", "tenants": (decision.Tenant("t", 90.0),)}
    driver = BalancerDriver([decision.Endpoint("a"), decision.Endpoint("b")], **settings)
    driver.send_request()
    name = driver.attempts[1][0]
    driver.handle(decision.AttemptEnded(1, 0, name, "full", False, {"x0": 0.9}))
    assert driver.balancer.endpoints[name].is_full()
    for status in ("timeout", "connect_failed", "error", "moot") * 5:
        driver.handle(decision.HealthCheckCompleted("a", status))
        driver.handle(decision.HealthCheckCompleted("zz", status, {"x0": 5.0}))
    assert driver.balancer.endpoints["a"].ready


def test_without_recent_reports_the_relays_own_load_signals_count_again() -> None:
    driver = BalancerDriver([decision.Endpoint("a"), decision.Endpoint("b")], **HEALTH_CHECK_SETTINGS)
    assert not driver.balancer.fleet.measures_delay()
    report_load(driver, "a", x0=0.2)
    assert driver.balancer.fleet.measures_delay()
    driver.now_ms += 5001.0
    driver.handle(decision.ConnectionEstablished(99, 0, "a"))
    assert not driver.balancer.fleet.measures_delay()


# ---------------------------------------------------------------- health checks over loopback


@pytest.mark.parametrize(
    ("words", "outcomes"),
    [
        ((b"PONG x0=0.5,x1=0.1,cpu=0.4\r\n",), [("ok", {"x0": 0.5, "x1": 0.1, "cpu": 0.4})]),
        ((b"PO|NG x0=0.|5\r\n",), [("ok", {"x0": 0.5})]),
        ((b"PONG x0=-3,y=1\r\n",), [("ok", {})]),
        ((b"ERR\r\n", b"NO\r\n"), [("error", {}), ("refused", {})]),
        ((b"PONG x0=1\r\nPONG x0=2\r\n",), [("error", {})]),
        ((b"PONG " + b"x" * 900,), [("error", {})]),
        ((b"PONG x0=0.5\r\n", b"", b"PONG x0=0.6\r\n"), [("ok", {"x0": 0.5}), ("ok", {"x0": 0.6})]),
        ((b"PONG half",), [("timeout", {})]),
    ],
)
async def test_a_health_check_ends_in_one_outcome_whatever_comes_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, words: tuple[bytes, ...], outcomes: list[Any]
) -> None:
    monkeypatch.setattr("sageturn.net.health_check_client.RESPONSE_TIMEOUT_S", 0.3)
    monkeypatch.setitem(SETTINGS, "policyLimits", {**SETTINGS["policyLimits"], "probes": True})
    monkeypatch.setitem(SETTINGS, "report", {"source": "probe", "fields": list(FIELDS)})
    script, seen = answers_health_checks(*words)

    async with running_relay(tmp_path, script) as (relay, _):
        assert relay.health_check_client is not None
        completed: asyncio.Queue[decision.HealthCheckCompleted] = asyncio.Queue()
        relay.health_check_client.on_completed = completed.put
        # The test starts the checks itself.
        relay.balancer_actor.check_endpoint_health = lambda endpoint: None
        for status, report in outcomes:
            relay.health_check_client.start_check("a")
            relay.health_check_client.start_check("a")  # ignored while a check is running
            assert await completed.get() == decision.HealthCheckCompleted("a", status, report)
            while relay.health_check_client.in_flight_check_count:
                await asyncio.sleep(0)
        assert len(seen) == len(words) and set(seen) == {b"STATS\r\n"} and completed.empty()
        assert await exchange_line(relay.listener.address, encode_request_line()) == b"UP r1\r\n"


@pytest.mark.parametrize("script", [never_respond, reset_connection])
async def test_an_endpoint_that_never_answers_health_checks_serves_its_clients(
    tmp_path: Path, script: EndpointScript
) -> None:
    async with running_relay(tmp_path, echo_lines, script) as (relay, _):
        assert relay.health_check_client is None  # these settings allow no health checks
        assert await exchange_line(relay.listener.address, encode_request_line()) == b"UP r1\r\n"


async def test_a_report_after_a_final_response_is_no_broken_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # BYE followed by a report was handled as a broken connection.
    monkeypatch.setitem(SETTINGS, "report", {"source": "answers", "fields": list(FIELDS)})

    async with running_relay(tmp_path, respond_with(b"UP r\r\nBYE x0=0.25,util=0.5\r\n")) as (relay, _):
        handled = record_balancer_events(relay, monkeypatch)
        reader, writer = await send_request(
            relay.listener.address, encode_request_line(extra_parameters=",r=1")
        )
        assert await reader.read() == b"UP r\r\nBYE x0=0.25,util=0.5\r\n"
        writer.close()
        while not any(isinstance(event, decision.AttemptEnded) for event in handled):
            await asyncio.sleep(0.01)
        (ended,) = [event for event in handled if isinstance(event, decision.AttemptEnded)]
        assert (ended.status, ended.report) == ("ok", {"x0": 0.25, "cpu": 0.5})
        assert [event.is_retry for event in handled if hasattr(event, "is_retry")] == [True]
