"""What is known of one client connection; logged and exported as a flow once it has closed."""

from __future__ import annotations

from dataclasses import dataclass, field

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import ClientRequest, FinalResponse


@dataclass(slots=True)
class ConnectionRecord:
    """What is known of a connection when it has ended; flows are exported from it."""

    request: ClientRequest
    started_ms: float
    ended_ms: float = 0.0
    endpoint: str = ""
    attempts: int = 0
    was_established: bool = False
    close_reason: CloseReason | None = None
    final_response: FinalResponse | None = None
    frontend: str = "platform"
    client_address: tuple[str, int] = ("0.0.0.0", 0)
    endpoint_address: tuple[str, int] = ("0.0.0.0", 0)
    bytes_to_endpoint: int = 0  # passed on to the endpoint while it stood
    bytes_to_client: int = 0
    load_report: dict[str, float] = field(default_factory=dict)  # the endpoint's load, with its last answer
    endpoint_idle_s: float = 0.0  # how long nothing had come from the endpoint when it ended, if it stood
