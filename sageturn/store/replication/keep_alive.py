"""The timers of a replication session: its next heartbeat, and how long the peer may be silent."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.7
PEER_TIMEOUT_S = 2.0  # three lost or late heartbeats end a session


class KeepAlive:
    """Schedules the heartbeats of one session, and detects that its peer is silent.

    Times are seconds of the monotonic clock that the caller passes in.
    """

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self.next_heartbeat_at = now

    @property
    def peer_timeout_at(self) -> float:
        """When the peer counts as gone, if nothing is received before."""
        return self.last_received_at + PEER_TIMEOUT_S

    def silence_s(self, now: float) -> float:
        """Returns the seconds since the last message of the peer."""
        return now - self.last_received_at

    def is_peer_silent(self, now: float) -> bool:
        """Whether the peer counts as gone."""
        return self.silence_s(now) >= PEER_TIMEOUT_S

    def on_received(self, now: float) -> None:
        """Restarts the peer's timeout."""
        self.last_received_at = now

    def is_heartbeat_due(self, now: float) -> bool:
        """Whether the next heartbeat should be sent now."""
        return now >= self.next_heartbeat_at

    def on_heartbeat_sent(self, now: float) -> None:
        """Schedules the next heartbeat; a hello counts as one."""
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S

    def request_heartbeat(self, now: float) -> None:
        """Makes the next heartbeat due at once."""
        self.next_heartbeat_at = now
