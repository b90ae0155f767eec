"""The decoder of the settings, which the simulator's first message and a relay's configuration both carry.

Their keys meet the names of ``decision.Settings`` here and nowhere else, so that the simulator's adapter and
the relay cannot come to differ.
"""

from __future__ import annotations

from typing import Any

from sageturn import decision
from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection

MIN_POSITIVE = 1e-3  # the minimum of numbers that must be above 0
MAX_ATTEMPTS = 1000
MAX_REPORT_FIELDS = 64


def text_or_empty(value: Any) -> str:
    """For names that may be absent, or 0 at sites that have none."""
    return value if isinstance(value, str) else ""


def read_settings(conf: dict[str, Any], path: str = "") -> decision.Settings:
    """Raises ConfigError for what is missing or out of range, naming the key. Unknown keys are ignored.

    ``path``: of ``conf`` within its file, for messages.
    """
    top = ConfigSection(conf, path, null_is_absent=True)
    limits = top.section("policyLimits")
    guarantees = top.section("guarantees")
    info = top.section("familyInfo")
    prices = top.section("prices")
    report = top.section("report")
    classes, tenants = _read_classes_and_tenants(top, info)
    return decision.Settings(
        classes=classes,
        tenants=tenants,
        relay_count=top.integer("groupSize", 1, minimum=1),
        index=top.integer("me", 0, minimum=0) if top.contains("me") else None,
        zone=text_or_empty(conf.get("zone")),
        discovery=top.one_of("discovery", tuple(decision.DiscoveryMode), decision.DiscoveryMode.PUSH),
        max_attempts=limits.integer("sendCap", minimum=1, maximum=MAX_ATTEMPTS),
        may_cancel=limits.flag("cancel", False),
        retry_after=limits.flag("retryAfter", False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 1000.0),
        connect_timeout_ms=limits.number("connectTimeoutMs", 250.0, minimum=MIN_POSITIVE),
        keepalive_ms=limits.number("keepaliveMs", 10000.0),
        max_poll_interval_ms=guarantees.number("mustAskInMs", 0.0),
        cold_overload_multiple=guarantees.number("fallMultiple", minimum=MIN_POSITIVE),
        cold_overload_window_ms=guarantees.number("fallMs"),
        initial_capacity_ratio=guarantees.number("startCapacity", minimum=MIN_POSITIVE, maximum=1.0),
        slow_start_ms=guarantees.number("warmWithinMs"),
        weights=top.one_of("weightKind", tuple(decision.WeightMeaning), decision.WeightMeaning.NONE),
        groups=info.flag("groups", False),
        cross_zone_cost=prices.number("crossZone", 0.0),
        migration_cost=prices.number("moves", 0.0),
        reports_delay=info.flag("tellsDelay", True),
        probes=limits.flag("probes", False),
        health_check_cost=prices.number("probe", 0.0),
        reports=report.one_of("source", tuple(decision.ReportSource), decision.ReportSource.NONE),
        report_fields=_read_report_fields(report),
    )


def _read_classes_and_tenants(
    top: ConfigSection, info: ConfigSection
) -> tuple[tuple[decision.RequestClass, ...], tuple[decision.Tenant, ...]]:
    """``info`` has lists with one figure for each class, or tenant, in the same order."""
    message_objectives_ms = info.number_list("messageAimMs")
    quotas = info.number_list("tenantQuotaConnections")
    classes = tuple(
        _read_class(section, _item_or_zero(message_objectives_ms, index))
        for index, section in enumerate(top.sections("classes"))
    )
    tenants = tuple(
        _read_tenant(section, _item_or_zero(quotas, index))
        for index, section in enumerate(top.sections("accounts", []))
    )
    problem = "must be different ones, and at least one class"
    if not classes or len({request_class.name for request_class in classes}) < len(classes):
        raise ConfigError(top.path("classes"), problem)
    if len({tenant.name for tenant in tenants}) < len(tenants):
        raise ConfigError(top.path("accounts"), problem)
    return classes, tenants


def _read_class(section: ConfigSection, message_objective_ms: float) -> decision.RequestClass:
    return decision.RequestClass(
        name=section.text("name"),
        latency_objective_ms=section.number("aimMs", minimum=MIN_POSITIVE),
        effect=section.one_of("semantics", tuple(decision.Effect), decision.Effect.SAFE),
        scope=section.one_of("dedupScope", tuple(decision.KeyScope), decision.KeyScope.ALL),
        key_ttl_ms=section.number("keyTtlMs", 0.0),
        message_latency_objective_ms=message_objective_ms,
        give_up_ms=section.number("hardLimitMs", 0.0),
    )


def _read_tenant(section: ConfigSection, quota_connections: float) -> decision.Tenant:
    return decision.Tenant(
        name=section.text("name"),
        allowance_per_s=section.number("allowancePerS", 0.0),
        quota_connections=quota_connections,
    )


def _item_or_zero(numbers: list[float], index: int) -> float:
    return numbers[index] if index < len(numbers) else 0.0


def _read_report_fields(report: ConfigSection) -> tuple[str, ...]:
    fields = report.list_of_any("fields", [])
    if len(fields) > MAX_REPORT_FIELDS or not all(isinstance(name, str) for name in fields):
        raise ConfigError(report.path("fields"), f"must be names, {MAX_REPORT_FIELDS} at most")
    return tuple(fields)
