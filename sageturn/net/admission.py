"""Admission control: how many connections all listeners hold, and which give way to new ones.

A connection that has sent no request yet is pending. Pending ones are bounded on their own, and the oldest
of them is evicted for a new one.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

# What a relay was measured to use: 23 MB once it runs, and 45 KB more for each established connection.
BASE_MEMORY_MB = 26.0
CONNECTION_MEMORY_MB = 48.0 / 1024.0
# The share of the descriptors that pending connections may take. Usual clients need two thirds (two for each
# request), and half of the rest is for sockets that are being closed, discovery, files and the log.
PENDING_DESCRIPTOR_SHARE = 1.0 / 6.0
MIN_PENDING_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the platform allows this process: descriptors (``sockets``) and memory."""

    sockets: int
    memory_mb: float

    @property
    def max_pending(self) -> int:
        """Connections that have sent no request yet."""
        by_descriptors = int(self.sockets * PENDING_DESCRIPTOR_SHARE)
        return max(MIN_PENDING_CONNECTIONS, min(by_descriptors, self.max_connections // 2))

    @property
    def max_connections(self) -> int:
        """Connections from clients, pending or not; ``CONNECTION_MEMORY_MB`` counts their endpoints' in."""
        by_memory = int((self.memory_mb - BASE_MEMORY_MB) / CONNECTION_MEMORY_MB)
        return max(2 * MIN_PENDING_CONNECTIONS, by_memory)


class PendingConnection:
    """One accepted connection. Until it has sent its request, its time is short and it may be evicted."""

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission
        self._accepted_s = asyncio.get_running_loop().time()
        self._timeout: asyncio.Timeout | None = None
        self.evicted = False

    def time_limit(self, seconds: float) -> asyncio.Timeout:
        """To be entered around each wait for the client; ``seconds`` count from its acceptance.

        An eviction ends the wait at once, with TimeoutError as well.
        """
        deadline_s = 0.0 if self.evicted else self._accepted_s + seconds
        self._timeout = asyncio.timeout_at(deadline_s)
        return self._timeout

    def evict(self) -> None:
        """End what the connection waits for. Called by the admission controller."""
        self.evicted = True
        if self._timeout is not None:
            with suppress(RuntimeError):  # its time was just over anyway, or nothing is waited for
                self._timeout.reschedule(0.0)

    def mark_active(self) -> None:
        """It has sent a valid request: it is not evicted any more."""
        self._admission.mark_active(self)


class AdmissionController:
    """Counts the connections of all listeners of this process."""

    def __init__(self, limits: ProcessLimits) -> None:
        """``limits`` may be replaced while it runs."""
        self.limits = limits
        self.connection_count = 0
        self._pending: dict[PendingConnection, None] = {}  # oldest first

    @property
    def is_full(self) -> bool:
        """Whether a new connection is only admitted in the place of another."""
        return self.connection_count >= self.limits.max_connections

    @property
    def awaiting_request(self) -> int:
        """How many connections have sent no request yet."""
        return len(self._pending)

    def admit(self) -> PendingConnection:
        """Count a new connection, evicting the oldest pending ones if there are too many."""
        connection = PendingConnection(self)
        self.connection_count += 1
        self._pending[connection] = None
        while len(self._pending) > self.limits.max_pending:
            self.evict_oldest_pending()
        return connection

    def evict_oldest_pending(self) -> bool:
        """False if no connection is pending."""
        oldest = next(iter(self._pending), None)
        if oldest is None:
            return False
        del self._pending[oldest]
        oldest.evict()
        return True

    def evict_all_pending(self) -> None:
        """Called when the relay shuts down."""
        while self.evict_oldest_pending():
            pass

    def mark_active(self, connection: PendingConnection) -> None:
        """Its client has sent a valid request."""
        self._pending.pop(connection, None)

    def release(self, connection: PendingConnection) -> None:
        """Its socket has been closed."""
        self.mark_active(connection)
        self.connection_count -= 1
