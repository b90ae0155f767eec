"""Adopts a connection that was established before this relay started."""

from __future__ import annotations

import logging

from sageturn.core.close_reason import CLIENT_DISCONNECT_REASONS, CloseReason, outcome_status
from sageturn.core.established_traffic import EstablishedTraffic
from sageturn.core.final_responder import FinalResponder
from sageturn.core.messages import FinalResponse, ResponseReason, make_connection_adopted
from sageturn.core.request_attempts import RequestAttempts
from sageturn.core.request_context import RequestContext
from sageturn.core.request_counters import SendBlock
from sageturn.decision.adoption import NOT_ARRIVED_STATUSES, EndAdoption, RetryAdoption

log = logging.getLogger(__name__)

ADOPTED_ATTEMPT_INDEX = 0  # reported to the balancer as the first attempt, however many were made


class ConnectionAdoption:
    """Reconnection of a client to the endpoint of its former connection; no other endpoint is tried.

    ``sageturn.decision.adoption`` decides on each attempt's time limits, and on whether and when another one
    follows.
    """

    __slots__ = ("_attempts", "_context", "_established", "_plan", "_responder")

    def __init__(
        self,
        context: RequestContext,
        responder: FinalResponder,
        attempts: RequestAttempts,
        established: EstablishedTraffic,
    ) -> None:
        self._context = context
        self._responder = responder
        self._attempts = attempts
        self._established = established
        record = context.record
        self._plan = context.balancer_actor.adoption_planner.plan(
            context.request_class, record.started_ms, record.request.timeout_ms
        )

    async def run(self) -> None:
        """Run the connection to its end, or answer the client that it could not be adopted."""
        context = self._context
        request = context.record.request
        context.record.endpoint = request.established_endpoint
        close_reason = await self._reconnect(request.established_endpoint)
        if close_reason is not None:
            await self._fail(close_reason)
            return
        self._record_adoption()
        await context.balancer_actor.post_event(make_connection_adopted(context.handle.id, request))
        await self._established.run(ADOPTED_ATTEMPT_INDEX, request.established_endpoint)

    async def _reconnect(self, endpoint: str) -> CloseReason | None:
        """Make attempts as planned. Return why the last one failed; None once one is established."""
        context = self._context
        while True:
            started_ms = context.now_ms()
            close_reason = await self._attempt(endpoint, started_ms)
            if close_reason is None or self._is_interrupted():
                return close_reason
            next_step = self._plan.on_attempt_failed(
                context.now_ms(),
                started_ms,
                outcome_status(close_reason),
                is_endpoint_leaving=context.transport.is_endpoint_leaving(endpoint),
            )
            self._log_next_step(endpoint, next_step)
            if isinstance(next_step, EndAdoption):
                return close_reason
            await context.wait_unless_interrupted(timeout_s=next_step.delay_ms / 1000.0)
            if self._is_interrupted():
                return context.client.find_close_reason() or CloseReason.NOT_SENT

    async def _attempt(self, endpoint: str, started_ms: float) -> CloseReason | None:
        """Make one attempt, or none while the endpoint's slow start permits no repeat.

        Return why it failed; None once it is established.
        """
        context = self._context
        attempt = context.record.attempts
        if attempt and not context.balancer_actor.take_slow_start_permit(endpoint):
            context.balancer_actor.counters.blocked_sends[SendBlock.SLOW_START.value] += 1
            return CloseReason.NOT_SENT
        context.record.attempts += 1
        context.balancer_actor.counters.attempts += 1
        timeouts = self._plan.next_timeouts(started_ms)
        close_reason = await self._attempts.open_upstream(endpoint, timeouts.total_ms, timeouts.connect_ms)
        if close_reason is not None:
            self._attempts.record_failure(attempt, endpoint, close_reason, started_ms)
            if outcome_status(close_reason) in NOT_ARRIVED_STATUSES:
                context.guard.discount_attempt()
        return close_reason

    def _is_interrupted(self) -> bool:
        """Return whether the client has disconnected or is at fault, or the drain is forced."""
        return self._context.client.disconnect.done() or self._context.drain_forced.is_set()

    def _log_next_step(self, endpoint: str, next_step: RetryAdoption | EndAdoption) -> None:
        log_id = self._context.handle.log_id
        if isinstance(next_step, RetryAdoption):
            delay_s = next_step.delay_ms / 1000.0
            log.info("adoption retry request=%s endpoint=%s delay_s=%.3f", log_id, endpoint, delay_s)
        else:
            cause = next_step.cause.value
            log.info("adoption given up request=%s endpoint=%s cause=%s", log_id, endpoint, cause)

    def _record_adoption(self) -> None:
        context = self._context
        record = context.record
        context.balancer_actor.counters.adopted += 1
        log.info(
            "connection adopted request=%s endpoint=%s attempts=%d duration_s=%.3f",
            context.handle.log_id,
            record.endpoint,
            record.attempts,
            (context.now_ms() - record.started_ms) / 1000.0,
        )

    async def _fail(self, close_reason: CloseReason) -> None:
        context = self._context
        record = context.record
        record.close_reason = close_reason
        context.balancer_actor.counters.failed_adoptions[close_reason.name.lower()] += 1
        log.info(
            "adoption failed request=%s endpoint=%s attempts=%d duration_s=%.3f reason=%s",
            context.handle.log_id,
            record.endpoint,
            record.attempts,
            (context.now_ms() - record.started_ms) / 1000.0,
            close_reason.name.lower(),
        )
        if close_reason in CLIENT_DISCONNECT_REASONS:
            return
        if context.drain_forced.is_set():
            await self._responder.send_forced_drain()
        else:
            cause = close_reason.name.lower()
            response = FinalResponse(rejected=False, reason=ResponseReason.LOST, cause=cause)
            await self._responder.send(response)
