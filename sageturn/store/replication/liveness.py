"""When a replication session sends heartbeats, and when a silent peer counts as gone."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.7  # three lost or late heartbeats end a session
PEER_TIMEOUT_S = 2.0
