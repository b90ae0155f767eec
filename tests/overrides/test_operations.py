"""Computation of an override from valid operations in any order, within the maximum duration."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.override_records import (
    HOUR_MS,
    PUBLIC_KEYS,
    START_MS,
    make_extension,
    make_operation,
    make_out_of_service,
    make_revocation,
    make_signed_record,
)
from support.override_registry import RegistryDriver, make_endpoint, make_registry

from sageturn.overrides.audit import AuditAction
from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.model import fold_operations
from sageturn.overrides.operation_log import OverrideRecord
from sageturn.overrides.operations import OperationType, OverrideOperation
from sageturn.overrides.signing import parse_operation


def test_extension_revocation_and_maximum_duration() -> None:
    driver = RegistryDriver(max_duration_s=7200.0)
    driver.apply(make_operation("o1", make_out_of_service("a"), expires_at_ms=START_MS + 100 * HOUR_MS))
    assert driver.registry.overrides["o1"].expires_at_ms == START_MS + 2 * HOUR_MS
    extension_times = {"created_at_ms": START_MS + HOUR_MS, "expires_at_ms": START_MS + 2.5 * HOUR_MS}
    driver.apply(make_extension("o1", revision=2, operator="mai", **extension_times))
    assert driver.registry.overrides["o1"].expiry_set_by == "mai"
    driver.advance_to(START_MS + 2 * HOUR_MS)
    assert driver.state("a") == "draining"
    driver.apply(make_revocation("o1", revision=3, created_at_ms=START_MS + 2 * HOUR_MS))
    assert driver.state("a") == "ready" and driver.status("o1") == "revoked"
    late_extension_times = {"created_at_ms": START_MS + 2 * HOUR_MS, "expires_at_ms": START_MS + 3 * HOUR_MS}
    driver.apply(make_extension("o1", revision=9, nonce="1" * 8, **late_extension_times))
    assert driver.status("o1") == "revoked", "an extension from the other side of a split revives nothing"
    assert [operation.type for operation in driver.registry.operation_log.history("o1")] == [
        OperationType.SET,
        OperationType.EXTEND,
        OperationType.REVOKE,
        OperationType.EXTEND,
    ]


def tampered_records(key: str, value: dict[str, Any]) -> list[OverrideRecord]:
    """Return records that each differ in one way from the signed record, or are not a valid operation."""
    values: list[Any] = [
        {**value, "until_ms": START_MS + 2 * HOUR_MS},
        {**value, "operator": "mai"},
        {**value, "signature": "AAAA"},
        {**value, "why": " "},
        5,
        {},
        {**value, "body": {**value["body"], "zone": "z1"}},
        {**value, "extra": 1},
        {**value, "body": {"does": "weight", "host": "a", "factor": 9}},
        {**value, "body": {"does": "pin", "hosts": []}},
        {**value, "until_ms": float("nan")},
    ]
    records = [OverrideRecord(key, tampered) for tampered in values]
    return [*records, OverrideRecord(key.replace("o1", "o2"), value)]


def test_tampered_records_and_unknown_operators_are_rejected() -> None:
    key, value = make_signed_record(make_operation("o1", make_out_of_service("a")))
    driver = RegistryDriver()
    for record in tampered_records(key, value):
        driver.registry.audit.events.clear()
        assert driver.apply_records(record) == []
        assert driver.audit_actions == [AuditAction.REJECTED], record
    with pytest.raises(InvalidOperationError, match="not known here"):
        parse_operation(key, value, {"mai": PUBLIC_KEYS["mai"]})
    driver.apply_records(OverrideRecord(key, value))
    assert driver.state("a") == "draining" and driver.rejected_records.get(key) is None
    driver.apply_records(OverrideRecord(key, {**value, "until_ms": START_MS + 9 * HOUR_MS}))
    assert driver.registry.overrides["o1"].expires_at_ms == START_MS + HOUR_MS, "operations are immutable"
    driver.set_options(operators={"mai": PUBLIC_KEYS["mai"]})
    assert driver.state("a") == "ready" and key in driver.rejected_records


def test_a_rejected_record_that_is_deleted_is_not_reported_any_more() -> None:
    # The command deletes records that a relay rejects. The relay must then stop reporting them at once, not
    # only after a restart.
    key, value = make_signed_record(make_operation("o1", make_out_of_service("a")))
    driver = RegistryDriver()
    driver.apply_records(OverrideRecord(key, {**value, "until_ms": START_MS + 9 * HOUR_MS}))
    assert key in driver.rejected_records
    driver.apply_records(OverrideRecord(key, None))
    assert driver.rejected_records == {}


@st.composite
def operations_on_one_override(draw: st.DrawFn) -> OverrideOperation:
    operation_type = draw(
        st.sampled_from([OperationType.SET, OperationType.EXTEND, OperationType.EXTEND, OperationType.REVOKE])
    )
    expires_after_ms = draw(st.integers(1, 99))
    return make_operation(
        "o1",
        make_out_of_service("a") if operation_type is OperationType.SET else None,
        operation_type,
        revision=draw(st.integers(1, 4)),
        created_at_ms=START_MS + draw(st.integers(0, 9)),
        expires_at_ms=0.0 if operation_type is OperationType.REVOKE else START_MS + expires_after_ms,
        operator=draw(st.sampled_from(["lan", "mai"])),
        nonce=f"{draw(st.integers(0, 3)):08x}",
    )


OPERATIONS = st.lists(operations_on_one_override(), max_size=8, unique_by=lambda operation: operation.key)


@given(OPERATIONS, st.randoms(use_true_random=False))
def test_operations_fold_to_the_same_override_in_any_order(
    operations: list[OverrideOperation], shuffler: random.Random
) -> None:
    # The result depends only on the set of operations: folding is commutative, idempotent and associative.
    shuffled = operations + operations[: len(operations) // 2]
    shuffler.shuffle(shuffled)
    assert fold_operations(operations, 1e9) == fold_operations(shuffled, 1e9)
    at_once, one_by_one = make_registry(), make_registry()
    for registry in (at_once, one_by_one):
        registry.apply_endpoint_list([make_endpoint("a")], True, START_MS)
    at_once.apply_records([make_signed_record(operation) for operation in operations], START_MS)
    for operation in shuffled:
        one_by_one.apply_records([make_signed_record(operation)], START_MS)
    assert at_once.overrides == one_by_one.overrides
    assert (
        at_once.effective_endpoint("a", START_MS).state == one_by_one.effective_endpoint("a", START_MS).state
    )
