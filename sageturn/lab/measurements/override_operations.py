"""Operations on overrides as the lab's operator issues them."""

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
    """Returns an operation that sets an override for an hour, from now on if no time is given."""
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
    """Returns an operation that revokes an override that was set and not changed since."""
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
