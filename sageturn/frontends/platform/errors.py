"""Errors of the platform's line protocol."""

from __future__ import annotations

from sageturn.frontends.errors import FrontendError


class InvalidRequestLineError(FrontendError, ValueError):
    """A client's first line cannot be forwarded. The client is sent the text, which says why."""


class ForwardingError(FrontendError, ConnectionError):
    """One of the two sockets of a ``LineForwarder`` failed."""

    def __init__(self, *, source_failed: bool) -> None:
        """``source_failed`` is true for the socket that is read, false for the one that is written."""
        super().__init__("reading failed" if source_failed else "writing failed")
        self.source_failed = source_failed
