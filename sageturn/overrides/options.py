"""The ``overrides`` section of the operator's file, decoded."""

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
    min_pin_ratio: float = 0.1  # of the total: what a strict pin leaves to the traffic it selects


@dataclass(frozen=True, slots=True)
class OverrideOptions:
    """The operators whose overrides are accepted, and the limits of these overrides."""

    operators: Mapping[str, Ed25519PublicKey] = field(default_factory=dict)  # public keys by operator name
    max_duration_s: float = DEFAULT_MAX_DURATION_S  # counted anew from each extension
    safety_limits: SafetyLimits = field(default_factory=SafetyLimits)
