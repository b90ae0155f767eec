"""Encodes operations as the JSON objects of the store, and decodes and validates these objects.

Only this module names their JSON keys.
"""

from __future__ import annotations

import re

from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.operations import (
    NONCE_BYTES,
    OperationType,
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
)

MAX_WEIGHT_FACTOR = 4.0
MAX_TEXT_LENGTH = 500
MAX_PINNED_ENDPOINTS = 256
MAX_UNIX_TIME_MS = 4e12  # a date in the year 2096
MAX_REVISION = 999_999
_OVERRIDE_ID = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
_OPERATOR_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.@-]{0,63}")
_NONCE = re.compile(rf"[0-9a-f]{{{2 * NONCE_BYTES}}}")


# ---------------------------------------------------------------- encoding


def encode_operation(operation: OverrideOperation) -> dict[str, object]:
    """Return the JSON object of an operation, without its signature."""
    encoded: dict[str, object] = {
        "override": operation.override_id,
        "word": operation.type.value,
        "revision": operation.revision,
        "at_ms": operation.created_at_ms,
        "operator": operation.operator,
        "why": operation.reason,
        "nonce": operation.nonce,
    }
    if operation.type is not OperationType.REVOKE:
        encoded["until_ms"] = operation.expires_at_ms
    if operation.forced:
        encoded["forced"] = True
    if operation.payload is not None:
        encoded["body"] = _encode_payload(operation.payload)
    return encoded


def _encode_payload(payload: OverridePayload) -> dict[str, object]:
    encoded: dict[str, object] = {"does": payload.kind.value}  # the key "kind" selects by endpoint kind
    if payload.selector is not None:
        encoded[payload.selector.attribute.value] = payload.selector.value
    optional: dict[str, object] = {
        "move_off": payload.migrate_connections,
        "hosts": list(payload.endpoints),
        "strict": payload.strict,
        "class": payload.class_name,
        "tenant": payload.tenant,
        "group_prefix": payload.group_prefix,
        "this_start_ms": payload.process_started_at_ms,
    }
    encoded.update((name, value) for name, value in optional.items() if value)
    if payload.kind is OverrideKind.WEIGHT:
        encoded["factor"] = payload.factor
    return encoded


# ---------------------------------------------------------------- decoding


def decode_operation(encoded: dict[str, object]) -> OverrideOperation:
    """Decode and validate an object made by ``encode_operation``.

    Raises:
        InvalidOperationError: A value is missing or invalid; the text names its path in the object.
    """
    fields = _FieldReader(encoded, "")
    operation_type = _read_operation_type(fields)
    return OverrideOperation(
        type=operation_type,
        revision=_read_revision(fields),
        reason=_read_reason(fields),
        override_id=fields.text("override", _OVERRIDE_ID),
        created_at_ms=fields.number("at_ms", 0, MAX_UNIX_TIME_MS),
        operator=fields.text("operator", _OPERATOR_NAME),
        expires_at_ms=_read_expiry_ms(fields, operation_type),
        payload=_decode_payload(encoded.get("body")) if operation_type is OperationType.SET else None,
        forced=fields.flag("forced"),
        nonce=fields.text("nonce", _NONCE),
    )


