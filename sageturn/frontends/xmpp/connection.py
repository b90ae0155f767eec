"""Handles one client's request: its attempts at endpoints, and its session once it is established."""

from __future__ import annotations

import asyncio
import socket
from xml.sax.saxutils import escape, quoteattr

from sageturn.core.close_reason import CloseReason
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.core.relay_context import RelayContext
from sageturn.frontends.frontend_connection import CheckBeforeWrite, FrontendConnection
from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.client_login import BindRequest
from sageturn.frontends.xmpp.endpoint_login import EndpointLogin
from sageturn.frontends.xmpp.errors import EndpointLoginRejectedError, StreamError, encode_final_response
from sageturn.frontends.xmpp.namespaces import BIND_NS
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.relaying import StanzaRelay
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream_parser import Stanza, StreamClosed
from sageturn.net.addresses import Address
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.sockets import is_closed_by_peer, wait_for_close_reason

MAX_EARLY_STANZAS = 16  # a client that sends this many before it is answered is at fault


def encode_bind_result(iq_id: str, jid: str) -> bytes:
    """Encode the response to a client's bind request, which establishes its session."""
    bound = f"<bind xmlns='{BIND_NS}'><jid>{escape(jid)}</jid></bind>"
    return f"<iq type='result' id={quoteattr(iq_id)}>{bound}</iq>".encode()


class XmppConnection(FrontendConnection):
    """Stream of an XMPP client, and its endpoint's stream once the session is established."""

    def __init__(
        self, context: RelayContext, options: XmppOptions, client: XmppSession, bind_request: BindRequest
    ) -> None:
        account = bind_request.account
        request = ClientRequest(
            class_name=account.class_name,
            tenant=account.tenant,
            timeout_ms=options.request_timeout_ms,
            group=account.group,
            client=f"{account.name}/{bind_request.resource}",
        )
        super().__init__(context, client.channel.sock, request)
        self.lifecycle.record.frontend = "xmpp"
        self._options = options
        self._client = client
        self._bind_request = bind_request
        self._endpoint: XmppSession | None = None
        self._jid = ""
        self._early_stanzas: list[Stanza] = []  # stanzas that the client sent before it was answered
        self._idle_timeout = IdleTimeout(asyncio.get_running_loop().time(), options.idle_timeout_s)

    # ------------------------------------------------------------ attempts

    def _upstream_address(self, listed_address: Address) -> Address:
        if self._options.endpoint_port:
            return (listed_address[0], self._options.endpoint_port)
        return listed_address

    async def _exchange(
        self, sock: socket.socket, deadline_s: float, check_before_write: CheckBeforeWrite
    ) -> CloseReason | None:
        session = XmppSession(Channel(sock))
        login = EndpointLogin(session, self._options.endpoint, self._bind_request, check_before_write)
        close_reason = await self._log_in(login, deadline_s)
        if close_reason is None:
            self._endpoint = session
        return close_reason

    async def _log_in(self, login: EndpointLogin, deadline_s: float) -> CloseReason | None:
        try:
            async with asyncio.timeout_at(deadline_s):
                self._jid = await login.run()
        except TimeoutError:
            return CloseReason.TIMEOUT
        except EndpointLoginRejectedError as rejected:
            return rejected.close_reason
        except OSError:
            # The bind is the request: until it is written, nothing of the request has been sent.
            return (
                CloseReason.RESET if self.lifecycle.checks.write_started else CloseReason.CUT_BEFORE_WRITTEN
            )
        return None

    # ------------------------------------------------------------ client, until its request is answered

    async def wait_client_disconnect(self) -> CloseReason:
        """Wait until the client disconnects or breaks the protocol; return which."""
        return await wait_for_close_reason(self._client.channel.sock, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read the stanzas that the client has sent, without waiting; return None while it is connected.

        A client that closes its stream has cancelled its request, though its connection may stay open.
        """
        events = self._client.parser.events
        try:
            ended = self._client.read_available()
        except OSError:
            return CloseReason.CLIENT_RESET
        except StreamError:
            return CloseReason.CLIENT_FAULT
        while events and len(self._early_stanzas) < MAX_EARLY_STANZAS:
            event = events.popleft()
            if isinstance(event, StreamClosed):
                return CloseReason.CLIENT_LEFT
            if isinstance(event, Stanza):
                self._early_stanzas.append(event)
        # A FIN may follow bytes that are not parsed: those after the last early stanza, or an incomplete TLS
        # record. The socket is therefore checked too.
        if ended or is_closed_by_peer(self._client.channel.sock):
            return CloseReason.CLIENT_LEFT
        return CloseReason.CLIENT_FAULT if len(self._early_stanzas) >= MAX_EARLY_STANZAS else None

    async def send_final_response(self, response: FinalResponse) -> None:
        """Send ``response`` to the client, and close its connection."""
        await self._client.close(encode_final_response(response))
        await close_gracefully(self._client.channel.sock)

    # ------------------------------------------------------------ established session

    async def close_upstream(self) -> None:
        """Reset an endpoint's established session whose client disconnected before it was answered."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint.channel.sock)

    async def accept_client(self) -> None:
        """Send the client the result of its bind request."""
        await self._client.send(encode_bind_result(self._bind_request.iq_id, self._jid))

    async def relay_traffic(self, drain_requested: asyncio.Event) -> CloseReason:
        """Forward stanzas until either side closes; migrate the client once ``drain_requested`` is set."""
        endpoint = self._endpoint
        assert endpoint is not None
        early_stanzas = self._early_stanzas
        self._early_stanzas = []
        relay = StanzaRelay(self._client, endpoint, self.lifecycle, self._idle_timeout, early_stanzas)
        return await relay.run(drain_requested)
