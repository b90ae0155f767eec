"""The life of one request: at most so many outbound calls, never two at once, one final answer.

A front supplies a ``ProxyTransport`` for each client; everything that must hold on every wire is here.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.close_reason import CloseReason, may_have_run, outcome_status
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import (
    CancelAttempt,
    ClientRequest,
    FinalResponse,
    Instruction,
    RedirectClient,
    StartAttempt,
)
from sageturn.core.proxy_transport import ProxyTransport
from sageturn.core.tasks import cancel_and_wait

log = logging.getLogger(__name__)

CLIENT_GONE = (CloseReason.CLIENT_LEFT, CloseReason.CLIENT_RESET)
CLIENT_OVER = (*CLIENT_GONE, CloseReason.CLIENT_FAULT)
HURRY_RETRY_MS = 250.0  # by then the front sends the client to another relay
NEVER_RAN = (CloseReason.NO_CONNECT, CloseReason.CUT_BEFORE_WRITTEN, CloseReason.NOT_SENT)
RESUME_CONNECT_MS = 5000.0
ANSWER_EARLY_MS = 15.0  # the last answer has to travel too before the client gives up


class RequestLifecycle:
    """Runs one request from its arrival to its end."""

    def __init__(self, balancer_actor: BalancerActor, transport: ProxyTransport, ask: ClientRequest) -> None:
        self._balancer_actor, self._transport = balancer_actor, transport
        self.id, self._mailbox = balancer_actor.new_request()
        self.record = ConnectionRecord(ask, balancer_actor.clock.now_ms())
        self.drain_requested = asyncio.Event()  # set by a move or a shutdown: the client is to go elsewhere
        self._give_up_ms = self.record.started_ms + max(0.0, ask.timeout_ms - ANSWER_EARLY_MS)
        self._answered = False
        self.drain_forced = asyncio.Event()  # a stop has come to its end: what is still owed is owed at once
        self._leaving: asyncio.Future[CloseReason] = asyncio.get_running_loop().create_future()
        self.write_started = False  # something of the attempt that is out may have been written
        self._ran_ms: float | None = None  # when the first attempt began that may have run
        self._class = balancer_actor.classes.get(ask.class_name, balancer_actor.settings.classes[0])

    @property
    def is_established(self) -> bool:
        return self.record.was_established and self.record.close_reason is None

    async def run(self) -> ConnectionRecord:
        ask = self.record.request
        self._leaving = asyncio.ensure_future(self._transport.wait_client_disconnect())
        try:
            if ask.established_endpoint:
                await self._resume()
            else:
                await self._balancer_actor.post_event(
                    decision.RequestArrived(
                        self.id,
                        ask.class_name,
                        ask.tenant,
                        self._give_up_ms,
                        ask.group,
                        ask.expected_load,
                        client=ask.client,
                        returned=ask.returned,
                        retried=ask.retried,
                    )
                )
                await self._place()
        except Exception:
            # No fault of this program may leave a client without its answer, or the module with a ghost.
            log.exception("request %s failed", ask.client_request_id or self.id)
            await self._balancer_actor.post_event(decision.ClientDisconnected(self.id))
            close_reason = self.record.close_reason or CloseReason.CANCELLED
            await self._tell_outcome(
                max(0, self.record.attempts - 1), self.record.endpoint, close_reason, True
            )
            await self._final(FinalResponse(rejected=False, reason="internal"))
        finally:
            await cancel_and_wait(self._leaving)
            self._balancer_actor.remove_request(self.id)
            self.record.ended_ms = self._balancer_actor.clock.now_ms()
        return self.record

    # ------------------------------------------------------------ until it stands or is answered

    async def _place(self) -> None:
        while True:
            # The module answers each event at once and never holds a request, so a client that leaves
            # now is dealt with a moment later, when there is a call of its own to close.
            match await self._mailbox.get():
                case StartAttempt(endpoint, patience_ms):
                    if await self._attempt(endpoint, patience_ms):
                        return
                case FinalResponse() as answer:
                    await self._final(answer)
                    return
                case CancelAttempt() | RedirectClient():
                    pass  # word on a call that has ended meanwhile

    async def _attempt(self, endpoint: str, patience_ms: float) -> bool:
        """One outbound call to its end; True when the request needs nothing more."""
        attempt = self.record.attempts
        self.record.attempts += 1
        self.record.endpoint, self.record.load_report = endpoint, {}
        left_ms = self._give_up_ms - self._balancer_actor.clock.now_ms()
        sent_ms = self._balancer_actor.clock.now_ms()
        connect_ms = self._balancer_actor.settings.connect_timeout_ms
        close_reason = await self._call(endpoint, min(patience_ms or left_ms, left_ms), connect_ms)
        if close_reason is None:
            took_ms = self._balancer_actor.clock.now_ms() - sent_ms
            await self._balancer_actor.post_event(
                decision.ConnectionEstablished(self.id, attempt, endpoint, took_ms)
            )
            await self._stand(attempt, endpoint)
            return True
        self.record.close_reason = close_reason
        if self._ran_ms is None and may_have_run(close_reason):
            self._ran_ms = sent_ms
        if close_reason in CLIENT_OVER or self.drain_forced.is_set():
            # Nothing more is owed to the module's request, but the outcome of its attempt is.
            await self._balancer_actor.post_event(decision.ClientDisconnected(self.id))
            await self._tell_outcome(attempt, endpoint, close_reason, True)
            if close_reason is CloseReason.CLIENT_FAULT:
                await self._final(FinalResponse(rejected=False, reason="wait for the answer"))
            elif close_reason not in CLIENT_GONE:
                await self._final(self._hurried())
            return True
        await self._tell_outcome(attempt, endpoint, close_reason, False)
        return False

    async def _tell_outcome(
        self, attempt: int, endpoint: str, close_reason: CloseReason, final: bool
    ) -> None:
        status, report = outcome_status(close_reason), self.record.load_report
        await self._balancer_actor.post_event(
            decision.AttemptEnded(self.id, attempt, endpoint, status, final, report)
        )

    def _hurried(self) -> FinalResponse:
        """What a request hears that a stop leaves no more time: a refusal only where that is no lie."""
        rejected = self._class.is_rejectable(self._ran_ms is not None)
        return FinalResponse(rejected, HURRY_RETRY_MS if rejected else 0.0, "shutdown")

    def idempotency_key_remaining_ms(self) -> float:
        """How long a further attempt may still be written: its last byte counts, not when it was decided.

        Counted from the same moment as the module's, or a little later, so that the module won't decide on
        another attempt once this says that it is too late for one.
        """
        if self._ran_ms is None or self._class.effect != "keyed":
            return math.inf
        return self._ran_ms + self._class.key_ttl_ms - self._balancer_actor.clock.now_ms()

    def blocking_reason(self, wanted: Callable[[], bool] | None = None) -> CloseReason | None:
        """Why nothing may be begun for the request at this very moment, or None. For as long as a connection
        comes up, or other work has the core, its client may have gone, a stop come to its end, its key's time
        run out, or ``wanted`` turned false: whether its endpoint may still be given it.
        """
        if self._leaving.done():
            return self._leaving.result()
        if (gone := self._transport.poll_client()) is not None:
            return gone
        if (
            self.drain_forced.is_set()
            or self.idempotency_key_remaining_ms() < 0
            or (wanted is not None and not wanted())
        ):
            return CloseReason.NOT_SENT
        return None

    def check_before_write(self, wanted: Callable[[], bool] | None = None) -> CloseReason | None:
        """As ``blocking_reason``; where it gives None, the request may have run from then on."""
        close_reason = self.blocking_reason(wanted)
        self.write_started = close_reason is None
        return close_reason

    async def _call(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        self.write_started = False
        if self._leaving.done():
            return self._leaving.result()
        if patience_ms <= 0 or self.drain_forced.is_set():
            return CloseReason.NOT_SENT
        over = asyncio.ensure_future(self.drain_forced.wait())
        calling = asyncio.ensure_future(
            self._transport.open_upstream(endpoint, patience_ms, min(connect_ms, patience_ms))
        )
        try:
            await asyncio.wait((calling, self._leaving, over), return_when=asyncio.FIRST_COMPLETED)
        finally:
            over.cancel()
            if not calling.done():
                # Never two at once: the next step waits until this call's connection is closed.
                calling.cancel()
                await asyncio.wait((calling,))
        if calling.cancelled():
            close_reason: CloseReason | None = (
                CloseReason.CANCELLED if self.write_started else CloseReason.NOT_SENT
            )
        else:
            close_reason = calling.result()
        if self._leaving.done():
            if close_reason is None:
                await self._transport.close_upstream()
            return self._leaving.result()
        return close_reason

    def begin_drain(self) -> None:
        """The relay is about to stop: the client is moved, if nobody has asked it to go yet."""
        if not self.drain_requested.is_set():
            self.drain_requested.set()
            if self.is_established:
                self._balancer_actor.notify_migrated_by_shutdown(self.id)

    def force_drain(self) -> None:
        """The relay is about to stop: a request not yet served is answered now."""
        self.drain_forced.set()

    async def _final(self, answer: FinalResponse) -> None:
        if self._answered:
            return
        self._answered = True
        self.record.final_response = answer
        await cancel_and_wait(self._leaving)
        await self._transport.send_final_response(answer)

    # ------------------------------------------------------------ while it stands

    async def _stand(self, attempt: int, endpoint: str) -> None:
        await cancel_and_wait(self._leaving)
        self._answered = True
        self.record.was_established, self.record.close_reason = True, None
        moving = asyncio.ensure_future(self._await_move())
        try:
            try:
                await self._transport.accept_client()
            except OSError:
                self.record.close_reason = CloseReason.CLIENT_RESET
                await self._transport.close_upstream()
            else:
                self.record.close_reason = await self._transport.relay_traffic(self.drain_requested)
        finally:
            moving.cancel()
            close_reason = self.record.close_reason or CloseReason.CLIENT_RESET
            self.record.close_reason = close_reason
            await self._tell_outcome(attempt, endpoint, close_reason, True)

    async def _await_move(self) -> None:
        instruction: Instruction | None = None
        while not isinstance(instruction, RedirectClient):
            instruction = await self._mailbox.get()
        self.drain_requested.set()

    async def report_load(self, value: float) -> None:
        """What the endpoint says of this connection's load, in microseconds of work a second."""
        attempt = max(0, self.record.attempts - 1)
        note = decision.MeasurementReported(self.id, attempt, self.record.endpoint, "load", value / 1000.0)
        await self._balancer_actor.post_event(note)

    # ------------------------------------------------------------ stood before this relay did

    async def _resume(self) -> None:
        """All of these come at once, and nowhere else will do: a connect that takes long is no bad sign."""
        ask = self.record.request
        self.record.endpoint = ask.established_endpoint
        close_reason: CloseReason | None = CloseReason.NOT_SENT
        while self.record.attempts < self._balancer_actor.settings.max_attempts and close_reason in NEVER_RAN:
            self.record.attempts += 1
            left_ms = max(1.0, self._give_up_ms - self._balancer_actor.clock.now_ms())
            close_reason = await self._call(ask.established_endpoint, left_ms, RESUME_CONNECT_MS)
            if self.drain_forced.is_set():
                break
        if close_reason is not None:
            self.record.close_reason = close_reason
            if may_have_run(close_reason):
                self._ran_ms = self.record.started_ms
            if close_reason not in CLIENT_GONE:
                lost = FinalResponse(rejected=False, reason="lost")
                await self._final(self._hurried() if self.drain_forced.is_set() else lost)
            return
        await self._balancer_actor.post_event(
            decision.ConnectionAdopted(
                self.id,
                ask.class_name,
                ask.tenant,
                ask.established_endpoint,
                ask.group,
                ask.expected_load,
                ask.client,
            )
        )
        await self._stand(
            0, ask.established_endpoint
        )  # to the module it is the first, however often it was called
