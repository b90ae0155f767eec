"""Settings with which a balancer is started.

Times are milliseconds and end in ``_ms``, rates are per second and end in ``_per_s``. The objects check
their own values and raise ``InvalidSettingError`` with the name of the field; ``sageturn.config.settings``
decodes them from the platform's JSON.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from sageturn.decision.errors import InvalidSettingError

DEFAULT_ALLOWANCE_PER_S = 10.0  # total allowance if no tenant has one


class Effect(StrEnum):
    """Effect of executing a request of a class a second time."""

    SAFE = "safe"  # no effect
    KEYED = "keyed"  # no effect while its idempotency key is remembered
    UNSAFE = "unsafe"  # harmful


class KeyScope(StrEnum):
    """Endpoints among which an idempotency key is recognized."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(StrEnum):
    """Source of a relay's endpoint list."""

    PUSH = "push"  # a local agent maintains it
    ASK = "ask"  # the relay watches it by its own calls to discovery


class WeightMeaning(StrEnum):
    """Meaning of an endpoint's ``weight``."""

    NONE = "none"
    NOMINAL = "nominal"  # size
    ROUGH = "rough"  # approximate size
    LIVE = "live"  # size, reduced by the present load


class ReportSource(StrEnum):
    """Source of the endpoints' load reports."""

    NONE = "none"
    PROBE = "probe"  # health checks
    ANSWERS = "answers"  # health checks and responses to requests


def _require(is_valid: bool, field: str, rule: str) -> None:
    if not is_valid:
        raise InvalidSettingError(f"{field}: {rule}")


def _require_one_of(choices: Iterable[str], value: str, field: str) -> None:
    names = tuple(choices)
    _require(value in names, field, "must be one of " + ", ".join(names))


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Class of requests. ``scope`` and ``key_ttl_ms`` apply to keyed classes only.

    ``effect`` and ``scope`` are an ``Effect`` and a ``KeyScope``, or their values.

    Raises:
        InvalidSettingError: A value is out of its range.
    """

    name: str
    latency_objective_ms: float  # time from the request until its connection is established
    effect: str = Effect.SAFE
    scope: str = KeyScope.ALL
    key_ttl_ms: float = 0.0  # lifetime of an idempotency key from the first execution
    message_latency_objective_ms: float = 0.0  # objective for messages on a connection; 0 if none
    give_up_ms: float = 0.0  # time that a client waits over all attempts; 0 if not given

    def __post_init__(self) -> None:
        _require(self.latency_objective_ms > 0, "latency_objective_ms", "must be above 0")
        _require_one_of(Effect, self.effect, "effect")
        _require_one_of(KeyScope, self.scope, "scope")
        _require(self.key_ttl_ms >= 0, "key_ttl_ms", "must not be negative")
        _require(self.give_up_ms >= 0, "give_up_ms", "must not be negative")
        _require(
            self.message_latency_objective_ms >= 0, "message_latency_objective_ms", "must not be negative"
        )

    def is_rejectable(self, may_have_executed: bool) -> bool:
        """Return True if a request may be rejected, which promises that a retry is harmless.

        Args:
            may_have_executed: True if an attempt of the request may have been executed.
        """
        if not may_have_executed or self.effect == Effect.SAFE:
            return True
        return self.effect == Effect.KEYED and self.scope == KeyScope.ALL


@dataclass(frozen=True, slots=True)
class Tenant:
    """Tenant with an allowance of requests and a quota of connections, both over all relays.

    Raises:
        InvalidSettingError: A value is negative.
    """

    name: str
    allowance_per_s: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "allowance_per_s", "must not be negative")
        _require(self.quota_connections >= 0, "quota_connections", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer; ``sageturn.config.settings`` holds the platform's names.

    ``discovery``, ``weights`` and ``reports`` are a ``DiscoveryMode``, a ``WeightMeaning`` and a
    ``ReportSource``, or their values.

    Raises:
        InvalidSettingError: A value is out of its range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    relay_count: int = 1
    index: int | None = None  # this relay's number, from 0; None if not given
    zone: str = ""
    discovery: str = DiscoveryMode.PUSH
    max_attempts: int = 3
    may_cancel: bool = False  # an attempt may be abandoned once its client has disconnected
    retry_after: bool = True  # a rejection may say when to retry
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 10000.0  # endpoints close connections that have been idle for so long
    max_poll_interval_ms: float = 10000.0  # discovery has to be called again within this time
    cold_overload_multiple: float = 3.0  # multiple of an even fill that slow start allows in a window
    cold_overload_window_ms: float = 2000.0  # length of that window
    initial_capacity_ratio: float = 0.3  # part of its capacity that an endpoint has at its start
    slow_start_ms: float = 10000.0  # time from an endpoint's start until it has its full capacity
    weights: str = WeightMeaning.NONE
    groups: bool = False  # clients have groups, and each group costs an endpoint that holds any of it
    # Costs are fractions of the fleet's service score, from which they are subtracted.
    cross_zone_cost: float = 0.0  # cost of crossing zones; 0: zones do not matter
    migration_cost: float = 0.0  # cost of one migrated connection
    reports_delay: bool = True  # connections measure how long messages take
    probes: bool = False  # a relay may send endpoints health checks
    health_check_cost: float = 0.0  # cost of one health check per request
    reports: str = ReportSource.NONE
    report_fields: tuple[str, ...] = ()  # names of the values that load reports hold

    def total_allowance_per_s(self) -> float:
        """Return the requests per second that all tenants together may send to all relays."""
        return sum(tenant.allowance_per_s for tenant in self.tenants) or DEFAULT_ALLOWANCE_PER_S

    def shortest_message_objective_ms(self, default_ms: float) -> float:
        """Return the shortest latency objective for messages of any class, or the default if none has one."""
        objectives = (each.message_latency_objective_ms for each in self.classes)
        return min((objective_ms for objective_ms in objectives if objective_ms > 0), default=default_ms)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "must have at least one class")
        _require(self.relay_count >= 1, "relay_count", "must be 1 or more")
        _require(self.index is None or self.index >= 0, "index", "must not be negative")
        _require_one_of(DiscoveryMode, self.discovery, "discovery")
        _require_one_of(WeightMeaning, self.weights, "weights")
        _require_one_of(ReportSource, self.reports, "reports")
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
