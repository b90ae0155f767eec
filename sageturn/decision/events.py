"""The events that a balancer is given, one at a time: by the relay's core, or by a simulator's adapter.

Times are milliseconds and end in ``_ms``. An instant (``now_ms``, ``deadline_ms``) is read from one clock
that never goes back; its zero does not matter. Loads are in milliseconds of work a second. A request keeps
its ``id`` over all its attempts, which are numbered from 0; events of earlier attempts are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto


class EndpointStatus(StrEnum):
    """How an endpoint is listed."""

    READY = "ready"
    DRAINING = "draining"  # it takes nothing new
    GONE = "gone"


class ListEventKind(StrEnum):
    """What an endpoint list event holds."""

    STALE = "stale"  # the list that the relay held before it was restarted
    FULL = "full"  # the complete list
    CHANGES = "changes"
    FAILED = "failed"  # the call for the list, or the watch that it became, has ended


class AttemptStatus(StrEnum):
    """How an attempt or a health check has ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the endpoint takes no more
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # abandoned before anything was sent
    REFUSED = "refused"  # health checks only: the endpoint takes none


# Statuses of attempts that were certainly not executed.
NOT_EXECUTED_STATUSES = (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT)


class MeasurementKind(StrEnum):
    """What was measured on a connection."""

    LOAD = "load"  # milliseconds of work a second
    DELAY = "delay"  # milliseconds that a message took


@dataclass(slots=True)
class Endpoint:
    """One line of the endpoint list. ``state`` is an ``EndpointStatus`` or its value."""

    name: str
    state: str = EndpointStatus.READY
    zone: str = ""
    cell: int = 0
    started_at_ms: float = 0.0  # 0 if unknown; a different one means a different process
    share: float = 1.0  # weight against the other endpoints, in any unit
    kind: str = ""  # of machine; endpoints of one kind are taken to be equally fast
    factor: float = 1.0  # by which an operator changes its weight


class DiscoveryFailure(Enum):
    """How a call for the list, or the watch that it became, has ended. The cost for discovery differs."""

    UNREACHED = auto()  # not connected, or refused, reset or rejected at once: it cost nothing
    OVERLOADED = auto()  # accepted, and failed after waiting in a queue that is too long
    UNANSWERED = auto()  # accepted, and timed out without an answer
    UNUSABLE = auto()  # answered, but not by a watch
    LOST = auto()  # the watch was established, and was ended
    SILENT = auto()  # the watch was established, and fell silent


@dataclass(slots=True)
class EndpointListEvent:
    """The endpoint list, or changes of it, or the end of the call for it as ``failure`` says."""

    kind: str  # a ``ListEventKind`` or its value
    endpoints: list[Endpoint]
    failure: DiscoveryFailure = DiscoveryFailure.UNREACHED


@dataclass(slots=True)
class RequestArrived:
    """A client wants a connection by ``deadline_ms``. Exactly one final answer is owed to it.

    If its connection was migrated just now, ``migrated_from`` names the endpoint that it left, and it should
    not be migrated again until ``migration_exempt_until_ms``.
    """

    id: int
    class_name: str
    tenant: str
    deadline_ms: float
    group: str = ""
    expected_load: float = 0.0  # 0 if unknown
    midflow: bool = False  # an established connection is taken over: it is not throttled
    client: str = ""  # the same after a reconnect
    returned: bool = False  # the client says that its connection was migrated, or broke
    retried: bool = False  # the client says that this is a retry
    migrated_from: str = ""
    migration_exempt_until_ms: float = 0.0
    allowed: frozenset[str] | None = None  # endpoints that an operator binds it to; None: any
    strict: bool = False  # the binding holds for every attempt, not for the first alone


@dataclass(slots=True)
class ConnectionAdopted:
    """A connection was established before this balancer started, by its attempt 0."""

    id: int
    class_name: str
    tenant: str
    endpoint: str
    group: str = ""
    expected_load: float = 0.0
    client: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt was established, ``took_ms`` after it was sent (0 if that was not measured)."""

    id: int
    attempt: int
    endpoint: str
    took_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, before it was established or after."""

    id: int
    attempt: int
    endpoint: str
    status: str  # an ``AttemptStatus`` or its value
    final: bool  # the request has ended as well; else it is still owed an answer
    report: dict[str, float] = field(default_factory=dict)  # the endpoint's load report; empty if none came


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check that an action ``CheckHealth`` asked for has ended."""

    endpoint: str
    status: str  # an ``AttemptStatus`` or its value: ok, refused, or any other one if no answer came
    report: dict[str, float] = field(default_factory=dict)  # empty if no usable one came


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left and is owed nothing more. ``AttemptEnded`` of its attempt still follows."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that an action ``SetTimer`` set with this tag is due."""

    tag: str


@dataclass(slots=True)
class MeasurementReported:
    """Something was measured on an established connection."""

    id: int
    attempt: int
    endpoint: str
    kind: str  # a ``MeasurementKind`` or its value; any other one is a delay
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
