"""The timers of a replication session: its next heartbeat, and the timeout of an unresponsive peer."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.7
PEER_TIMEOUT_S = 2.0  # three lost or overdue heartbeats end a session


class KeepAlive:
    """Timers of one session: schedule of its heartbeats, and timeout of its peer.

    Times are seconds of the monotonic clock that the caller passes in.
    """

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self.next_heartbeat_at = now

    @property
    def peer_timeout_at(self) -> float:
        """Time at which the peer counts as disconnected, if nothing is received before."""
        return self.last_received_at + PEER_TIMEOUT_S

    def since_received_s(self, now: float) -> float:
        """Return the seconds since the last message of the peer."""
        return now - self.last_received_at

    def is_peer_unresponsive(self, now: float) -> bool:
        """Return whether the peer counts as disconnected."""
        return self.since_received_s(now) >= PEER_TIMEOUT_S

    def on_received(self, now: float) -> None:
        """Restart the peer's timeout."""
        self.last_received_at = now

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether the next heartbeat should be sent now."""
        return now >= self.next_heartbeat_at

    def on_heartbeat_sent(self, now: float) -> None:
        """Schedule the next heartbeat; a hello counts as one."""
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S

    def request_heartbeat(self, now: float) -> None:
        """Make the next heartbeat due at once."""
        self.next_heartbeat_at = now
