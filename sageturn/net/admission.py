"""Admission control: limits the connections of all listeners, and evicts pending ones to admit new ones.

A connection is pending until it has sent a valid request. Pending connections have a limit of their own; once
it is reached, the oldest is evicted for each new one.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from sageturn.net.addresses import Address

BASE_MEMORY_MB = 26.0  # memory of a relay without connections
CONNECTION_MEMORY_MB = 48.0 / 1024.0  # memory of an established connection, the endpoint's side included
PENDING_DESCRIPTOR_RATIO = 1.0 / 6.0  # the rest serves requests (two each), closing sockets, files
MIN_PENDING_CONNECTIONS = 8
NO_REQUEST_ID = "-"


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits that the platform sets for this process: file descriptors (``sockets``) and memory in MB."""

    sockets: int
    memory_mb: float

    @property
    def max_pending(self) -> int:
        """Maximum number of pending connections."""
        by_descriptors = int(self.sockets * PENDING_DESCRIPTOR_RATIO)
        return max(MIN_PENDING_CONNECTIONS, min(by_descriptors, self.max_connections // 2))

    @property
    def max_connections(self) -> int:
        """Maximum number of connections from clients, pending or not."""
        by_memory = int((self.memory_mb - BASE_MEMORY_MB) / CONNECTION_MEMORY_MB)
        return max(2 * MIN_PENDING_CONNECTIONS, by_memory)


class PendingConnection:
    """Accepted connection. Until it has sent a request, its time is limited and it may be evicted."""

    def __init__(self, admission: AdmissionController, peer: Address, listener: Address) -> None:
        """Store the addresses of the client and of the listener, which log lines show."""
        self._admission = admission
        self._accepted_s = asyncio.get_running_loop().time()
        self._timeout: asyncio.Timeout | None = None
        self.peer = peer
        self.listener = listener
        self.request_id = NO_REQUEST_ID  # shown in log lines; the frontend sets it
        self.is_evicted = False

    def time_limit(self, seconds: float) -> asyncio.Timeout:
        """Return a context that limits the wait for the client to ``seconds`` after its acceptance.

        The context raises TimeoutError at that time, or as soon as the connection is evicted.
        """
        deadline_s = 0.0 if self.is_evicted else self._accepted_s + seconds
        self._timeout = asyncio.timeout_at(deadline_s)
        return self._timeout

    def evict(self) -> None:
        """End the wait in ``time_limit``. Called by the admission controller."""
        self.is_evicted = True
        if self._timeout is not None:
            with suppress(RuntimeError):  # the context was exited, or has just expired
                self._timeout.reschedule(0.0)

    def mark_active(self) -> None:
        """Exempt the connection from eviction. Called once it has sent a valid request."""
        self._admission.mark_active(self)


class AdmissionController:
    """Counter of the connections of all listeners of this process, which evicts pending ones."""

    def __init__(self, limits: ProcessLimits) -> None:
        """Set the ``limits``, which may be replaced at any time and apply to new connections."""
        self.limits = limits
        self.connection_count = 0
        self._pending: dict[PendingConnection, None] = {}  # oldest first

    @property
    def is_full(self) -> bool:
        """True if a new connection is admitted only if a pending one is evicted."""
        return self.connection_count >= self.limits.max_connections

    @property
    def pending_count(self) -> int:
        """Number of pending connections."""
        return len(self._pending)

    def admit(self, peer: Address, listener: Address) -> PendingConnection:
        """Count and return a new connection, and evict the oldest pending ones beyond their limit."""
        connection = PendingConnection(self, peer, listener)
        self.connection_count += 1
        self._pending[connection] = None
        while len(self._pending) > self.limits.max_pending:
            self.evict_oldest_pending()
        return connection

    def evict_oldest_pending(self) -> bool:
        """Evict the connection that has been pending for longest; return False if none is pending."""
        oldest = next(iter(self._pending), None)
        if oldest is None:
            return False
        del self._pending[oldest]
        oldest.evict()
        return True

    def evict_all_pending(self) -> None:
        """Evict all pending connections. Called when the relay shuts down."""
        while self.evict_oldest_pending():
            pass

    def mark_active(self, connection: PendingConnection) -> None:
        """Stop counting ``connection`` as pending."""
        self._pending.pop(connection, None)

    def release(self, connection: PendingConnection) -> None:
        """Stop counting ``connection``. Called once its socket is closed."""
        self.mark_active(connection)
        self.connection_count -= 1
