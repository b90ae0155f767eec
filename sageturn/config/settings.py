"""Decodes the settings that the simulator's first message and a relay's configuration both contain.

This is the only module that maps their keys to the fields of ``decision.Settings``, so that the simulator's
adapter and the relay cannot decode them differently.
"""

from __future__ import annotations

from sageturn import decision
from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection
from sageturn.net.json_stream import JsonObject

MIN_POSITIVE = 1e-3  # minimum of numbers that must be greater than 0
MAX_ATTEMPTS = 1000
MAX_REPORT_FIELDS = 64


def text_or_empty(value: object) -> str:
    """Return ``value`` if it is a string, otherwise ""; settings without such a name omit it or have 0."""
    return value if isinstance(value, str) else ""


def read_settings(conf: JsonObject, path: str = "") -> decision.Settings:
    """Decode the settings; unknown keys are ignored. The function is long, as each key takes a line.

    Args:
        conf: the decoded object.
        path: the path to ``conf`` within its file, for messages; empty for the whole file.

    Raises:
        ConfigError: a key is missing, or its value is out of range.
    """
    top = ConfigSection(conf, path, null_is_absent=True)
    limits = top.section("policyLimits")
    guarantees = top.section("guarantees")
    info = top.section("familyInfo")
    prices = top.section("prices")
    report = top.section("report")
    # Names are compared last: of several errors, the first in the order of decoding is reported.
    message_objectives_ms = info.array("messageAimMs", []).numbers()
    quotas = info.array("tenantQuotaConnections", []).numbers()
    classes = _read_classes(top, message_objectives_ms)
    tenants = _read_tenants(top, quotas)
    _check_names_differ(top, classes, tenants)
    return decision.Settings(
        classes=classes,
        tenants=tenants,
        relay_count=top.integer("groupSize", 1, minimum=1),
        index=top.integer("me", 0, minimum=0) if top.contains("me") else None,
        zone=text_or_empty(conf.get("zone")),
        discovery=top.one_of("discovery", tuple(decision.DiscoveryMode), decision.DiscoveryMode.PUSH),
        max_attempts=limits.integer("sendCap", minimum=1, maximum=MAX_ATTEMPTS),
        may_cancel=limits.flag("cancel", default=False),
        retry_after=limits.flag("retryAfter", default=False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 1000.0),
        connect_timeout_ms=limits.number("connectTimeoutMs", 250.0, minimum=MIN_POSITIVE),
        keepalive_ms=limits.number("keepaliveMs", 10000.0),
        max_poll_interval_ms=guarantees.number("mustAskInMs", 0.0),
        cold_overload_multiple=guarantees.number("fallMultiple", minimum=MIN_POSITIVE),
        cold_overload_window_ms=guarantees.number("fallMs"),
        initial_capacity_ratio=guarantees.number("startCapacity", minimum=MIN_POSITIVE, maximum=1.0),
        slow_start_ms=guarantees.number("warmWithinMs"),
        weights=top.one_of("weightKind", tuple(decision.WeightMeaning), decision.WeightMeaning.NONE),
        groups=info.flag("groups", default=False),
        cross_zone_cost=prices.number("crossZone", 0.0),
        migration_cost=prices.number("moves", 0.0),
        reports_delay=info.flag("tellsDelay", default=True),
        probes=limits.flag("probes", default=False),
        health_check_cost=prices.number("probe", 0.0),
        reports=report.one_of("source", tuple(decision.ReportSource), decision.ReportSource.NONE),
        report_fields=_read_report_fields(report),
    )


def _read_classes(
    top: ConfigSection, message_objectives_ms: list[float]
) -> tuple[decision.RequestClass, ...]:
    """Decode the classes; ``message_objectives_ms`` has an item per class in the same order, or fewer."""
    return tuple(
        _read_class(section, _item_or_zero(message_objectives_ms, index))
        for index, section in enumerate(top.array("classes").sections())
    )


def _read_tenants(top: ConfigSection, quotas: list[float]) -> tuple[decision.Tenant, ...]:
    """Decode the tenants; ``quotas`` has an item per tenant, in connections, in the same order, or fewer."""
    return tuple(
        _read_tenant(section, _item_or_zero(quotas, index))
        for index, section in enumerate(top.array("accounts", []).sections())
    )


def _check_names_differ(
    top: ConfigSection, classes: tuple[decision.RequestClass, ...], tenants: tuple[decision.Tenant, ...]
) -> None:
    problem = "names must differ, and there must be at least one class"
    if not classes or len({request_class.name for request_class in classes}) < len(classes):
        raise ConfigError(top.path("classes"), problem)
    if len({tenant.name for tenant in tenants}) < len(tenants):
        raise ConfigError(top.path("accounts"), problem)


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
    fields = report.array("fields", [])
    names = tuple(name for _, name in fields.enumerate_items() if isinstance(name, str))
    if len(fields) > MAX_REPORT_FIELDS or len(names) < len(fields):
        raise ConfigError(fields.path, f"must be strings, {MAX_REPORT_FIELDS} at most")
    return names
