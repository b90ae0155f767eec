"""What a balancer keeps of each endpoint and each request. State only: no rule and no tuned figure is here.

Times end in ``_ms`` and are read from the balancer's clock. Connections are those of this relay alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from sageturn.decision.events import ConnectionAdopted, RequestArrived
from sageturn.decision.settings import RequestClass
from sageturn.decision.slow_start import SlowStartState


class AttemptState(Enum):
    """How far the latest attempt of a request has come."""

    NONE = auto()  # no attempt has been sent, or the latest one has ended
    IN_FLIGHT = auto()  # sent, and not established yet
    ESTABLISHED = auto()


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint of the list. ``open_count`` includes connections that are in flight."""

    name: str
    zone: str
    cell: int
    kind: str  # of machine
    state: str  # by the list: ready, draining or gone
    started_at_ms: float = 0.0
    concurrency_limit: int = 1  # attempts that may be in flight at once
    rounding_offset: float = 0.0  # rounds this relay's part of what the endpoint can hold, from 0 to 1
    name_hash: int = field(init=False)

    ready: bool = False  # listed ready and not ejected
    closed: bool = False  # overloaded or at its capacity: it is sent nothing
    untried: bool = True  # no connection of ours has been established since it (re)started
    slow_start: SlowStartState | None = None  # our turns at it while it warms up

    in_flight: int = 0
    open_count: int = 0
    established: dict[int, RequestState] = field(default_factory=dict)
    group_counts: dict[str, int] = field(default_factory=dict)  # open connections by group

    # Outlier detection. Once readmitted, an endpoint is ejected again by its next failure.
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0  # 0 where it is not ejected

    # Overload, and the number of connections that it was then found able to hold.
    overloaded_until_ms: float = 0.0
    capacity: float = float("inf")
    capacity_updated_ms: float = 0.0
    capacity_rounding: float = 0.0  # drawn from 0 to 1 each time that the capacity is cut
    consecutive_resets: int = 0  # of established connections
    last_reset_ms: float = 0.0

    # Signs of its load where nothing reports delays.
    reported_load: float = 0.0  # sum over the established connections whose load was reported
    reported_count: int = 0  # number of these
    next_utilization_check_ms: float = 0.0
    saturated_until_ms: float = 0.0  # it holds more than it can serve
    deprioritized_until_ms: float = 0.0  # it is fuller than the others
    setup_time_log: float = 0.0  # decaying mean of the logarithms of its set-up times; 0: none measured
    setup_time_updated_ms: float = 0.0

    # What it is due against the other endpoints.
    nominal_weight: float = 1.0  # by the list and by operators
    effective_weight: float = 1.0  # by the kind of machine and the warm-up as well
    connection_share: float = 0.0  # of all connections of this relay, by weight and zone
    max_connections: float = float("inf")  # this relay's part of the quotas, not rounded
    eligible_relays: float = 1.0  # relays that may hold a connection here by the quotas

    # Its part of FleetTotals.
    counted_in_flight: int = 0
    counted_limit: int = 0
    counted_unknown_limit: int = 0
    counted_open: int = 0

    def __post_init__(self) -> None:
        self.name_hash = crc32(self.name.encode())

    def age_ms(self, now_ms: float) -> float:
        """Time since its start; infinite where the list does not say when that was."""
        return now_ms - self.started_at_ms if self.started_at_ms else float("inf")

    def is_full(self) -> bool:
        """Whether it may be sent no further attempt for now."""
        return self.closed or self.in_flight >= self.concurrency_limit

    def is_at_capacity(self) -> bool:
        """Whether it holds as many connections as it has been found able to hold."""
        return self.open_count >= self.capacity - self.capacity_rounding

    def is_at_quota(self) -> bool:
        """Whether one more connection would exceed this relay's part of what it can hold."""
        return self.open_count + 1 > self.max_connections + self.rounding_offset

    def record_load(self, request: RequestState, load: float) -> None:
        """Take in the load of an established connection, in place of what was reported before."""
        self.reported_load = self.reported_load + load - request.reported_load
        self.reported_count += not request.reported_load
        request.load = load
        request.reported_load = load

    def forget_connection(self, request_id: int) -> None:
        """A connection is no longer established, if it ever was."""
        request = self.established.pop(request_id, None)
        if request is not None and request.reported_load:
            self.reported_load -= request.reported_load
            self.reported_count -= 1

    def begin_migration(self, request: RequestState) -> None:
        """Its client is asked to come again: nothing more is owed to it here."""
        request.is_finished = True
        self.forget_connection(request.id)

    def reset(self, started_at_ms: float) -> None:
        """Forget what was learned of an earlier process of the same name."""
        self.started_at_ms = started_at_ms
        self.untried = True
        self.slow_start = None
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0
        self.overloaded_until_ms = 0.0
        self.capacity = float("inf")
        self.consecutive_resets = 0
        self.setup_time_log = 0.0


