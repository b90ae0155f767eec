"""Base class of the errors that the frontends raise."""

from __future__ import annotations


class FrontendError(Exception):
    """Error of a client or an endpoint that broke its protocol, or of a connection that failed."""
