"""What the core needs of one client's connection, whatever protocol the client speaks.

Each frontend implements it; ``RequestLifecycle`` is its only caller.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse


class ProxyTransport(Protocol):
    """One client on one front, as the core sees it."""

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        """One outbound call; None when it stands. Cancelled when it is called off: it must then let go.

        Before it connects it asks its lifecycle's ``blocking_reason``, and ``check_before_write`` just
        before it writes the request's first byte.
        """

    async def close_upstream(self) -> None:
        """Let go of a call that stands after all, though nobody is left to stand at its other side."""

    async def accept_client(self) -> None:
        """Tell the client that it is served, with what the endpoint gave."""

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        """Pass both ways until either side ends; move the client once ``stop`` is set."""

    async def send_final_response(self, answer: FinalResponse) -> None:
        """The one final answer to a request that is not served."""

    async def wait_client_disconnect(self) -> CloseReason:
        """Returns once the client has gone, or is at fault, while its request is not yet answered."""

    def poll_client(self) -> CloseReason | None:
        """The same, looked up on the spot: its end may lie unread while others have the core."""
