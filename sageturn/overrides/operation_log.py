"""Keeps the accepted operations of the store's records by override, and the records that were rejected."""

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
    """A record of the store under ``KEY_PREFIX``; a value of None is a deletion."""

    key: str
    value: Any  # as decoded from JSON, not checked yet


class OperationLog:
    """Verifies records and keeps their operations, which are immutable: the first under a key counts."""

    def __init__(self, operators: Mapping[str, Ed25519PublicKey], audit: AuditTrail) -> None:
        self.rejected_records: dict[str, str] = {}  # by store key: why
        self._operators = operators
        self._audit = audit
        self._operations: dict[str, dict[str, OverrideOperation]] = {}  # by override id, then by store key

    @property
    def override_ids(self) -> Collection[str]:
        """The ids of all overrides that have had an operation."""
        return self._operations.keys()

    def operations_on(self, override_id: str) -> Collection[OverrideOperation]:
        """Returns the operations on an override, in no particular order."""
        return self._operations.get(override_id, {}).values()

    def history(self, override_id: str) -> list[OverrideOperation]:
        """Returns the operations on an override by revision and time."""
        return sorted(self.operations_on(override_id), key=lambda operation: operation.rank)

    def apply(self, records: Iterable[OverrideRecord]) -> list[str]:
        """Applies records of the store. Returns the ids of the overrides whose operations have changed."""
        changed_ids: dict[str, None] = {}  # an ordered set
        for key, value in records:
            override_id = key.removeprefix(KEY_PREFIX).partition("/")[0]
            known = self._operations.get(override_id, {})
            if value is None:  # deleted as it was rejected, or with the override's history
                self.rejected_records.pop(key, None)
                if known.pop(key, None) is not None:
                    changed_ids[override_id] = None
            elif key not in known:
                operation = self._parse_record(key, value, override_id)
                if operation is not None:
                    self._operations.setdefault(override_id, {})[key] = operation
                    changed_ids[override_id] = None
        return list(changed_ids)

    def set_operators(self, operators: Mapping[str, Ed25519PublicKey]) -> None:
        """Replaces the operators' public keys by name, and rejects the operations of those that are gone."""
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
