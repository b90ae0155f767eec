"""What clients, endpoints and discovery saw: the evidence on which a run is judged.

Times are seconds of the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import msgspec


class AttemptRecord(msgspec.Struct):
    """One connection of a relay at an endpoint."""

    endpoint: str
    started_at_s: float  # of the endpoint's process
    request: str = ""  # empty where no complete request came
    first_byte_s: float = 0.0
    complete_s: float = 0.0  # the request's last byte; 0 where that never came
    answer: str = ""  # the first line that the endpoint sent
    ended_s: float = 0.0  # the relay's end, or the endpoint's; 0 while it is open
    is_ended_by_endpoint: bool = False
    is_silent: bool = False  # the endpoint had stopped answering
    error: str = ""  # a line that no client sends
    is_health_check: bool = False  # it asked for load reports, and is no attempt


class ClientRecord(msgspec.Struct):
    """One request of a client."""

    request: str
    relay: int
    relay_process: int  # its process id: relays are restarted
    wait_s: float
    effect: str
    connected_s: float = 0.0
    client_port: int = 0  # by which the relay's log names the connection
    sent_s: float = 0.0  # the request's last byte; 0 where it was not sent whole
    left_s: float = 0.0  # the client closed by itself; 0 where it did not
    answer: str = ""
    answered_s: float = 0.0
    lines_after_answer: int = 0
    is_moved: bool = False
    ended_s: float = 0.0  # the relay ended the connection; 0 where it did not
    end: str = ""  # "eof", "reset" or "refused"
    is_bad: bool = False  # what it sent is no request

    @property
    def is_established(self) -> bool:
        """Whether it was served."""
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
