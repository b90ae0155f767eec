"""Relays an established connection: forwards lines both ways, and closes both sides when either closes."""

from __future__ import annotations

import asyncio
import socket

from sageturn.core.close_reason import CloseReason
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.tasks import cancel_and_wait, sleep_until_elapsed
from sageturn.frontends.platform.endpoint_reply import MAX_LAST_LINE_BYTES, EndpointReplyParser
from sageturn.frontends.platform.errors import ForwardingError
from sageturn.frontends.platform.line_forwarder import LineForwarder
from sageturn.frontends.platform.load_reporter import LoadReporter
from sageturn.frontends.platform.timing import (
    CLIENT_LINE_INTERVAL_S,
    ENDPOINT_IDLE_TIMEOUT_S,
    LAST_LINE_TIMEOUT_S,
    MOVE_TIMEOUT_S,
)
from sageturn.net.closing import close_gracefully, close_with_reset, shutdown_write
from sageturn.net.source_end import SourceEndLimit

MOVE = b"MOVE\r\n"

ForwardingTask = asyncio.Task[None]


class LineRelay:
    """Relay of lines between a client and its endpoint, which can migrate the client."""

    def __init__(
        self,
        client: socket.socket,
        endpoint: socket.socket,
        lifecycle: RequestLifecycle,
        reply_parser: EndpointReplyParser,
        endpoint_input: bytes,
        client_input: bytes,
    ) -> None:
        """Prepare to relay between two connected sockets.

        Args:
            client: the client's socket, which ``run`` closes.
            endpoint: the endpoint's socket, which ``run`` closes.
            lifecycle: the request's lifecycle, to which load values and totals are reported.
            reply_parser: the parser of the endpoint's last line.
            endpoint_input: the bytes that were read from the endpoint before, which are forwarded first.
            client_input: the bytes that were read from the client before, which are forwarded first.
        """
        self._client = client
        self._endpoint = endpoint
        self._lifecycle = lifecycle
        self._reply_parser = reply_parser
        self._to_client = LineForwarder(endpoint, client, self._on_endpoint_lines, endpoint_input)
        client_end_limit = SourceEndLimit(client, LAST_LINE_TIMEOUT_S)
        self._to_endpoint = LineForwarder(
            client, endpoint, self._on_client_lines, client_input, client_end_limit
        )
        self._idle_timeout = IdleTimeout(
            asyncio.get_running_loop().time(), ENDPOINT_IDLE_TIMEOUT_S, CLIENT_LINE_INTERVAL_S
        )
        self._load_reporter = LoadReporter(lifecycle)
        self._last_line = b""

    async def run(self, drain_requested: asyncio.Event) -> CloseReason:
        """Forward until either side closes, ``drain_requested`` is set or the endpoint times out.

        Close both sockets, and return why the connection was closed.
        """
        downstream = asyncio.ensure_future(self._to_client.run())
        upstream = asyncio.ensure_future(self._to_endpoint.run())
        drain_waiter = asyncio.ensure_future(drain_requested.wait())
        idle = asyncio.ensure_future(sleep_until_elapsed(self._idle_timeout.remaining_s))
        reporting = asyncio.ensure_future(self._load_reporter.run())
        try:
            await asyncio.wait(
                (downstream, upstream, drain_waiter, idle), return_when=asyncio.FIRST_COMPLETED
            )
            migration_reason = CloseReason.MOVED if drain_waiter.done() else CloseReason.MUTE
            return await self._finish_forwarding(downstream, upstream, migration_reason)
        finally:
            for task in (downstream, upstream, drain_waiter, idle, reporting):
                await cancel_and_wait(task)
            self._record_totals()
            self._to_client.release()
            self._to_endpoint.release()
            await asyncio.gather(close_gracefully(self._client), close_gracefully(self._endpoint))

    async def _finish_forwarding(
        self, downstream: ForwardingTask, upstream: ForwardingTask, migration_reason: CloseReason
    ) -> CloseReason:
        are_both_open = not downstream.done() and not upstream.done()
        if are_both_open and await self._send_move(downstream, upstream, migration_reason):
            return migration_reason
        if downstream.done():
            return await self._on_endpoint_ended(downstream, upstream)
        if upstream.done():
            return await self._on_client_ended(upstream, downstream)
        return CloseReason.CUT_OFF

    def _record_totals(self) -> None:
        record = self._lifecycle.record
        record.bytes_to_client = self._to_client.forwarded_bytes
        record.bytes_to_endpoint = self._to_endpoint.forwarded_bytes
        record.endpoint_idle_s = asyncio.get_running_loop().time() - self._idle_timeout.last_endpoint_data_s

    async def _send_move(
        self, downstream: ForwardingTask, upstream: ForwardingTask, reason: CloseReason
    ) -> bool:
        """Send MOVE, which asks the client to reconnect; return False if it could not be sent.

        If the client reads nothing, this waits until it does or either side closes. If the endpoint is
        unresponsive, or the drain is forced, it waits ``MOVE_TIMEOUT_S`` at most.
        """
        sending = asyncio.ensure_future(self._to_client.send_last_line(MOVE))
        drain_forced = asyncio.ensure_future(self._lifecycle.drain_forced.wait())
        awaited = (sending, downstream, upstream)
        try:
            if reason is CloseReason.MOVED:
                await asyncio.wait((*awaited, drain_forced), return_when=asyncio.FIRST_COMPLETED)
            if not any(task.done() for task in awaited):
                await asyncio.wait(awaited, timeout=MOVE_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_and_wait(drain_forced)
            await cancel_and_wait(sending)
        return not sending.cancelled() and sending.result()

    async def _on_endpoint_ended(self, downstream: ForwardingTask, upstream: ForwardingTask) -> CloseReason:
        error = downstream.exception()
        if isinstance(error, ForwardingError):
            if error.source_failed:
                close_with_reset(self._client)
                return CloseReason.RESET
            close_with_reset(self._endpoint)
            return CloseReason.CLIENT_RESET
        shutdown_write(self._client)
        await asyncio.wait((upstream,), timeout=LAST_LINE_TIMEOUT_S)
        return self._reply_parser.parse_last_line(self._last_line)

    async def _on_client_ended(self, upstream: ForwardingTask, downstream: ForwardingTask) -> CloseReason:
        error = upstream.exception()
        if isinstance(error, ForwardingError):
            if error.source_failed:
                close_with_reset(self._endpoint)
                return CloseReason.CLIENT_RESET
            # Writing failed, so the endpoint has disconnected; its last lines may still be unread.
            await asyncio.wait((downstream,), timeout=LAST_LINE_TIMEOUT_S)
            if downstream.done():
                return await self._on_endpoint_ended(downstream, upstream)
            close_with_reset(self._client)
            return CloseReason.RESET
        shutdown_write(self._endpoint)
        await asyncio.wait((downstream,), timeout=LAST_LINE_TIMEOUT_S)
        return CloseReason.CLIENT_LEFT

    def _on_endpoint_lines(self, buffer: bytearray, end: int) -> None:
        self._idle_timeout.on_endpoint_data(asyncio.get_running_loop().time())
        self._load_reporter.on_lines(buffer, end)
        start = buffer.rfind(b"\n", 0, end - 1) + 1
        self._last_line = bytes(buffer[start : min(end, start + MAX_LAST_LINE_BYTES)])

    def _on_client_lines(self, buffer: bytearray, end: int) -> None:
        self._idle_timeout.on_client_line_forwarded(asyncio.get_running_loop().time())
