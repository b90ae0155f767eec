"""Decides whether a replica has caught up with the other members, and may serve clients. No I/O, no clock.

A client derives the version of a write from the records that it reads at one replica. A replica that has just
started, lost its links or started over may lack newer versions that the others have acknowledged: a write to
it would be acknowledged and then lose to an older one. Until it has caught up it therefore rejects clients.

Times are seconds of a monotonic clock that is passed in.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from sageturn.store.replication.peer_session import PeerSession

log = logging.getLogger(__name__)

# Longer than a new member delays its first dial to a seed, and a dial and a handshake after that may take.
PEER_SEARCH_TIME_S = 7.0


class CatchUpMonitor:
    """Monitor of one replica after its start, after the loss of its last link, and after a start over.

    The replica has caught up once it holds all that its peers had when they linked, and one of them is in
    sync and takes this replica's changes, so that a write is forwarded at once. If none is in sync, as in a
    new cluster, or none can be reached, it counts as caught up after ``PEER_SEARCH_TIME_S``, as soon as it
    holds all that the peers had which it has reached.

    Attributes:
        rejected_clients: The number of clients that were rejected meanwhile, since the start.
    """

    def __init__(self, node: str, now: float) -> None:
        self.rejected_clients = 0
        self._node = node
        self._search_ends_at = now + PEER_SEARCH_TIME_S
        self._started_at = now
        self._is_caught_up = False

    @property
    def is_caught_up(self) -> bool:
        """True if the replica had caught up at the last ``update``."""
        return self._is_caught_up

    def restart(self, now: float) -> None:
        """Handle a start over or the loss of the last link."""
        self._search_ends_at = now + PEER_SEARCH_TIME_S
        if self._is_caught_up:
            self._is_caught_up = False
            self._started_at = now
            log.info("replica catching up node=%s", self._node)

    def update(self, now: float, has_peers: bool, followed: Iterable[PeerSession]) -> bool:
        """Return whether the replica has caught up by now.

        Args:
            now: Monotonic seconds.
            has_peers: Whether a seed or another member is known.
            followed: The established sessions whose peers' records this replica may take.
        """
        sessions = list(followed)
        has_all = all(session.is_caught_up for session in sessions)
        takers = [session for session in sessions if session.is_followed]
        if has_all and any(session.peer_recently_in_sync for session in takers):
            self._search_ends_at = min(self._search_ends_at, now)
        has_searched = now >= self._search_ends_at
        was_caught_up = self._is_caught_up
        self._is_caught_up = not has_peers or (has_all and has_searched and (not sessions or bool(takers)))
        if self._is_caught_up and not was_caught_up:
            self._log_caught_up(now, len(sessions))
        elif was_caught_up and not self._is_caught_up:
            self._started_at = now
        return self._is_caught_up

    def _log_caught_up(self, now: float, peer_count: int) -> None:
        log.info(
            "replica caught up node=%s after_s=%.1f peers=%d rejected_clients=%d",
            self._node,
            now - self._started_at,
            peer_count,
            self.rejected_clients,
        )
