"""Runs links between replicas: the handshake on a connected socket, then a session to its end."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable

from sageturn.net.admission import PendingConnection
from sageturn.store.channel import AuthenticatedChannel
from sageturn.store.replication.errors import LinkNotEstablishedError
from sageturn.store.replication.membership import Address
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.session_driver import SessionDriver

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 1.5


class LinkRunner:
    """The running links of one replica."""

    def __init__(self, replica: Replica, secret: bytes) -> None:
        self._replica = replica
        self._secret = secret
        self._output_pending: set[asyncio.Event] = set()  # one per link
        replica.on_output_pending = self._notify_links

    async def run(
        self,
        sock: socket.socket,
        dialed: Address | None,
        pending: PendingConnection | None = None,
        on_session: Callable[[ReplicationSession], None] = lambda _: None,
    ) -> None:
        """Runs a link to its end; the replica is then notified of it.

        ``dialed`` is the address if this side dialed; ``pending`` is given for an accepted connection. Raises
        LinkNotEstablishedError if the handshake fails; the replica then isn't notified.
        """
        channel = AuthenticatedChannel(sock, self._secret, self._replica.store.node)
        await self._perform_handshake(channel, dialed is not None, pending)
        session = self._replica.open_session(channel.peer, time.monotonic(), dialed)
        on_session(session)
        output_pending = asyncio.Event()
        self._output_pending.add(output_pending)
        try:
            await SessionDriver(channel, session, output_pending).run()
        finally:
            self._output_pending.discard(output_pending)
            self._replica.on_session_closed(session, time.monotonic())

    @staticmethod
    async def _perform_handshake(
        channel: AuthenticatedChannel, is_dialed: bool, pending: PendingConnection | None
    ) -> None:
        limit = pending.time_limit(HANDSHAKE_TIMEOUT_S) if pending else asyncio.timeout(HANDSHAKE_TIMEOUT_S)
        try:
            async with limit:
                await channel.perform_handshake(is_dialed)
        except (OSError, TimeoutError) as error:
            detail = str(error) or "timed out"
            log.warning("replication handshake failed dialed=%s detail=%s", is_dialed, detail)
            raise LinkNotEstablishedError(detail) from error
        if pending is not None:
            pending.mark_active()

    def _notify_links(self) -> None:
        for event in self._output_pending:
            event.set()
