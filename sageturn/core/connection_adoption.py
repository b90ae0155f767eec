"""Adopts a connection that was established before this relay started."""

from __future__ import annotations

import logging

from sageturn.core.close_reason import (
    CLIENT_DISCONNECT_REASONS,
    NOT_WRITTEN_REASONS,
    CloseReason,
)
from sageturn.core.established_traffic import EstablishedTraffic
from sageturn.core.final_responder import FinalResponder
from sageturn.core.messages import FinalResponse, ResponseReason, make_connection_adopted
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.core.request_attempts import RequestAttempts
from sageturn.core.request_context import RequestContext

log = logging.getLogger(__name__)

ADOPTION_CONNECT_TIMEOUT_MS = 5000.0
ADOPTED_ATTEMPT_INDEX = 0  # reported to the balancer as the first attempt, however many were made


class ConnectionAdoption:
    """Reconnection of a client to the endpoint of its former connection; no other endpoint is tried.

    After a restart such clients arrive all at once, so a slow connect does not indicate a fault. Therefore
    ``ADOPTION_CONNECT_TIMEOUT_MS`` applies instead of the connect timeout in the settings.
    """

    __slots__ = ("_attempts", "_checks", "_context", "_established", "_responder")

    def __init__(
        self,
        context: RequestContext,
        checks: PreWriteChecks,
        responder: FinalResponder,
        attempts: RequestAttempts,
        established: EstablishedTraffic,
    ) -> None:
        self._context = context
        self._checks = checks
        self._responder = responder
        self._attempts = attempts
        self._established = established

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
        """Connect, and retry while nothing was written. Return why it failed; None once it is established."""
        context = self._context
        record = context.record
        close_reason: CloseReason | None = CloseReason.NOT_SENT
        max_attempts = context.balancer_actor.settings.max_attempts
        while record.attempts < max_attempts and close_reason in NOT_WRITTEN_REASONS:
            attempt = record.attempts
            record.attempts += 1
            context.balancer_actor.counters.attempts += 1
            started_ms = context.now_ms()
            remaining_ms = max(1.0, context.deadline_ms - started_ms)
            close_reason = await self._attempts.open_upstream(
                endpoint, remaining_ms, ADOPTION_CONNECT_TIMEOUT_MS
            )
            if close_reason is not None:
                self._attempts.record_failure(attempt, endpoint, close_reason, started_ms)
            if context.drain_forced.is_set():
                break
        return close_reason

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
