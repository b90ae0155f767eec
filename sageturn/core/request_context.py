"""The state that the stages of one request share: its identity, limits, client and record."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from sageturn import decision
from sageturn.core.attempt_guard import AttemptGuard
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.close_reason import CloseReason, outcome_status
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest
from sageturn.core.proxy_transport import ProxyTransport
from sageturn.core.request_directory import RequestHandle
from sageturn.core.tasks import cancel_and_wait

RESPONSE_MARGIN_MS = 15.0  # time for the final response to reach the client before it gives up


class ClientMonitor:
    """Monitor of one client's connection, active until its request is answered."""

    __slots__ = ("_transport", "disconnect")

    def __init__(self, transport: ProxyTransport) -> None:
        self._transport = transport
        # Done once the client has disconnected or is at fault; cancelled once the request is answered.
        self.disconnect: asyncio.Future[CloseReason] = asyncio.get_running_loop().create_future()

    def start(self) -> None:
        """Start monitoring; requires a running loop."""
        self.disconnect = asyncio.ensure_future(self._transport.wait_client_disconnect())

    async def stop(self) -> None:
        """Stop monitoring. Return once the monitor no longer reads from the client."""
        await cancel_and_wait(self.disconnect)

    @property
    def has_disconnected(self) -> bool:
        """True if the client disconnected or was at fault; valid only after ``stop``."""
        return not self.disconnect.cancelled()

    def find_close_reason(self) -> CloseReason | None:
        """Check the client now. Return why it ends the request; None while it is waiting for its answer."""
        if self.disconnect.done():
            return self.disconnect.result()
        return self._transport.poll_client()


@dataclass(slots=True, eq=False)
class RequestContext:
    """State that the stages of one request share, from its arrival to its end."""

    balancer_actor: BalancerActor
    transport: ProxyTransport
    handle: RequestHandle
    record: ConnectionRecord
    request_class: decision.RequestClass
    deadline_ms: float  # relay's time at which the request's last attempt must have ended
    guard: AttemptGuard
    client: ClientMonitor
    is_answered: bool = False  # the client was sent its final response or accepted
    # Set by a migration or a shutdown: the client of an established connection is to reconnect elsewhere.
    drain_requested: asyncio.Event = field(default_factory=asyncio.Event)
    # Set when a shutdown runs out of time: an unanswered request is answered at once.
    drain_forced: asyncio.Event = field(default_factory=asyncio.Event)

    def now_ms(self) -> float:
        """Return the relay's time."""
        return self.balancer_actor.clock.now_ms()

    async def wait_unless_interrupted(
        self, *awaited: asyncio.Future[Any], timeout_s: float | None = None
    ) -> None:
        """Wait for one of ``awaited``, the client's disconnect, the forced drain or the end of the time."""
        drain_forced = asyncio.ensure_future(self.drain_forced.wait())
        try:
            await asyncio.wait(
                (*awaited, self.client.disconnect, drain_forced),
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            drain_forced.cancel()

    async def post_outcome(
        self, attempt: int, endpoint: str, close_reason: CloseReason, *, final: bool
    ) -> None:
        """Report the end of an attempt to the balancer; ``final`` if the request ends with it."""
        status = outcome_status(close_reason)
        await self.balancer_actor.post_event(
            decision.AttemptEnded(self.handle.id, attempt, endpoint, status, final, self.record.load_report)
        )


def new_request_context(
    balancer_actor: BalancerActor, transport: ProxyTransport, request: ClientRequest
) -> RequestContext:
    """Register ``request`` with the balancer's actor and return its context. Its timeout starts now."""
    handle = balancer_actor.requests.register(request.client_request_id)
    record = ConnectionRecord(request, balancer_actor.clock.now_ms(), log_id=handle.log_id)
    settings = balancer_actor.settings
    request_class = balancer_actor.classes.get(request.class_name, settings.classes[0])
    guard = AttemptGuard(
        handle.log_id,
        request_class,
        settings.max_attempts,
        record.started_ms + request.timeout_ms,
        balancer_actor.monitor,
    )
    return RequestContext(
        balancer_actor,
        transport,
        handle,
        record,
        request_class,
        record.started_ms + max(0.0, request.timeout_ms - RESPONSE_MARGIN_MS),
        guard,
        ClientMonitor(transport),
    )
