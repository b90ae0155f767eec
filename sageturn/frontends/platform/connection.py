"""One client's request: its attempts at endpoints, and its connection once one is established."""

from __future__ import annotations

import asyncio
import socket

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.messages import FinalResponse
from sageturn.frontends.frontend_connection import CheckBeforeWrite, FrontendConnection
from sageturn.frontends.platform.endpoint_reply import EndpointReplyParser
from sageturn.frontends.platform.line_reader import MAX_LINE_BYTES, read_line
from sageturn.frontends.platform.relaying import LineRelay
from sageturn.frontends.platform.request_line import RequestLine
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.sockets import send_gathered, wait_for_close_reason

CLIENT_READ_BYTES = 1024


def encode_final_response(response: FinalResponse) -> bytes:
    """Return the line that answers a request which is not served."""
    if not response.rejected:
        return f"ERR {response.reason}\r\n".encode()
    if response.retry_after_ms >= 1:
        return b"BUSY %d\r\n" % round(response.retry_after_ms)
    return b"BUSY\r\n"


async def send_final_response(client: socket.socket, response: FinalResponse) -> None:
    """Answer ``client`` and close its connection."""
    try:
        await asyncio.get_running_loop().sock_sendall(client, encode_final_response(response))
    except OSError:
        return  # the client has gone
    await close_gracefully(client)


class PlatformConnection(FrontendConnection):
    """A client that speaks the platform's line protocol, and its endpoint."""

    def __init__(
        self, context: RelayContext, client: socket.socket, buffer: bytearray, request_line: RequestLine
    ) -> None:
        """``buffer`` holds ``request_line`` as it was received."""
        super().__init__(context, client, request_line.request)
        self.client = client
        self._buffer = buffer
        self._request_line = request_line
        self.early_input = b""  # received from the client before it was answered
        self._endpoint: socket.socket | None = None
        self._reply = b""  # the endpoint's first line, and the bytes after it
        self._replies = EndpointReplyParser(context, self.lifecycle.record)

    # ------------------------------------------------------------ an attempt

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
        """Write the client's request line, with the remaining time in place of its ``d``."""
        loop = asyncio.get_running_loop()
        request_line = self._request_line
        line = memoryview(self._buffer)
        time_left = b"%d" % max(1, int((deadline_s - loop.time()) * 1000.0))
        key_expires_s = loop.time() + self.lifecycle.checks.idempotency_key_remaining_ms() / 1000.0
        try:
            async with asyncio.timeout_at(min(deadline_s, key_expires_s)):
                parts = (
                    line[: request_line.wait_start],
                    time_left,
                    line[request_line.wait_end : request_line.end],
                )
                await send_gathered(sock, parts)
        except TimeoutError:
            raise  # the kernel may have accepted its last byte in this instant
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
        close_reason = self._replies.first_reply(buffer, end, filled)
        if close_reason is None:
            self._reply = bytes(buffer[:filled])
        return close_reason

    # ------------------------------------------------------------ the client, until it is answered

    async def wait_client_disconnect(self) -> CloseReason:
        """Wait until the client has left or broken the protocol; returns which."""
        return await wait_for_close_reason(self.client, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read the bytes that the client has sent, without waiting; returns None while it is connected."""
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
        """Answer that the request is not served, and close the client's connection."""
        await send_final_response(self.client, response)

    # ------------------------------------------------------------ once it is established

    async def close_upstream(self) -> None:
        """Reset an established connection whose client has gone before it was answered."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint)

    async def accept_client(self) -> None:
        """Do nothing: ``relay_traffic`` forwards the endpoint's first line."""

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        """Forward lines both ways until either side has ended, or ``stop`` asks for a migration."""
        endpoint = self._endpoint
        assert endpoint is not None
        relay = LineRelay(self.client, endpoint, self.lifecycle, self._replies, self._reply, self.early_input)
        # Releases the memory, since many connections are open at once.
        self._buffer = bytearray()
        self._reply = b""
        self.early_input = b""
        return await relay.run(stop)
