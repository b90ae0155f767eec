"""The events that a balancer is given, one at a time.

Times are milliseconds and end in ``_ms``. An instant (``now_ms``, ``deadline_ms``) is read from one clock
that never goes back; its zero does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


@dataclass(slots=True)
class Endpoint:
    """One line of a list. ``state`` is ready, draining or gone; a new start moves ``started_at_ms``."""

    name: str
    state: str = "ready"
    zone: str = ""
    cell: int = 0
    started_at_ms: float = 0.0
    share: float = 1.0  # weight against the others, in any one unit
    kind: str = ""  # of machine: servers of one kind are taken to be equally fast
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
    """``kind``: stale (the list last held, at a start), full, changes, or failed: asking for changes has, or
    the watch on them is over; ``failure`` tells which."""

    kind: str
    endpoints: list[Endpoint]
    failure: DiscoveryFailure = DiscoveryFailure.UNREACHED


@dataclass(slots=True)
class RequestArrived:
    """A client wants a connection. ``hint`` is its expected load in any one unit, 0 where unknown.

    ``client`` is the same after a reconnect. Where it was moved for balance just now, ``moved_off`` names the
    server it was moved off, and ``spared_until_ms`` says how long it should not be moved again.
    """

    id: int
    class_name: str
    tenant: str
    deadline_ms: float
    group: str = ""
    expected_load: float = 0.0
    midflow: bool = False
    client: str = ""
    returned: bool = False  # it says that its connection was moved, or broke
    retried: bool = False  # it says that it asks again
    moved_off: str = ""
    spared_until_ms: float = 0.0
    allowed: frozenset[str] | None = None  # servers that an operator binds it to,
    strict: bool = False  # on every attempt, or (False) only on the first


@dataclass(slots=True)
class ConnectionAdopted:
    """A connection that stood at ``server`` before this balancer started; attempt 0 is taken."""

    id: int
    class_name: str
    tenant: str
    endpoint: str
    group: str = ""
    expected_load: float = 0.0
    client: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """The connection stands, ``took_ms`` after it was sent (0: not measured)."""

    id: int
    attempt: int
    endpoint: str
    took_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended: ok, error, full, timeout, connect_failed, reset, cancelled or moot.

    ``final`` tells that the request has ended too; without it an answer is still owed.
    """

    id: int
    attempt: int
    endpoint: str
    status: str
    final: bool
    report: dict[str, float] = field(default_factory=dict)  # the server's, where answers hold one


@dataclass(slots=True)
class HealthCheckCompleted:
    """A probe ended: ok, refused (the server takes none), or any other status where no answer came.

    ``report`` is empty where none came that can be used.
    """

    endpoint: str
    status: str
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by this balancer is due."""

    mark: str


@dataclass(slots=True)
class MeasurementReported:
    """Word on an open connection. ``kind``: load (its load now) or delay (a message there, in ms)."""

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
