"""A registry that is updated incrementally equals one that is rebuilt from all operations."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from support.override_records import make_operation, make_pin, make_revocation, make_signed_record
from support.override_registry import RegistryDriver, make_endpoint, make_registry

from sageturn.overrides.operations import (
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
)
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.registry import OverrideRegistry

LIMITS = SafetyLimits(0.4, 0.3, 0.2)


class IncrementalRegistry(RuleBasedStateMachine):
    """State machine that compares an incrementally updated registry with a rebuilt one."""

    @initialize()
    def start(self) -> None:
        self.driver = RegistryDriver("abcdef", safety_limits=LIMITS)
        self.operations: list[OverrideOperation] = []
        self.listed = {name: make_endpoint(name) for name in "abcdef"}

    def apply(self, operation: OverrideOperation) -> None:
        self.operations.append(operation)
        self.driver.apply(operation)

    @rule(
        kind=st.sampled_from(list(OverrideKind)),
        name=st.sampled_from("abcdef"),
        attribute=st.sampled_from([SelectorAttribute.ENDPOINT, SelectorAttribute.ZONE]),
        factor=st.sampled_from([0.1, 0.5, 2.0]),
        length_s=st.integers(1, 20),
        forced=st.booleans(),
    )
    def set_override(
        self,
        kind: OverrideKind,
        name: str,
        attribute: SelectorAttribute,
        factor: float,
        length_s: int,
        forced: bool,
    ) -> None:
        if kind is OverrideKind.PIN:
            payload = make_pin(name, strict=forced, class_name="c")
        else:
            value = name if attribute is SelectorAttribute.ENDPOINT else self.listed[name].zone
            payload = OverridePayload(
                kind, Selector(attribute, value), factor=factor if kind is OverrideKind.WEIGHT else 1.0
            )
        now_ms = self.driver.now_ms
        self.apply(
            make_operation(
                f"x{len(self.operations)}",
                payload,
                created_at_ms=now_ms,
                expires_at_ms=now_ms + length_s * 1000.0,
                forced=forced,
            )
        )

    @rule(index=st.integers(0, 50))
    def revoke(self, index: int) -> None:
        if not self.operations:
            return
        override_id = self.operations[index % len(self.operations)].override_id
        operation = make_revocation(override_id, revision=2, created_at_ms=self.driver.now_ms)
        if operation.key not in {applied.key for applied in self.operations}:
            self.apply(operation)

    @rule(name=st.sampled_from("abcdef"), state=st.sampled_from(["ready", "draining", "gone"]))
    def update_list(self, name: str, state: str) -> None:
        self.listed[name] = make_endpoint(name, state=state)
        self.driver.update_list(self.listed[name])

    @rule(seconds=st.integers(1, 30))
    def wait(self, seconds: int) -> None:
        self.driver.advance_to(self.driver.now_ms + seconds * 1000.0)

    def rebuild(self) -> OverrideRegistry:
        now_ms = self.driver.now_ms
        rebuilt = make_registry(safety_limits=LIMITS)
        present = [listed for listed in self.listed.values() if listed.state != "gone"]
        rebuilt.apply_endpoint_list(present, True, now_ms)
        rebuilt.apply_records([make_signed_record(operation) for operation in self.operations], now_ms)
        return rebuilt

    @invariant()
    def equals_rebuilt_registry(self) -> None:
        if not hasattr(self, "driver"):
            return
        actual, expected = self.driver.resolver, self.rebuild().resolver
        assert actual.suspended == expected.suspended
        assert actual.effects == expected.effects
        for name in expected.endpoints:
            is_ready = expected.endpoints[name].state == "ready" and not expected.effect(name).out_of_service
            assert (self.driver.endpoints[name].state == "ready") == is_ready
        assert actual.sticky_route("c", "t", "") == expected.sticky_route("c", "t", "")
        for pool, available in expected.guard.available.items():
            assert actual.guard.available[pool] == pytest.approx(available)


TestIncrementalRegistry = IncrementalRegistry.TestCase
TestIncrementalRegistry.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
