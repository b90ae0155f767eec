"""The registry on a simulated clock: overrides take effect and expire, and endpoints return to service."""

from __future__ import annotations

import pytest
from support.override_records import (
    HOUR_MS,
    START_MS,
    make_extension,
    make_operation,
    make_out_of_service,
    make_revocation,
    make_weight,
    make_zone_out_of_service,
)
from support.override_registry import SLOW_START_MS, RegistryDriver, make_endpoint

from sageturn.overrides.audit import AuditAction
from sageturn.overrides.operations import OverrideKind, OverridePayload, Selector, SelectorAttribute


def test_out_of_service_takes_effect_and_ends_at_its_expiry() -> None:
    driver = RegistryDriver()
    changed = driver.apply(make_operation("o1", make_out_of_service("a", migrate_connections=True)))
    assert [endpoint.name for endpoint in changed] == ["a"]
    assert driver.state("a") == "draining" and driver.resolver.effect("a").migrate_connections
    assert driver.advance_to(START_MS + HOUR_MS - 1) == [] and driver.state("a") == "draining"
    assert driver.registry.next_change_ms(driver.now_ms) == START_MS + HOUR_MS
    driver.advance_to(START_MS + HOUR_MS)
    assert driver.state("a") == "ready" and driver.status("o1") == "lapsed"
    assert driver.endpoints["a"].started_at_ms == START_MS + HOUR_MS, (
        "it returns as an endpoint that has just started"
    )
    assert driver.audit_actions == [AuditAction.SET, AuditAction.EXPIRED]


def test_a_weight_is_regained_no_faster_than_in_slow_start() -> None:
    driver = RegistryDriver()
    driver.apply(make_operation("w1", make_weight(SelectorAttribute.ZONE, "z1", 0.25)))
    factors = {name: endpoint.factor for name, endpoint in driver.endpoints.items()}
    assert factors == {"a": 0.25, "b": 0.25, "c": 1.0, "d": 1.0}
    observed_factors = [0.25]
    max_step = 0.88 / SLOW_START_MS * 1000.0
    for second in range(60):
        driver.advance_to(START_MS + HOUR_MS + second * 1000.0)
        observed_factors.append(driver.endpoints["a"].factor)
        assert observed_factors[-1] - observed_factors[-2] <= max_step + 1e-9
    assert (
        observed_factors[-1] == 1.0
        and observed_factors == sorted(observed_factors)
        and driver.registry.next_change_ms(driver.now_ms) is None
    )


def test_an_endpoint_that_joins_an_overridden_zone_is_selected() -> None:
    driver = RegistryDriver()
    driver.apply(make_operation("o1", make_zone_out_of_service("z2")))
    driver.update_list(make_endpoint("e"))
    assert driver.state("e") == "draining"
    driver.apply_list([make_endpoint(name) for name in "abcdefg"])
    assert driver.draining_endpoints() == list("cdefg")
    driver.apply_list([make_endpoint(name, zone="z3") for name in "abcdefg"])
    assert not driver.draining_endpoints()


def test_an_endpoint_that_returns_under_its_name_is_selected_again() -> None:
    driver = RegistryDriver()
    driver.apply(
        make_operation("o1", make_out_of_service("a")),
        make_operation("o2", make_out_of_service("b", process_started_at_ms=5.0)),
    )
    assert driver.status("o1") == "in force" and driver.status("o2") == "dormant"
    driver.update_list(make_endpoint("b", started_at_ms=5.0))
    assert driver.state("b") == "draining"
    driver.update_list(make_endpoint("a", state="gone"), make_endpoint("b", state="gone"))
    assert driver.status("o1") == driver.status("o2") == "dormant"
    driver.update_list(make_endpoint("a", started_at_ms=9.0), make_endpoint("b", started_at_ms=9.0))
    assert driver.state("a") == "draining" and driver.endpoints["a"].started_at_ms == 9.0
    assert driver.state("b") == "ready" and driver.endpoints["b"].started_at_ms == 9.0


