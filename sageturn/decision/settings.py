"""The settings that a balancer is given at its start.

Times are milliseconds and end in ``_ms``. The objects check their own values and raise ``ValueError`` with
the name of the field; ``sageturn.config.settings`` decodes them from the platform's JSON.
"""

from __future__ import annotations

from dataclasses import dataclass

EFFECTS = ("safe", "keyed", "unsafe")
SCOPES = ("all", "zone", "cell")
DISCOVERY = ("push", "ask")
WEIGHTS = ("none", "nominal", "rough", "live")
REPORTS = ("none", "probe", "answers")
DEFAULT_ALLOWANCE_PER_S = 10.0  # where no tenant has an allowance
NOT_EXECUTED_STATUSES = ("full", "connect_failed", "moot")  # outcomes that prove the attempt did nothing


def _require(ok: bool, field: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. ``scope`` and ``key_ttl_ms`` matter for keyed classes only."""

    name: str
    latency_objective_ms: float
    effect: str = "safe"
    scope: str = "all"
    key_ttl_ms: float = 0.0
    message_latency_objective_ms: float = 0.0
    give_up_ms: float = 0.0  # how long a client waits, all its tries together; 0 where it is not said

    def __post_init__(self) -> None:
        _require(self.latency_objective_ms > 0, "latency_objective_ms", "must be above 0")
        _require(self.effect in EFFECTS, "effect", "must be one of " + ", ".join(EFFECTS))
        _require(self.scope in SCOPES, "scope", "must be one of " + ", ".join(SCOPES))
        _require(self.key_ttl_ms >= 0, "key_ttl_ms", "must not be negative")
        _require(self.give_up_ms >= 0, "give_up_ms", "must not be negative")
        _require(
            self.message_latency_objective_ms >= 0, "message_latency_objective_ms", "must not be negative"
        )

    def is_rejectable(self, ran: bool) -> bool:
        """Whether it may be refused, which says that trying again is harmless; ``ran``: it may have run."""
        return not ran or self.effect == "safe" or (self.effect == "keyed" and self.scope == "all")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; allowance and quota count across all balancers."""

    name: str
    allowance_per_s: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "allowance_per_s", "must not be negative")
        _require(self.quota_connections >= 0, "quota_connections", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    relay_count: int = 1
    index: int | None = None  # our number among them, from 0; None where it is not told
    zone: str = ""
    discovery: str = "push"
    max_attempts: int = 3
    may_cancel: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 10000.0  # servers close connections that have been idle for so long
    max_poll_interval_ms: float = 10000.0
    cold_overload_multiple: float = 3.0
    cold_overload_window_ms: float = 2000.0
    initial_capacity_ratio: float = 0.3
    slow_start_ms: float = 10000.0
    weights: str = "none"  # what ``share`` means: nothing, size, rough size, or size lowered by present load
    groups: bool = False
    cross_zone_cost: float = 0.0
    migration_cost: float = 0.0
    reports_delay: bool = True  # notes tell how long messages take; else only loads and set-ups show it
    probes: bool = False  # a relay may ask servers for load reports
    health_check_cost: float = 0.0  # of the goal, for one probe a request
    reports: str = "none"  # what load reports come with: nothing, probes, or answers as well
    report_fields: tuple[str, ...] = ()  # the values that they hold

    def total_allowance_per_s(self) -> float:
        """Requests that all tenants together may send to all relays."""
        return sum(tenant.allowance_per_s for tenant in self.tenants) or DEFAULT_ALLOWANCE_PER_S

    def shortest_message_objective_ms(self, default_ms: float) -> float:
        """Of the classes that have an objective for messages; the default where none has."""
        objectives = (each.message_latency_objective_ms for each in self.classes)
        return min((objective_ms for objective_ms in objectives if objective_ms > 0), default=default_ms)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        _require(self.relay_count >= 1, "relay_count", "must be 1 or more")
        _require(self.index is None or self.index >= 0, "index", "must not be negative")
        _require(self.discovery in DISCOVERY, "discovery", "must be one of " + ", ".join(DISCOVERY))
        _require(self.weights in WEIGHTS, "weights", "must be one of " + ", ".join(WEIGHTS))
        _require(self.reports in REPORTS, "reports", "must be one of " + ", ".join(REPORTS))
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _require(
            0 < self.initial_capacity_ratio <= 1, "initial_capacity_ratio", "must be above 0 and at most 1"
        )
        _require(self.cold_overload_multiple > 0, "cold_overload_multiple", "must be above 0")
        for name in (
            "max_retry_after_ms",
            "connect_timeout_ms",
            "keepalive_ms",
            "max_poll_interval_ms",
            "cold_overload_window_ms",
            "slow_start_ms",
            "cross_zone_cost",
            "migration_cost",
            "health_check_cost",
        ):
            _require(getattr(self, name) >= 0, name, "must not be negative")
