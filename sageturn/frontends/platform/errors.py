"""Errors of the platform's line protocol."""

from __future__ import annotations

from sageturn.frontends.errors import FrontendError


class InvalidRequestLineError(FrontendError, ValueError):
    """Error in a client's first line, which is not forwarded. The error's text is sent to the client."""


class ForwardingError(FrontendError, ConnectionError):
    """Failure of one of the two sockets of a ``LineForwarder``."""

    def __init__(self, *, source_failed: bool) -> None:
        """``source_failed`` is True if reading the source failed, False if writing to the target failed."""
        super().__init__(
            "reading from the source failed" if source_failed else "writing to the target failed"
        )
        self.source_failed = source_failed
