"""A planner beside the real decision module on a clock of the test's own, and clients that come again."""

from __future__ import annotations

from typing import Any

from sageturn import (
    AttemptEnded,
    Balancer,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    MeasurementReported,
    PlaceRequest,
    RequestArrived,
    RequestClass,
    Settings,
)
from sageturn.core.endpoint_snapshot import snapshot_endpoints
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.planner import MigrationPlan, RebalancePlanner

CLASSES = (
    RequestClass("c", latency_objective_ms=500),
    RequestClass("guest-checkin", latency_objective_ms=300),
)


class Fleet:
    """``conns``: id to (client, class, group, host) of all that stand."""

    def __init__(self, hosts: str = "abcd", options: dict[str, Any] | None = None, **settings: Any) -> None:
        settings.setdefault("classes", CLASSES)
        settings.setdefault("groups", True)
        self.settings = Settings(**settings)
        self.options = RebalanceOptions(**{"mode": "on", **(options or {})})
        self.balancer = Balancer(self.settings, 1)
        self.planner = RebalancePlanner(self.settings, self.options, 1)
        self.now = 1e6
        self.conns: dict[int, tuple[str, str, str, str]] = {}
        self.away: list[tuple[float, str, str, str]] = []  # when they come, client, class, group
        self.moved: list[tuple[float, str, str]] = []  # when, client, why
        self.gap_ms, self.set_up_ms, self.come_back = 300.0, 20.0, True
        self.minute, self.ids = 0, 0
        self.plan = MigrationPlan((), "", "")
        self.tell(EndpointListEvent("full", [Endpoint(name) for name in hosts]))

    def tell(self, event: Any) -> list[Any]:
        self.planner.before_event(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.planner.after_event(self.now, event, actions)
        return actions

    def stands(self, host: str, count: int, group: str = "", cls: str = "c", load: float = 1.0) -> None:
        """Connections that stood for a while; their keys are fresh."""
        for _ in range(count):
            self.ids += 1
            client = f"k{self.ids}"
            self.tell(ConnectionAdopted(self.ids, cls, "t", host, group, client=client))
            self.conns[self.ids] = (client, cls, group, host)
            if load != 1.0:
                self.tell(MeasurementReported(self.ids, 0, host, "load", load))

    def comes(self, client: str, cls: str = "c", group: str = "", returned: bool = False) -> str:
        """The host where it stands then, or nothing when it failed fast."""
        self.ids += 1
        request = RequestArrived(
            self.ids, cls, "t", self.now + 2000.0, group, client=client, returned=returned
        )
        (action,) = self.tell(request)
        if not isinstance(action, PlaceRequest):
            return ""
        self.now += self.set_up_ms
        self.tell(ConnectionEstablished(self.ids, 0, action.endpoint, self.set_up_ms))
        self.conns[self.ids] = (client, cls, group, action.endpoint)
        return action.endpoint

    def ends(self, request_id: int, status: str = "cancelled") -> None:
        host = self.conns.pop(request_id)[3]
        self.tell(AttemptEnded(request_id, 0, host, status, True))

    def step(self, seconds: float = 1.0) -> MigrationPlan:
        """A tick, the moves that it asks for, and the clients that are due by then."""
        self.now += seconds * 1000.0
        due = [who for who in self.away if who[0] <= self.now]
        self.away = [who for who in self.away if who[0] > self.now]
        for _, client, cls, group in due:
            self.comes(client, cls, group)
        self.plan = self.planner.tick(self.now, snapshot_endpoints(self.balancer, self.now), self.minute)
        if self.plan.phase != "dry-run":
            for move in self.plan.moves:
                client, cls, group, _ = self.conns[move.request_id]
                self.moved.append((self.now, client, move.reason))
                self.ends(move.request_id)
                if self.come_back:
                    self.away.append((self.now + self.gap_ms, client, cls, group))
        return self.plan

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.step()

    def held(self) -> dict[str, int]:
        counts = {name: 0 for name in self.balancer.endpoints}
        for _, _, _, host in self.conns.values():
            counts[host] += 1
        return counts

    def on(self, host: str) -> list[int]:
        return [i for i, conn in self.conns.items() if conn[3] == host]

    @property
    def fullest(self) -> float:
        counts = self.held()
        return max(counts.values()) * len(counts) / sum(counts.values())
