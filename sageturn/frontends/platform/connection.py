"""One client's request: its attempts at endpoints, and its connection once one is established."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.messages import FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.frontends.platform.endpoint_reply import EndpointReplyParser
from sageturn.frontends.platform.line_reader import MAX_LINE_BYTES, read_line
from sageturn.frontends.platform.relaying import LineRelay
from sageturn.frontends.platform.request_line import RequestLine
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.sockets import (
    CLOSE_REASON_OF_CONNECT_FAILURE,
    ConnectFailure,
    connect_unreserved,
    peer_address,
    send_gathered,
    wait_for_close_reason,
)

CLIENT_READ_BYTES = 1024


def encode_final_response(response: FinalResponse) -> bytes:
    """The line that a client is sent when its request has failed for good."""
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
        return  # the client is gone; there is nobody to answer
    await close_gracefully(client)


class PlatformConnection:
    """A client, and its endpoint once it has one: the core's ``Transport`` for its request."""

    def __init__(
        self, shared: RelayContext, client: socket.socket, buffer: bytearray, request_line: RequestLine
    ) -> None:
        """``buffer`` holds the request line as it was received."""
        self._shared = shared
        self.client = client
        self._buffer = buffer
        self._request_line = request_line
        self.early_input = b""  # what the client sent before it was answered
        self._endpoint: socket.socket | None = None
        self._reply = b""  # the endpoint's first line, and what followed it
        self.lifecycle = RequestLifecycle(shared.balancer_actor, self, request_line.request)
        self.lifecycle.record.client_address = peer_address(client)
        self._replies = EndpointReplyParser(shared, self.lifecycle.record)

    # ------------------------------------------------------------ an attempt

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        """Send the request to ``endpoint``; None if it established the connection."""
        deadline_s = asyncio.get_running_loop().time() + patience_ms / 1000.0
        address = self._shared.endpoint_registry.addresses.get(endpoint)
        if address is None:
            return CloseReason.NOT_SENT
        is_wanted: Callable[[], bool] | None = None
        # A connection that was established before this relay goes back to its endpoint, also if that drains.
        if not self._request_line.request.established_endpoint:
            is_wanted = partial(self._shared.endpoint_registry.is_ready_at, endpoint, address)
        if (close_reason := self.lifecycle.checks.blocking_reason(is_wanted)) is not None:
            return close_reason
        sock = await connect_unreserved(address, connect_ms / 1000.0)
        if isinstance(sock, ConnectFailure):
            return CLOSE_REASON_OF_CONNECT_FAILURE[sock]
        if (close_reason := self.lifecycle.checks.check_before_write(is_wanted)) is not None:
            sock.close()
            return close_reason
        established = False
        try:
            close_reason = await self._exchange(sock, deadline_s)
            established = close_reason is None
            return close_reason
        finally:
            if established:
                self._endpoint = sock
                self.lifecycle.record.endpoint_address = address
            else:
                sock.close()

    async def _exchange(self, sock: socket.socket, deadline_s: float) -> CloseReason | None:
        try:
            async with asyncio.timeout_at(deadline_s):
                close_reason = await self._send_request(sock, deadline_s)
                return await self._read_reply(sock) if close_reason is None else close_reason
        except TimeoutError:
            return CloseReason.TIMEOUT

    async def _send_request(self, sock: socket.socket, deadline_s: float) -> CloseReason | None:
        """Write the client's line with the time that is left in place of the client's own limit."""
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
            raise  # its last byte may have been taken in this very instant
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
        """Return once the client has left, or broken the protocol."""
        return await wait_for_close_reason(self.client, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        """Read what the client has sent so far without waiting; None while it is still there."""
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

    async def send_final_response(self, answer: FinalResponse) -> None:
        """Tell the client that its request has failed, and close its connection."""
        await send_final_response(self.client, answer)

    # ------------------------------------------------------------ once it is established

    async def close_upstream(self) -> None:
        """Drop an established connection whose client was not told of it."""
        if self._endpoint is not None:
            close_with_reset(self._endpoint)

    async def accept_client(self) -> None:
        """Nothing to do: the endpoint's first line is forwarded along with all that followed it."""

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        """Forward lines both ways until either side has ended, or ``stop`` asks for a migration."""
        endpoint = self._endpoint
        assert endpoint is not None
        relay = LineRelay(self.client, endpoint, self.lifecycle, self._replies, self._reply, self.early_input)
        # Not needed any more, and there are many connections at once.
        self._buffer = bytearray()
        self._reply = b""
        self.early_input = b""
        return await relay.run(stop)
