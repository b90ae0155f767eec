"""Errors of links and of the overlay."""

from __future__ import annotations

from sageturn.store.errors import SessionRejectedError, StoreError
from sageturn.store.replication.membership import LinkRejected, Member


class LinkNotEstablishedError(StoreError, ConnectionError):
    """The handshake of a link failed, and the replica was not notified of the link. The message says why."""


class LinkNotAdmittedError(SessionRejectedError):
    """The topology rejects the link of a member that has dialed this one.

    ``alternatives`` are members that the peer may dial instead; the close code is the topology's reason.
    """

    def __init__(self, rejection: LinkRejected) -> None:
        super().__init__(f"not here: {rejection.reason}", rejection.reason)
        self.alternatives: tuple[Member, ...] = rejection.alternatives


class InvalidFanoutError(StoreError, ValueError):
    """The overlay's fanout is too small to form a tree."""
