"""The attempts of one request: each opens a connection to an endpoint, and no two overlap."""

from __future__ import annotations

import asyncio

from sageturn import decision
from sageturn.core.attempt_log import log_failed_attempt
from sageturn.core.close_reason import (
    CLIENT_CAUSED_REASONS,
    CLIENT_DISCONNECT_REASONS,
    CloseReason,
    may_have_been_executed,
)
from sageturn.core.established_traffic import EstablishedTraffic
from sageturn.core.final_responder import FinalResponder
from sageturn.core.messages import FinalResponse, ResponseCause, ResponseReason, StartAttempt
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.core.request_context import RequestContext


class RequestAttempts:
    """Stage of a request that runs the attempts placed by the balancer, one after the other."""

    __slots__ = ("_checks", "_context", "_established", "_responder")

    def __init__(
        self,
        context: RequestContext,
        checks: PreWriteChecks,
        responder: FinalResponder,
        established: EstablishedTraffic,
    ) -> None:
        self._context = context
        self._checks = checks
        self._responder = responder
        self._established = established

    async def run(self, instruction: StartAttempt) -> bool:
        """Run one attempt to its end. Return whether the request has ended as well."""
        context = self._context
        record = context.record
        endpoint = instruction.endpoint
        attempt = record.attempts
        record.attempts += 1
        context.balancer_actor.counters.attempts += 1
        record.endpoint = endpoint
        record.load_report = {}
        remaining_ms = context.deadline_ms - context.now_ms()
        started_ms = context.now_ms()
        connect_timeout_ms = context.balancer_actor.settings.connect_timeout_ms
        timeout_ms = min(instruction.timeout_ms or remaining_ms, remaining_ms)
        close_reason = await self.open_upstream(endpoint, timeout_ms, connect_timeout_ms)
        if close_reason is None:
            duration_ms = context.now_ms() - started_ms
            await context.balancer_actor.post_event(
                decision.ConnectionEstablished(context.handle.id, attempt, endpoint, duration_ms)
            )
            await self._established.run(attempt, endpoint)
            return True
        self.record_failure(attempt, endpoint, close_reason, started_ms)
        if close_reason in CLIENT_CAUSED_REASONS or context.drain_forced.is_set():
            await self._abort(attempt, endpoint, close_reason)
            return True
        await context.post_outcome(attempt, endpoint, close_reason, final=False)
        return False

    def record_failure(
        self, attempt: int, endpoint: str, close_reason: CloseReason, started_ms: float
    ) -> None:
        """Record, count and log an attempt that was not established.

        Args:
            attempt: index of the attempt, counted from 0.
            endpoint: name of its endpoint.
            close_reason: reason for the failure.
            started_ms: time at which the attempt began, in the relay's time.
        """
        context = self._context
        context.record.close_reason = close_reason
        context.balancer_actor.counters.failed_attempts[close_reason.name.lower()] += 1
        duration_ms = context.now_ms() - started_ms
        log_failed_attempt(context.handle.log_id, attempt, endpoint, close_reason, duration_ms)
        if may_have_been_executed(close_reason):
            self._checks.record_possible_execution(started_ms)

    async def _abort(self, attempt: int, endpoint: str, close_reason: CloseReason) -> None:
        """End a request that gets no further attempt; report the outcome of this one to the balancer."""
        context = self._context
        await context.balancer_actor.post_event(decision.ClientDisconnected(context.handle.id))
        await context.post_outcome(attempt, endpoint, close_reason, final=True)
        if close_reason is CloseReason.CLIENT_FAULT:
            response = FinalResponse(
                rejected=False, reason=ResponseReason.CLIENT_FAULT, cause=ResponseCause.CLIENT_FAULT
            )
            await self._responder.send(response)
        elif close_reason not in CLIENT_DISCONNECT_REASONS:
            await self._responder.send_forced_drain()

    # ------------------------------------------------------------ the connection of an attempt

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float
    ) -> CloseReason | None:
        """Open a connection to ``endpoint``.

        Returns:
            Why that failed; None if the connection is established and the client still connected.
        """
        context = self._context
        disconnect = context.client.disconnect
        self._checks.write_started = False
        if disconnect.done():
            return disconnect.result()
        if timeout_ms <= 0 or context.drain_forced.is_set():
            return CloseReason.NOT_SENT
        context.guard.begin_attempt()
        try:
            close_reason = await self._open_unless_aborted(
                endpoint, timeout_ms, min(connect_timeout_ms, timeout_ms)
            )
        finally:
            context.guard.end_attempt()
        if disconnect.done():
            if close_reason is None:
                await context.transport.close_upstream()
            return disconnect.result()
        return close_reason

    async def _open_unless_aborted(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float
    ) -> CloseReason | None:
        """Open the connection; cancel this as soon as the client disconnects or the drain is forced."""
        context = self._context
        opening = asyncio.ensure_future(
            context.transport.open_upstream(endpoint, timeout_ms, connect_timeout_ms)
        )
        try:
            await context.wait_unless_interrupted(opening)
        finally:
            if not opening.done():
                # Attempts must not overlap, so this waits until the connection is closed.
                opening.cancel()
                await asyncio.wait((opening,))
        if opening.cancelled():
            return CloseReason.CANCELLED if self._checks.write_started else CloseReason.NOT_SENT
        return opening.result()
