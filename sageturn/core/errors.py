"""Exceptions of the core; all of them derive from ``CoreError``."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of the exceptions that the core defines."""


class DecisionOverdueError(CoreError):
    """The balancer made no decision on a request before its client's deadline."""

    def __init__(self, log_id: str) -> None:
        """Create the error for the request with the id ``log_id`` in log lines."""
        super().__init__(f"no decision on request {log_id}")
        self.log_id = log_id
