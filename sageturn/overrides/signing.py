"""Signs the records of operations with Ed25519, and verifies that their operator has signed them."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from sageturn.overrides.errors import InvalidOperationError, InvalidPublicKeyError
from sageturn.overrides.operation_codec import decode_operation, encode_operation
from sageturn.overrides.operations import OverrideOperation


def sign_operation(operation: OverrideOperation, key: Ed25519PrivateKey) -> dict[str, object]:
    """Return the signed record to be stored under ``operation.key``."""
    encoded = encode_operation(operation)
    signature = key.sign(_bytes_to_sign(encoded))
    return {**encoded, "signature": b64encode(signature).decode()}


def parse_operation(
    key: str, record: object, operators: Mapping[str, Ed25519PublicKey] | None
) -> OverrideOperation:
    """Decode the record under ``key`` and verify its operator's signature.

    Args:
        key: The store key under which the record was found.
        record: The record, as decoded from JSON.
        operators: The public key of each operator by name. If None, only the form of the record is checked:
            the commands show records that relays have already verified.

    Raises:
        InvalidOperationError: The record is malformed, stored under a key other than its own, or not signed
            by an operator in ``operators``.
    """
    if not isinstance(record, dict):
        raise InvalidOperationError("not an object")
    encoded = {name: value for name, value in record.items() if name != "signature"}
    operation = decode_operation(encoded)
    if operation.key != key:
        raise InvalidOperationError(f"stands under {key}, and belongs under {operation.key}")
    if encode_operation(operation) != encoded:
        raise InvalidOperationError("holds what no word of its kind does")
    if operators is not None:
        _verify_signature(operation.operator, operators, record.get("signature"), encoded)
    return operation


def parse_public_key(text: str) -> Ed25519PublicKey:
    """Decode a public key: 32 bytes in base64 (RFC 8032, section 5.1.5).

    Raises:
        InvalidPublicKeyError: The text is not base64 or does not encode a public key.
    """
    try:
        return Ed25519PublicKey.from_public_bytes(b64decode(text, validate=True))
    except ValueError as error:
        raise InvalidPublicKeyError(str(error)) from error


def _verify_signature(
    operator: str,
    operators: Mapping[str, Ed25519PublicKey],
    signature: object,
    encoded: Mapping[str, object],
) -> None:
    public_key = operators.get(operator)
    if public_key is None:
        raise InvalidOperationError(f"operator: {operator} is not known here")
    try:
        public_key.verify(b64decode(str(signature), validate=True), _bytes_to_sign(encoded))
    except (InvalidSignature, Base64Error, ValueError) as error:
        raise InvalidOperationError(f"signature: not {operator}'s") from error


def _bytes_to_sign(encoded: Mapping[str, object]) -> bytes:
    return json.dumps(encoded, sort_keys=True, separators=(",", ":"), allow_nan=False).encode()
