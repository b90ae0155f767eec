"""Computes an override from all operations on it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from sageturn.overrides.operations import OperationType, OverrideOperation, OverridePayload


class AdmissionRank(NamedTuple):
    """Sort key for admission under the safety limits: the oldest first, in the same order on every relay."""

    created_at_ms: float
    override_id: str


@dataclass(frozen=True, slots=True)
class Override:
    """Override that results from all operations on it.

    Times are milliseconds of Unix time. From ``expires_at_ms`` on the override is no longer in force.
    """

    id: str
    payload: OverridePayload
    created_by: str
    created_at_ms: float
    reason: str
    expires_at_ms: float
    expiry_set_by: str  # operator whose operation determines the expiry
    revision: int  # highest revision of its operations
    revoked_by: str = ""
    forced: bool = False

    @property
    def is_revoked(self) -> bool:
        """True if an operator has ended the override by a revoke operation."""
        return bool(self.revoked_by)

    @property
    def admission_rank(self) -> AdmissionRank:
        """Sort key of the override for admission under the safety limits."""
        return AdmissionRank(self.created_at_ms, self.id)

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the override's expiry has passed, whether or not it was revoked."""
        return now_ms >= self.expires_at_ms


def fold_operations(operations: Iterable[OverrideOperation], max_duration_ms: float) -> Override | None:
    """Return the override that results from these operations; None while its set operation is missing.

    - If several set operations have the same override id, the one with the smallest key counts.
    - The expiry is that of the last set or extend operation (by revision, time, key), but no later than
      ``max_duration_ms`` after that operation was created.
    - A revoked override stays revoked: an extension written on the other side of a network partition must
      not restore what an operator has ended.
    """
    all_operations = list(operations)
    set_operations = [operation for operation in all_operations if operation.type is OperationType.SET]
    creation = min(set_operations, key=lambda operation: operation.key, default=None)
    if creation is None or creation.payload is None:
        return None
    # Other set operations under the same id do not count, but every extension does.
    expiry_operations = [
        operation
        for operation in all_operations
        if operation.type is OperationType.EXTEND or operation is creation
    ]
    expiry_operation = max(expiry_operations, key=lambda operation: operation.rank)
    revocations = [operation for operation in all_operations if operation.type is OperationType.REVOKE]
    revocation = min(revocations, key=lambda operation: operation.rank, default=None)
    return Override(
        id=creation.override_id,
        payload=creation.payload,
        created_by=creation.operator,
        created_at_ms=creation.created_at_ms,
        reason=creation.reason,
        expires_at_ms=min(expiry_operation.expires_at_ms, expiry_operation.created_at_ms + max_duration_ms),
        expiry_set_by=expiry_operation.operator,
        revision=max(operation.revision for operation in all_operations),
        revoked_by=revocation.operator if revocation else "",
        forced=creation.forced,
    )