@dataclass(slots=True)
class FleetTotals:
    """Sums over the endpoints that are ready."""

    in_flight: int = 0
    limits: int = 0
    unknown_limits: int = 0  # concurrency limits of endpoints on which this relay holds nothing
    open_count: int = 0


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that is not answered yet, or its established connection."""

    id: int
    request_class: RequestClass
    tenant: str
    group: str
    load: float  # of its connection: as reported last, before that as expected
    deadline_ms: float  # its client gives up
    objective_deadline_ms: float  # established later, it misses the latency objective
    midflow: bool = False  # its connection is taken over from another relay: it is not throttled
    allowed_endpoints: frozenset[str] | None = None  # by an operator's binding; None: all
    is_binding_strict: bool = False  # the binding holds for every attempt, not for the first alone
    migration_exempt_until_ms: float = 0.0

    endpoint: EndpointState | None = None  # of the latest attempt, or the one that it was migrated off
    state: AttemptState = AttemptState.NONE
    attempts: int = 0
    sent_ms: float = 0.0  # the latest attempt
    is_finished: bool = False  # nothing more is owed to its client; only an outcome is still to come
    reported_load: float = 0.0  # 0 where none was reported

    # The first attempt that may have been executed.
    executed_zone: str = ""
    executed_cell: int = 0
    executed_at_ms: float = -1.0  # below 0: there is none

    def is_binding_in_force(self) -> bool:
        """Whether an operator's binding holds for the next attempt."""
        return self.is_binding_strict or not self.attempts

    def endpoint_of(self, attempt: int) -> EndpointState | None:
        """The endpoint of the latest attempt, if that is the one of this number."""
        return self.endpoint if attempt == self.attempts - 1 else None

    def begin_attempt(self, endpoint: EndpointState, now_ms: float) -> None:
        """The next attempt is sent now."""
        self.endpoint = endpoint
        self.state = AttemptState.IN_FLIGHT
        self.sent_ms = now_ms
        self.attempts += 1

    def record_execution(self, endpoint: EndpointState) -> None:
        """The latest attempt may have been executed; of several the first one counts."""
        if self.executed_at_ms < 0:
            self.executed_zone = endpoint.zone
            self.executed_cell = endpoint.cell
            self.executed_at_ms = self.sent_ms

    def may_have_executed(self) -> bool:
        """Whether any of its attempts may have been executed."""
        return self.executed_at_ms >= 0

    @classmethod
    def of_arrival(
        cls, event: RequestArrived, request_class: RequestClass, objective_deadline_ms: float
    ) -> RequestState:
        """A client's request, of which no attempt was sent yet."""
        return cls(
            id=event.id,
            request_class=request_class,
            tenant=event.tenant,
            group=event.group,
            load=event.expected_load,
            deadline_ms=event.deadline_ms,
            objective_deadline_ms=objective_deadline_ms,
            midflow=event.midflow,
            allowed_endpoints=event.allowed,
            is_binding_strict=event.strict,
            migration_exempt_until_ms=event.spared_until_ms,
        )

    @classmethod
    def of_adopted(
        cls, event: ConnectionAdopted, request_class: RequestClass, endpoint: EndpointState, now_ms: float
    ) -> RequestState:
        """A connection that was established before this balancer started, by its attempt 0."""
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
    """Change the count of a key, which is dropped at 0. Returns the new count."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
    return count
