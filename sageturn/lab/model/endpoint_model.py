"""Model of an endpoint: its load, the time that it takes to set up a connection, and when it crashes.

The model has no sockets and no clock; simulated endpoints and the fake endpoints on loopback share it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_UTILIZATION = 0.97  # set-up times stop growing at it, and new connections are rejected
WARM_STARTED_S = -1e9  # start time of an endpoint that is warm from the beginning of the run
CRASH_TOLERANCE_CONNECTIONS = 4.0  # mean connections by which a cold endpoint's intake may exceed its bound


@dataclass(eq=False)
class EndpointModel:
    """State of an endpoint. Times are in seconds on the caller's clock; loads have the unit of ``FleetSpec``.

    ``slowdown`` is a factor on its service times, ``backlog_s`` the queued work in seconds of its current
    capacity, and ``peak_intake_ratio`` the highest intake while it was cold over the intake that crashes it.
    """

    name: str
    kind: str
    size: float
    capacity: float
    zone: str = ""
    started_s: float = WARM_STARTED_S
    idle_setup_ms: float = 12.0
    group_cost: float = 1.5
    mean_load: float = 1.0
    initial_capacity_ratio: float = 0.12
    warm_up_s: float = 24.0
    cold_overload_multiple: float = 4.0
    overload_window_s: float = 3.0
    draining: bool = False
    crashed: bool = False
    slowdown: float = 1.0
    backlog_s: float = 0.0
    load: float = 0.0
    connection_count: int = 0
    peak_intake_ratio: float = 0.0

    def __post_init__(self) -> None:
        """Initialize an endpoint without groups and without intake."""
        self._group_sizes: dict[str, int] = {}
        self._intake: deque[tuple[float, float]] = deque()  # time and load, within the overload window
        self._intake_load = 0.0

    @property
    def group_count(self) -> int:
        """Number of groups with a connection to this endpoint."""
        return len(self._group_sizes)

    def warm_up_ratio(self, now_s: float) -> float:
        """Return the usable fraction of its capacity, which grows linearly over its warm-up."""
        progress = (now_s - self.started_s) / self.warm_up_s
        if progress >= 1.0:
            return 1.0
        return self.initial_capacity_ratio + (1.0 - self.initial_capacity_ratio) * max(0.0, progress)

    def utilization(self, now_s: float) -> float:
        """Return the endpoint's load over its usable capacity; above 1 its backlog grows."""
        group_load = self.group_cost * self.mean_load * len(self._group_sizes)
        return (self.load + group_load) * self.slowdown / (self.capacity * self.warm_up_ratio(now_s))

    def total_load(self) -> float:
        """Return the load of its connections and of its groups."""
        return self.load + self.group_cost * self.mean_load * len(self._group_sizes)

    def update_backlog(self, now_s: float, step_s: float) -> None:
        """Add the work of a step that exceeds the capacity to the backlog, or reduce the backlog."""
        if not self.connection_count:
            self.backlog_s = 0.0
            return
        self.backlog_s = max(0.0, self.backlog_s + (self.utilization(now_s) - 1.0) * step_s)

    def setup_time_ms(self, now_s: float) -> float:
        """Return the time to set up a connection, which grows with utilization as in an M/M/1 queue."""
        idle_ms = self.idle_setup_ms * self.slowdown / self.size
        return idle_ms / (1.0 - min(MAX_UTILIZATION, self.utilization(now_s))) + self.backlog_s * 1000.0

    def admit(self, now_s: float, load: float) -> bool:
        """Record a request for a connection. Return True if it is accepted."""
        self.record_intake(now_s, load)
        return not (self.crashed or self.draining or self.utilization(now_s) >= MAX_UTILIZATION)

    def record_intake(self, now_s: float, load: float, count: int = 1) -> None:
        """Record ``count`` requests for connections with the given load in total, accepted or not.

        The warm-up pace of a cold endpoint is the rate of load that fills it over its warm-up. Above
        ``cold_overload_multiple`` times that pace over ``overload_window_s`` it crashes for good.
        """
        self._intake.append((now_s, load))
        self._intake_load += load
        while self._intake[0][0] <= now_s - self.overload_window_s:
            self._intake_load -= self._intake.popleft()[1]
        if now_s - self.started_s >= self.warm_up_s:
            return
        pace = self.capacity * self.warm_up_ratio(now_s) / self.warm_up_s
        bound = self.cold_overload_multiple * pace * self.overload_window_s
        self.peak_intake_ratio = max(self.peak_intake_ratio, self._intake_load / bound)
        if count and self._intake_load > bound + CRASH_TOLERANCE_CONNECTIONS * self.mean_load:
            self.crashed = True

    def add_connection(self, load: float, group: str) -> None:
        """Add an established connection; ``group`` is empty for one without a group."""
        self.load += load
        self.connection_count += 1
        if group:
            self._group_sizes[group] = self._group_sizes.get(group, 0) + 1

    def remove_connection(self, load: float, group: str) -> None:
        """Remove a connection that was added with the same load and group."""
        self.load = max(0.0, self.load - load)
        self.connection_count -= 1
        if not group:
            return
        self._group_sizes[group] -= 1
        if not self._group_sizes[group]:
            del self._group_sizes[group]
