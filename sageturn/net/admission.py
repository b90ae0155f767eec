"""Admission control: bounds the connections of all listeners, and evicts old ones for new ones.

A connection that has sent no request yet is pending. Pending connections have a bound of their own; beyond
it, the oldest is evicted for each new one.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from sageturn.net.addresses import Address

BASE_MEMORY_MB = 26.0  # of a relay without connections
CONNECTION_MEMORY_MB = 48.0 / 1024.0  # of an established connection, its endpoint's side included
PENDING_DESCRIPTOR_RATIO = 1.0 / 6.0  # the others are for requests (two each), closing sockets, files
MIN_PENDING_CONNECTIONS = 8
NO_REQUEST_ID = "-"


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The descriptors (``sockets``) and the memory, in MB, that the platform allows this process."""

    sockets: int
    memory_mb: float

    @property
    def max_pending(self) -> int:
        """The maximum of connections that have sent no request yet."""
        by_descriptors = int(self.sockets * PENDING_DESCRIPTOR_RATIO)
        return max(MIN_PENDING_CONNECTIONS, min(by_descriptors, self.max_connections // 2))

    @property
    def max_connections(self) -> int:
        """The maximum of connections from clients, pending or not."""
        by_memory = int((self.memory_mb - BASE_MEMORY_MB) / CONNECTION_MEMORY_MB)
        return max(2 * MIN_PENDING_CONNECTIONS, by_memory)


class PendingConnection:
    """An accepted connection. Until it has sent a request, its time is limited and it may be evicted."""

    def __init__(self, admission: AdmissionController, peer: Address, listener: Address) -> None:
        """``peer`` and ``listener`` are the two addresses of the connection, for log lines."""
        self._admission = admission
        self._accepted_s = asyncio.get_running_loop().time()
        self._timeout: asyncio.Timeout | None = None
        self.peer = peer
        self.listener = listener
        self.request_id = NO_REQUEST_ID  # as log lines name it; set by the frontend
        self.evicted = False

    def time_limit(self, seconds: float) -> asyncio.Timeout:
        """Return the context in which to wait for the client until ``seconds`` after its acceptance.

        An eviction ends the wait at once. Raises TimeoutError from the context in both cases.
        """
        deadline_s = 0.0 if self.evicted else self._accepted_s + seconds
        self._timeout = asyncio.timeout_at(deadline_s)
        return self._timeout

    def evict(self) -> None:
        """End the wait of this connection. Called by the admission controller."""
        self.evicted = True
        if self._timeout is not None:
            with suppress(RuntimeError):  # the context has been left, or its time was just over
                self._timeout.reschedule(0.0)

    def mark_active(self) -> None:
        """Exempt the connection from eviction. Called once it has sent a valid request."""
        self._admission.mark_active(self)


class AdmissionController:
    """Counts the connections of all listeners of this process."""

    def __init__(self, limits: ProcessLimits) -> None:
        """``limits`` may be replaced at any time; they apply to the next connections."""
        self.limits = limits
        self.connection_count = 0
        self._pending: dict[PendingConnection, None] = {}  # oldest first

    @property
    def is_full(self) -> bool:
        """Whether a new connection is admitted only in place of another."""
        return self.connection_count >= self.limits.max_connections

    @property
    def pending_count(self) -> int:
        """How many connections have sent no request yet."""
        return len(self._pending)

    def admit(self, peer: Address, listener: Address) -> PendingConnection:
        """Count a new connection, evicting the oldest pending ones if there are too many."""
        connection = PendingConnection(self, peer, listener)
        self.connection_count += 1
        self._pending[connection] = None
        while len(self._pending) > self.limits.max_pending:
            self.evict_oldest_pending()
        return connection

    def evict_oldest_pending(self) -> bool:
        """Evict the connection that has been pending for longest; returns False if none is pending."""
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
