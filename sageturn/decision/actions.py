"""The actions that a balancer returns, for its driver to carry out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PlaceRequest:
    """Start the next attempt of a request; it times out after ``timeout_ms``."""

    id: int
    endpoint: str
    timeout_ms: float


@dataclass(slots=True)
class RejectRequest:
    """Final answer: refused, trying again is harmless. 0 gives no advice on when."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, nothing is promised."""

    id: int


@dataclass(slots=True)
class AbandonAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class MigrateConnection:
    """End an open connection politely; its client comes again."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_ms: float
    mark: str


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the list."""


@dataclass(slots=True)
class CheckHealth:
    """Ask a server for its load report."""

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
