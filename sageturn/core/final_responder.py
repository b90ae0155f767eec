"""Sends the final response to a request that is not served."""

from __future__ import annotations

from sageturn.core.messages import FinalResponse, ResponseCause, ResponseReason
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.core.request_context import RequestContext

FORCED_DRAIN_RETRY_AFTER_MS = 250.0  # the front proxy routes the client to another relay by then


class FinalResponder:
    """Sender of a request's final response, which is sent only once."""

    __slots__ = ("_checks", "_context")

    def __init__(self, context: RequestContext, checks: PreWriteChecks) -> None:
        self._context = context
        self._checks = checks

    async def send(self, response: FinalResponse) -> None:
        """Send ``response``, unless the client has already been answered or its connection established."""
        context = self._context
        if context.is_answered:
            return
        context.is_answered = True
        context.record.final_response = response
        context.guard.check_response(context.now_ms())
        context.balancer_actor.counters.count_response(response)
        await context.client.stop()
        await context.transport.send_final_response(response)

    async def send_forced_drain(self) -> None:
        """Answer a request for which a shutdown leaves no more time.

        It is rejected only if a retry is harmless, as a rejection promises; otherwise it fails.
        """
        rejected = self._context.request_class.is_rejectable(self._checks.may_have_been_executed)
        retry_after_ms = FORCED_DRAIN_RETRY_AFTER_MS if rejected else 0.0
        response = FinalResponse(rejected, retry_after_ms, ResponseReason.SHUTDOWN, ResponseCause.SHUTDOWN)
        await self.send(response)
