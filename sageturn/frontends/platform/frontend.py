"""Reads the request line of each client that connects, and hands the request to the core."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress

from sageturn.core.relay_context import RelayContext
from sageturn.frontends.platform.connection import PlatformConnection
from sageturn.frontends.platform.errors import InvalidRequestLineError
from sageturn.frontends.platform.line_reader import MAX_LINE_BYTES, read_line
from sageturn.frontends.platform.request_ids import RequestIds
from sageturn.frontends.platform.request_line import RequestLine, parse_request_line
from sageturn.frontends.platform.timing import REQUEST_LINE_TIMEOUT_S
from sageturn.net.admission import PendingConnection
from sageturn.net.closing import LINGER_S, close_gracefully, send_and_close, send_now

log = logging.getLogger(__name__)

PING = b"PING\r\n"
PONG = b"PONG\r\n"


class PlatformFrontend:
    """Frontend for clients that speak the platform's line protocol."""

    rejection = b"BUSY 500\r\n"

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._classes = frozenset(
            request_class.name for request_class in context.balancer_actor.settings.classes
        )
        self._request_ids = RequestIds()

    async def serve(self, sock: socket.socket, pending: PendingConnection) -> None:
        """Serve one client until its connection has closed. The listener calls this, and closes ``sock``."""
        buffer = bytearray(MAX_LINE_BYTES)
        try:
            async with pending.time_limit(REQUEST_LINE_TIMEOUT_S):
                request_line = await self._read_request(sock, buffer)
        except TimeoutError:
            await self._answer_timed_out(sock, pending)
            return
        except InvalidRequestLineError as error:
            await self._answer_invalid(sock, pending, error)
            return
        except OSError:
            raise  # the connection has failed, so the client cannot be answered
        except Exception:
            log.exception("request line could not be read peer=%s:%d", *pending.peer)
            await self._answer_invalid(sock, pending, InvalidRequestLineError("internal"))
            return
        if request_line is None:
            return
        pending.mark_active()
        connection = PlatformConnection(self._context, sock, buffer, request_line)
        record = connection.lifecycle.record
        pending.request_id = record.log_id
        del buffer  # the connection releases it once it is established
        try:
            await self._context.run_request(connection.lifecycle)
        finally:
            connection.release()
            self._request_ids.release(request_line.request_id, was_sent=record.attempts > 0)

    async def _answer_timed_out(self, sock: socket.socket, pending: PendingConnection) -> None:
        """Answer a client whose request line did not arrive in time, or that is evicted.

        The line may have become complete just before, and every accepted client must be answered.
        """
        log.debug("pending connection ended peer=%s:%d evicted=%s", *pending.peer, pending.is_evicted)
        if pending.is_evicted:
            send_and_close(sock, self.rejection)  # does not wait: another connection needs the descriptor
            return
        with suppress(OSError):
            send_now(sock, b"ERR no first line in time\r\n")
        await close_gracefully(sock)

    async def _answer_invalid(
        self, sock: socket.socket, pending: PendingConnection, error: InvalidRequestLineError
    ) -> None:
        log.info(
            "request line rejected peer=%s:%d listener=%s:%d reason=%s",
            *pending.peer,
            *pending.listener,
            error,
        )
        with suppress(TimeoutError):
            async with pending.time_limit(REQUEST_LINE_TIMEOUT_S + LINGER_S):
                await asyncio.get_running_loop().sock_sendall(sock, f"ERR {error}\r\n".encode())
                await close_gracefully(sock)

    async def _read_request(self, sock: socket.socket, buffer: bytearray) -> RequestLine | None:
        """Answer any PINGs, and return the request line; None if the client disconnected without one.

        Raises:
            InvalidRequestLineError: the client sent anything else, or a PING during a drain.
            OSError: the connection failed.
        """
        while True:
            end, filled = await read_line(sock, buffer)
            if not end:
                if filled:
                    raise InvalidRequestLineError("no first line")
                return None
            if filled > end:
                # A client must wait for the response before it sends more.
                raise InvalidRequestLineError("more than one line")
            if buffer[:end] != PING:
                break
            await self._answer_ping(sock)
        request_line = parse_request_line(buffer, end, self._classes)
        if not self._request_ids.claim(request_line.request_id):
            raise InvalidRequestLineError("the id is in use")
        return request_line

    async def _answer_ping(self, sock: socket.socket) -> None:
        """Send PONG as soon as an endpoint is ready; raise InvalidRequestLineError during a drain."""
        if self._context.request_registry.is_draining:
            raise InvalidRequestLineError("stopping")
        await self._context.endpoint_registry.has_ready_endpoint.wait()
        await asyncio.get_running_loop().sock_sendall(sock, PONG)
