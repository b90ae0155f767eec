"""One client request from its arrival to its end: attempts that never overlap, and one final response.

A frontend supplies a ``ProxyTransport`` for each client; what must hold for every protocol is here and in the
stages: ``RequestAttempts`` with its ``PreWriteChecks``, ``EstablishedTraffic`` and ``ConnectionAdoption``.
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
    StartAttempt,
    request_arrival,
)
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.core.proxy_transport import ProxyTransport
from sageturn.core.request_attempts import RequestAttempts
from sageturn.core.request_context import new_request_context

log = logging.getLogger(__name__)

DECISION_TIMEOUT_S = 0.2  # after the client has given up; the balancer decides each event at once


class RequestLifecycle:
    """Runs one request through its stages. Attempts never overlap, and nobody is answered twice."""

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
        """Whether the connection carries traffic at this moment."""
        return self.record.was_established and self.record.close_reason is None

    def begin_drain(self) -> None:
        """The relay is about to stop: the client is migrated, unless that has been asked for already."""
        if not self.drain_requested.is_set():
            self.drain_requested.set()
            if self.is_established:
                self._balancer_actor.notify_migrated_by_shutdown(self.id)

    def force_drain(self) -> None:
        """The relay is about to stop: a request that isn't served yet is answered now."""
        self.drain_forced.set()

    async def run(self) -> ConnectionRecord:
        """Returns the record once the connection has closed, or the request has been answered."""
        context = self._context
        context.client.start()
        try:
            if self.record.request.established_endpoint:
                await ConnectionAdoption(
                    context, self.checks, self._responder, self._attempts, self.established
                ).run()
            else:
                await self._balancer_actor.post_event(
                    request_arrival(self.id, context.deadline_ms, self.record.request)
                )
                await self._follow_instructions()
        except Exception:
            await self._fail_internally()
        finally:
            await context.client.stop()
            self._balancer_actor.remove_request(self.id)
            context.guard.check_closed(
                is_answered=context.is_answered, has_client_left=context.client.has_left
            )
            self.record.ended_ms = context.now_ms()
        return self.record

    async def _follow_instructions(self) -> None:
        while True:
            # The balancer answers each event at once and never holds a request, so a client that disconnects
            # now is dealt with a moment later, when there is an attempt of its own to close.
            match await self._next_instruction():
                case StartAttempt() as instruction:
                    if await self._attempts.run(instruction):
                        return
                case FinalResponse() as response:
                    await self._responder.send(response)
                    return
                case CancelAttempt() | RedirectClient():
                    pass  # meant for an attempt that has ended meanwhile

    async def _next_instruction(self) -> Instruction:
        """Wait for the balancer's next instruction.

        Raises:
            DecisionOverdueError: none has come in time; the client must not be left unanswered.
        """
        context = self._context
        remaining_ms = context.deadline_ms - context.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0 + DECISION_TIMEOUT_S):
                return await context.handle.instructions.get()
        except TimeoutError as error:
            raise DecisionOverdueError(context.handle.log_id) from error

    async def _fail_internally(self) -> None:
        """No fault of this program may leave a client unanswered, or the balancer with a stale request."""
        context = self._context
        log.exception("request failed request=%s", context.handle.log_id)
        await self._balancer_actor.post_event(decision.ClientDisconnected(self.id))
        close_reason = self.record.close_reason or CloseReason.CANCELLED
        attempt = max(0, self.record.attempts - 1)
        await context.post_outcome(attempt, self.record.endpoint, close_reason, final=True)
        await self._responder.send(FinalResponse(rejected=False, reason="internal", cause="internal"))
