"""State of each endpoint and each request in a balancer, without rules or tuned constants.

Times end in ``_ms`` and are read from the balancer's clock. Connections are those of this relay alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from sageturn.decision.events import ConnectionAdopted, RequestArrived
from sageturn.decision.quotas import EndpointWeights, QuotaBound
from sageturn.decision.settings import RequestClass
from sageturn.decision.slow_start import SlowStartState

UNLIMITED = QuotaBound(max_connections=float("inf"), eligible_relays=1.0)


class AttemptState(Enum):
    """Progress of the latest attempt of a request."""

    NONE = auto()  # no attempt has been sent, or the latest one has ended
    IN_FLIGHT = auto()  # sent, and not established yet
    ESTABLISHED = auto()


@dataclass(slots=True, eq=False)
class EndpointConnections:
    """This relay's attempts and connections at one endpoint, updated by ``Balancer`` and ``Fleet``."""

    concurrency_limit: int  # attempts that may be in flight at once
    in_flight: int = 0
    open_count: int = 0  # attempts in flight and established connections
    is_untried: bool = True  # no connection was established since the endpoint (re)started
    established: dict[int, RequestState] = field(default_factory=dict)  # connections by request id
    group_counts: dict[str, int] = field(default_factory=dict)  # open connections by group


@dataclass(slots=True, eq=False)
class OutlierState:
    """Outlier detection at one endpoint, updated by ``Fleet``."""

    consecutive_failures: int = 0
    ejected_until_ms: float | None = None  # None while it is not ejected


@dataclass(slots=True, eq=False)
class OverloadState:
    """Overload signals of an endpoint and its learned capacity, updated by ``OverloadControl``."""

    is_shedding: bool = False  # overloaded or at its capacity, so it is sent nothing
    overloaded_until_ms: float | None = None  # None before its first overload
    capacity: float = float("inf")  # connections that it was found able to hold
    capacity_updated_ms: float = 0.0
    capacity_rounding: float = 0.0  # random offset from 0 to 1, drawn each time that the capacity is cut
    consecutive_resets: int = 0  # resets of established connections
    last_reset_ms: float = 0.0


@dataclass(slots=True)
class SetupTime:
    """Decaying mean of the logarithms of an endpoint's set-up times in milliseconds."""

    log_ms: float
    updated_ms: float


@dataclass(slots=True, eq=False)
class LoadEstimate:
    """Load signals where no delay is measured, updated by ``OverloadControl`` and ``SetupTimes``."""

    reported_load: float = 0.0  # sum over the established connections whose load was reported
    reported_count: int = 0  # number of these connections
    next_check_ms: float = 0.0  # time of the next check of its utilization
    saturated_until_ms: float = 0.0  # end of the time for which it holds more than it can serve
    deprioritized_until_ms: float = 0.0  # end of the time for which its utilization is relatively high
    setup_time: SetupTime | None = None  # None before one was measured

    def forget(self, request: RequestState) -> None:
        """Drop the load of a connection that is no longer established."""
        if request.reported_load is not None:
            self.reported_load -= request.reported_load
            self.reported_count -= 1
            request.reported_load = None


@dataclass(slots=True)
class FleetTotals:
    """Sums over the endpoints that are ready, or the contribution of one endpoint to them."""

    in_flight: int = 0
    limits: int = 0
    unused_limits: int = 0  # concurrency limits of endpoints on which this relay holds nothing
    open_count: int = 0


@dataclass(slots=True, eq=False)
class EndpointState:
    """State of one endpoint: its entry in the list, and one part for each concern."""

    name: str
    name_hash: int
    zone: str
    cell: int
    kind: str  # kind of machine
    state: str  # status in the list, an ``EndpointStatus``
    started_at_ms: float | None  # None if the list does not state it
    rounding_offset: float  # offset from 0 to 1 that rounds this relay's part of the endpoint's capacity
    connections: EndpointConnections
    ready: bool = False  # listed ready and not ejected
    slow_start: SlowStartState | None = None  # None unless it is in slow start

    outlier: OutlierState = field(default_factory=OutlierState)
    overload: OverloadState = field(default_factory=OverloadState)
    load: LoadEstimate = field(default_factory=LoadEstimate)
    weights: EndpointWeights = field(default_factory=EndpointWeights)
    quota: QuotaBound = UNLIMITED
    contribution: FleetTotals = field(default_factory=FleetTotals)  # contribution to the fleet's totals

    def age_ms(self, now_ms: float) -> float:
        """Return the time since its start; infinite if the list does not state it."""
        return float("inf") if self.started_at_ms is None else now_ms - self.started_at_ms

    def is_full(self) -> bool:
        """Return True if it may be sent no further attempt for now."""
        connections = self.connections
        return self.overload.is_shedding or connections.in_flight >= connections.concurrency_limit

    def is_at_capacity(self) -> bool:
        """Return True if it holds as many connections as it was found able to hold."""
        overload = self.overload
        return self.connections.open_count >= overload.capacity - overload.capacity_rounding

    def is_at_quota(self) -> bool:
        """Return True if one more connection would exceed this relay's part of its capacity."""
        return self.connections.open_count + 1 > self.quota.max_connections + self.rounding_offset

    def forget_connection(self, request_id: int) -> None:
        """Drop an established connection; one that is not established is ignored."""
        request = self.connections.established.pop(request_id, None)
        if request is not None:
            self.load.forget(request)

    def restart(self, started_at_ms: float) -> None:
        """Reset the state that was learned from an earlier process of the same name."""
        self.started_at_ms = started_at_ms
        self.slow_start = None
        self.connections.is_untried = True
        self.outlier = OutlierState()
        self.load.setup_time = None
        self.overload.overloaded_until_ms = None
        self.overload.capacity = float("inf")
        self.overload.consecutive_resets = 0


