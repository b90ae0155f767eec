"""What an operator's file says of overrides."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sageturn.overrides.resolve import SafetyLimits

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey


@dataclass(frozen=True, slots=True)
class OverrideOptions:
    """``operators``: by name, the public key with which each signs."""

    operators: Mapping[str, Ed25519PublicKey] = field(default_factory=dict)
    longest_s: float = 7 * 86400.0  # an override lasts no longer, however often it is extended at a time
    floors: SafetyLimits = field(default_factory=SafetyLimits)
