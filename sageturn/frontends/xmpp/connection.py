"""One client's request: its attempts at endpoints, and its session once one is established."""

from __future__ import annotations

import asyncio
from functools import partial
from xml.sax.saxutils import escape, quoteattr

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.frontends.xmpp.channel import Channel
from sageturn.frontends.xmpp.client_login import BindRequest
from sageturn.frontends.xmpp.endpoint_login import EndpointLogin
from sageturn.frontends.xmpp.errors import EndpointLoginRejectedError, StreamError, encode_final_response
from sageturn.frontends.xmpp.namespaces import BIND_NS
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.relaying import StanzaRelay
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream_parser import Stanza, StreamClosed
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.sockets import (
    CLOSE_REASON_OF_CONNECT_FAILURE,
    ConnectFailure,
    connect_unreserved,
    is_closed_by_peer,
    peer_address,
    wait_for_close_reason,
)

MAX_EARLY_STANZAS = 16  # that a client may send before it is answered


def encode_bind_result(iq_id: str, jid: str) -> bytes:
    """What tells a client that its session is established."""
    bound = f"<bind xmlns='{BIND_NS}'><jid>{escape(jid)}</jid></bind>"
    return f"<iq type='result' id={quoteattr(iq_id)}>{bound}</iq>".encode()


class XmppConnection:
    """A client's stream, and its endpoint's once it has one: the core's transport for its request."""

    def __init__(
        self, shared: RelayContext, options: XmppOptions, client: XmppSession, bind_request: BindRequest
    ) -> None:
        self._shared = shared
        self._options = options
        self._client = client
        self._bind_request = bind_request
        account = bind_request.account
        request = ClientRequest(
            account.class_name,
            account.tenant,
            options.request_timeout_ms,
            account.group,
            client=f"{account.name}/{bind_request.resource}",
        )
        self.lifecycle = RequestLifecycle(shared.balancer_actor, self, request)
        self.lifecycle.record.client_address = peer_address(client.channel.sock)
        self.lifecycle.record.frontend = "xmpp"
        self._endpoint: XmppSession | None = None
        self._jid = ""
        self._early_stanzas: list[Stanza] = []  # sent by the client before it was answered
        self._idle_timeout = IdleTimeout(asyncio.get_running_loop().time(), options.idle_timeout_s)

    # ------------------------------------------------------------ an attempt

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        """Bind the client's resource at ``endpoint``; None if it established the session."""
        deadline_s = asyncio.get_running_loop().time() + patience_ms / 1000.0
        listed_address = self._shared.endpoint_registry.addresses.get(endpoint)
        if listed_address is None:
            return CloseReason.NOT_SENT
        address = listed_address
        if self._options.endpoint_port:
            address = (listed_address[0], self._options.endpoint_port)
        is_wanted = partial(self._shared.endpoint_registry.is_ready_at, endpoint, listed_address)
        if (close_reason := self.lifecycle.checks.blocking_reason(is_wanted)) is not None:
            return close_reason
        sock = await connect_unreserved(address, connect_ms / 1000.0)
        if isinstance(sock, ConnectFailure):
            return CLOSE_REASON_OF_CONNECT_FAILURE[sock]
        session = XmppSession(Channel(sock))
        check_before_write = partial(self.lifecycle.checks.check_before_write, is_wanted)
        login = EndpointLogin(session, self._options.endpoint, self._bind_request, check_before_write)
        established = False
        try:
            close_reason = await self._log_in(login, deadline_s)
            established = close_reason is None
            return close_reason
        finally:
            if established:
                self._endpoint = session
                self.lifecycle.record.endpoint_address = address
            else:
                sock.close()

    async def _log_in(self, login: EndpointLogin, deadline_s: float) -> CloseReason | None:
        try:
            async with asyncio.timeout_at(deadline_s):
                self._jid = await login.run()
        except TimeoutError:
            return CloseReason.TIMEOUT
        except EndpointLoginRejectedError as rejected:
            return rejected.close_reason
        except OSError:
            # The request is the bind: until that was written nothing of the request was sent.
            return (
                CloseReason.RESET if self.lifecycle.checks.write_started else CloseReason.CUT_BEFORE_WRITTEN
            )
        return None

    # ------------------------------------------------------------ the client, until it is answered

    async def wait_client_disconnect(self) -> CloseReason:
        """Return once the client has left, or broken the protocol."""
        return await wait_for_close_reason(self._client.channel.sock, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read what the client has sent so far without waiting; None while it is still there.

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
        # What lies unread beyond that many, or is half a TLS record, must not hide that the client has left.
        if ended or is_closed_by_peer(self._client.channel.sock):
            return CloseReason.CLIENT_LEFT
        return CloseReason.CLIENT_FAULT if len(self._early_stanzas) >= MAX_EARLY_STANZAS else None

    async def send_final_response(self, answer: FinalResponse) -> None:
        """Tell the client that its request has failed, and close its connection."""
        await self._client.close(encode_final_response(answer))
        await close_gracefully(self._client.channel.sock)

    # ------------------------------------------------------------ once it is established

    async def close_upstream(self) -> None:
        """Drop an established session whose client was not told of it."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint.channel.sock)

    async def accept_client(self) -> None:
        """Tell the client that its resource is bound."""
        await self._client.send(encode_bind_result(self._bind_request.iq_id, self._jid))

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        """Forward stanzas both ways until either side has ended, or ``stop`` asks for a migration."""
        endpoint = self._endpoint
        assert endpoint is not None
        early_stanzas = self._early_stanzas
        self._early_stanzas = []
        relay = StanzaRelay(self._client, endpoint, self.lifecycle, self._idle_timeout, early_stanzas)
        return await relay.run(stop)
