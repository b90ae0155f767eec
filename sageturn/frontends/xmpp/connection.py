"""Handles one client's request: its attempts at endpoints, and its session once it is established."""

from __future__ import annotations

import asyncio
import socket
from functools import partial
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
from sageturn.frontends.xmpp.session import ReadResult, XmppSession
from sageturn.frontends.xmpp.stream_parser import Stanza, StreamClosed
from sageturn.net.addresses import Address
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.memory_budget import ConnectionMemory, HeldFor
from sageturn.net.sockets import is_closed_by_peer, wait_for_close_reason

# A client that sends this much before it is answered is at fault.
MAX_EARLY_STANZAS = 16
MAX_EARLY_BYTES = 16384


def encode_bind_result(iq_id: str, jid: str) -> bytes:
    """Encode the response to a client's bind request, which establishes its session."""
    bound = f"<bind xmlns='{BIND_NS}'><jid>{escape(jid)}</jid></bind>"
    return f"<iq type='result' id={quoteattr(iq_id)}>{bound}</iq>".encode()


class XmppConnection(FrontendConnection):
    """Stream of an XMPP client, and its endpoint's stream once the session is established."""

    def __init__(
        self,
        context: RelayContext,
        options: XmppOptions,
        client: XmppSession,
        bind_request: BindRequest,
        memory: ConnectionMemory,
    ) -> None:
        """Prepare to place a client's bind.

        Args:
            context: the relay's shared objects.
            options: the options that were in force when the client connected.
            client: the client's session, which is logged in.
            bind_request: the bind that the client has sent.
            memory: the connection's account in the memory budget.
        """
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
        self._memory = memory
        self._memory.activate(self._on_shed)
        self._is_shed = False  # True once the client's input has been discarded for lack of memory
        self._endpoint: XmppSession | None = None
        self._jid = ""
        self._early_stanzas: list[Stanza] = []  # stanzas that the client sent before it was answered
        self._max_early_received_bytes = client.received_bytes + MAX_EARLY_BYTES
        self._idle_timeout = IdleTimeout(asyncio.get_running_loop().time(), options.idle_timeout_s)

    # ------------------------------------------------------------ attempts

    def _upstream_address(self, listed_address: Address) -> Address:
        if self._options.endpoint_port:
            return (listed_address[0], self._options.endpoint_port)
        return listed_address

    async def _exchange(
        self, sock: socket.socket, deadline_s: float, check_before_write: CheckBeforeWrite
    ) -> CloseReason | None:
        session = XmppSession(Channel(sock), partial(self._memory.hold, HeldFor.ENDPOINT))
        self._memory.set_discard(HeldFor.ENDPOINT, session.discard_input)
        login = EndpointLogin(session, self._options.endpoint, self._bind_request, check_before_write)
        close_reason = await self._log_in(login, deadline_s)
        if close_reason is None:
            self._endpoint = session
        else:
            session.release()
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
        if self._is_shed:
            return CloseReason.CLIENT_FAULT
        try:
            close_reason = self._read_early_input()
        except OSError:
            return CloseReason.CLIENT_RESET
        except StreamError:
            return CloseReason.CLIENT_FAULT
        # A FIN may follow bytes that are not parsed: those beyond the limits, or an incomplete TLS record.
        # Therefore the socket is checked too.
        if is_closed_by_peer(self._client.channel.sock):
            return CloseReason.CLIENT_LEFT
        return close_reason

    def _read_early_input(self) -> CloseReason | None:
        """Keep the stanzas that have arrived, up to the limits for a client that is not answered yet."""
        while (
            len(self._early_stanzas) < MAX_EARLY_STANZAS
            and self._client.received_bytes <= self._max_early_received_bytes
        ):
            event = self._client.next_event_available()
            if event is ReadResult.NOTHING:
                return None
            if event is ReadResult.CLOSED or isinstance(event, StreamClosed):
                return CloseReason.CLIENT_LEFT
            if isinstance(event, Stanza):
                self._early_stanzas.append(event.without_tree())
        return CloseReason.CLIENT_FAULT

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
        self._client.establish()
        endpoint.establish()
        relay = StanzaRelay(self._client, endpoint, self.lifecycle, self._idle_timeout, early_stanzas)
        return await relay.run(drain_requested)

    def _on_shed(self) -> None:
        """Have the client of an established session reconnect; one that is not answered yet is at fault."""
        self._is_shed = True
        self._early_stanzas = []
        self.lifecycle.begin_drain()

    def release(self) -> None:
        """Release the memory of an ended request at once."""
        super().release()
        self._early_stanzas = []
        if self._endpoint is not None:
            self._endpoint.release()
