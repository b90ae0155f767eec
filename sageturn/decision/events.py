"""Events that a balancer handles one at a time, sent by the relay's core or by a simulator's adapter.

Times are milliseconds and end in ``_ms``. Instants (``now_ms``, ``deadline_ms``) are read from one monotonic
clock; its zero does not matter. Loads are in milliseconds of work per second. A request keeps its ``id`` over
all its attempts, which are numbered from 0; events of earlier attempts are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto


class EndpointStatus(StrEnum):
    """Status of an endpoint in the list."""

    READY = "ready"
    DRAINING = "draining"  # the endpoint accepts nothing new
    REMOVED = "gone"


class ListEventKind(StrEnum):
    """Content of an endpoint list event."""

    STALE = "stale"  # the list that the relay held before it was restarted
    FULL = "full"  # the complete list
    CHANGES = "changes"
    FAILED = "failed"  # the call for the list, or the watch that it became, has ended


class AttemptStatus(StrEnum):
    """Outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the endpoint accepts no more
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # abandoned before anything was sent
    REFUSED = "refused"  # health checks only: the endpoint accepts none


# Statuses of attempts that were certainly not executed.
NOT_EXECUTED_STATUSES = (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT)


class MeasurementKind(StrEnum):
    """Quantity that was measured on a connection."""

    LOAD = "load"  # milliseconds of work per second
    DELAY = "delay"  # milliseconds that a message took


@dataclass(slots=True)
class Endpoint:
    """Entry of the endpoint list. ``state`` is an ``EndpointStatus`` or its value."""

    name: str
    state: str = EndpointStatus.READY
    zone: str = ""
    cell: int = 0
    started_at_ms: float = 0.0  # 0 if unknown; a different one means a different process
    weight: float = 1.0  # weight relative to the other endpoints, in any unit
    kind: str = ""  # kind of machine; endpoints of one kind are assumed to be equally fast
    factor: float = 1.0  # operator's multiplier of ``weight``


class DiscoveryFailure(Enum):
    """Failure of a call for the list, or of the watch that it became. Their costs for discovery differ."""

    UNREACHED = auto()  # not connected, or refused, reset or rejected at once: it cost nothing
    OVERLOADED = auto()  # accepted, then failed after waiting in a queue that is too long
    UNANSWERED = auto()  # accepted, then timed out without an answer
    UNUSABLE = auto()  # answered, but not with a watch
    LOST = auto()  # the watch was established, then ended
    SILENT = auto()  # the watch was established, then stopped sending


@dataclass(slots=True)
class EndpointListEvent:
    """The endpoint list, or changes to it, or the failure of the call for it."""

    kind: str  # a ``ListEventKind`` or its value
    endpoints: list[Endpoint]
    failure: DiscoveryFailure = DiscoveryFailure.UNREACHED  # applies to events of kind ``FAILED`` only


@dataclass(slots=True)
class RequestArrived:
    """Request of a client for a connection by ``deadline_ms``. It gets exactly one final response.

    If the client's connection was just migrated, ``migrated_from`` names the endpoint that it left, and it
    should not be migrated again until ``migration_exempt_until_ms``.
    """

    id: int
    class_name: str
    tenant: str
    deadline_ms: float
    group: str = ""
    expected_load: float = 0.0  # 0 if unknown
    is_takeover: bool = False  # an established connection is taken over, and is not throttled
    client: str = ""  # identifies the client across reconnects
    is_reconnect: bool = False  # the client says that its connection was migrated, or broke
    is_retry: bool = False  # the client says that this is a retry
    migrated_from: str = ""
    migration_exempt_until_ms: float = 0.0
    allowed: frozenset[str] | None = None  # endpoints that an operator binds it to; None if any
    strict: bool = False  # the binding applies to every attempt, not only to the first


@dataclass(slots=True)
class ConnectionAdopted:
    """Connection that was established before this balancer started, by its attempt 0."""

    id: int
    class_name: str
    tenant: str
    endpoint: str
    group: str = ""
    expected_load: float = 0.0
    client: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """Establishment of an attempt, ``duration_ms`` after it was sent (0 if that was not measured)."""

    id: int
    attempt: int
    endpoint: str
    duration_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """End of an attempt, before or after it was established."""

    id: int
    attempt: int
    endpoint: str
    status: str  # an ``AttemptStatus`` or its value
    final: bool  # the request has ended as well; else it still needs a response
    report: dict[str, float] = field(default_factory=dict)  # the endpoint's load report; empty if none


@dataclass(slots=True)
class HealthCheckCompleted:
    """End of a health check that an action ``CheckHealth`` requested."""

    endpoint: str
    status: str  # an ``AttemptStatus`` or its value: ok, refused, or any other if it got no answer
    report: dict[str, float] = field(default_factory=dict)  # empty if there is no usable one


@dataclass(slots=True)
class ClientDisconnected:
    """Disconnect of the client, which needs no response. ``AttemptEnded`` of its attempt still follows."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """Expiry of a timer that an action ``SetTimer`` set with this tag."""

    tag: str


@dataclass(slots=True)
class MeasurementReported:
    """Measurement on an established connection."""

    id: int
    attempt: int
    endpoint: str
    kind: str  # a ``MeasurementKind`` or its value; any other value means a delay
    value: float


Event = (
    EndpointListEvent
    | RequestArrived
    | ConnectionAdopted
    | ConnectionEstablished
    | AttemptEnded
    | HealthCheckCompleted
    | ClientDisconnected
    | TimerFired
    | MeasurementReported
)
