"""The interface between the core and one client's connection, whatever protocol the client speaks.

Each frontend implements it; only ``RequestLifecycle`` and its stages call it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse


class ProxyTransport(Protocol):
    """One client of one frontend, as the core sees it."""

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float, /
    ) -> CloseReason | None:
        """Make one attempt. Returns None once its connection is established, else why it failed.

        When cancelled it must close its connection.

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
        """Send the final response to a request that is not served, and close the client's connection."""

    async def wait_client_disconnect(self) -> CloseReason:
        """Return once the client has disconnected, or is at fault, while its request is unanswered."""

    def poll_client(self) -> CloseReason | None:
        """Look without waiting whether the client has disconnected, or is at fault; None if it has not.

        The client's FIN may lie unread while other tasks have the core.
        """
