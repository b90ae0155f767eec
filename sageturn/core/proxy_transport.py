"""What the core needs of one client's connection, whatever protocol the client speaks.

Each frontend implements it; only ``RequestLifecycle`` and its stages call it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse


class ProxyTransport(Protocol):
    """One client on one front, as the core sees it."""

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float, /
    ) -> CloseReason | None:
        """One attempt; None when the connection is established. When cancelled it must close its connection.

        Before it connects it asks ``PreWriteChecks.blocking_reason`` of its lifecycle, and
        ``check_before_write`` just before it writes the request's first byte.
        """

    async def close_upstream(self) -> None:
        """Close a connection that was established although its client has gone."""

    async def accept_client(self) -> None:
        """Answer the client that it is served, with what the endpoint gave."""

    async def relay_traffic(self, drain_requested: asyncio.Event, /) -> CloseReason:
        """Forward both ways until either side closes; migrate the client once ``drain_requested`` is set."""

    async def send_final_response(self, response: FinalResponse, /) -> None:
        """The one final answer to a request that is not served."""

    async def wait_client_disconnect(self) -> CloseReason:
        """Returns once the client has disconnected, or is at fault, while its request is unanswered."""

    def poll_client(self) -> CloseReason | None:
        """The same, polled: the client's FIN may lie unread while other tasks have the core."""
