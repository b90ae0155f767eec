"""The tasks in which a listener's connections are served or rejected, one for each connection."""

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

CANCEL_RETRY_S = 0.02
REJECT_READ_TIMEOUT_S = 0.03  # the first bytes of most clients arrive along with their connection
REJECT_READ_BYTES = 8192


class ConnectionTasks:
    """Runs the frontend's handler for admitted connections, and answers those that are not admitted."""

    def __init__(
        self, listener: Address, handler: ConnectionHandler, rejection: bytes, admission: AdmissionController
    ) -> None:
        """Prepare for the connections of one listener.

        Args:
            listener: the address that it is bound to, for log lines.
            handler: serves a connection until it has ended; the socket is closed when it returns.
            rejection: sent to a client that is not admitted.
            admission: counts the connections of all listeners.
        """
        self._listener = listener
        self._handler = handler
        self._rejection = rejection
        self._admission = admission
        self._tasks: set[asyncio.Task[None]] = set()

    def serve_or_reject(self, accepted: AcceptedConnection) -> None:
        """Begin to serve a connection, or to reject it where there is no capacity and nobody to evict."""
        if self._admission.is_full and not self._admission.evict_oldest_pending():
            self.start(self.reject(accepted))
        else:
            pending = self._admission.admit(accepted.peer, self._listener)
            self.start(self._serve(accepted.sock, pending))

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
        """Answer a client that is not admitted, and close its connection.

        Its first bytes are read before: bytes that lie unread at the close would destroy the answer.
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
        """End all connections; one that lingers after its close is cancelled anew until it has ended."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_RETRY_S)
