"""Overrides that would leave too little capacity are suspended, the newest first, and resume later."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.override_records import (
    START_MS,
    make_operation,
    make_out_of_service,
    make_pin,
    make_revocation,
)
from support.override_registry import RegistryDriver, make_endpoint

from sageturn.overrides.audit import AuditAction
from sageturn.overrides.operations import OverrideOperation
from sageturn.overrides.options import SafetyLimits

HALF_OF_ALL_AND_OF_EACH_ZONE = SafetyLimits(0.5, 0.5, 0.0)
# Each is within the limits alone; together they would leave no capacity in zone z1.
FIRST = make_operation("o1", make_out_of_service("a"))
SECOND = make_operation("o2", make_out_of_service("b"), created_at_ms=START_MS + 1, operator="mai")


@pytest.mark.parametrize("order", [(FIRST, SECOND), (SECOND, FIRST)], ids=["in order", "newest first"])
def test_safety_limits_suspend_the_later_override_in_whatever_order_they_arrive(
    order: tuple[OverrideOperation, ...],
) -> None:
    driver = RegistryDriver(safety_limits=HALF_OF_ALL_AND_OF_EACH_ZONE)
    for operation in order:
        driver.apply(operation)
    assert driver.state("a") == "draining" and driver.state("b") == "ready"
    assert "0.0 of 2.0 in zone z1" in driver.resolver.suspended["o2"]
    assert driver.status("o2") == "suspended"
    driver.apply(make_revocation("o1", revision=2))
    assert driver.state("a") == "ready" and driver.state("b") == "draining"
    assert {AuditAction.SUSPENDED, AuditAction.RESUMED} <= set(driver.audit_actions)


def test_a_forced_override_is_not_suspended() -> None:
    driver = RegistryDriver(safety_limits=HALF_OF_ALL_AND_OF_EACH_ZONE)
    driver.apply(FIRST, replace(SECOND, forced=True))
    assert driver.state("a") == driver.state("b") == "draining"


def test_the_newest_override_is_suspended_when_endpoints_leave() -> None:
    driver = RegistryDriver("abcdef", safety_limits=SafetyLimits(0.5, 0.0, 0.0))
    driver.apply(
        make_operation("o1", make_out_of_service("a")),
        make_operation("o2", make_out_of_service("b"), created_at_ms=START_MS + 1),
    )
    assert driver.state("a") == driver.state("b") == "draining"
    driver.update_list(*(make_endpoint(name, state="gone") for name in "efd"))
    assert driver.state("a") == "draining" and driver.state("b") == "ready"
    driver.update_list(*(make_endpoint(name) for name in "def"))
    assert driver.state("b") == "draining"


def test_a_pin_that_leaves_too_little_is_suspended() -> None:
    driver = RegistryDriver("abcdef", safety_limits=SafetyLimits(0.0, 0.0, 0.3))
    driver.apply(make_operation("p1", make_pin("a", strict=True, class_name="c")))
    assert "1.0 of 6.0 to what it pins" in driver.resolver.suspended["p1"]
    assert driver.resolver.sticky_route("c", "t", "") is None
    driver.apply(make_operation("p2", make_pin("a", class_name="c"), created_at_ms=START_MS + 1))
    assert driver.sticky_route("c", "t").preferred == frozenset("a")


def test_a_revocation_readmits_a_later_override_on_the_same_endpoint_at_its_full_reduction() -> None:
    # The later override was charged no capacity, since the revoked one had already taken the endpoint out of
    # service. After the revocation it must be admitted again with its full reduction.
    driver = RegistryDriver(safety_limits=SafetyLimits(0.5, 0.4, 0.3))
    driver.apply(make_operation("o1", make_out_of_service("a")))
    driver.apply(make_operation("o2", make_out_of_service("b"), created_at_ms=START_MS + 1, forced=True))
    driver.apply(make_operation("o3", make_out_of_service("a"), created_at_ms=START_MS + 2))
    assert driver.resolver.suspended == {}
    driver.apply(make_revocation("o1", revision=2, created_at_ms=START_MS + 3))
    assert list(driver.resolver.suspended) == ["o3"]
    assert driver.state("a") == "ready" and driver.state("b") == "draining"
