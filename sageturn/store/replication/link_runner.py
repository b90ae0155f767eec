"""Links between replicas: the handshake on a connected socket, then a session until it ends."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sageturn.net.admission import PendingConnection
from sageturn.store.channel import AuthenticatedChannel
from sageturn.store.replication.errors import LinkNotEstablishedError
from sageturn.store.replication.membership import Address
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.session_driver import SessionDriver

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 1.5


class OutputSignal:
    """Signal that wakes the drivers of all links of one replica when sessions may have output."""

    def __init__(self) -> None:
        self._events: set[asyncio.Event] = set()

    @contextmanager
    def subscribe(self) -> Iterator[asyncio.Event]:
        """Provide an event that ``notify`` sets as long as the context is open."""
        event = asyncio.Event()
        self._events.add(event)
        try:
            yield event
        finally:
            self._events.discard(event)

    def notify(self) -> None:
        """Set the events of all subscribers."""
        for event in self._events:
            event.set()


class LinkRunner:
    """Runner of the links of one replica."""

    def __init__(self, replica: Replica, secret: bytes, output_signal: OutputSignal) -> None:
        """Create the runner; ``output_signal`` is the signal that the replica's callbacks notify."""
        self._replica = replica
        self._secret = secret
        self._output_signal = output_signal

    async def run(
        self,
        sock: socket.socket,
        dialed: Address | None,
        pending: PendingConnection | None = None,
        on_session: Callable[[ReplicationSession], None] = lambda _: None,
    ) -> None:
        """Run a link until it ends, and notify the replica of its end.

        Args:
            sock: The connected socket, which the caller closes.
            dialed: The address that this side dialed; None for an accepted connection.
            pending: The pending connection of an accepted socket, as admitted; None for a dialed one.
            on_session: Called with the session once the handshake has succeeded.

        Raises:
            LinkNotEstablishedError: The handshake failed; the replica is not notified.
        """
        peer_address = _peer_address(sock) if dialed is None else dialed
        channel = AuthenticatedChannel(sock, self._secret, self._replica.store.node)
        await self._perform_handshake(channel, dialed is not None, pending, peer_address)
        session = self._replica.open_session(channel.peer, time.monotonic(), dialed)
        on_session(session)
        try:
            with self._output_signal.subscribe() as output_pending:
                await SessionDriver(channel, session, output_pending).run()
        finally:
            self._replica.on_session_closed(session, time.monotonic())

    @staticmethod
    async def _perform_handshake(
        channel: AuthenticatedChannel,
        is_dialed: bool,
        pending: PendingConnection | None,
        peer_address: Address | None,
    ) -> None:
        limit = pending.time_limit(HANDSHAKE_TIMEOUT_S) if pending else asyncio.timeout(HANDSHAKE_TIMEOUT_S)
        try:
            async with limit:
                await channel.perform_handshake(is_dialed)
        except (OSError, TimeoutError) as error:
            detail = str(error) or "timed out"
            log.warning(
                "replication handshake failed peer_address=%s dialed=%s detail=%s",
                "unknown" if peer_address is None else "{}:{}".format(*peer_address),
                is_dialed,
                detail,
            )
            raise LinkNotEstablishedError(detail) from error
        if pending is not None:
            pending.mark_active()


def _peer_address(sock: socket.socket) -> Address | None:
    """Return the address of the peer; None if the connection has already ended."""
    try:
        host, port, *_ = sock.getpeername()
    except OSError:
        return None
    return host, port