class _FieldReader:
    """Typed reader of the values of one JSON object; its errors name the value's path."""

    def __init__(self, values: object, path_prefix: str) -> None:
        if not isinstance(values, dict):
            raise InvalidOperationError(f"{path_prefix or 'op'}: not an object")
        self._values = values
        self._path_prefix = path_prefix

    def text(self, name: str, pattern: re.Pattern[str] | None = None, default: str | None = None) -> str:
        """Read a string of at most ``MAX_TEXT_LENGTH`` characters that matches the whole pattern."""
        value = self._values.get(name, default)
        if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
            raise self._invalid(name)
        if pattern is not None and not pattern.fullmatch(value):
            raise self._invalid(name)
        return value

    def number(self, name: str, minimum: float, maximum: float, default: float | None = None) -> float:
        """Read a number from ``minimum`` to ``maximum``; a boolean is not a number."""
        value = self._values.get(name, default)
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise self._invalid(name)
        if not minimum <= value <= maximum:  # also rejects NaN
            raise self._invalid(name)
        return value

    def flag(self, name: str) -> bool:
        """Read a boolean; False if it is missing."""
        value = self._values.get(name, False)
        if not isinstance(value, bool):
            raise self._invalid(name)
        return value

    def get(self, name: str) -> object:
        """Return a value of any type without a check; None if it is missing."""
        return self._values.get(name)

    def _invalid(self, name: str) -> InvalidOperationError:
        return InvalidOperationError(f"{self._path_prefix}{name}")


def _read_operation_type(fields: _FieldReader) -> OperationType:
    text = fields.text("word")
    try:
        return OperationType(text)
    except ValueError as error:
        raise InvalidOperationError("word") from error


def _read_revision(fields: _FieldReader) -> int:
    revision = fields.number("revision", 1, MAX_REVISION)
    if not isinstance(revision, int):
        raise InvalidOperationError("revision")
    return revision


def _read_reason(fields: _FieldReader) -> str:
    reason = fields.text("why")
    if not reason.strip():
        raise InvalidOperationError("why: must say something")
    return reason


def _read_expiry_ms(fields: _FieldReader, operation_type: OperationType) -> float:
    if operation_type is OperationType.REVOKE:
        return 0.0
    return fields.number("until_ms", 1, MAX_UNIX_TIME_MS)


def _decode_payload(encoded: object) -> OverridePayload:
    fields = _FieldReader(encoded, "body.")
    text = fields.text("does")
    try:
        kind = OverrideKind(text)
    except ValueError as error:
        raise InvalidOperationError("body.does") from error
    selector_attributes = [
        attribute for attribute in SelectorAttribute if fields.get(attribute.value) is not None
    ]
    process_started_at_ms = fields.number("this_start_ms", 0, MAX_UNIX_TIME_MS, 0.0)
    if kind is OverrideKind.PIN:
        return _decode_pin(fields, selector_attributes)
    if len(selector_attributes) != 1:
        raise InvalidOperationError("body: one of host, zone, kind and cell must be named")
    attribute = selector_attributes[0]
    selector = Selector(attribute, fields.text(attribute.value))
    if process_started_at_ms and attribute is not SelectorAttribute.ENDPOINT:
        raise InvalidOperationError("body.this_start_ms: needs a host")
    factor = fields.number("factor", 0, MAX_WEIGHT_FACTOR) if kind is OverrideKind.WEIGHT else 1.0
    if not factor > 0:
        raise InvalidOperationError("body.factor: must be above 0")
    return OverridePayload(
        kind,
        selector,
        migrate_connections=kind is OverrideKind.OUT_OF_SERVICE and fields.flag("move_off"),
        factor=factor,
        process_started_at_ms=process_started_at_ms,
    )


def _decode_pin(fields: _FieldReader, selector_attributes: list[SelectorAttribute]) -> OverridePayload:
    endpoints = fields.get("hosts")
    if not isinstance(endpoints, list) or not 0 < len(endpoints) <= MAX_PINNED_ENDPOINTS:
        raise InvalidOperationError("body.hosts")
    if not all(isinstance(name, str) and 0 < len(name) <= MAX_TEXT_LENGTH for name in endpoints):
        raise InvalidOperationError("body.hosts")
    if selector_attributes:
        raise InvalidOperationError(f"body.{selector_attributes[0]}: a pin names its hosts")
    return OverridePayload(
        OverrideKind.PIN,
        endpoints=tuple(endpoints),
        strict=fields.flag("strict"),
        class_name=fields.text("class", default=""),
        tenant=fields.text("tenant", default=""),
        group_prefix=fields.text("group_prefix", default=""),
    )
