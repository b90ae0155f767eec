"""Folds the operations on an override into the override."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from sageturn.overrides.operations import OperationType, OverrideOperation, OverridePayload


class AdmissionRank(NamedTuple):
    """The order in which the safety limits admit overrides: the oldest first, on every relay alike."""

    created_at_ms: float
    override_id: str


@dataclass(frozen=True, slots=True)
class Override:
    """An override as all operations on it make it.

    Instants are milliseconds of Unix time; at ``expires_at_ms`` the override is no longer in force.
    """

    id: str
    payload: OverridePayload
    created_by: str
    created_at_ms: float
    reason: str
    expires_at_ms: float
    expiry_set_by: str  # the operator of the operation that gives the expiry
    revision: int  # the highest of its operations
    revoked_by: str = ""
    forced: bool = False

    @property
    def is_revoked(self) -> bool:
        """Whether an operator has ended it before its expiry."""
        return bool(self.revoked_by)

    @property
    def admission_rank(self) -> AdmissionRank:
        """The override's place in the order in which the safety limits admit overrides."""
        return AdmissionRank(self.created_at_ms, self.id)

    def has_expired(self, now_ms: float) -> bool:
        """Whether the override's expiry has passed, be it revoked or not."""
        return now_ms >= self.expires_at_ms


def fold_operations(operations: Iterable[OverrideOperation], max_duration_ms: float) -> Override | None:
    """Returns the override that these operations make; None while the one that sets it is missing.

    - Of several that set it under one id, the one with the smallest key counts.
    - The expiry is that of the last set or extend operation (by revision, time, key), but no later than
      ``max_duration_ms`` after that operation was created.
    - Once revoked it stays revoked: an extension written on the other side of a network partition must not
      bring back what an operator has ended.
    """
    known = list(operations)
    set_operations = [operation for operation in known if operation.type is OperationType.SET]
    creation = min(set_operations, key=lambda operation: operation.key, default=None)
    if creation is None or creation.payload is None:
        return None
    # Another set operation under the same id does not count; an extension of it does.
    with_expiry = [
        operation for operation in known if operation.type is OperationType.EXTEND or operation is creation
    ]
    expiry = max(with_expiry, key=lambda operation: operation.rank)
    revocations = [operation for operation in known if operation.type is OperationType.REVOKE]
    revocation = min(revocations, key=lambda operation: operation.rank, default=None)
    return Override(
        id=creation.override_id,
        payload=creation.payload,
        created_by=creation.operator,
        created_at_ms=creation.created_at_ms,
        reason=creation.reason,
        expires_at_ms=min(expiry.expires_at_ms, expiry.created_at_ms + max_duration_ms),
        expiry_set_by=expiry.operator,
        revision=max(operation.revision for operation in known),
        revoked_by=revocation.operator if revocation else "",
        forced=creation.forced,
    )
