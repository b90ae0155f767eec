"""Serves or rejects the connections of a listener, each in a task of its own."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress

from sageturn.net.addresses import Address
from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.closing import send_and_close
from sageturn.net.listening_socket import AcceptedConnection
from sageturn.net.sockets import configure_socket

log = logging.getLogger(__name__)

ConnectionHandler = Callable[[socket.socket, PendingConnection], Awaitable[None]]
StandingBytes = Callable[[], int]

CANCEL_RETRY_S = 0.02
REJECT_READ_TIMEOUT_S = 0.03  # most clients send their first bytes as soon as they are connected
REJECT_READ_BYTES = 8192


class ConnectionTasks:
    """Tasks that run the frontend's handler for admitted connections, and reject the others."""

    def __init__(
        self,
        listener: Address,
        handler: ConnectionHandler,
        rejection: bytes,
        admission: AdmissionController,
        standing_bytes: StandingBytes,
    ) -> None:
        """Create an empty set of tasks for the connections of one listener.

        Args:
            listener: Address that the listener is bound to, for log lines.
            handler: Serves a connection until it has ended; the socket is closed when it returns.
            rejection: Bytes that are sent to a client that is not admitted.
            admission: Counter of the connections of all listeners.
            standing_bytes: Returns the standing share of a new connection in the memory budget.
        """
        self._listener = listener
        self._handler = handler
        self._rejection = rejection
        self._admission = admission
        self._standing_bytes = standing_bytes
        self._tasks: set[asyncio.Task[None]] = set()

    def serve_or_reject(self, accepted: AcceptedConnection) -> None:
        """Start to serve a connection, or to reject it if the relay is full and no connection is pending."""
        standing_bytes = self._standing_bytes()
        if self._admission.make_room(standing_bytes):
            pending = self._admission.admit(accepted.peer, self._listener, standing_bytes)
            self.start(self._serve(accepted.sock, pending))
        else:
            self._admission.memory.rejected_connections += 1
            self.start(self.reject(accepted))

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run ``coroutine`` as one of the tasks that ``wait_until_idle`` waits for."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket, pending: PendingConnection) -> None:
        try:
            configure_socket(sock)
            await self._handler(sock, pending)
        except OSError as error:
            log.info(
                "connection failed request=%s peer=%s:%d reason=%s", pending.request_id, *pending.peer, error
            )
        except Exception:
            log.exception(
                "connection handler failed request=%s peer=%s:%d", pending.request_id, *pending.peer
            )
        finally:
            sock.close()
            self._admission.release(pending)

    async def reject(self, accepted: AcceptedConnection) -> None:
        """Send the rejection to a client that is not admitted, and close its connection.

        The client's first bytes are read first: unread bytes at the close would cause a reset, which could
        discard the rejection.
        """
        log.debug("connection rejected peer=%s:%d listener=%s:%d", *accepted.peer, *self._listener)
        try:
            with suppress(OSError, TimeoutError):
                configure_socket(accepted.sock)
                async with asyncio.timeout(REJECT_READ_TIMEOUT_S):
                    buffer = bytearray(REJECT_READ_BYTES)
                    await asyncio.get_running_loop().sock_recv_into(accepted.sock, buffer)
        finally:
            send_and_close(accepted.sock, self._rejection)

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Return once all connections have ended, or after ``timeout_s`` seconds."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def cancel_all(self) -> None:
        """Cancel all tasks, and return once they have ended.

        A task that is still closing its socket gracefully is cancelled again every ``CANCEL_RETRY_S``.
        """
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_RETRY_S)
