"""Runs one client request from its arrival to its end: no overlapping attempts, one final response.

A frontend supplies a ``ProxyTransport`` for each client. The rules for all protocols are implemented here
and in the stages: ``RequestAttempts`` with its ``PreWriteChecks``, ``EstablishedTraffic`` and
``ConnectionAdoption``.
"""

from __future__ import annotations

import asyncio
import logging

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_adoption import ConnectionAdoption
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.errors import DecisionOverdueError
from sageturn.core.established_traffic import EstablishedTraffic
from sageturn.core.final_responder import FinalResponder
from sageturn.core.messages import (
    CancelAttempt,
    ClientRequest,
    FinalResponse,
    Instruction,
    RedirectClient,
    ResponseCause,
    ResponseReason,
    StartAttempt,
    make_request_arrived,
)
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.core.proxy_transport import ProxyTransport
from sageturn.core.request_attempts import RequestAttempts
from sageturn.core.request_context import new_request_context

log = logging.getLogger(__name__)

DECISION_TIMEOUT_S = 0.2  # margin after the request's deadline; the balancer decides on each event at once


class RequestLifecycle:
    """Lifecycle of one request through its stages. Attempts never overlap; the client is answered once."""

    __slots__ = (
        "_attempts",
        "_balancer_actor",
        "_context",
        "_responder",
        "checks",
        "drain_forced",
        "drain_requested",
        "established",
        "id",
        "record",
        "transport",
    )

    def __init__(
        self, balancer_actor: BalancerActor, transport: ProxyTransport, request: ClientRequest
    ) -> None:
        context = new_request_context(balancer_actor, transport, request)
        self._balancer_actor = balancer_actor
        self._context = context
        self.transport = transport
        self.id = context.handle.id
        self.record = context.record
        self.drain_requested = context.drain_requested
        self.drain_forced = context.drain_forced
        self.checks = PreWriteChecks(context)
        self.established = EstablishedTraffic(context)
        self._responder = FinalResponder(context, self.checks)
        self._attempts = RequestAttempts(context, self.checks, self._responder, self.established)
        balancer_actor.counters.requests += 1

    @property
    def is_established(self) -> bool:
        """True while the connection is established."""
        return self.record.was_established and self.record.close_reason is None

    def begin_drain(self) -> None:
        """Migrate the client because the relay is shutting down. A second call has no effect."""
        if not self.drain_requested.is_set():
            self.drain_requested.set()
            if self.is_established:
                self._balancer_actor.notify_migrated_by_shutdown(self.id)

    def force_drain(self) -> None:
        """Have a request that is still unanswered answered now, because the relay is about to exit."""
        self.drain_forced.set()

    async def run(self) -> ConnectionRecord:
        """Run the request. Return its record once its connection is closed or its final response sent."""
        context = self._context
        context.client.start()
        try:
            if self.record.request.established_endpoint:
                await ConnectionAdoption(context, self._responder, self._attempts, self.established).run()
            else:
                await self._balancer_actor.post_event(
                    make_request_arrived(self.id, context.deadline_ms, self.record.request)
                )
                await self._follow_instructions()
        except Exception:
            await self._fail_internally()
        finally:
            await context.client.stop()
            self._balancer_actor.requests.remove(self.id)
            context.guard.check_closed(
                is_answered=context.is_answered, has_client_disconnected=context.client.has_disconnected
            )
            self.record.ended_ms = context.now_ms()
        return self.record

    async def _follow_instructions(self) -> None:
        while True:
            # The balancer answers each event at once and never holds a request back. A client that
            # disconnects during this wait is therefore handled shortly after, when its next attempt begins.
            match await self._next_instruction():
                case StartAttempt() as instruction:
                    if await self._attempts.run(instruction):
                        return
                case FinalResponse() as response:
                    await self._responder.send(response)
                    return
                case CancelAttempt() | RedirectClient():
                    pass  # the attempt that it concerns has already ended

    async def _next_instruction(self) -> Instruction:
        """Wait for the balancer's next instruction.

        Raises:
            DecisionOverdueError: none came in time; the client must not be left unanswered.
        """
        context = self._context
        remaining_ms = context.deadline_ms - context.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0 + DECISION_TIMEOUT_S):
                return await context.handle.instructions.get()
        except TimeoutError as error:
            raise DecisionOverdueError(context.handle.log_id) from error

    async def _fail_internally(self) -> None:
        """Answer the client after an internal fault, and end the request in the balancer."""
        context = self._context
        log.exception("request failed request=%s", context.handle.log_id)
        await self._balancer_actor.post_event(decision.ClientDisconnected(self.id))
        close_reason = self.record.close_reason or CloseReason.CANCELLED
        attempt = max(0, self.record.attempts - 1)
        await context.post_outcome(attempt, self.record.endpoint, close_reason, final=True)
        response = FinalResponse(rejected=False, reason=ResponseReason.INTERNAL, cause=ResponseCause.INTERNAL)
        await self._responder.send(response)
