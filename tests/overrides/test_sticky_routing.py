"""Sticky routing: pins bind the requests that they select to endpoints."""

from __future__ import annotations

from support.override_records import HOUR_MS, START_MS, make_operation, make_pin
from support.override_registry import RegistryDriver


def test_pins_select_their_traffic_and_intersect() -> None:
    driver = RegistryDriver()
    driver.apply(
        make_operation("p1", make_pin("a", "b", strict=True, class_name="c")),
        make_operation("p2", make_pin("b", "c", strict=True, tenant="t")),
        make_operation("p3", make_pin("d", group_prefix="tet-")),
    )
    assert driver.resolver.sticky_route("x", "u", "") is None
    assert driver.sticky_route("c", "u").required == frozenset("ab")
    assert driver.sticky_route("c", "t").required == frozenset("b")
    both = driver.sticky_route("c", "u", "tet-1")
    assert both.required == frozenset("ab") and both.preferred == frozenset("d")
    driver.advance_to(START_MS + HOUR_MS)
    assert driver.resolver.sticky_route("c", "t", "tet-1") is None
