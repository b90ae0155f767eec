"""Variants of the simulated days that are recorded: each reaches other branches of the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sageturn.decision import RequestClass, Settings, Tenant

CLASSES = (
    RequestClass("safe", 500, message_latency_objective_ms=100),
    RequestClass("unsafe", 600, effect="unsafe"),
    RequestClass("keyed-all", 800, effect="keyed", scope="all", key_ttl_ms=5000),
    RequestClass("keyed-zone", 800, effect="keyed", scope="zone", key_ttl_ms=5000),
    RequestClass("keyed-cell", 800, effect="keyed", scope="cell", key_ttl_ms=300),
)


def tenants(allowance_per_s: float, quota_connections: float = 0.0) -> tuple[Tenant, ...]:
    return tuple(Tenant(name, allowance_per_s, quota_connections) for name in ("red", "green", "blue"))


@dataclass(frozen=True)
class Variant:
    """Settings, traffic and faults of a simulated day. ``seed`` is for the simulation and the balancer."""

    name: str
    seed: int
    settings: Settings
    endpoints: int = 8
    zones: tuple[str, ...] = ("",)
    kinds: tuple[str, ...] = ("",)
    shares: tuple[float, ...] = (1.0,)
    request_gap_ms: float = 60.0  # mean time between two new clients
    session_ms: float = 6000.0  # mean length of a connection
    fleet_change_ms: float = 6000.0  # mean time between two changes of the fleet
    slow_ratio: float = 0.15  # part of the endpoints that is slow at any time
    bound_ratio: float = 0.0  # part of the requests that an operator binds to a few endpoints
    private_group_ratio: float = 0.0  # part of the clients that are alone in their groups
    events: int = 13_000


def make_variant(name: str, seed: int, settings: dict[str, Any], **more: Any) -> Variant:
    return Variant(name, seed, Settings(**{"classes": CLASSES, **settings}), **more)


ZONES = ("north", "south", "west")
VARIANTS = (
    make_variant("lone relay without tenants", 11, {"max_attempts": 2}, endpoints=3, request_gap_ms=100.0),
    make_variant(
        "priced zones, quotas, loads only",
        12,
        {
            "tenants": tenants(40.0, 200.0),
            "relay_count": 12,
            "index": 3,
            "zone": "north",
            "discovery": "ask",
            "weights": "nominal",
            "cross_zone_cost": 0.2,
            "reports_delay": False,
        },
        endpoints=12,
        zones=ZONES,
        kinds=("old", "new"),
        shares=(1.0, 2.0),
        bound_ratio=0.05,
    ),
    make_variant(
        "many relays, rough weights",
        13,
        {
            "tenants": tenants(400.0, 2500.0),
            "relay_count": 300,
            "discovery": "ask",
            "weights": "rough",
            "migration_cost": 0.05,
            "reports_delay": False,
            "initial_capacity_ratio": 0.1,
        },
        endpoints=30,
        shares=(0.5, 1.0, 1.5),
        request_gap_ms=150.0,
        fleet_change_ms=1500.0,
    ),
    make_variant(
        "probes at a price, groups in zones",
        14,
        {
            "tenants": tenants(60.0),
            "relay_count": 5,
            "index": 9,
            "zone": "south",
            "discovery": "ask",
            "weights": "live",
            "groups": True,
            "cross_zone_cost": 0.1,
            "reports_delay": False,
            "probes": True,
            "health_check_cost": 0.04,
            "reports": "answers",
            "report_fields": ("x0", "x1"),
        },
        endpoints=10,
        zones=ZONES,
        kinds=("a", "b", ""),
        session_ms=9000.0,
        fleet_change_ms=3000.0,
    ),
    make_variant(
        "groups, delays told, pins",
        15,
        {
            "tenants": tenants(80.0, 120.0),
            "relay_count": 4,
            "index": 1,
            "groups": True,
            "may_cancel": True,
            "zone": "west",
            "cross_zone_cost": 0.3,
        },
        endpoints=9,
        zones=ZONES,
        request_gap_ms=50.0,
        bound_ratio=0.25,
    ),
    make_variant(
        "scarce servers, dear moves",
        16,
        {
            "tenants": tenants(3.0, 12.0),
            "relay_count": 2,
            "index": 0,
            "retry_after": False,
            "may_cancel": True,
            "max_attempts": 5,
            "migration_cost": 0.5,
            "max_retry_after_ms": 400.0,
        },
        endpoints=4,
        request_gap_ms=40.0,
        session_ms=3000.0,
        slow_ratio=0.4,
    ),
    make_variant(
        "few relays, loads, cold budgets",
        17,
        {
            "tenants": tenants(50.0),
            "relay_count": 3,
            "index": 2,
            "weights": "nominal",
            "reports_delay": False,
            "groups": True,
            "cold_overload_multiple": 1.5,
            "slow_start_ms": 20000.0,
            "max_poll_interval_ms": 0.0,
        },
        endpoints=6,
        kinds=("a", "b"),
        request_gap_ms=100.0,
        session_ms=15000.0,
        fleet_change_ms=8000.0,
    ),
    make_variant(
        "probes free, by processor use",
        18,
        {
            "tenants": tenants(100.0, 300.0),
            "relay_count": 6,
            "reports_delay": False,
            "probes": True,
            "reports": "probe",
            "report_fields": ("cpu",),
            "max_attempts": 4,
            "may_cancel": True,
        },
        endpoints=7,
        kinds=("a",),
        request_gap_ms=60.0,
        bound_ratio=0.02,
    ),
    make_variant(
        "many relays, delays told",
        20,
        {"tenants": tenants(60.0), "relay_count": 60, "index": 17},
        endpoints=6,
        request_gap_ms=80.0,
        session_ms=8000.0,
        slow_ratio=0.3,
    ),
    make_variant(
        "a calm fleet and many small groups",
        19,
        {"tenants": tenants(200.0), "relay_count": 2, "index": 0, "groups": True},
        endpoints=20,
        request_gap_ms=15.0,
        session_ms=60_000.0,
        fleet_change_ms=40_000.0,
        slow_ratio=0.0,
        private_group_ratio=0.8,
        events=8_000,
    ),
)
