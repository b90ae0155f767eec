"""Errors of links and of the overlay."""

from __future__ import annotations

from sageturn.store.errors import StoreError


class LinkNotEstablishedError(StoreError, ConnectionError):
    """The handshake of a link failed; the replica knows nothing of the link. The text says why."""


class InvalidFanoutError(StoreError, ValueError):
    """The overlay's fanout is too small to form a tree."""
