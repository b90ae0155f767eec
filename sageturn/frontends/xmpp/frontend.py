"""Authenticates each XMPP client that connects, and hands its bind request to the core."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from contextlib import suppress
from functools import partial

from sageturn.core.relay_context import RelayContext
from sageturn.frontends.xmpp.accounts import Accounts
from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.client_login import ClientLogin
from sageturn.frontends.xmpp.connection import XmppConnection
from sageturn.frontends.xmpp.errors import StreamError, encode_stream_error
from sageturn.frontends.xmpp.namespaces import CLIENT_NS, STREAMS_NS
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.protocol import StreamCondition
from sageturn.frontends.xmpp.session import STREAM_CLOSE, XmppSession
from sageturn.net.admission import PendingConnection
from sageturn.net.closing import LINGER_S, close_gracefully, send_and_close
from sageturn.net.memory_budget import HeldFor

log = logging.getLogger(__name__)

HEADER_TIMEOUT_S = 2.0  # limit from accepting a client until its first stream header is complete
# Standing shares in the memory budget: the streams of a client and its endpoint, and the state of TLS on one
# side.
CONNECTION_BYTES = 72 * 1024
TLS_BYTES = 64 * 1024
REJECTION = (
    b"<?xml version='1.0'?>"
    + f"<stream:stream xmlns='{CLIENT_NS}' xmlns:stream='{STREAMS_NS}' version='1.0'>".encode()
    + encode_stream_error(StreamCondition.RESOURCE_CONSTRAINT, "no room")
    + STREAM_CLOSE
)


class XmppFrontend:
    """Frontend for clients that speak XMPP."""

    rejection = REJECTION

    def __init__(self, context: RelayContext, options: XmppOptions, accounts: Accounts) -> None:
        self._context = context
        self._accounts = accounts
        # A reload replaces the options; clients that are already being served keep the old ones.
        self.options = options

    def standing_bytes(self) -> int:
        """Return the standing share of a new connection in the memory budget."""
        encrypted_sides = (self.options.tls is not None) + (self.options.endpoint.tls is not None)
        return CONNECTION_BYTES + encrypted_sides * TLS_BYTES

    async def serve(self, sock: socket.socket, pending: PendingConnection) -> None:
        """Serve one client until its connection has closed. The listener calls this, and closes ``sock``."""
        session = XmppSession(Channel(sock), partial(pending.memory.hold, HeldFor.CLIENT))
        pending.memory.set_discard(HeldFor.CLIENT, session.discard_input)
        try:
            await self._serve_session(session, pending)
        finally:
            session.release()

    async def _serve_session(self, session: XmppSession, pending: PendingConnection) -> None:
        options = self.options
        error = StreamError(StreamCondition.CONNECTION_TIMEOUT)
        try:
            login = ClientLogin(session, options, self._accounts)
            async with pending.time_limit(min(HEADER_TIMEOUT_S, options.login_timeout_s)):
                await login.exchange_headers()
            async with pending.time_limit(options.login_timeout_s):
                bind_request = await login.run()
        except StreamError as stream_error:
            error = stream_error
        except TimeoutError:
            if pending.is_evicted:
                error = StreamError(StreamCondition.RESOURCE_CONSTRAINT)
        except (OSError, ssl.SSLError) as connection_error:
            log.info("xmpp login failed peer=%s:%d reason=%s", *pending.peer, connection_error)
            return
        except Exception:
            log.exception("xmpp login could not be read peer=%s:%d", *pending.peer)
            error = StreamError(StreamCondition.INTERNAL_SERVER_ERROR)
        else:
            pending.mark_active()
            connection = XmppConnection(self._context, options, session, bind_request, pending.memory)
            pending.request_id = connection.lifecycle.record.log_id
            try:
                await self._context.run_request(connection.lifecycle)
            finally:
                connection.release()
            return
        log.info("xmpp client rejected peer=%s:%d reason=%s", *pending.peer, error)
        await self._reject(session, error, options.domain, pending)

    async def _reject(
        self, session: XmppSession, error: StreamError, domain: str, pending: PendingConnection
    ) -> None:
        sock = session.channel.sock
        session.release()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await session.close_with_error(error, domain)
            if pending.is_evicted:
                send_and_close(sock, b"")  # does not wait: another connection needs the descriptor
            else:
                await close_gracefully(sock)
