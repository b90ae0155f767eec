"""Actions that a balancer returns; its driver carries them out in order.

Times are milliseconds and end in ``_ms``. ``id`` is the id of the request, as in the events.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PlaceRequest:
    """Order to start a request's next attempt, which times out after ``timeout_ms`` unless established."""

    id: int
    endpoint: str
    timeout_ms: float


@dataclass(slots=True)
class RejectRequest:
    """Order to reject the request: a retry is harmless. ``retry_after_ms`` is 0 if no time is advised."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Order to fail the request: it may have been executed, so a retry is not known to be harmless."""

    id: int


@dataclass(slots=True)
class AbandonAttempt:
    """Order to stop waiting for an attempt whose client has disconnected."""

    id: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """Order to ask the client of an established connection to reconnect, which ends the connection."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Order to send an event ``TimerFired`` with this tag after ``delay_ms``."""

    delay_ms: float
    tag: str


@dataclass(slots=True)
class WatchEndpoints:
    """Order to call discovery for the endpoint list and its changes, sent as ``EndpointListEvent``."""


@dataclass(slots=True)
class CheckHealth:
    """Order to ask an endpoint for its load report; ``HealthCheckCompleted`` has the outcome."""

    endpoint: str


Action = (
    PlaceRequest
    | RejectRequest
    | FailRequest
    | AbandonAttempt
    | MigrateConnection
    | SetTimer
    | WatchEndpoints
    | CheckHealth
)
