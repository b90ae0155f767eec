"""What goes into the decision module and what comes out of it.

Times are milliseconds and end in ``_ms``. An instant (``now_ms``, ``give_up_at_ms``) is read from
one clock that never goes back; its zero does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

# ---------------------------------------------------------------- settings

EFFECTS = ("safe", "keyed", "unsafe")
SCOPES = ("all", "zone", "cell")
DISCOVERY = ("push", "ask")
WEIGHTS = ("none", "nominal", "rough", "live")
REPORTS = ("none", "probe", "answers")
NEVER_RAN = ("full", "connect_failed", "moot")  # outcomes that prove the attempt did nothing


def _need(ok: bool, field: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. ``scope`` and ``key_ttl_ms`` matter for keyed classes only."""

    name: str
    aim_ms: float
    effect: str = "safe"
    scope: str = "all"
    key_ttl_ms: float = 0.0
    message_aim_ms: float = 0.0
    give_up_ms: float = 0.0  # how long a client waits, all its tries together; 0 where it is not said

    def __post_init__(self) -> None:
        _need(self.aim_ms > 0, "aim_ms", "must be above 0")
        _need(self.effect in EFFECTS, "effect", "must be one of " + ", ".join(EFFECTS))
        _need(self.scope in SCOPES, "scope", "must be one of " + ", ".join(SCOPES))
        _need(self.key_ttl_ms >= 0, "key_ttl_ms", "must not be negative")
        _need(self.give_up_ms >= 0, "give_up_ms", "must not be negative")
        _need(self.message_aim_ms >= 0, "message_aim_ms", "must not be negative")

    def refusable(self, ran: bool) -> bool:
        """Whether it may be refused, which says that trying again is harmless; ``ran``: it may have run."""
        return not ran or self.effect == "safe" or (self.effect == "keyed" and self.scope == "all")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; allowance and quota count across all balancers."""

    name: str
    allowance_per_s: float = 0.0
    quota_connections: float = 0.0

    def __post_init__(self) -> None:
        _need(self.allowance_per_s >= 0, "allowance_per_s", "must not be negative")
        _need(self.quota_connections >= 0, "quota_connections", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    index: int | None = None  # our number among them, from 0; None where it is not told
    zone: str = ""
    discovery: str = "push"
    max_attempts: int = 3
    may_cancel: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 10000.0  # servers close connections that have been idle for so long
    must_ask_in_ms: float = 10000.0
    fall_multiple: float = 3.0
    fall_ms: float = 2000.0
    cold_from: float = 0.3
    warm_within_ms: float = 10000.0
    weights: str = "none"  # what ``share`` means: nothing, size, rough size, or size lowered by present load
    groups: bool = False
    price_cross_zone: float = 0.0
    price_move: float = 0.0
    tells_delay: bool = True  # notes tell how long messages take; else only loads and set-ups show it
    probes: bool = False  # a relay may ask servers for load reports
    price_probe: float = 0.0  # of the goal, for one probe a request
    reports: str = "none"  # what load reports come with: nothing, probes, or answers as well
    report_fields: tuple[str, ...] = ()  # the values that they hold

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one is needed")
        _need(self.balancers >= 1, "balancers", "must be 1 or more")
        _need(self.index is None or self.index >= 0, "index", "must not be negative")
        _need(self.discovery in DISCOVERY, "discovery", "must be one of " + ", ".join(DISCOVERY))
        _need(self.weights in WEIGHTS, "weights", "must be one of " + ", ".join(WEIGHTS))
        _need(self.reports in REPORTS, "reports", "must be one of " + ", ".join(REPORTS))
        _need(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _need(0 < self.cold_from <= 1, "cold_from", "must be above 0 and at most 1")
        _need(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        for name in (
            "max_retry_after_ms",
            "connect_timeout_ms",
            "keepalive_ms",
            "must_ask_in_ms",
            "fall_ms",
            "warm_within_ms",
            "price_cross_zone",
            "price_move",
            "price_probe",
        ):
            _need(getattr(self, name) >= 0, name, "must not be negative")


# ---------------------------------------------------------------- events


@dataclass(slots=True)
class Server:
    """One line of a list. ``state`` is ready, draining or gone; a new start moves ``started_at_ms``."""

    name: str
    state: str = "ready"
    zone: str = ""
    cell: int = 0
    started_at_ms: float = 0.0
    share: float = 1.0  # weight against the others, in any one unit
    kind: str = ""  # of machine: servers of one kind are taken to be equally fast
    factor: float = 1.0  # by which an operator makes it count for more or less than its size


class ListFailure(Enum):
    """How a call for the list, or the watch that it became, has ended. What that cost discovery differs."""

    UNREACHED = auto()  # never connected, or refused, reset or turned away at once: it cost nothing
    OVERLOADED = auto()  # taken, kept waiting, and failed then: it stood in a queue that is too long
    UNANSWERED = auto()  # taken, and given up in silence: nobody works there
    UNUSABLE = auto()  # answered, but no watch came of it
    LOST = auto()  # the watch had stood, and was ended
    SILENT = auto()  # the watch had stood, and fell silent


@dataclass(slots=True)
class ServerList:
    """``kind``: stale (the list last held, at a start), full, changes, or failed: asking for changes has, or
    the watch on them is over; ``failure`` tells which."""

    kind: str
    servers: list[Server]
    failure: ListFailure = ListFailure.UNREACHED


@dataclass(slots=True)
class Request:
    """A client wants a connection. ``hint`` is its expected load in any one unit, 0 where unknown.

    ``client`` is the same after a reconnect. Where it was moved for balance just now, ``moved_off`` names the
    server it was moved off, and ``spared_until_ms`` says how long it should not be moved again.
    """

    id: int
    class_name: str
    tenant: str
    give_up_at_ms: float
    group: str = ""
    hint: float = 0.0
    midflow: bool = False
    client: str = ""
    returned: bool = False  # it says that its connection was moved, or broke
    retried: bool = False  # it says that it asks again
    moved_off: str = ""
    spared_until_ms: float = 0.0
    allowed: frozenset[str] | None = None  # servers that an operator binds it to,
    strict: bool = False  # on every attempt, or (False) only on the first


@dataclass(slots=True)
class Inherited:
    """A connection that stood at ``server`` before this balancer started; attempt 0 is taken."""

    id: int
    class_name: str
    tenant: str
    server: str
    group: str = ""
    hint: float = 0.0
    client: str = ""


@dataclass(slots=True)
class FirstSign:
    """The connection stands, ``took_ms`` after it was sent (0: not measured)."""

    id: int
    attempt: int
    server: str
    took_ms: float = 0.0


@dataclass(slots=True)
class Outcome:
    """An attempt ended: ok, error, full, timeout, connect_failed, reset, cancelled or moot.

    ``final`` tells that the request has ended too; without it an answer is still owed.
    """

    id: int
    attempt: int
    server: str
    status: str
    final: bool
    report: dict[str, float] = field(default_factory=dict)  # the server's, where answers hold one


@dataclass(slots=True)
class Probed:
    """A probe ended: ok, refused (the server takes none), or any other status where no answer came.

    ``report`` is empty where none came that can be used.
    """

    server: str
    status: str
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class Timer:
    """A timer set by this balancer is due."""

    mark: str


@dataclass(slots=True)
class Note:
    """Word on an open connection. ``kind``: load (its load now) or delay (a message there, in ms)."""

    id: int
    attempt: int
    server: str
    kind: str
    value: float


Event = ServerList | Request | Inherited | FirstSign | Outcome | Probed | ClientGone | Timer | Note

# ---------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Start the next attempt of a request; it times out after ``timeout_ms``."""

    id: int
    server: str
    timeout_ms: float


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, trying again is harmless. 0 gives no advice on when."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Move:
    """End an open connection politely; its client comes again."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_ms: float
    mark: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the list."""


@dataclass(slots=True)
class Probe:
    """Ask a server for its load report."""

    server: str


Action = Send | Refuse | Fail | Cancel | Move | SetTimer | Watch | Probe
