"""Options of the ``overrides`` section of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

DEFAULT_MAX_DURATION_S = 7 * 86400.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Minimum ratios of the ready capacity that overrides must leave available, each from 0 to 1."""

    min_total_ratio: float = 0.5
    min_zone_ratio: float = 0.34
    min_pin_ratio: float = 0.1  # ratio of the total that a strict pin must leave to the requests it selects


@dataclass(frozen=True, slots=True)
class OverrideOptions:
    """Operators whose overrides are accepted, and the limits on these overrides."""

    operators: Mapping[str, Ed25519PublicKey] = field(default_factory=dict)  # public keys by operator name
    # Maximum time from the creation of a set or extend operation to the expiry that it gives.
    max_duration_s: float = DEFAULT_MAX_DURATION_S
    safety_limits: SafetyLimits = field(default_factory=SafetyLimits)
