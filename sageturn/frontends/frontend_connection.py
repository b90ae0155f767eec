"""Connects to endpoints, which all frontends do alike."""

from __future__ import annotations

import asyncio
import socket
from abc import abstractmethod
from collections.abc import Callable
from functools import partial

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import ClientRequest
from sageturn.core.proxy_transport import ProxyTransport
from sageturn.core.relay_context import RelayContext
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.net.addresses import Address
from sageturn.net.connecting import CLOSE_REASON_OF_CONNECT_FAILURE, ConnectFailure, connect_unreserved
from sageturn.net.sockets import peer_address

CheckBeforeWrite = Callable[[], CloseReason | None]


class FrontendConnection(ProxyTransport):
    """Connection of a client, and of its endpoint once the request is established.

    Each frontend has a subclass.
    """

    def __init__(self, context: RelayContext, client: socket.socket, request: ClientRequest) -> None:
        self._context = context
        self.lifecycle = RequestLifecycle(context.balancer_actor, self, request)
        self.lifecycle.record.client_address = peer_address(client)

    def release(self) -> None:
        """Release the memory of an ended request at once.

        The request and its connection refer to each other, and would wait for a garbage collection.
        """
        del self.lifecycle

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float, /
    ) -> CloseReason | None:
        """Connect to ``endpoint`` and place the request there within ``timeout_ms``.

        Return None if the endpoint established the connection; otherwise the reason of the failure, with
        the endpoint's socket closed.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000.0
        listed_address = self._context.endpoint_registry.addresses.get(endpoint)
        if listed_address is None:
            return CloseReason.NOT_SENT
        is_endpoint_usable: Callable[[], bool] | None = None
        # A connection that was established through an earlier relay process returns to its endpoint, even if
        # the endpoint is draining; it is not repeated there.
        record = self.lifecycle.record
        is_first_adoption = bool(record.request.established_endpoint) and record.attempts == 1
        if not is_first_adoption:
            is_endpoint_usable = partial(
                self._context.endpoint_registry.is_ready_at, endpoint, listed_address
            )
        checks = self.lifecycle.checks
        if (close_reason := checks.blocking_reason(is_endpoint_usable)) is not None:
            return close_reason
        address = self._upstream_address(listed_address)
        sock = await connect_unreserved(address, connect_timeout_ms / 1000.0)
        if isinstance(sock, ConnectFailure):
            return CLOSE_REASON_OF_CONNECT_FAILURE[sock]
        check_before_write = partial(checks.check_before_write, is_endpoint_usable)
        established = False
        try:
            close_reason = await self._exchange(sock, deadline_s, check_before_write)
            established = close_reason is None
            return close_reason
        finally:
            if established:
                self.lifecycle.record.endpoint_address = address
            else:
                sock.close()

    def is_endpoint_leaving(self, endpoint: str, /) -> bool:
        """Return whether the endpoint drains, was removed from the list, or is out of service."""
        return self._context.endpoint_registry.is_leaving(endpoint)

    def _upstream_address(self, listed_address: Address) -> Address:
        """Return the address at which to connect to an endpoint whose list entry has ``listed_address``."""
        return listed_address

    @abstractmethod
    async def _exchange(
        self, sock: socket.socket, deadline_s: float, check_before_write: CheckBeforeWrite
    ) -> CloseReason | None:
        """Send the request on a new connection, and read the endpoint's answer.

        Args:
            sock: the socket, connected to the endpoint. The caller closes it unless this returns None.
            deadline_s: the end of the attempt, by the event loop's clock.
            check_before_write: must be called just before the request's first byte is written. If it returns
                a reason, nothing may be written, and that reason must be returned.

        Returns:
            None if the endpoint established the connection, or else the reason of the failure.
        """
