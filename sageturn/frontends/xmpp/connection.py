"""One client's request: its attempts at endpoints, and its session once one is established."""

from __future__ import annotations

import asyncio
import socket
from xml.sax.saxutils import escape, quoteattr

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.messages import ClientRequest, FinalResponse
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

MAX_EARLY_STANZAS = 16  # that a client may send before it is answered


def encode_bind_result(iq_id: str, jid: str) -> bytes:
    """Encode the response to a client's bind request, which establishes its session."""
    bound = f"<bind xmlns='{BIND_NS}'><jid>{escape(jid)}</jid></bind>"
    return f"<iq type='result' id={quoteattr(iq_id)}>{bound}</iq>".encode()


class XmppConnection(FrontendConnection):
    """A client's stream, and its endpoint's once the session is established."""

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
        self._early_stanzas: list[Stanza] = []  # received from the client before it was answered
        self._idle_timeout = IdleTimeout(asyncio.get_running_loop().time(), options.idle_timeout_s)

    # ------------------------------------------------------------ an attempt

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
            # The request is the bind: before it is written, nothing of the request was sent.
            return (
                CloseReason.RESET if self.lifecycle.checks.write_started else CloseReason.CUT_BEFORE_WRITTEN
            )
        return None

    # ------------------------------------------------------------ the client, until it is answered

    async def wait_client_disconnect(self) -> CloseReason:
        """Wait until the client has left or broken the protocol; returns which."""
        return await wait_for_close_reason(self._client.channel.sock, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read the stanzas that the client has sent, without waiting; returns None while it is connected.

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
        # Unread bytes beyond that many stanzas, or half a TLS record, must not hide that the client has left.
        if ended or is_closed_by_peer(self._client.channel.sock):
            return CloseReason.CLIENT_LEFT
        return CloseReason.CLIENT_FAULT if len(self._early_stanzas) >= MAX_EARLY_STANZAS else None

    async def send_final_response(self, response: FinalResponse) -> None:
        """Answer that the request is not served, and close the client's connection."""
        await self._client.close(encode_final_response(response))
        await close_gracefully(self._client.channel.sock)

    # ------------------------------------------------------------ once it is established

    async def close_upstream(self) -> None:
        """Reset an established session whose client has gone before it was answered."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint.channel.sock)

    async def accept_client(self) -> None:
        """Answer the client that its resource is bound."""
        await self._client.send(encode_bind_result(self._bind_request.iq_id, self._jid))

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        """Forward stanzas both ways until either side has ended, or ``stop`` asks for a migration."""
        endpoint = self._endpoint
        assert endpoint is not None
        early_stanzas = self._early_stanzas
        self._early_stanzas = []
        relay = StanzaRelay(self._client, endpoint, self.lifecycle, self._idle_timeout, early_stanzas)
        return await relay.run(stop)
