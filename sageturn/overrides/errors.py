"""Errors of the override records that operators write."""

from __future__ import annotations


class OverrideError(Exception):
    """Base of all errors that this package raises."""


class InvalidOperationError(OverrideError, ValueError):
    """A record is not a valid operation of an operator; the text names the field or the reason."""


class InvalidPublicKeyError(OverrideError, ValueError):
    """A configured operator key is not an Ed25519 public key in base64."""
