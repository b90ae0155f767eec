"""The settings that a balancer is given at its start.

Times are milliseconds and end in ``_ms``, rates are by the second and end in ``_per_s``. The objects check
their own values and raise ``InvalidSettingError`` with the name of the field; ``sageturn.config.settings``
decodes them from the platform's JSON.
"""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.decision.errors import InvalidSettingError

# What a second execution of a request does: nothing, nothing where it has the same idempotency key, or harm.
EFFECTS = ("safe", "keyed", "unsafe")
SCOPES = ("all", "zone", "cell")  # endpoints among which an idempotency key is recognized
DISCOVERY = ("push", "ask")  # an agent keeps the list, or the relay watches it by calls of its own
WEIGHTS = ("none", "nominal", "rough", "live")
REPORTS = ("none", "probe", "answers")  # with what load reports come: health checks, or answers as well
DEFAULT_ALLOWANCE_PER_S = 10.0  # where no tenant has an allowance
NOT_EXECUTED_STATUSES = ("full", "connect_failed", "moot")  # of attempts that were certainly not executed


def _require(ok: bool, field: str, rule: str) -> None:
    if not ok:
        raise InvalidSettingError(f"{field}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. ``scope`` and ``key_ttl_ms`` matter for keyed (idempotent) classes only."""

    name: str
    latency_objective_ms: float  # of a connection: from the request until it is established
    effect: str = "safe"
    scope: str = "all"
    key_ttl_ms: float = 0.0  # how long an idempotency key is remembered after the first execution
    message_latency_objective_ms: float = 0.0  # of a message on an established connection; 0: none
    give_up_ms: float = 0.0  # how long a client waits, all its attempts together; 0 where it is not given

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
        """Whether a request may be rejected, which promises that a retry is harmless.

        ``ran``: an attempt of it may have been executed.
        """
        return not ran or self.effect == "safe" or (self.effect == "keyed" and self.scope == "all")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant. Its allowance of requests and its quota of connections count over all relays."""

    name: str
    allowance_per_s: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "allowance_per_s", "must not be negative")
        _require(self.quota_connections >= 0, "quota_connections", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is given at its start; ``sageturn.config.settings`` holds the platform's names."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    relay_count: int = 1
    index: int | None = None  # our number among them, from 0; None where it is not given
    zone: str = ""
    discovery: str = "push"
    max_attempts: int = 3
    may_cancel: bool = False  # an attempt may be abandoned once its client has left
    retry_after: bool = True  # a rejection may say when to come again
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 10000.0  # servers close connections that have been idle for so long
    max_poll_interval_ms: float = 10000.0  # discovery has to be asked again within so long
    # In a window of this length, an endpoint in slow start bears so many times what fills it evenly.
    cold_overload_multiple: float = 3.0
    cold_overload_window_ms: float = 2000.0
    initial_capacity_ratio: float = 0.3  # of its capacity, that an endpoint has at its start
    slow_start_ms: float = 10000.0  # after its start, until it has all of it
    weights: str = "none"  # what ``share`` means: nothing, size, rough size, or size lowered by present load
    groups: bool = False  # clients have groups, and an endpoint pays for each group of which it holds any
    cross_zone_cost: float = 0.0  # of the goal, for a connection to another zone; 0: zones do not matter
    migration_cost: float = 0.0  # of the goal, for one migrated connection
    reports_delay: bool = True  # measurements show how long messages take; else only loads and set-ups do
    probes: bool = False  # a relay may ask endpoints for load reports
    health_check_cost: float = 0.0  # of the goal, for one health check a request
    reports: str = "none"  # what load reports come with: nothing, health checks, or answers as well
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
