"""The actions that a balancer returns, for its driver to carry out in order.

Times are milliseconds and end in ``_ms``. ``id`` is the request's, as in the events.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PlaceRequest:
    """Start the next attempt of a request; it times out after ``timeout_ms`` unless it is established."""

    id: int
    endpoint: str
    timeout_ms: float


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected, a retry is harmless. A ``retry_after_ms`` of 0 gives no advice on when."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed. It may have been executed, so nothing is promised about a retry."""

    id: int


@dataclass(slots=True)
class AbandonAttempt:
    """Stop waiting for one attempt, whose client has left."""

    id: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """Ask the client of an established connection to reconnect; its connection ends then."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for an event ``TimerFired`` with this mark after ``delay_ms``."""

    delay_ms: float
    mark: str


@dataclass(slots=True)
class WatchEndpoints:
    """Call discovery for the endpoint list and its changes; ``EndpointListEvent`` says what came of it."""


@dataclass(slots=True)
class CheckHealth:
    """Ask an endpoint for its load report; ``HealthCheckCompleted`` says what came of it."""

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
