"""Serves a request while its connection is established: traffic, migration and load reports."""

from __future__ import annotations

import asyncio

from sageturn import decision
from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import Instruction, RedirectClient
from sageturn.core.request_context import RequestContext
from sageturn.decision.load_reports import is_usable_load


class EstablishedTraffic:
    """Stage of a request from the establishment of its connection until either side closes it."""

    __slots__ = ("_context",)

    def __init__(self, context: RequestContext) -> None:
        self._context = context

    async def run(self, attempt: int, endpoint: str) -> None:
        """Accept the client, relay its traffic to the end and report the outcome to the balancer.

        Args:
            attempt: index of the established attempt, counted from 0.
            endpoint: name of its endpoint.
        """
        context = self._context
        record = context.record
        await context.client.stop()
        context.is_answered = True
        context.balancer_actor.counters.established += 1
        record.was_established = True
        record.close_reason = None
        redirect = asyncio.ensure_future(self._await_redirect())
        try:
            try:
                await context.transport.accept_client()
            except OSError:
                record.close_reason = CloseReason.CLIENT_RESET
                await context.transport.close_upstream()
            else:
                record.close_reason = await context.transport.relay_traffic(context.drain_requested)
        finally:
            redirect.cancel()
            close_reason = record.close_reason or CloseReason.CLIENT_RESET
            record.close_reason = close_reason
            await context.post_outcome(attempt, endpoint, close_reason, final=True)

    async def _await_redirect(self) -> None:
        instruction: Instruction | None = None
        while not isinstance(instruction, RedirectClient):
            instruction = await self._context.handle.instructions.get()
        self._context.drain_requested.set()

    async def report_load(self, load_us_per_s: float) -> None:
        """Pass the endpoint's report of this connection's load to the balancer.

        Args:
            load_us_per_s: microseconds of work per second; an invalid value is dropped.
        """
        if not is_usable_load(load_us_per_s):
            return
        context = self._context
        attempt = max(0, context.record.attempts - 1)
        load_ms_per_s = load_us_per_s / 1000.0
        measurement = decision.MeasurementReported(
            context.handle.id, attempt, context.record.endpoint, decision.MeasurementKind.LOAD, load_ms_per_s
        )
        await context.balancer_actor.post_event(measurement)
