"""The base of the errors that the frontends raise."""

from __future__ import annotations


class FrontendError(Exception):
    """A client or an endpoint broke its protocol, or its connection failed."""
