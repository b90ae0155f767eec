"""Records of clients, endpoints, relays and discovery: the evidence on which a run is judged.

The fields' encoded names are the keys of an evidence file. Times are seconds of the monotonic clock, which
all processes of a machine share; a time of 0 stands for an event that never came.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from sageturn.decision import Effect


class AttemptRecord(msgspec.Struct):
    """One connection of a relay at an endpoint."""

    endpoint: str
    started_at_s: float  # of the endpoint's process
    request: str = ""  # empty where no complete request came
    first_byte_s: float = 0.0
    complete_s: float = 0.0  # the request's last byte
    answer: str = ""  # the first line that the endpoint sent
    ended_s: float = 0.0  # the relay's end, or the endpoint's
    is_ended_by_endpoint: bool = False
    is_silent: bool = False  # the endpoint had stopped answering
    error: str = ""  # a line that no client sends
    is_health_check: bool = False  # not an attempt: it asked for load reports


class ClientEnd(StrEnum):
    """The way in which a relay ended a client's connection."""

    EOF = "eof"
    RESET = "reset"
    REFUSED = "refused"  # the connection was not accepted


class ClientRecord(msgspec.Struct):
    """One request of a client."""

    request: str
    relay: int
    relay_process: int  # its process id: relays are restarted
    wait_s: float
    effect: Effect
    connected_s: float = 0.0
    client_port: int = 0  # by which the relay's log names the connection
    sent_s: float = 0.0  # the request's last byte
    left_s: float = 0.0  # the client closed by itself
    answer: str = ""
    answered_s: float = 0.0
    lines_after_answer: int = 0
    is_moved: bool = False
    ended_s: float = 0.0  # the relay ended the connection
    end: str = ""  # of ClientEnd; empty where the client closed by itself
    is_bad: bool = False  # it sent something else than a request

    @property
    def is_established(self) -> bool:
        """Whether the request was served."""
        return self.answer.startswith("UP ")


class RelayRecord(msgspec.Struct):
    """One process of a relay."""

    relay: int
    process: int
    started_s: float
    ready_s: float = 0.0
    killed_s: float = 0.0  # SIGKILL
    terminated_s: float = 0.0  # SIGTERM
    exited_s: float = 0.0
    exit_code: int | None = None
    log_errors: list[str] = msgspec.field(default_factory=list)  # lines of level ERROR, tracebacks


class EndpointNotification(msgspec.Struct):
    """Discovery's notification of one relay process that an endpoint drains or is gone."""

    relay_process: int
    endpoint: str
    started_at_s: float  # of the endpoint's process
    notified_s: float = msgspec.field(name="told_s")


class Evidence(msgspec.Struct):
    """The records of one run."""

    clients: list[ClientRecord] = msgspec.field(default_factory=list)
    attempts: list[AttemptRecord] = msgspec.field(default_factory=list)
    relays: list[RelayRecord] = msgspec.field(default_factory=list)
    notifications: list[EndpointNotification] = msgspec.field(default_factory=list, name="news")
