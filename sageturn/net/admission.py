"""Admission control: limits the connections of all listeners, and evicts pending ones to admit new ones.

A connection is pending until it has sent a valid request. Pending connections have limits of their own, in
number and in memory; once one is reached, the oldest is evicted for each new one.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from sageturn.net.addresses import Address
from sageturn.net.memory_budget import MemoryBudget, MemoryLimits

BYTES_PER_MB = 1 << 20
BASE_MEMORY_MB = 26.0  # memory of a relay without connections
BUDGET_RATIO = 0.9  # part of the rest that connections may use; what is left covers heap fragmentation
ADMISSION_RATIO = 0.85  # part of that for standing shares; the rest is for input held for a moment
LINE_CONNECTION_BYTES = 48 * 1024  # an established connection of two sockets without TLS, both sides
MAX_PENDING_MEMORY_RATIO = 0.5
PENDING_DESCRIPTOR_RATIO = 1.0 / 6.0  # the rest serves requests (two each), closing sockets, files
MIN_PENDING_CONNECTIONS = 8
NO_REQUEST_ID = "-"


def line_connection_bytes() -> int:
    """Return the standing share of a connection of two sockets without TLS."""
    return LINE_CONNECTION_BYTES


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits that the platform sets for this process: file descriptors (``sockets``) and memory in MB."""

    sockets: int
    memory_mb: float

    @property
    def max_pending(self) -> int:
        """Maximum number of pending connections."""
        return max(MIN_PENDING_CONNECTIONS, int(self.sockets * PENDING_DESCRIPTOR_RATIO))

    @property
    def memory_bytes(self) -> MemoryLimits:
        """Memory that all connections from clients may use together, pending or not."""
        available_bytes = (self.memory_mb - BASE_MEMORY_MB) * BUDGET_RATIO * BYTES_PER_MB
        min_bytes = 2 * MIN_PENDING_CONNECTIONS * LINE_CONNECTION_BYTES
        admission_bytes = max(min_bytes, int(available_bytes * ADMISSION_RATIO))
        return MemoryLimits(max(admission_bytes, int(available_bytes)), admission_bytes)


class PendingConnection:
    """Accepted connection. Until it has sent a request, its time is limited and it may be evicted."""

    def __init__(
        self, admission: AdmissionController, peer: Address, listener: Address, standing_bytes: int
    ) -> None:
        """Open the connection's account in the memory budget.

        Args:
            admission: the controller that counts the connection.
            peer: the client's address, for log lines.
            listener: the listener's address, for log lines.
            standing_bytes: the connection's standing share of the memory budget.
        """
        self._admission = admission
        self.memory = admission.memory.open(standing_bytes, self._on_shed)
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

    def _on_shed(self) -> None:
        self._admission.evict(self)

    def mark_active(self) -> None:
        """Exempt the connection from eviction. Called once it has sent a valid request."""
        self.memory.activate()
        self._admission.mark_active(self)
        if self.is_evicted:  # its request was complete before the eviction took effect
            self.is_evicted = False
            self._admission.on_eviction_ended(self)


class AdmissionController:
    """Counter of the connections of all listeners of this process, which evicts pending ones."""

    def __init__(self, limits: ProcessLimits) -> None:
        """Set the ``limits``, which may be replaced at any time and apply to new connections."""
        self._limits = limits
        self.memory = MemoryBudget(limits.memory_bytes)
        self.connection_count = 0
        self._pending: dict[PendingConnection, None] = {}  # oldest first
        self._pending_bytes = 0  # sum of their standing shares
        self._leaving_bytes = 0  # sum of the shares of evicted connections that are still open

    @property
    def limits(self) -> ProcessLimits:
        """The limits in force."""
        return self._limits

    @limits.setter
    def limits(self, limits: ProcessLimits) -> None:
        self._limits = limits
        self.memory.limits = limits.memory_bytes

    @property
    def pending_count(self) -> int:
        """Number of pending connections."""
        return len(self._pending)

    def make_room(self, standing_bytes: int) -> bool:
        """Return whether a connection with this standing share can be admitted.

        Pending connections are evicted for it, the oldest first, until enough is free or about to be.
        """
        while not self.memory.has_room_for(standing_bytes - self._leaving_bytes):
            if not self.evict_oldest_pending():
                return False
        return True

    def admit(
        self, peer: Address, listener: Address, standing_bytes: int = LINE_CONNECTION_BYTES
    ) -> PendingConnection:
        """Count and return a new connection, and evict the oldest pending ones beyond their limits."""
        connection = PendingConnection(self, peer, listener, standing_bytes)
        self.connection_count += 1
        self._pending[connection] = None
        self._pending_bytes += standing_bytes
        while self._has_too_many_pending():
            self.evict_oldest_pending()
        return connection

    def _has_too_many_pending(self) -> bool:
        if len(self._pending) <= MIN_PENDING_CONNECTIONS:
            return False
        max_pending_bytes = self.memory.limits.admission_bytes * MAX_PENDING_MEMORY_RATIO
        return len(self._pending) > self._limits.max_pending or self._pending_bytes > max_pending_bytes

    def evict_oldest_pending(self) -> bool:
        """Evict the connection that has been pending for longest; return False if none is pending."""
        oldest = next(iter(self._pending), None)
        if oldest is None:
            return False
        self.evict(oldest)
        return True

    def evict(self, connection: PendingConnection) -> None:
        """End a pending connection, once; its share counts as free from now on."""
        self.mark_active(connection)
        if not connection.is_evicted:
            self._leaving_bytes += connection.memory.standing_bytes
            connection.evict()

    def on_eviction_ended(self, connection: PendingConnection) -> None:
        """Stop counting the share of an evicted connection as about to be free: it is, or will not be."""
        self._leaving_bytes -= connection.memory.standing_bytes

    def evict_all_pending(self) -> None:
        """Evict all pending connections. Called when the relay shuts down."""
        while self.evict_oldest_pending():
            pass

    def mark_active(self, connection: PendingConnection) -> None:
        """Stop counting ``connection`` as pending."""
        if connection in self._pending:
            del self._pending[connection]
            self._pending_bytes -= connection.memory.standing_bytes

    def release(self, connection: PendingConnection) -> None:
        """Stop counting ``connection``. Called once its socket is closed."""
        self.mark_active(connection)
        if connection.is_evicted:
            self.on_eviction_ended(connection)
        connection.memory.release()
        self.connection_count -= 1
