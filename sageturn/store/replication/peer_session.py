"""The interface through which a replica uses a replication session."""

from __future__ import annotations

from typing import Protocol

from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.membership import Address
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.session_closing import SessionClosing


class PeerSession(Protocol):
    """A session with one peer; implemented by ``session.ReplicationSession``."""

    @property
    def peer(self) -> str:
        """The authenticated name of the peer."""

    @property
    def dialed_address(self) -> Address | None:
        """The address that this side has dialed; None if it accepted the connection."""

    @property
    def peer_hello(self) -> Hello | None:
        """The peer's hello; None until it was admitted."""

    @property
    def peer_recently_in_sync(self) -> bool:
        """True if the peer last reported that it is recently in sync."""

    @property
    def is_ephemeral(self) -> bool:
        """True if one side is an operator's client, to which no rule of membership applies."""

    @property
    def is_caught_up(self) -> bool:
        """True if this side has all that the peer had when the session was established."""

    @property
    def is_followed(self) -> bool:
        """True if the peer takes this side's changes."""

    @property
    def closing(self) -> SessionClosing:
        """Close reasons of both sides."""

    def close(self, detail: str, code: str = CloseCode.FAULT) -> None:
        """Close the session from this side, with a reason that is sent to the peer."""

    def take_sync_time(self) -> float | None:
        """Return Unix seconds of a time whose changes both sides now have; None if there is no new one."""
