"""Accepts connections and passes each to its frontend, also while descriptors are exhausted."""

from __future__ import annotations

import asyncio
import errno
import logging
from enum import Enum, auto

from sageturn.net.addresses import Address
from sageturn.net.admission import AdmissionController, line_connection_bytes
from sageturn.net.backlog import reject_backlog, reject_backlog_and_close
from sageturn.net.connection_tasks import ConnectionHandler, ConnectionTasks, StandingBytes
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, OUT_OF_DESCRIPTORS_ERRNOS
from sageturn.net.listening_socket import BACKLOG_CONNECTIONS, ListeningSocket

log = logging.getLogger(__name__)

MAX_ACCEPTS_PER_TURN = 64  # limit after which accepted connections get a turn of the event loop
SYSTEM_SHORTAGE_PAUSE_S = 0.005
MAX_SYSTEM_SHORTAGES = 8  # consecutive failures before pending connections are evicted
OUT_OF_DESCRIPTORS_PAUSE_S = 0.02
OUT_OF_DESCRIPTORS_EVICTIONS = 8  # number of pending connections that are evicted at a time


class Shortage(Enum):
    """Resource for lack of which connections cannot be accepted."""

    NOTHING = auto()
    PROCESS_DESCRIPTORS = auto()  # evicting pending connections frees some
    SYSTEM = auto()  # descriptors or memory of the whole machine


class Listener:
    """Listener on one address, which closes without resetting the clients in its backlog."""

    def __init__(
        self,
        address: Address,
        handler: ConnectionHandler,
        rejection: bytes,
        admission: AdmissionController,
        standing_bytes: StandingBytes = line_connection_bytes,
    ) -> None:
        """Bind ``address``.

        Args:
            address: the address to listen on.
            handler: serves a connection until it has ended.
            rejection: sent to a client that is not admitted.
            admission: counts the connections of all listeners.
            standing_bytes: returns the standing share of a new connection in the memory budget.

        Raises:
            OSError: the address cannot be bound.
        """
        self._listening = ListeningSocket(address)
        self.address: Address = self._listening.address
        self._rejection = rejection
        self._admission = admission
        self._connections = ConnectionTasks(self.address, handler, rejection, admission, standing_bytes)
        self._system_shortages = 0  # consecutive failures since a connection was accepted

    def start_listening(self) -> None:
        """Let the kernel queue connections. From then on a client's wait counts against its limit."""
        self._listening.listen()

    async def run(self) -> None:
        """Accept connections until cancelled, or until ``stop_accepting`` has closed the listener."""
        try:
            while self._listening.is_open:
                await self._listening.wait_readable()
                if self._listening.is_open:
                    await self._handle_shortage(self._accept_queued(MAX_ACCEPTS_PER_TURN))
        finally:
            self.close()

    def _accept_queued(self, max_connections: int) -> Shortage:
        """Accept queued connections, ``max_connections`` at most; return the shortage that stopped it."""
        for _ in range(max_connections):
            if not DESCRIPTOR_RESERVE.refill():
                return Shortage.PROCESS_DESCRIPTORS
            try:
                accepted = self._listening.accept()
            except (BlockingIOError, InterruptedError):
                return Shortage.NOTHING
            except OSError as error:
                if error.errno == errno.EMFILE:
                    return Shortage.PROCESS_DESCRIPTORS
                if error.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                    return Shortage.SYSTEM
                log.warning("accept failed listener=%s:%d reason=%s", *self.address, error)
                continue  # this client has disconnected; others may be queued
            self._system_shortages = 0
            self._connections.serve_or_reject(accepted)
        return Shortage.NOTHING

    async def _handle_shortage(self, shortage: Shortage) -> None:
        """Wait for a shortage of the system to end; free descriptors if it persists or is this process's."""
        if shortage is Shortage.NOTHING:
            return
        if shortage is Shortage.SYSTEM and self._system_shortages < MAX_SYSTEM_SHORTAGES:
            self._system_shortages += 1
            await asyncio.sleep(SYSTEM_SHORTAGE_PAUSE_S)
            return
        await self._free_descriptors()

    async def _free_descriptors(self) -> None:
        """Evict pending connections; if there are none, reject the first connection in the backlog."""
        if sum(self._admission.evict_oldest_pending() for _ in range(OUT_OF_DESCRIPTORS_EVICTIONS)):
            await asyncio.sleep(OUT_OF_DESCRIPTORS_PAUSE_S)
        else:
            await self._reject_next()

    async def _reject_next(self) -> None:
        try:
            accepted = self._listening.accept_on_spare()
        except OSError:
            await asyncio.sleep(OUT_OF_DESCRIPTORS_PAUSE_S)
        else:
            await self._connections.reject(accepted)
        self._listening.reopen_spare()

    def stop_accepting(self) -> None:
        """Serve or reject all connections that the kernel has queued, and close the listener.

        If accepting fails for lack of descriptors or memory, the listener stays open for up to
        ``FINAL_ACCEPT_TIMEOUT_S``, since closing it would reset all queued connections.
        """
        DESCRIPTOR_RESERVE.resize(0)  # a stopping relay makes none of the calls that need the reserve
        if not self._listening.is_open:
            return
        has_shortage = self._accept_queued(BACKLOG_CONNECTIONS) is not Shortage.NOTHING
        if has_shortage and not reject_backlog(self._listening, self._rejection):
            self._connections.start(reject_backlog_and_close(self._listening, self._rejection))
        else:
            self.close()

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Return once all connections have ended, or after ``timeout_s`` seconds."""
        await self._connections.wait_until_idle(timeout_s)

    async def cancel_connections(self) -> None:
        """End all connections, and return once they have ended."""
        await self._connections.cancel_all()

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        self._listening.close()
