"""Simulation of a rebalance planner and a balancer on a simulated clock, with clients that reconnect."""

from __future__ import annotations

from typing import Any, NamedTuple

from sageturn import (
    Action,
    AttemptEnded,
    Balancer,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    Event,
    MeasurementReported,
    PlaceRequest,
    RequestArrived,
    RequestClass,
    Settings,
)
from sageturn.core.endpoint_snapshot import snapshot_endpoints
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan, PlanPhase
from sageturn.rebalance.planner import RebalancePlanner

CLASSES = (
    RequestClass("c", latency_objective_ms=500),
    RequestClass("guest-checkin", latency_objective_ms=300),
)
START_MS = 1e6
# Options with a high migration rate, so that plans complete within few simulated seconds.
FAST_OPTIONS = {"part_per_min": 0.5, "least_age_s": 2.0}


class FleetConnection(NamedTuple):
    """Established connection of the fleet."""

    client: str
    class_name: str
    group: str
    endpoint: str


class PendingReconnect(NamedTuple):
    """Migrated client that has yet to reconnect, and the time at which it does."""

    due_ms: float
    client: str
    class_name: str
    group: str


class MigratedClient(NamedTuple):
    """Migration that was carried out."""

    at_ms: float
    client: str
    reason: str


class RebalanceFleet:
    """Simulation of a relay's balancer and planner, its endpoints and its clients.

    Attributes:
        migrated: The migrations that were carried out, in order.
        reconnects: The migrated clients that have yet to reconnect.
        clients_return: True if migrated clients reconnect, after ``reconnect_delay_ms``.
        minute: The minute of the UTC day that is passed to the planner's ticks.
    """

    def __init__(
        self, endpoints: str = "abcd", options: dict[str, Any] | None = None, **settings: Any
    ) -> None:
        settings.setdefault("classes", CLASSES)
        settings.setdefault("groups", True)
        self.settings = Settings(**settings)
        self.options = RebalanceOptions(**{"mode": "on", **(options or {})})
        self.balancer = Balancer(self.settings, 1)
        self.planner = RebalancePlanner(self.settings, self.options, 1)
        self.now_ms = START_MS
        self.connections: dict[int, FleetConnection] = {}  # keyed by request id
        self.reconnects: list[PendingReconnect] = []
        self.migrated: list[MigratedClient] = []
        self.reconnect_delay_ms = 300.0
        self.setup_time_ms = 20.0
        self.clients_return = True
        self.minute = 0
        self.last_id = 0
        self.plan = NO_PLAN
        self.handle(EndpointListEvent("full", [Endpoint(name) for name in endpoints]))

    def handle(self, event: Event) -> list[Action]:
        """Let the balancer handle ``event`` while the planner observes it. Return the balancer's actions."""
        self.planner.before_event(self.now_ms, event)
        actions = self.balancer.handle(self.now_ms, event)
        self.planner.after_event(self.now_ms, event, actions)
        return actions

    def add_connections(
        self, endpoint: str, count: int, group: str = "", class_name: str = "c", load: float = 1.0
    ) -> None:
        """Let the balancer adopt connections of new clients, as if they had been established earlier."""
        for _ in range(count):
            self.last_id += 1
            client = f"k{self.last_id}"
            self.handle(ConnectionAdopted(self.last_id, class_name, "t", endpoint, group, client=client))
            self.connections[self.last_id] = FleetConnection(client, class_name, group, endpoint)
            if load != 1.0:
                self.handle(MeasurementReported(self.last_id, 0, endpoint, "load", load))

    def connect_client(
        self, client: str, class_name: str = "c", group: str = "", is_reconnect: bool = False
    ) -> str:
        """Connect a client. Return the endpoint where it is established; empty if it was rejected."""
        self.last_id += 1
        request = RequestArrived(
            self.last_id,
            class_name,
            "t",
            self.now_ms + 2000.0,
            group,
            client=client,
            is_reconnect=is_reconnect,
        )
        (action,) = self.handle(request)
        if not isinstance(action, PlaceRequest):
            return ""
        self.now_ms += self.setup_time_ms
        self.handle(ConnectionEstablished(self.last_id, 0, action.endpoint, self.setup_time_ms))
        self.connections[self.last_id] = FleetConnection(client, class_name, group, action.endpoint)
        return action.endpoint

    def end_connection(self, request_id: int, status: str = "cancelled") -> None:
        endpoint = self.connections.pop(request_id).endpoint
        self.handle(AttemptEnded(request_id, 0, endpoint, status, True))

    def step(self, seconds: float = 1.0) -> MigrationPlan:
        """Reconnect the clients that are due, run a tick and carry out its migrations. Return the plan."""
        self.now_ms += seconds * 1000.0
        due = [reconnect for reconnect in self.reconnects if reconnect.due_ms <= self.now_ms]
        self.reconnects = [reconnect for reconnect in self.reconnects if reconnect.due_ms > self.now_ms]
        for reconnect in due:
            self.connect_client(reconnect.client, reconnect.class_name, reconnect.group)
        self.plan = self.planner.tick(
            self.now_ms, snapshot_endpoints(self.balancer, self.now_ms), self.minute
        )
        if self.plan.phase != PlanPhase.DRY_RUN:
            for migration in self.plan.migrations:
                self._migrate(migration.request_id, migration.reason)
        return self.plan

    def _migrate(self, request_id: int, reason: str) -> None:
        client, class_name, group, _ = self.connections[request_id]
        self.migrated.append(MigratedClient(self.now_ms, client, reason))
        self.end_connection(request_id)
        if self.clients_return:
            due_ms = self.now_ms + self.reconnect_delay_ms
            self.reconnects.append(PendingReconnect(due_ms, client, class_name, group))

    def run(self, seconds: int) -> None:
        """Step once for each second."""
        for _ in range(seconds):
            self.step()

    def run_until_migrated(self) -> None:
        """Step until the first tick that migrates a client."""
        while not self.migrated:
            self.step()

    def connection_counts(self) -> dict[str, int]:
        """Return the number of connections at each endpoint."""
        counts = dict.fromkeys(self.balancer.endpoints, 0)
        for connection in self.connections.values():
            counts[connection.endpoint] += 1
        return counts

    def request_ids_at(self, endpoint: str) -> list[int]:
        """Return the request ids of the connections at ``endpoint``."""
        return [
            request_id
            for request_id, connection in self.connections.items()
            if connection.endpoint == endpoint
        ]

    def endpoints_of_group(self, group: str) -> set[str]:
        """Return the endpoints at which clients of ``group`` are connected."""
        return {connection.endpoint for connection in self.connections.values() if connection.group == group}

    @property
    def max_ratio(self) -> float:
        """Highest connection count of an endpoint, divided by the mean."""
        counts = self.connection_counts()
        return max(counts.values()) * len(counts) / sum(counts.values())


def make_uneven_fleet(options: dict[str, object] | None = None, **settings: object) -> RebalanceFleet:
    """Return a fleet of 160 connections in groups of five: 70 at endpoint a, 30 at each other endpoint."""
    fleet = RebalanceFleet("abcd", {**FAST_OPTIONS, **(options or {})}, **settings)
    for endpoint, group_count in (("a", 14), ("b", 6), ("c", 6), ("d", 6)):
        for number in range(group_count):
            fleet.add_connections(endpoint, 5, f"{endpoint}{number}")
    return fleet
