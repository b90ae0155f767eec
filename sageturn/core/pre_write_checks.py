"""The checks just before an attempt connects, and just before its first byte is written."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from sageturn.core.close_reason import CloseReason
from sageturn.core.request_context import RequestContext
from sageturn.core.request_counters import SendBlock
from sageturn.decision import Effect


class BlockedSend(NamedTuple):
    """A reason not to send a request: its value for the counters, and the attempt's close reason."""

    send_block: SendBlock
    close_reason: CloseReason


class PreWriteChecks:
    """Checks of whether a request may be sent to an endpoint, made at the last moment.

    While the connection is being opened, or other tasks occupy the event loop, the client may disconnect, a
    shutdown run out of time, the idempotency key expire, or the endpoint be removed from the list. None of
    the checks waits.
    """

    __slots__ = ("_context", "_first_execution_ms", "write_started")

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        # Start of the first attempt that may have been executed; None if there is none.
        self._first_execution_ms: float | None = None
        self.write_started = False  # True if part of the request may have been written in the current attempt

    @property
    def may_have_been_executed(self) -> bool:
        """True if an endpoint may have executed the request in an attempt that has ended."""
        return self._first_execution_ms is not None

    def record_possible_execution(self, started_ms: float) -> None:
        """Record the start of an attempt that may have been executed; only the first such attempt counts."""
        if self._first_execution_ms is None:
            self._first_execution_ms = started_ms

    def idempotency_key_remaining_ms(self) -> float:
        """Return the time within which the last byte of a further attempt must be written.

        It is counted from the same moment as the balancer's, or from slightly later, so that the balancer
        does not decide on another attempt once this time is over.

        Returns:
            Milliseconds, negative once the key has expired; infinity where no key limits the request.
        """
        request_class = self._context.request_class
        if self._first_execution_ms is None or request_class.effect != Effect.KEYED:
            return math.inf
        return self._first_execution_ms + request_class.key_ttl_ms - self._context.now_ms()

    def blocking_reason(self, is_endpoint_usable: Callable[[], bool] | None = None) -> CloseReason | None:
        """Return why no attempt may be begun for the request now; None if it may.

        Args:
            is_endpoint_usable: returns whether the endpoint may be sent requests; None skips this check.
        """
        block = self._find_block(is_endpoint_usable)
        if block is None:
            return None
        self._context.balancer_actor.counters.blocked_sends[block.send_block.value] += 1
        return block.close_reason

    def _find_block(self, is_endpoint_usable: Callable[[], bool] | None) -> BlockedSend | None:
        context = self._context
        if (close_reason := context.client.find_close_reason()) is not None:
            return BlockedSend(SendBlock.CLIENT_DISCONNECTED, close_reason)
        if context.drain_forced.is_set():
            return BlockedSend(SendBlock.SHUTDOWN, CloseReason.NOT_SENT)
        if self.idempotency_key_remaining_ms() < 0:
            return BlockedSend(SendBlock.KEY_EXPIRED, CloseReason.NOT_SENT)
        is_adopted = bool(context.record.request.established_endpoint)
        if not is_adopted and context.now_ms() > context.deadline_ms:
            return BlockedSend(SendBlock.DEADLINE_PASSED, CloseReason.NOT_SENT)
        if is_endpoint_usable is not None and not is_endpoint_usable():
            return BlockedSend(SendBlock.ENDPOINT_WITHDRAWN, CloseReason.NOT_SENT)
        return None

    def check_before_write(self, is_endpoint_usable: Callable[[], bool] | None = None) -> CloseReason | None:
        """Repeat all checks, and check the request's invariants, just before its first byte is written.

        Args:
            is_endpoint_usable: see ``blocking_reason``.

        Returns:
            Why nothing may be written; None if the caller has to write now, after which the request may have
            been executed.
        """
        context = self._context
        close_reason = self.blocking_reason(is_endpoint_usable)
        now_ms = context.now_ms()
        if close_reason is None and not context.guard.may_send(now_ms, self._first_execution_ms):
            context.balancer_actor.counters.blocked_sends[SendBlock.INVARIANT.value] += 1
            close_reason = CloseReason.NOT_SENT
        self.write_started = close_reason is None
        return close_reason
