"""Keeps the accepted operations by override, and the store's records that were rejected."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from sageturn.overrides.audit import AuditTrail
from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.operations import KEY_PREFIX, OverrideOperation
from sageturn.overrides.signing import parse_operation

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey


class OverrideRecord(NamedTuple):
    """Record of the store under ``KEY_PREFIX``; a value of None is a deletion."""

    key: str
    value: Any  # decoded from JSON, not validated yet


class OperationLog:
    """Log of verified operations. Operations are immutable: the first record under a key counts."""

    def __init__(self, operators: Mapping[str, Ed25519PublicKey], audit: AuditTrail) -> None:
        self.rejected_records: dict[str, str] = {}  # reasons, by store key
        self._operators = operators
        self._audit = audit
        # Accepted operations by override id, then by store key.
        self._operations: dict[str, dict[str, OverrideOperation]] = {}

    @property
    def override_ids(self) -> Collection[str]:
        """Ids of all overrides that have or had an accepted operation."""
        return self._operations.keys()

    def operations_on(self, override_id: str) -> Collection[OverrideOperation]:
        """Return the operations on an override, in no particular order."""
        return self._operations.get(override_id, {}).values()

    def history(self, override_id: str) -> list[OverrideOperation]:
        """Return the operations on an override, ordered by revision and time."""
        return sorted(self.operations_on(override_id), key=lambda operation: operation.rank)

    def apply(self, records: Iterable[OverrideRecord]) -> list[str]:
        """Apply records of the store, and return the ids of the overrides whose operations have changed."""
        changed_ids: dict[str, None] = {}  # used as an ordered set
        for key, value in records:
            override_id = key.removeprefix(KEY_PREFIX).partition("/")[0]
            accepted_operations = self._operations.get(override_id, {})
            if value is None:  # a deleted record was rejected, or its override's history was removed
                self.rejected_records.pop(key, None)
                if accepted_operations.pop(key, None) is not None:
                    changed_ids[override_id] = None
            elif key not in accepted_operations:
                operation = self._parse_record(key, value, override_id)
                if operation is not None:
                    self._operations.setdefault(override_id, {})[key] = operation
                    changed_ids[override_id] = None
        return list(changed_ids)

    def set_operators(self, operators: Mapping[str, Ed25519PublicKey]) -> None:
        """Replace the operators' public keys, and reject the operations of removed operators.

        Args:
            operators: Public keys by operator name.
        """
        self._operators = operators
        for override_id, operations in self._operations.items():
            rejected_keys = [
                key for key, operation in operations.items() if operation.operator not in operators
            ]
            for key in rejected_keys:
                operation = operations.pop(key)
                self._reject(key, override_id, f"operator: {operation.operator} is not known here")

    def _parse_record(self, key: str, value: object, override_id: str) -> OverrideOperation | None:
        try:
            operation = parse_operation(key, value, self._operators)
        except InvalidOperationError as error:
            if self.rejected_records.get(key) != str(error):
                self._reject(key, override_id, str(error))
            return None
        self.rejected_records.pop(key, None)
        return operation

    def _reject(self, key: str, override_id: str, reason: str) -> None:
        self.rejected_records[key] = reason
        self._audit.record_rejection(key, override_id, reason)
