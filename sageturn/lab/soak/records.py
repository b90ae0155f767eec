"""Records of clients, endpoints, relays and discovery: the evidence that the auditor checks.

The fields' encoded names are the keys of an evidence file. Times are seconds of the monotonic clock, which
all processes of a machine share; a time of 0 means that the event never happened.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from sageturn.decision import Effect


class AttemptRecord(msgspec.Struct):
    """One connection of a relay to an endpoint."""

    endpoint: str
    started_at_s: float  # start of the endpoint's process
    request: str = ""  # id of the request; empty if no complete request arrived
    first_byte_s: float = 0.0
    complete_s: float = 0.0  # arrival of the request's last byte
    answer: str = ""  # first line that the endpoint sent
    ended_s: float = 0.0  # end of the connection by the relay or the endpoint
    is_ended_by_endpoint: bool = False
    is_silent: bool = False  # True if the endpoint hangs: it answers neither the request nor later lines
    error: str = ""  # request line that no client could have sent
    is_health_check: bool = False  # True if the connection asked for load reports, and is no attempt


class ClientEnd(StrEnum):
    """Way in which a relay ended a client's connection."""

    EOF = "eof"
    RESET = "reset"
    REFUSED = "refused"  # the connection was not accepted


class ClientRecord(msgspec.Struct):
    """One request of a client."""

    request: str
    relay: int
    relay_process: int  # process id of the relay, which differs after each restart
    wait_s: float
    effect: Effect
    connected_s: float = 0.0
    client_port: int = 0  # port that identifies the connection in the relay's log
    sent_s: float = 0.0  # time at which the request's last byte was sent
    left_s: float = 0.0  # time at which the client closed the connection
    answer: str = ""
    answered_s: float = 0.0
    lines_after_answer: int = 0
    is_moved: bool = False
    ended_s: float = 0.0  # time at which the relay ended the connection
    end: str = ""  # value of ClientEnd; empty if the client closed the connection
    is_bad: bool = False  # True if the client sent an invalid request, or none
    adopted_endpoint: str = ""  # endpoint of its connection before the relay's start; empty if new

    @property
    def is_established(self) -> bool:
        """True if the connection was established."""
        return self.answer.startswith("UP ")


class RelayRecord(msgspec.Struct):
    """One process of a relay."""

    relay: int
    process: int
    started_s: float
    ready_s: float = 0.0
    killed_s: float = 0.0  # time of SIGKILL
    terminated_s: float = 0.0  # time of SIGTERM
    exited_s: float = 0.0
    exit_code: int | None = None
    log_errors: list[str] = msgspec.field(default_factory=list)  # log lines of level ERROR, and tracebacks


class EndpointNotification(msgspec.Struct):
    """Discovery's notification to one relay process that an endpoint is draining or was removed."""

    relay_process: int
    endpoint: str
    started_at_s: float  # start of the endpoint's process
    notified_s: float = msgspec.field(name="told_s")


class Evidence(msgspec.Struct):
    """The records of one run."""

    clients: list[ClientRecord] = msgspec.field(default_factory=list)
    attempts: list[AttemptRecord] = msgspec.field(default_factory=list)
    relays: list[RelayRecord] = msgspec.field(default_factory=list)
    notifications: list[EndpointNotification] = msgspec.field(default_factory=list, name="news")
