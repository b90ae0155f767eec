"""Fleet of a lab run: its traffic classes, tenants, endpoints, clients, and the settings of its relays.

The unit of load is the mean connection of the most common class. Times are in seconds unless a name says
otherwise. Endpoints and relays are numbered from 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sageturn.decision import Effect
from sageturn.net.json_stream import JsonObject

FAST_KIND = "c2-fast"
STANDARD_KIND = "c2-std"
TENANT_QUOTA_MULTIPLE = 1.5  # tenant's quota over its share of the connections
POLICY_LIMITS = {
    "sendCap": 3,
    "retryAfter": True,
    "maxRetryAfterMs": 1500.0,
    "cancel": True,
    "connectTimeoutMs": 250.0,
    "keepaliveMs": 60000.0,
}


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """Traffic class. A pair is a range from which each client's value is sampled uniformly."""

    name: str
    share: float  # fraction of new connections
    load: tuple[float, float]
    lifetime_factor: tuple[float, float]  # factor on the fleet's mean lifetime
    latency_objective_ms: float
    client_timeout_ms: float
    priority_weight: float  # weight of a second of service
    grouped: bool = True  # True if its clients belong to groups that should share an endpoint
    message_objective_ms: float = 100.0  # response time objective of a message


# The classes of the service guide-live. Its check-in desks belong to no group.
CLASSES = (
    ClassSpec("departures", 0.39, (1.0, 1.0), (1.0, 1.0), 800.0, 3200.0, 3.0),
    ClassSpec("group-position", 0.32, (2.0, 4.0), (0.3, 1.0), 300.0, 1200.0, 3.0, message_objective_ms=60.0),
    ClassSpec("seat-count", 0.15, (0.2, 0.5), (1.0, 1.0), 500.0, 2000.0, 3.0),
    ClassSpec(
        "guest-checkin",
        0.14,
        (0.2, 0.5),
        (1.0, 1.0),
        300.0,
        1200.0,
        5.0,
        grouped=False,
        message_objective_ms=250.0,
    ),
)
TENANT_SHARES = {
    "song-xanh": 0.27,
    "lua-viet": 0.23,
    "ha-long-sao": 0.22,
    "pho-co-tours": 0.14,
    "mekong-que": 0.08,
    "nui-may": 0.06,
}


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Fleet and its traffic.

    The first ``initial_endpoints`` endpoints run from the start and have all connections; the others, the
    joining endpoints, start cold at ``join_s``.
    """

    relays: int = 4
    endpoints: int = 12
    initial_endpoints: int = 9
    zones: tuple[str, ...] = ("hanoi",)
    connections: int = 2000
    mean_lifetime_s: float = 600.0  # lifetime at a factor of 1; exponentially distributed
    group_size: tuple[int, int] = (5, 24)
    capacity_ratio: float = 3.0  # an endpoint's capacity over its load in a balanced fleet
    fast_endpoint_ratio: float = 0.6
    fast_endpoint_size: float = 1.4  # size of a fast endpoint over that of a standard one
    group_cost: float = 1.5  # load of a group at an endpoint, in mean connections
    idle_setup_ms: float = 12.0  # set-up time of a connection at an idle endpoint
    initial_capacity_ratio: float = 0.12  # usable fraction of the capacity right after the start
    warm_up_s: float = 24.0
    cold_overload_multiple: float = 4.0  # highest intake that a cold endpoint survives over its warm-up pace
    overload_window_s: float = 3.0  # window over which the intake is measured
    join_s: float = 20.0
    reconnect_delay_ms: tuple[float, float] = (100.0, 820.0)
    store_headroom: float = 0.0  # session store's capacity over four times the usual arrivals; 0: no store
    seed: int = 1
    classes: tuple[ClassSpec, ...] = CLASSES
    tenants: dict[str, float] = field(default_factory=lambda: dict(TENANT_SHARES))

    @property
    def arrivals_per_s(self) -> float:
        """Arrival rate that keeps the number of connections constant."""
        mean_factor = sum(
            class_spec.share * (class_spec.lifetime_factor[0] + class_spec.lifetime_factor[1]) / 2.0
            for class_spec in self.classes
        )
        return self.connections / (self.mean_lifetime_s * mean_factor)

    @property
    def mean_load(self) -> float:
        """Mean load of a new connection."""
        return sum(
            class_spec.share * (class_spec.load[0] + class_spec.load[1]) / 2.0 for class_spec in self.classes
        )

    @property
    def work_us_per_load(self) -> float:
        """Microseconds of work per second for a load of 1; the balancer reads a size as a number of cores."""
        return 1e6 / (self.capacity_ratio * self.connections * self.mean_load / self.endpoints)

    def kind(self, number: int) -> str:
        """Return the hardware kind of an endpoint."""
        # Fast endpoints are evenly spaced, so that initial and joining endpoints have the same ratio of them.
        is_fast = int((number + 1) * self.fast_endpoint_ratio) > int(number * self.fast_endpoint_ratio)
        return FAST_KIND if is_fast else STANDARD_KIND

    def size(self, number: int) -> float:
        """Return the size of an endpoint, scaled so that the mean over the fleet is 1."""
        mean = self.fast_endpoint_ratio * self.fast_endpoint_size + 1.0 - self.fast_endpoint_ratio
        return (self.fast_endpoint_size if self.kind(number) == FAST_KIND else 1.0) / mean

    def zone(self, endpoint_or_relay: int) -> str:
        """Return the zone of an endpoint or a relay."""
        return self.zones[endpoint_or_relay % len(self.zones)]

    def endpoint_name(self, number: int) -> str:
        """Return the name of an endpoint in the endpoint list."""
        return f"h{number:04d}"

    def capacity(self, number: int) -> float:
        """Return the load that a warm endpoint can carry."""
        return self.capacity_ratio * self.size(number) * self.connections * self.mean_load / self.endpoints


def relay_settings(spec: FleetSpec, relay: int) -> JsonObject:
    """Return the settings of a relay by the keys of the platform's configuration."""
    total = float(spec.connections)
    return {
        "accounts": [
            {"name": name, "fraction": share, "allowancePerS": share * spec.arrivals_per_s}
            for name, share in spec.tenants.items()
        ],
        "azs": list(spec.zones),
        "classes": [_class_settings(class_spec) for class_spec in spec.classes],
        "discovery": "ask",
        "familyInfo": {
            "groups": True,
            "mode": "proxy",
            "tellsLoad": True,
            "tellsDelay": False,
            "messageAimMs": [class_spec.message_objective_ms for class_spec in spec.classes],
            "tenantQuotaConnections": [
                share * total * TENANT_QUOTA_MULTIPLE for share in spec.tenants.values()
            ],
        },
        "groupSize": spec.relays,
        "guarantees": _guarantees(spec),
        "me": relay,
        "models": [FAST_KIND, STANDARD_KIND],
        "policyLimits": dict(POLICY_LIMITS),
        "prices": {"crossZone": 0.018 if len(spec.zones) > 1 else 0.0, "moves": 0.021},
        "weightKind": "rough",
        "zone": spec.zone(relay),
    }


def _class_settings(class_spec: ClassSpec) -> JsonObject:
    return {
        "name": class_spec.name,
        "aimMs": class_spec.latency_objective_ms,
        "hardLimitMs": class_spec.client_timeout_ms,
        "gain": class_spec.priority_weight,
        "semantics": Effect.SAFE.value,
        "dedupScope": "all",
        "keyTtlMs": 5000.0,
        "stream": True,
    }


def _guarantees(spec: FleetSpec) -> JsonObject:
    return {
        "fallMs": spec.overload_window_s * 1000.0,
        "fallMultiple": spec.cold_overload_multiple,
        "graceToAnswerMs": 16.0,
        "mustAskInMs": 10000.0,
        "startCapacity": spec.initial_capacity_ratio,
        "stopSendingWithinMs": 500.0,
        "warmWithinMs": spec.warm_up_s * 1000.0,
    }
