"""The reasons for closing a replication session, as its last message names them on the wire."""

from __future__ import annotations

from enum import StrEnum


class CloseCode(StrEnum):
    """A close code that this program sends; a peer of another version may send others.

    A session that the topology rejects carries the reason of its ``LinkRejected`` instead.
    """

    ORDERLY = "orderly"  # the session is no longer needed
    REMOVED = "removed"  # one of the two members was removed from the cluster
    AWAY = "away"  # the peer was out of sync for longer than tombstones are retained
    LATER = "later"  # the peer may connect again later
    VERSION = "version"  # the peer speaks another protocol version
    FAULT = "fault"  # a protocol violation, or an unresponsive peer
