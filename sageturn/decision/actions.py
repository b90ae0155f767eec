"""The actions that a balancer returns, for its driver to carry out in order.

Times are milliseconds and end in ``_ms``. ``id`` is the id of the request, as in the events.
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
    """Answer the request finally: rejected, a retry is harmless. ``retry_after_ms`` is 0 without advice."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Answer the request finally: failed. It may have been executed, so nothing is promised about a retry."""

    id: int


@dataclass(slots=True)
class AbandonAttempt:
    """Stop waiting for an attempt whose client has disconnected."""

    id: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """Ask the client of an established connection to reconnect; its connection ends then."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for an event ``TimerFired`` with this tag after ``delay_ms``."""

    delay_ms: float
    tag: str


@dataclass(slots=True)
class WatchEndpoints:
    """Call discovery for the endpoint list and its changes, which come as ``EndpointListEvent``."""


@dataclass(slots=True)
class CheckHealth:
    """Ask an endpoint for its load report; ``HealthCheckCompleted`` has the outcome."""

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
