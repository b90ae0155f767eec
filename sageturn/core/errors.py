"""Errors of the core; all of them are a ``CoreError``."""

from __future__ import annotations


class CoreError(Exception):
    """Base of all errors that the core raises on its own account."""


class DecisionOverdueError(CoreError):
    """The balancer has decided nothing for a request until its client gave up."""

    def __init__(self, log_id: str) -> None:
        """``log_id``: by which the log names the request."""
        super().__init__(f"no decision on request {log_id}")
        self.log_id = log_id
