"""Errors of the platform's line protocol."""

from __future__ import annotations

from sageturn.frontends.errors import FrontendError


class InvalidRequestLineError(FrontendError, ValueError):
    """A client's first line cannot be forwarded; the text, which the client is sent, says why."""


class ForwardingError(FrontendError, ConnectionError):
    """One of the two sockets of a ``LineForwarder`` failed."""

    def __init__(self, source_failed: bool) -> None:
        """``source_failed``: it was the socket that is read from; else the one that is written to."""
        super().__init__("reading failed" if source_failed else "writing failed")
        self.source_failed = source_failed
