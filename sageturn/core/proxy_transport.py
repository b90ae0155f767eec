"""The interface between the core and one client's connection, independent of the client's protocol.

Each frontend implements it; only ``RequestLifecycle`` and its stages call it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse


class ProxyTransport(Protocol):
    """The core's interface to one client of a frontend."""

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float, /
    ) -> CloseReason | None:
        """Make one attempt. Return None once its connection is established, otherwise why it failed.

        An implementation must close the connection when cancelled. It has to call the lifecycle's
        ``PreWriteChecks.blocking_reason`` before it connects, and ``check_before_write`` just before it
        writes the request's first byte.
        """

    def is_endpoint_leaving(self, endpoint: str, /) -> bool:
        """Return whether the endpoint drains, was removed from the list, or is out of service.

        False if it was never listed.
        """

    async def close_upstream(self) -> None:
        """Close the connection to the endpoint, which was established after its client had disconnected."""

    async def accept_client(self) -> None:
        """Report to the client that its connection is established, with the endpoint's answer."""

    async def relay_traffic(self, drain_requested: asyncio.Event, /) -> CloseReason:
        """Forward in both directions until either side closes, and return the reason.

        Migrate the client once ``drain_requested`` is set.
        """

    async def send_final_response(self, response: FinalResponse, /) -> None:
        """Send the final response to a request that is not served, and close the client's connection."""

    async def wait_client_disconnect(self) -> CloseReason:
        """Wait until the client of an unanswered request disconnects or is at fault; return which."""

    def poll_client(self) -> CloseReason | None:
        """Return without waiting whether the client has disconnected or is at fault; None if neither.

        Other tasks may have kept the event loop busy since the client's FIN arrived, so it may be unread.
        """
