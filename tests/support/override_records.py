"""Makes signed override records for tests."""

from __future__ import annotations

from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from sageturn.overrides.operation_log import OverrideRecord
from sageturn.overrides.operations import (
    OperationType,
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
)
from sageturn.overrides.signing import sign_operation

KEYS = {name: Ed25519PrivateKey.generate() for name in ("lan", "mai")}
PUBLIC_KEYS = {name: key.public_key() for name, key in KEYS.items()}
HOUR_MS = 3_600_000.0
START_MS = 1.8e12


def make_operation(
    override_id: str,
    payload: OverridePayload | None = None,
    operation_type: OperationType = OperationType.SET,
    **fields: Any,
) -> OverrideOperation:
    """An operation by ``lan`` at ``START_MS`` for one hour, unless ``fields`` say otherwise."""
    defaults = {
        "revision": 1,
        "created_at_ms": START_MS,
        "operator": "lan",
        "reason": "test",
        "expires_at_ms": START_MS + HOUR_MS,
        "nonce": "0" * 8,
    }
    if operation_type is OperationType.REVOKE:
        defaults["expires_at_ms"] = 0.0
    return OverrideOperation(override_id, operation_type, **{**defaults, "payload": payload, **fields})


def make_extension(override_id: str, **fields: Any) -> OverrideOperation:
    return make_operation(override_id, operation_type=OperationType.EXTEND, **fields)


def make_revocation(override_id: str, **fields: Any) -> OverrideOperation:
    return make_operation(override_id, operation_type=OperationType.REVOKE, **fields)


def out_of_service(endpoint: str, **fields: Any) -> OverridePayload:
    selector = Selector(SelectorAttribute.ENDPOINT, endpoint)
    return OverridePayload(OverrideKind.OUT_OF_SERVICE, selector, **fields)


def zone_out_of_service(zone: str) -> OverridePayload:
    return OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ZONE, zone))


def weight(attribute: SelectorAttribute, value: str, factor: float) -> OverridePayload:
    return OverridePayload(OverrideKind.WEIGHT, Selector(attribute, value), factor=factor)


def pin(*endpoints: str, **fields: Any) -> OverridePayload:
    return OverridePayload(OverrideKind.PIN, endpoints=endpoints, **fields)


def signed_record(operation: OverrideOperation) -> OverrideRecord:
    """The store key and value of an operation."""
    return OverrideRecord(operation.key, sign_operation(operation, KEYS[operation.operator]))
