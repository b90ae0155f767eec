"""State record ``state/NODE/overrides``, in which a relay reports its overrides to operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sageturn.decision import Endpoint
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.registry import OverrideRegistry

MAX_REPORTED_ENDPOINTS = 1000  # a relay with more endpoints reports only their number


@dataclass(frozen=True, slots=True)
class RelayOverrideState:
    """Overrides of one relay as it reports them; mappings are keyed by override id unless noted."""

    statuses: dict[str, str]
    revisions: dict[str, int]
    suspended: dict[str, str]  # reasons
    rejected_records: dict[str, str]  # reasons, by store key
    endpoints: dict[str, Endpoint]  # endpoints as discovery reports them, by name
    safety_limits: SafetyLimits
    max_duration_s: float


def encode_relay_state(registry: OverrideRegistry, now_ms: float) -> dict[str, object]:
    """Return the record's value as a JSON object."""
    resolver = registry.resolver
    limits = registry.options.safety_limits
    endpoints = resolver.endpoints
    overrides = sorted(registry.overrides.items())
    encoded: dict[str, object] = {
        "overrides": {
            override_id: registry.status(override, now_ms).value for override_id, override in overrides
        },
        "words": {override_id: override.revision for override_id, override in overrides},
        "suspended": dict(sorted(resolver.suspended.items())),
        "refused": dict(sorted(registry.operation_log.rejected_records.items())),
        "hosts_listed": len(endpoints),
        "floors": [limits.min_total_ratio, limits.min_zone_ratio, limits.min_pin_ratio],
        "longest_s": registry.options.max_duration_s,
    }
    if len(endpoints) <= MAX_REPORTED_ENDPOINTS:
        encoded["hosts"] = {endpoint.name: _encode_endpoint(endpoint) for endpoint in endpoints.values()}
    return encoded


def _encode_endpoint(endpoint: Endpoint) -> list[object]:
    return [
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        str(endpoint.state),
        endpoint.weight,
        endpoint.started_at_ms,
    ]


def decode_relay_state(encoded: dict[str, Any]) -> RelayOverrideState:
    """Decode a state record that a relay has written."""
    return RelayOverrideState(
        statuses=encoded["overrides"],
        revisions=encoded.get("words", {}),
        suspended=encoded["suspended"],
        rejected_records=encoded["refused"],
        endpoints={name: _decode_endpoint(name, values) for name, values in encoded.get("hosts", {}).items()},
        safety_limits=SafetyLimits(*encoded["floors"]),
        max_duration_s=encoded["longest_s"],
    )


def _decode_endpoint(name: str, values: list[Any]) -> Endpoint:
    zone, kind, cell, state, weight, started_at_ms = values
    return Endpoint(name, state, zone, cell, started_at_ms, weight, kind)
