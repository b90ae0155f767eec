"""Handles one client's request: its attempts at endpoints, and its connection once it is established."""

from __future__ import annotations

import asyncio
import socket

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse
from sageturn.core.relay_context import RelayContext
from sageturn.frontends.frontend_connection import CheckBeforeWrite, FrontendConnection
from sageturn.frontends.platform.endpoint_reply import EndpointReplyParser
from sageturn.frontends.platform.line_reader import MAX_LINE_BYTES, read_line
from sageturn.frontends.platform.relaying import LineRelay
from sageturn.frontends.platform.request_line import RequestLine
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.sockets import send_gathered, wait_for_close_reason

CLIENT_READ_BYTES = 1024


def encode_final_response(response: FinalResponse) -> bytes:
    """Return the response line for a request that was rejected or has failed."""
    if not response.rejected:
        return f"ERR {response.reason}\r\n".encode()
    if response.retry_after_ms >= 1:
        return b"BUSY %d\r\n" % round(response.retry_after_ms)
    return b"BUSY\r\n"


async def send_final_response(client: socket.socket, response: FinalResponse) -> None:
    """Send ``response`` to ``client``, and close its connection."""
    try:
        await asyncio.get_running_loop().sock_sendall(client, encode_final_response(response))
    except OSError:
        return  # the client has disconnected
    await close_gracefully(client)


class PlatformConnection(FrontendConnection):
    """Connection of a client that speaks the platform's line protocol, and of its endpoint."""

    def __init__(
        self, context: RelayContext, client: socket.socket, buffer: bytearray, request_line: RequestLine
    ) -> None:
        """Prepare to serve ``request_line``, whose bytes as received are in ``buffer``."""
        super().__init__(context, client, request_line.request)
        self.client = client
        self._buffer = buffer
        self._request_line = request_line
        self.early_input = b""  # bytes that the client sent before it was answered
        self._endpoint: socket.socket | None = None
        self._endpoint_input = b""  # the endpoint's first line, and the bytes received with it
        self._reply_parser = EndpointReplyParser(context, self.lifecycle.record)

    # ------------------------------------------------------------ attempts

    async def _exchange(
        self, sock: socket.socket, deadline_s: float, check_before_write: CheckBeforeWrite
    ) -> CloseReason | None:
        if (close_reason := check_before_write()) is not None:
            return close_reason
        try:
            async with asyncio.timeout_at(deadline_s):
                close_reason = await self._send_request(sock, deadline_s)
                if close_reason is None:
                    close_reason = await self._read_reply(sock)
        except TimeoutError:
            return CloseReason.TIMEOUT
        if close_reason is None:
            self._endpoint = sock
        return close_reason

    async def _send_request(self, sock: socket.socket, deadline_s: float) -> CloseReason | None:
        """Send the client's request line, with its field ``d`` set to the remaining time in ms.

        Return None once the line is sent, or CUT_BEFORE_WRITTEN if the connection failed.

        Raises:
            TimeoutError: the attempt's deadline has passed, or the idempotency key has expired.
        """
        loop = asyncio.get_running_loop()
        request_line = self._request_line
        line = memoryview(self._buffer)
        remaining_ms = b"%d" % max(1, int((deadline_s - loop.time()) * 1000.0))
        key_expires_s = loop.time() + self.lifecycle.checks.idempotency_key_remaining_ms() / 1000.0
        try:
            async with asyncio.timeout_at(min(deadline_s, key_expires_s)):
                parts = (
                    line[: request_line.timeout_value_start],
                    remaining_ms,
                    line[request_line.timeout_value_end : request_line.end],
                )
                await send_gathered(sock, parts)
        except TimeoutError:
            raise  # the kernel may have accepted the last byte just before the timeout
        except OSError:
            return CloseReason.CUT_BEFORE_WRITTEN
        return None

    async def _read_reply(self, sock: socket.socket) -> CloseReason | None:
        buffer = bytearray(MAX_LINE_BYTES)
        try:
            end, filled = await read_line(sock, buffer)
        except OSError:
            return CloseReason.RESET
        if not end:
            return CloseReason.GARBLED if filled == len(buffer) else CloseReason.ENDED
        close_reason = self._reply_parser.parse_first_reply(buffer, end, filled)
        if close_reason is None:
            self._endpoint_input = bytes(buffer[:filled])
        return close_reason

    # ------------------------------------------------------------ client, until its request is answered

    async def wait_client_disconnect(self) -> CloseReason:
        """Wait until the client disconnects or breaks the protocol; return which."""
        return await wait_for_close_reason(self.client, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read the bytes that the client has sent, without waiting.

        Return None while the client is connected, or CLIENT_FAULT once it has sent ``MAX_LINE_BYTES`` before
        it was answered.
        """
        while len(self.early_input) < MAX_LINE_BYTES:
            try:
                data = self.client.recv(CLIENT_READ_BYTES)
            except BlockingIOError:
                return None
            except OSError:
                return CloseReason.CLIENT_RESET
            if not data:
                return CloseReason.CLIENT_LEFT
            self.early_input += data
        return CloseReason.CLIENT_FAULT

    async def send_final_response(self, response: FinalResponse) -> None:
        """Send ``response`` to the client, and close its connection."""
        await send_final_response(self.client, response)

    # ------------------------------------------------------------ established connection

    async def close_upstream(self) -> None:
        """Reset an endpoint's established connection whose client disconnected before it was answered."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint)

    async def accept_client(self) -> None:
        """Do nothing: ``relay_traffic`` forwards the endpoint's first line."""

    async def relay_traffic(self, drain_requested: asyncio.Event) -> CloseReason:
        """Forward lines until either side closes; migrate the client once ``drain_requested`` is set."""
        endpoint = self._endpoint
        assert endpoint is not None
        relay = LineRelay(
            self.client, endpoint, self.lifecycle, self._reply_parser, self._endpoint_input, self.early_input
        )
        # Releases the memory, since many connections are open at once.
        self._buffer = bytearray()
        self._endpoint_input = b""
        self.early_input = b""
        return await relay.run(drain_requested)

    def release(self) -> None:
        """Release the memory of an ended request at once."""
        super().release()
        self._buffer = bytearray()
        self._endpoint_input = b""
        self.early_input = b""
