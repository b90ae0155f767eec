"""The record of one client connection, which is logged and exported as a flow once it has closed."""

from __future__ import annotations

from dataclasses import dataclass, field

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import ClientRequest, FinalResponse


@dataclass(slots=True)
class ConnectionRecord:
    """Facts of one connection, filled in by the request's lifecycle and its frontend.

    Times are Unix time in milliseconds.
    """

    request: ClientRequest
    started_ms: float
    ended_ms: float = 0.0
    endpoint: str = ""  # name of the endpoint of the latest attempt
    attempts: int = 0
    was_established: bool = False
    close_reason: CloseReason | None = None
    final_response: FinalResponse | None = None
    frontend: str = "platform"
    client_address: tuple[str, int] = ("0.0.0.0", 0)
    endpoint_address: tuple[str, int] = ("0.0.0.0", 0)
    bytes_to_endpoint: int = 0  # bytes forwarded while the connection was established
    bytes_to_client: int = 0
    load_report: dict[str, float] = field(default_factory=dict)  # load report in the endpoint's latest answer
    endpoint_idle_s: float = 0.0  # seconds from the endpoint's latest data to the close
    log_id: str = "-"  # id of the request in log lines
