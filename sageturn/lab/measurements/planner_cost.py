"""Measurement of the planner's CPU time and memory in one relay, at a realistic rate of events."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.reports.result_table import Row
from sageturn.rebalance.connection_table import ConnectionLabels
from sageturn.rebalance.options import RebalanceMode, RebalanceOptions
from sageturn.rebalance.planner import RebalancePlanner

ENDPOINT_COUNT = 40
ENDPOINT_CAPACITY = 16
GROUP_SIZE = 12
RELAY_COUNT = 4
DURATION_S = 30
MINUTE_OF_DAY = 720
SETUP_TIME_MS = 20.0
EVENTS_PER_ARRIVAL = 5  # end of another connection, request, establishment, and two load reports
LOAD_REPORTS_PER_ARRIVAL = 2


@dataclass(frozen=True, slots=True)
class _Client:
    key: str
    group: str
    endpoint: str


class PlannerCost:
    """A planner that always has connections to migrate, and counters of its CPU time."""

    def __init__(self, connection_count: int) -> None:
        self.connection_count = connection_count
        self.spec = FleetSpec(endpoints=ENDPOINT_COUNT, connections=connection_count)
        self.arrivals_per_s = round(self.spec.arrivals_per_s)
        self.tick_s = 0.0
        self.max_tick_s = 0.0
        self.events_s = 0.0
        self._class_names = [class_spec.name for class_spec in self.spec.classes]
        self._clients = [_make_client(number) for number in range(connection_count)]
        self._endpoints = [
            EndpointSnapshot(f"h{number}", 1.0, is_ready=True, available_capacity=ENDPOINT_CAPACITY)
            for number in range(ENDPOINT_COUNT)
        ]
        self._next_id = connection_count
        settings = decision.Settings(
            classes=tuple(
                decision.RequestClass(class_spec.name, class_spec.latency_objective_ms)
                for class_spec in self.spec.classes
            ),
            groups=True,
            relay_count=RELAY_COUNT,
        )
        tracemalloc.start()
        before_bytes = tracemalloc.get_traced_memory()[0]
        self.planner = RebalancePlanner(settings, RebalanceOptions(mode=RebalanceMode.ON), 1)
        self._adopt_connections()
        self.planner_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
        tracemalloc.stop()
        self.planner.rate_controller.stopped_until_ms = 0.0  # skips the settling time of a start

    def run(self) -> None:
        """Pass the events of ``DURATION_S`` to the planner, and tick it once a second, in simulated time."""
        now_ms = 1000.0
        for _ in range(DURATION_S):
            started_s = time.process_time()
            for event in self._events_of_a_second(now_ms):
                self.planner.after_event(now_ms, event, ())
            events_done_s = time.process_time()
            self.planner.tick(now_ms, self._endpoints, MINUTE_OF_DAY)
            tick_s = time.process_time() - events_done_s
            self.events_s += events_done_s - started_s
            self.tick_s += tick_s
            self.max_tick_s = max(self.max_tick_s, tick_s)
            now_ms += 1000.0

    def row(self) -> Row:
        """Return the figures of the run."""
        return {
            "connections": self.connection_count,
            "hosts": ENDPOINT_COUNT,
            "events a second": self.arrivals_per_s * EVENTS_PER_ARRIVAL,
            "octets a connection": round(self.planner_bytes / self.connection_count),
            "CPU a second": f"{(self.tick_s + self.events_s) / DURATION_S:.3%}",
            "of it the tick": f"{self.tick_s / DURATION_S:.3%}",
            "longest tick": f"{self.max_tick_s * 1000.0:.1f} ms",
            "moves planned": self.planner.counts["moved"],
        }

    def _adopt_connections(self) -> None:
        for request_id, client in enumerate(self._clients):
            class_name = self._class_names[request_id // GROUP_SIZE % 3]
            labels = ConnectionLabels(class_name, "t", client.group)
            self.planner.tracker.adopt(0.0, request_id, client.endpoint, labels, client.key, 0.0)
            self.planner.connections.set_load(request_id, 1.0 + request_id % 3)

    def _events_of_a_second(self, now_ms: float) -> Iterator[decision.Event]:
        """Yield one second's events: as many connections end as begin; each new one reports load twice."""
        for _ in range(self.arrivals_per_s):
            request_id = self._next_id
            self._next_id += 1
            client = self._clients[request_id % self.connection_count]
            ended_id = request_id - self.connection_count
            yield decision.AttemptEnded(ended_id, 0, client.endpoint, decision.AttemptStatus.OK, final=True)
            yield decision.RequestArrived(
                request_id, self._class_names[0], "t", now_ms + 900.0, client.group, client=client.key
            )
            yield decision.ConnectionEstablished(request_id, 0, client.endpoint, SETUP_TIME_MS)
            for _ in range(LOAD_REPORTS_PER_ARRIVAL):
                kind = decision.MeasurementKind.LOAD
                yield decision.MeasurementReported(request_id, 0, client.endpoint, kind, 2.0)


def _make_client(number: int) -> _Client:
    """Return a client; the groups are spread so unevenly that the planner always has something to balance."""
    group_number = number // GROUP_SIZE
    return _Client(f"key{number}", f"g{group_number}", f"h{group_number**2 % 977 % ENDPOINT_COUNT}")
