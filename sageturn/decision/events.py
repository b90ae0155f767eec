"""The events that a balancer is given, one at a time: by the relay's core, or by a simulator's adapter.

Times are milliseconds and end in ``_ms``. An instant (``now_ms``, ``deadline_ms``) is read from one clock
that never goes back; its zero does not matter. Loads are in milliseconds of work a second. A request keeps
its ``id`` over all its attempts, which are numbered from 0; events of earlier attempts are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


@dataclass(slots=True)
class Endpoint:
    """One line of the endpoint list. ``state`` is ready, draining or gone."""

    name: str
    state: str = "ready"
    zone: str = ""
    cell: int = 0
    started_at_ms: float = 0.0  # 0 where it is not known; another one means another process
    share: float = 1.0  # weight against the others, in any one unit
    kind: str = ""  # of machine: endpoints of one kind are taken to be equally fast
    factor: float = 1.0  # by which an operator makes it count for more or less than its size


class DiscoveryFailure(Enum):
    """How a call for the list, or the watch that it became, has ended. What that cost discovery differs."""

    UNREACHED = auto()  # never connected, or refused, reset or turned away at once: it cost nothing
    OVERLOADED = auto()  # taken, kept waiting, and failed then: it stood in a queue that is too long
    UNANSWERED = auto()  # taken, and given up in silence: nobody works there
    UNUSABLE = auto()  # answered, but no watch came of it
    LOST = auto()  # the watch had stood, and was ended
    SILENT = auto()  # the watch had stood, and fell silent


@dataclass(slots=True)
class EndpointListEvent:
    """The endpoint list, or changes of it, or the end of the call for it.

    ``kind``: stale (the list that the relay held before it was restarted), full (the whole list), changes, or
    failed: the call for the list, or the watch that it became, has ended as ``failure`` says.
    """

    kind: str
    endpoints: list[Endpoint]
    failure: DiscoveryFailure = DiscoveryFailure.UNREACHED


@dataclass(slots=True)
class RequestArrived:
    """A client wants a connection by ``deadline_ms``. Exactly one final answer is owed to it.

    ``expected_load`` is 0 where it is unknown. ``client`` is the same after a reconnect. Where its connection
    was migrated just now, ``moved_off`` names the endpoint that it was migrated off, and until
    ``spared_until_ms`` it should not be migrated again.
    """

    id: int
    class_name: str
    tenant: str
    deadline_ms: float
    group: str = ""
    expected_load: float = 0.0
    midflow: bool = False  # an established connection is taken over: it is not throttled
    client: str = ""
    returned: bool = False  # it says that its connection was migrated, or broke
    retried: bool = False  # it says that this is a retry
    moved_off: str = ""
    spared_until_ms: float = 0.0
    allowed: frozenset[str] | None = None  # endpoints that an operator binds it to,
    strict: bool = False  # on every attempt, or (False) only on the first


@dataclass(slots=True)
class ConnectionAdopted:
    """A connection that was established before this balancer started, by its attempt 0."""

    id: int
    class_name: str
    tenant: str
    endpoint: str
    group: str = ""
    expected_load: float = 0.0
    client: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt was established, ``took_ms`` after it was sent (0: not measured)."""

    id: int
    attempt: int
    endpoint: str
    took_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, before it was established or after.

    ``status``: ok, error, full, timeout, connect_failed, reset, cancelled or moot. ``final``: the request has
    ended as well; without it an answer is still owed.
    """

    id: int
    attempt: int
    endpoint: str
    status: str
    final: bool
    report: dict[str, float] = field(
        default_factory=dict
    )  # the endpoint's load report, where answers hold one


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check ended, by an action ``CheckHealth``.

    ``status``: ok, refused (the endpoint takes none), or any other one where no answer came. ``report`` is
    empty where none came that can be used.
    """

    endpoint: str
    status: str
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left: nothing more is owed to it. ``AttemptEnded`` of its attempt still follows."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer is due that an action ``SetTimer`` with this mark has set."""

    mark: str


@dataclass(slots=True)
class MeasurementReported:
    """A measurement on an established connection. ``kind``: load, or delay (of a message)."""

    id: int
    attempt: int
    endpoint: str
    kind: str
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
