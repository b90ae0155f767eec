"""Errors in override records and in operators' public keys."""

from __future__ import annotations


class OverrideError(Exception):
    """Base class of all errors that this package raises."""


class InvalidOperationError(OverrideError, ValueError):
    """Error in a record that is not a valid operation; the text names the field or the reason."""


class InvalidPublicKeyError(OverrideError, ValueError):
    """Error in a configured operator key that is not an Ed25519 public key in base64."""
