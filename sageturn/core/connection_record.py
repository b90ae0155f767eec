"""The record of one client connection, logged and exported as a flow once it has closed."""

from __future__ import annotations

from dataclasses import dataclass, field

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import ClientRequest, FinalResponse


@dataclass(slots=True)
class ConnectionRecord:
    """Collects the facts of one connection; the request's lifecycle and its frontend fill it in.

    Times are Unix time in milliseconds.
    """

    request: ClientRequest
    started_ms: float
    ended_ms: float = 0.0
    endpoint: str = ""  # of the latest attempt
    attempts: int = 0
    was_established: bool = False
    close_reason: CloseReason | None = None
    final_response: FinalResponse | None = None
    frontend: str = "platform"
    client_address: tuple[str, int] = ("0.0.0.0", 0)
    endpoint_address: tuple[str, int] = ("0.0.0.0", 0)
    bytes_to_endpoint: int = 0  # forwarded while it was established
    bytes_to_client: int = 0
    load_report: dict[str, float] = field(default_factory=dict)  # the endpoint's load, with its latest answer
    endpoint_idle_s: float = 0.0  # since the endpoint's latest data, when an established connection closed
    log_id: str = "-"  # by which the log names the request
