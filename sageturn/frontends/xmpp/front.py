"""XMPP clients in, XMPP servers out: each a ``Wire`` of one request, placed when the client binds."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from contextlib import suppress
from functools import partial
from xml.sax.saxutils import escape, quoteattr

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.tasks import cancel_and_wait, sleep_until_elapsed
from sageturn.frontends.xmpp.accept import BIND, Acceptor, Wish, first_session
from sageturn.frontends.xmpp.accounts import Accounts
from sageturn.frontends.xmpp.dial import Dialer, EndpointLoginRejected, stream_condition
from sageturn.frontends.xmpp.errors import AFTER, OURS, STREAMS, StreamFault, answer_xml, error_xml, move_xml
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream import Closed, Stanza
from sageturn.net.admission import PendingConnection
from sageturn.net.sockets import (
    CLOSE_REASON_OF_CONNECT_FAILURE,
    LINGER_S,
    ConnectFailure,
    close_gracefully,
    close_with_reset,
    connect_unreserved,
    is_closed_by_peer,
    send_and_close,
    wait_for_close_reason,
)

log = logging.getLogger(__name__)

HEADER_S = 2.0  # until the first stream's header is whole: as on the platform, the silent are cut off soon
REST_S = 0.7  # a stanza that is on the wire when its client must go has this long to end
LAST_WORD_S = 0.5
WAITING_MOST = 16  # stanzas that a client may send before it is answered
REJECTION = (
    b"<?xml version='1.0'?>"
    + f"<stream:stream xmlns='jabber:client' xmlns:stream='{STREAMS}' version='1.0'>".encode()
    + error_xml("resource-constraint", "no room")
    + b"</stream:stream>"
)


class XmppFrontend:
    rejection = REJECTION

    def __init__(self, shared: RelayContext, options: XmppOptions, accounts: Accounts) -> None:
        self._shared, self._accounts = shared, accounts
        self.options = options  # replaced when the configuration is read again: for those who come later

    async def serve(self, sock: socket.socket, pending: PendingConnection) -> None:
        options, session = self.options, first_session(sock)
        fault = StreamFault("connection-timeout")
        try:
            acceptor = Acceptor(session, options, self._accounts)
            async with pending.time_limit(min(HEADER_S, options.negotiate_s)):
                await acceptor.header()
            async with pending.time_limit(options.negotiate_s):
                wish = await acceptor.run()
        except StreamFault as found:
            fault = found
        except TimeoutError:
            if pending.evicted:
                fault = StreamFault("resource-constraint")
        except (OSError, ssl.SSLError) as error:
            log.info("xmpp: %s", error)
            return
        else:
            pending.mark_active()
            peer = _Peer(self._shared, options, session, wish)
            await self._shared.run(peer.lifecycle)
            return
        log.info("xmpp: %s", fault)
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await session.fault(fault, options.domain)
            if pending.evicted:
                send_and_close(sock, b"")  # its descriptor is wanted
            else:
                await close_gracefully(sock)


class _Peer:
    """One client's stream, and its endpoint's once it has one."""

    def __init__(self, shared: RelayContext, options: XmppOptions, session: XmppSession, wish: Wish) -> None:
        self._shared, self._options, self._client, self._wish = shared, options, session, wish
        account = wish.account
        client = f"{account.name}/{wish.resource}"
        ask = ClientRequest(account.class_name, account.tenant, options.wait_ms, account.group, client=client)
        self.lifecycle = RequestLifecycle(shared.balancer_actor, self, ask)
        self.lifecycle.record.client = session.channel.sock.getpeername()
        self.lifecycle.record.front = "xmpp"
        self._endpoint: XmppSession | None = None
        self._jid = ""
        self._waiting: list[Stanza] = []  # sent by the client before it was answered
        self._quiet = IdleTimeout(asyncio.get_running_loop().time(), options.mute_s)
        self._down_at_rest = asyncio.Lock()

    # ------------------------------------------------------------ one outbound call

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        until = asyncio.get_running_loop().time() + patience_ms / 1000.0
        listed = self._shared.endpoint_registry.addresses.get(endpoint)
        if listed is None:
            return CloseReason.NOT_SENT
        address = (listed[0], self._options.port) if self._options.port else listed
        wanted = partial(self._shared.endpoint_registry.ready, endpoint, listed)
        if (held_back := self.lifecycle.blocking_reason(wanted)) is not None:
            return held_back
        sock = await connect_unreserved(address, connect_ms / 1000.0)
        if isinstance(sock, ConnectFailure):
            return CLOSE_REASON_OF_CONNECT_FAILURE[sock]
        session = first_session(sock)
        stands = False
        try:
            async with asyncio.timeout_at(until):
                ask = partial(self.lifecycle.check_before_write, wanted)
                self._jid = await Dialer(session, self._options.endpoint, self._wish, ask).run()
            stands = True
        except TimeoutError:
            return CloseReason.TIMEOUT
        except EndpointLoginRejected as refusal:
            return refusal.close_reason
        except OSError:
            # The placement is the bind: until that was written nothing of the request was sent.
            return CloseReason.RESET if self.lifecycle.written else CloseReason.CUT_BEFORE_WRITTEN
        finally:
            if stands:
                self._endpoint = session
                self.lifecycle.record.endpoint_address = address
            else:
                sock.close()
        return None

    async def wait_client_disconnect(self) -> CloseReason:
        return await wait_for_close_reason(self._client.channel.sock, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """A client that ends its stream has cancelled its request, though its connection may stay open."""
        pieces = self._client.parser.pieces
        try:
            ended = self._client.take_at_hand()
        except OSError:
            return CloseReason.CLIENT_RESET
        except StreamFault:
            return CloseReason.CLIENT_FAULT
        while pieces and len(self._waiting) < WAITING_MOST:
            piece = pieces.popleft()
            if isinstance(piece, Closed):
                return CloseReason.CLIENT_LEFT
            if isinstance(piece, Stanza):
                self._waiting.append(piece)
        # What lies unread beyond that much, or is half a record of TLS, hides no end of the connection.
        if ended or is_closed_by_peer(self._client.channel.sock):
            return CloseReason.CLIENT_LEFT
        return CloseReason.CLIENT_FAULT if len(self._waiting) >= WAITING_MOST else None

    async def send_final_response(self, answer: FinalResponse) -> None:
        await self._client.end(answer_xml(answer))
        await close_gracefully(self._client.channel.sock)

    # ------------------------------------------------------------ while it stands

    async def close_upstream(self) -> None:
        if self._endpoint is not None:
            close_with_reset(self._endpoint.channel.sock)

    async def accept_client(self) -> None:
        bound = f"<bind xmlns='{BIND}'><jid>{escape(self._jid)}</jid></bind>"
        await self._client.send(f"<iq type='result' id={quoteattr(self._wish.iq_id)}>{bound}</iq>".encode())

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        endpoint = self._endpoint
        assert endpoint is not None
        downward = asyncio.ensure_future(self._downward(endpoint))
        upward = asyncio.ensure_future(self._upward(endpoint))
        stopping = asyncio.ensure_future(stop.wait())
        muting = asyncio.ensure_future(sleep_until_elapsed(self._quiet.left_s))
        last = b""
        try:
            await asyncio.wait((downward, upward, stopping, muting), return_when=asyncio.FIRST_COMPLETED)
            if downward.done():
                close_reason, last = downward.result()
            elif upward.done():
                close_reason, last = upward.result()
                if close_reason is CloseReason.CLIENT_LEFT:
                    await endpoint.end()
                    await asyncio.wait((downward,), timeout=LAST_WORD_S)
            else:
                close_reason, last = CloseReason.MOVED if stopping.done() else CloseReason.MUTE, move_xml()
                if not await self._come_to_rest(downward, endpoint):
                    # A stanza is stuck half written: nothing can follow it.
                    close_with_reset(self._client.channel.sock)
        finally:
            for task in (downward, upward, stopping, muting):
                await cancel_and_wait(task)
            self.lifecycle.record.bytes_to_endpoint, self.lifecycle.record.bytes_to_client = (
                endpoint.sent,
                self._client.sent,
            )
            self.lifecycle.record.quiet_s = asyncio.get_running_loop().time() - self._quiet.heard_s
        await self._part(endpoint, close_reason, last)
        return close_reason

    async def _come_to_rest(
        self, downward: asyncio.Task[tuple[CloseReason, bytes]], endpoint: XmppSession
    ) -> bool:
        """Wait, for a while, until no stanza is half on its way to the client."""
        loop = asyncio.get_running_loop()
        until = loop.time() + REST_S
        while endpoint.parser.mid_stanza and not downward.done() and loop.time() < until:
            await asyncio.sleep(0.01)
        # Holding the lock from here on: what the endpoint sends now comes too late for this client.
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.05, until - loop.time())):
                return await self._down_at_rest.acquire()
        return False

    async def _part(self, endpoint: XmppSession, close_reason: CloseReason, last: bytes) -> None:
        client_sock, endpoint_sock = self._client.channel.sock, endpoint.channel.sock
        if close_reason is CloseReason.CLIENT_RESET:
            close_with_reset(endpoint_sock)
            client_sock.close()
            return
        if close_reason is CloseReason.RESET:
            close_with_reset(client_sock)
            endpoint_sock.close()
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(LAST_WORD_S):
                await asyncio.gather(self._client.end(last), endpoint.end())
        await asyncio.gather(close_gracefully(client_sock), close_gracefully(endpoint_sock))

    async def _downward(self, endpoint: XmppSession) -> tuple[CloseReason, bytes]:
        """From the endpoint to the client; with the ending, the stream error that the client is owed."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                piece = await endpoint.next()
                self._quiet.heard(loop.time())
                if piece is None:
                    return CloseReason.ENDED, error_xml("remote-connection-failed")
                if isinstance(piece, Closed):
                    return CloseReason.SERVED, b""
                if not isinstance(piece, Stanza):
                    continue
                if piece.element.tag == f"{{{STREAMS}}}error":
                    close_reason = AFTER.get(stream_condition(piece.element), CloseReason.ERROR)
                    return close_reason, piece.raw
                await self._note_load(piece)
                async with self._down_at_rest:
                    try:
                        await self._client.send(piece.raw)
                    except OSError:
                        return CloseReason.CLIENT_RESET, b""
        except OSError:
            return CloseReason.RESET, b""
        except StreamFault:
            return CloseReason.GARBLED, error_xml(
                "remote-connection-failed", "the endpoint's stream broke off"
            )

    async def _upward(self, endpoint: XmppSession) -> tuple[CloseReason, bytes]:
        """From the client to the endpoint; with the ending, the stream error that the client is owed."""
        loop = asyncio.get_running_loop()
        waiting, self._waiting = self._waiting, []
        while True:
            try:
                piece = waiting.pop(0) if waiting else await self._client.next()
            except OSError:
                return CloseReason.CLIENT_RESET, b""
            except StreamFault as fault:
                return CloseReason.CLIENT_LEFT, error_xml(fault.condition, fault.text)
            if piece is None or isinstance(piece, Closed):
                return CloseReason.CLIENT_LEFT, b""
            if not isinstance(piece, Stanza):
                continue
            # Only a request for information obliges the endpoint to say something back.
            asks = piece.element.tag.endswith("}iq") and piece.element.get("type") in ("get", "set")
            if asks:
                self._quiet.asked(loop.time())
            try:
                await endpoint.send(piece.raw)
            except OSError:
                return CloseReason.RESET, b""

    async def _note_load(self, stanza: Stanza) -> None:
        for load in stanza.element.findall(f"{{{OURS}}}load"):
            try:
                value = float(load.text or "")
            except ValueError:
                continue
            await self.lifecycle.report_load(value)
