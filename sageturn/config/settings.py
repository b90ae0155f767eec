"""The settings object, as the simulator's first message and a relay's configuration both carry it.

It is decoded here and nowhere else, so that the adapter and the relay cannot come to differ.
"""

from __future__ import annotations

from typing import Any

from sageturn import decision
from sageturn.config.fields import ConfigError, ConfigSection

TINY = 1e-3  # of figures that must be above 0
ATTEMPTS_MOST, FIELDS_MOST = 1000, 64


def text(value: Any) -> str:
    """Names may be absent, or 0 at sites that have none."""
    return value if isinstance(value, str) else ""


def read_settings(conf: dict[str, Any], where: str = "") -> decision.Settings:
    """Raises ConfigError for what is missing or absurd, naming the key. Unknown keys are passed over."""
    top = ConfigSection(conf, where, nulls=True)
    limits, rules = top.section("policyLimits"), top.section("guarantees")
    info, prices, report = top.section("familyInfo"), top.section("prices"), top.section("report")
    message_aims, quotas = info.numbers("messageAimMs"), info.numbers("tenantQuotaConnections")
    classes = tuple(
        decision.RequestClass(
            name=c.get("name", str),
            latency_objective_ms=c.number("aimMs", least=TINY),
            effect=c.one_of("semantics", decision.EFFECTS, "safe"),
            scope=c.one_of("dedupScope", decision.SCOPES, "all"),
            key_ttl_ms=c.number("keyTtlMs", 0.0),
            message_latency_objective_ms=message_aims[k] if k < len(message_aims) else 0.0,
            give_up_ms=c.number("hardLimitMs", 0.0),
        )
        for k, c in enumerate(top.sections("classes"))
    )
    tenants = tuple(
        decision.Tenant(
            name=t.get("name", str),
            allowance_per_s=t.number("allowancePerS", 0.0),
            quota_connections=quotas[k] if k < len(quotas) else 0.0,
        )
        for k, t in enumerate(top.sections("accounts", []))
    )
    for key, parts in (("classes", classes), ("accounts", tenants)):
        if len({part.name for part in parts}) < len(parts) or (key == "classes" and not parts):
            raise ConfigError(f"{top.path(key)}: must be different ones, and at least one class")
    return decision.Settings(
        classes=classes,
        tenants=tenants,
        relay_count=top.whole("groupSize", 1, least=1),
        index=top.whole("me", 0, least=0) if top.has("me") else None,
        zone=text(conf.get("zone")),
        discovery=top.one_of("discovery", decision.DISCOVERY, "push"),
        max_attempts=limits.whole("sendCap", least=1, most=ATTEMPTS_MOST),
        may_cancel=limits.get("cancel", bool, False),
        retry_after=limits.get("retryAfter", bool, False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 1000.0),
        connect_timeout_ms=limits.number("connectTimeoutMs", 250.0, least=TINY),
        keepalive_ms=limits.number("keepaliveMs", 10000.0),
        max_poll_interval_ms=rules.number("mustAskInMs", 0.0),
        cold_overload_multiple=rules.number("fallMultiple", least=TINY),
        cold_overload_window_ms=rules.number("fallMs"),
        initial_capacity_ratio=rules.number("startCapacity", least=TINY, most=1.0),
        slow_start_ms=rules.number("warmWithinMs"),
        weights=top.one_of("weightKind", decision.WEIGHTS, "none"),
        groups=info.get("groups", bool, False),
        cross_zone_cost=prices.number("crossZone", 0.0),
        migration_cost=prices.number("moves", 0.0),
        reports_delay=info.get("tellsDelay", bool, True),
        probes=limits.get("probes", bool, False),
        health_check_cost=prices.number("probe", 0.0),
        reports=report.one_of("source", decision.REPORTS, "none"),
        report_fields=_fields(report),
    )


def _fields(report: ConfigSection) -> tuple[str, ...]:
    fields = report.get("fields", list, [])
    if len(fields) > FIELDS_MOST or not all(isinstance(name, str) for name in fields):
        raise ConfigError(f"{report.path('fields')}: must be names, {FIELDS_MOST} at most")
    return tuple(fields)
