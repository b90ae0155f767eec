"""Override operations issued by the laboratory's operator."""

from __future__ import annotations

import time

from sageturn.overrides.operations import (
    OperationType,
    OverrideOperation,
    OverridePayload,
    new_nonce,
)

LIFETIME_MS = 3_600_000.0
OPERATOR = "lab"
REASON = "measured"


def set_operation(
    override_id: str, payload: OverridePayload, created_at_ms: float | None = None
) -> OverrideOperation:
    """Return an operation that sets an override for an hour; ``created_at_ms`` defaults to now."""
    created_at_ms = time.time() * 1000.0 if created_at_ms is None else created_at_ms
    return OverrideOperation(
        override_id,
        OperationType.SET,
        1,
        created_at_ms,
        OPERATOR,
        REASON,
        created_at_ms + LIFETIME_MS,
        payload,
        nonce=new_nonce(),
    )


def revoke_operation(override_id: str) -> OverrideOperation:
    """Return an operation that revokes an override which has not changed since it was set."""
    return OverrideOperation(
        override_id,
        OperationType.REVOKE,
        2,
        time.time() * 1000.0,
        OPERATOR,
        REASON,
        0.0,
        None,
        nonce=new_nonce(),
    )