@dataclass(slots=True)
class EndpointBinding:
    """Endpoints that an operator binds a request to."""

    endpoints: frozenset[str]
    is_strict: bool  # applies to every attempt, not only to the first


@dataclass(slots=True)
class Execution:
    """First attempt of a request that may have been executed."""

    zone: str
    cell: int
    sent_ms: float


@dataclass(slots=True, eq=False)
class RequestState:
    """Request that is not answered yet, or its established connection."""

    id: int
    request_class: RequestClass
    tenant: str
    group: str
    load: float  # load of its connection: the last reported one, or else the expected one
    deadline_ms: float  # time at which its client gives up
    objective_deadline_ms: float  # latest establishment that meets the latency objective
    is_takeover: bool = False  # taken over from another relay, so it is not throttled
    binding: EndpointBinding | None = None  # None if any endpoint is allowed
    migration_exempt_until_ms: float = 0.0

    endpoint: EndpointState | None = None  # latest attempt's, or the one that it was migrated from
    state: AttemptState = AttemptState.NONE
    attempts: int = 0
    sent_ms: float = 0.0  # time at which the latest attempt was sent
    is_finished: bool = False  # its client needs no response; only its attempt's end is outstanding
    reported_load: float | None = None  # last load that its connection reported; None if none
    execution: Execution | None = None  # None while no attempt may have been executed

    def allows(self, endpoint: EndpointState) -> bool:
        """Return True if an operator's binding allows the endpoint for the next attempt."""
        binding = self.binding
        if binding is None or endpoint.name in binding.endpoints:
            return True
        return not binding.is_strict and self.attempts > 0

    def endpoint_of(self, attempt: int) -> EndpointState | None:
        """Return the endpoint of the latest attempt; None if ``attempt`` is the number of an earlier one."""
        return self.endpoint if attempt == self.attempts - 1 else None

    def begin_attempt(self, endpoint: EndpointState, now_ms: float) -> None:
        """Record that the next attempt is sent now."""
        self.endpoint = endpoint
        self.state = AttemptState.IN_FLIGHT
        self.sent_ms = now_ms
        self.attempts += 1

    def record_execution(self, endpoint: EndpointState) -> None:
        """Record that the latest attempt may have been executed, unless an earlier one may have been."""
        if self.execution is None:
            self.execution = Execution(endpoint.zone, endpoint.cell, self.sent_ms)

    @classmethod
    def from_arrival(
        cls, event: RequestArrived, request_class: RequestClass, objective_deadline_ms: float
    ) -> RequestState:
        """Return the state of a client's request of which no attempt was sent yet."""
        return cls(
            event.id,
            request_class,
            event.tenant,
            event.group,
            event.expected_load,
            event.deadline_ms,
            objective_deadline_ms,
            event.is_takeover,
            None if event.allowed is None else EndpointBinding(event.allowed, event.strict),
            event.migration_exempt_until_ms,
        )

    @classmethod
    def from_adopted(
        cls, event: ConnectionAdopted, request_class: RequestClass, endpoint: EndpointState, now_ms: float
    ) -> RequestState:
        """Return the state of a connection that was established before this balancer started."""
        return cls(
            id=event.id,
            request_class=request_class,
            tenant=event.tenant,
            group=event.group,
            load=event.expected_load,
            deadline_ms=float("inf"),
            objective_deadline_ms=float("inf"),
            endpoint=endpoint,
            state=AttemptState.ESTABLISHED,
            attempts=1,
            sent_ms=now_ms,
        )


def adjust_count(counts: dict[str, int], key: str, change: int) -> int:
    """Change the count of a key, which is dropped at 0. Return the new count."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
    return count