def test_discovery_takes_precedence_and_an_expiry_does_not_end_its_drain() -> None:
    driver = RegistryDriver()
    driver.apply(
        make_operation("o1", make_out_of_service("a")),
        make_operation("w", make_weight(SelectorAttribute.ENDPOINT, "b", 2.0)),
    )
    driver.update_list(make_endpoint("a", state="draining"), make_endpoint("b", state="draining"))
    driver.advance_to(START_MS + 2 * HOUR_MS)
    assert driver.state("a") == driver.state("b") == "draining"
    driver.update_list(make_endpoint("a", state="gone"))
    assert driver.state("a") == "gone" and "a" not in driver.resolver.endpoints


def test_an_override_that_expired_while_the_relay_was_down_never_takes_effect() -> None:
    driver = RegistryDriver()
    driver.now_ms = START_MS + HOUR_MS + 1
    assert driver.apply(make_operation("o1", make_out_of_service("a"))) == [] and driver.state("a") == "ready"
    assert driver.registry.audit.events == [] and driver.status("o1") == "lapsed"


def test_a_backward_clock_step_restores_no_override_and_a_forward_step_expires_them() -> None:
    driver = RegistryDriver()
    driver.apply(
        make_operation("o1", make_out_of_service("a")),
        make_operation("o2", make_out_of_service("b"), expires_at_ms=START_MS + 3 * HOUR_MS),
    )
    driver.advance_to(START_MS + 2 * HOUR_MS)
    driver.advance_to(START_MS)  # the clock is stepped back two hours
    assert (
        driver.state("a") == "ready" and driver.status("o1") == "lapsed" and driver.state("b") == "draining"
    )
    driver.apply(make_extension("o1", revision=2, expires_at_ms=START_MS + 2 * HOUR_MS))
    assert driver.state("a") == "draining", "a later operation counts"
    driver.advance_to(START_MS + 4 * HOUR_MS)
    assert driver.state("a") == driver.state("b") == "ready"


def test_the_smallest_weight_applies_and_out_of_service_takes_precedence() -> None:
    driver = RegistryDriver()
    driver.apply(
        make_operation("w1", make_weight(SelectorAttribute.ENDPOINT, "a", 2.0)),
        make_operation("w2", make_weight(SelectorAttribute.KIND, "k", 0.5)),
        make_operation("h1", OverridePayload(OverrideKind.HOLD, Selector(SelectorAttribute.CELL, "0"))),
    )
    assert driver.endpoints["a"].factor == 0.5 and driver.resolver.effect("c").rebalance_excluded
    driver.apply(make_operation("o1", make_out_of_service("a")))
    override_ids = driver.resolver.effect("a").override_ids
    assert driver.state("a") == "draining" and override_ids == ("h1", "o1", "w1", "w2")


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
def test_an_endpoint_returns_in_slow_start_after_a_clock_step(step_ms: float) -> None:
    # The balancer must receive the time of return in the relay's time. The system's clock may be an hour off.
    driver = RegistryDriver()
    relay_ms = driver.now_ms
    driver.apply(make_operation("o1", make_out_of_service("a"), expires_at_ms=START_MS + 2 * HOUR_MS))
    driver.now_ms += step_ms
    driver.registry.wall_clock_shift_ms = step_ms
    driver.apply(make_revocation("o1", revision=2, created_at_ms=START_MS + 1))
    assert driver.state("a") == "ready" and driver.endpoints["a"].started_at_ms == relay_ms
    driver.apply(
        make_operation(
            "w1",
            make_weight(SelectorAttribute.ENDPOINT, "b", 0.1),
            created_at_ms=START_MS + 2,
            expires_at_ms=START_MS + 2 * HOUR_MS,
        )
    )
    driver.apply(make_revocation("w1", revision=2, created_at_ms=START_MS + 3))
    assert driver.endpoints["b"].factor == pytest.approx(0.1)
    driver.advance_to(driver.now_ms + SLOW_START_MS / 4)
    assert 0.1 < driver.endpoints["b"].factor < 0.5


def test_a_thousand_overrides_expire_at_the_same_time() -> None:
    driver = RegistryDriver("")
    names = [f"h{number}" for number in range(1000)]
    driver.apply_list([make_endpoint(name) for name in names])
    driver.apply(*(make_operation(f"o-{name}", make_out_of_service(name)) for name in names))
    assert all(driver.state(name) == "draining" for name in names)
    assert len(driver.advance_to(START_MS + HOUR_MS)) == 1000
    assert all(driver.state(name) == "ready" for name in names) and not driver.resolver.overrides
