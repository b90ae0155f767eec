"""What a lab's deployment is like: its classes, members, hosts, clients, and the settings relays are given.

Loads are in usual connections (1.0 is the mean of a usual one), times in seconds unless named otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class ClassSpec:
    name: str
    share: float  # of new connections
    load: tuple[float, float]  # drawn evenly between these
    life: tuple[float, float]  # times the usual life, drawn evenly between these
    latency_objective_ms: float
    give_up_ms: float
    worth: float  # a second
    grouped: bool = True
    message_ms: float = 100.0  # a message is wanted within this


# The classes of guide-live, as its operators describe them. Desks that check guests in travel with no group.
CLASSES = (
    ClassSpec("departures", 0.39, (1.0, 1.0), (1.0, 1.0), 800.0, 3200.0, 3.0),
    ClassSpec("group-position", 0.32, (2.0, 4.0), (0.3, 1.0), 300.0, 1200.0, 3.0, message_ms=60.0),
    ClassSpec("seat-count", 0.15, (0.2, 0.5), (1.0, 1.0), 500.0, 2000.0, 3.0),
    ClassSpec("guest-checkin", 0.14, (0.2, 0.5), (1.0, 1.0), 300.0, 1200.0, 5.0, False, message_ms=250.0),
)
MEMBERS = {
    "song-xanh": 0.27,
    "lua-viet": 0.23,
    "ha-long-sao": 0.22,
    "pho-co-tours": 0.14,
    "mekong-que": 0.08,
    "nui-may": 0.06,
}


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """``early``: hosts that stand from the start and hold everyone; the rest join, cold, at ``join_s``."""

    relays: int = 4
    hosts: int = 12
    early: int = 9
    zones: tuple[str, ...] = ("hanoi",)
    connections: int = 2000
    life_s: float = 600.0  # of a usual connection, drawn from an exponential
    group_size: tuple[int, int] = (5, 24)
    room: float = 3.0  # what a host of size 1 can carry, as a multiple of its part when all is in balance
    fast_part: float = 0.6  # of the hosts are of the faster kind
    fast_size: float = 1.4
    group_cost: float = 1.5
    set_up_ms: float = 12.0  # at an idle host
    initial_capacity_ratio: float = 0.12
    warm_s: float = 24.0
    cold_overload_multiple: float = 4.0
    fall_s: float = 3.0
    join_s: float = 20.0
    gap_ms: tuple[float, float] = (100.0, 820.0)  # before a client that was moved, cut or refused comes again
    store_headroom: float = 0.0  # of the session store, times four usual arrivals; 0: there is no store
    seed: int = 1
    classes: tuple[ClassSpec, ...] = CLASSES
    members: dict[str, float] = field(default_factory=lambda: dict(MEMBERS))

    @property
    def arrivals_per_s(self) -> float:
        mean = sum(c.share * (c.life[0] + c.life[1]) / 2.0 for c in self.classes)
        return self.connections / (self.life_s * mean)

    @property
    def usual_load(self) -> float:
        return sum(c.share * (c.load[0] + c.load[1]) / 2.0 for c in self.classes)

    @property
    def unit_us(self) -> float:
        """Microseconds of work a second that a load of 1 is: the module takes a host's size for its cores."""
        return 1e6 / (self.room * self.connections * self.usual_load / self.hosts)

    def kind(self, host: int) -> str:
        # The faster kind comes at even distances, so that early and late hosts have their part of it.
        return "c2-fast" if int((host + 1) * self.fast_part) > int(host * self.fast_part) else "c2-std"

    def size(self, host: int) -> float:
        """Against a usual host; the mean over the fleet is 1."""
        mean = self.fast_part * self.fast_size + 1.0 - self.fast_part
        return (self.fast_size if self.kind(host) == "c2-fast" else 1.0) / mean

    def zone(self, host_or_relay: int) -> str:
        return self.zones[host_or_relay % len(self.zones)]

    def host_name(self, host: int) -> str:
        return f"h{host:04d}"

    def capacity(self, host: int) -> float:
        """Load that a warm host can carry."""
        return self.room * self.size(host) * self.connections * self.usual_load / self.hosts


def relay_settings(spec: FleetSpec, relay: int) -> dict[str, Any]:
    """The settings object of a relay's configuration, in the form that the platform gives it."""
    total = float(spec.connections)
    return {
        "accounts": [
            {"name": name, "fraction": part, "allowancePerS": part * spec.arrivals_per_s}
            for name, part in spec.members.items()
        ],
        "azs": list(spec.zones),
        "classes": [
            {
                "name": c.name,
                "aimMs": c.latency_objective_ms,
                "hardLimitMs": c.give_up_ms,
                "gain": c.worth,
                "semantics": "safe",
                "dedupScope": "all",
                "keyTtlMs": 5000.0,
                "stream": True,
            }
            for c in spec.classes
        ],
        "discovery": "ask",
        "familyInfo": {
            "groups": True,
            "mode": "proxy",
            "tellsLoad": True,
            "tellsDelay": False,
            "messageAimMs": [c.message_ms for c in spec.classes],
            "tenantQuotaConnections": [part * total * 1.5 for part in spec.members.values()],
        },
        "groupSize": spec.relays,
        "guarantees": {
            "fallMs": spec.fall_s * 1000.0,
            "fallMultiple": spec.cold_overload_multiple,
            "graceToAnswerMs": 16.0,
            "mustAskInMs": 10000.0,
            "startCapacity": spec.initial_capacity_ratio,
            "stopSendingWithinMs": 500.0,
            "warmWithinMs": spec.warm_s * 1000.0,
        },
        "me": relay,
        "models": ["c2-fast", "c2-std"],
        "policyLimits": {
            "sendCap": 3,
            "retryAfter": True,
            "maxRetryAfterMs": 1500.0,
            "cancel": True,
            "connectTimeoutMs": 250.0,
            "keepaliveMs": 60000.0,
        },
        "prices": {"crossZone": 0.018 if len(spec.zones) > 1 else 0.0, "moves": 0.021},
        "weightKind": "rough",
        "zone": spec.zone(relay),
    }
