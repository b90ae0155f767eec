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

PRIVATE_KEYS = {name: Ed25519PrivateKey.generate() for name in ("lan", "mai")}
PUBLIC_KEYS = {name: key.public_key() for name, key in PRIVATE_KEYS.items()}
HOUR_MS = 3_600_000.0
START_MS = 1.8e12


def make_operation(
    override_id: str,
    payload: OverridePayload | None = None,
    operation_type: OperationType = OperationType.SET,
    **fields: Any,
) -> OverrideOperation:
    """Return an operation, by default by ``lan`` at ``START_MS`` with an expiry one hour later."""
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
    """Return an operation that extends an override."""
    return make_operation(override_id, operation_type=OperationType.EXTEND, **fields)


def make_revocation(override_id: str, **fields: Any) -> OverrideOperation:
    """Return an operation that revokes an override."""
    return make_operation(override_id, operation_type=OperationType.REVOKE, **fields)


def make_out_of_service(endpoint: str, **fields: Any) -> OverridePayload:
    """Return the payload that takes ``endpoint`` out of service."""
    selector = Selector(SelectorAttribute.ENDPOINT, endpoint)
    return OverridePayload(OverrideKind.OUT_OF_SERVICE, selector, **fields)


def make_zone_out_of_service(zone: str) -> OverridePayload:
    """Return the payload that takes all endpoints of ``zone`` out of service."""
    return OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ZONE, zone))


def make_weight(attribute: SelectorAttribute, value: str, factor: float) -> OverridePayload:
    """Return the payload that multiplies the weight of the selected endpoints by ``factor``."""
    return OverridePayload(OverrideKind.WEIGHT, Selector(attribute, value), factor=factor)


def make_pin(*endpoints: str, **fields: Any) -> OverridePayload:
    """Return the payload that pins the requests selected by ``fields`` to ``endpoints``."""
    return OverridePayload(OverrideKind.PIN, endpoints=endpoints, **fields)


def make_signed_record(operation: OverrideOperation) -> OverrideRecord:
    """Return the store key and value of an operation, signed by its operator."""
    return OverrideRecord(operation.key, sign_operation(operation, PRIVATE_KEYS[operation.operator]))
