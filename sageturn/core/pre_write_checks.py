"""The checks in the instant before an attempt connects, and before its first byte is written."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from sageturn.core.close_reason import CloseReason
from sageturn.core.request_context import RequestContext
from sageturn.core.request_counters import SendBlock
from sageturn.decision import Effect


class Block(NamedTuple):
    """A reason that forbids sending, as the counters and as the attempt name it."""

    send_block: SendBlock
    close_reason: CloseReason


class PreWriteChecks:
    """Decides at the last moment whether a request may be sent to an endpoint.

    While a connection comes up, or other work has the core, the client may have gone, a shutdown run out of
    time, the idempotency key expired, or the endpoint left the list. None of the checks waits.
    """

    __slots__ = ("_context", "_first_execution_ms", "write_started")

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        # Start of the first attempt that may have been executed.
        self._first_execution_ms: float | None = None
        self.write_started = False  # something of the attempt in flight may have been written

    @property
    def may_have_been_executed(self) -> bool:
        """Whether an endpoint may have executed the request in an attempt that has ended."""
        return self._first_execution_ms is not None

    def record_possible_execution(self, started_ms: float) -> None:
        """Note an attempt that may have been executed and began at ``started_ms``; the first one counts."""
        if self._first_execution_ms is None:
            self._first_execution_ms = started_ms

    def idempotency_key_remaining_ms(self) -> float:
        """Return how long a further attempt may still be written: its last byte counts, not its decision.

        The time is counted from the same moment as the balancer's, or a little later, so that the balancer
        won't decide on another attempt once this says that it is too late for one.

        Returns:
            Milliseconds, negative once the key has expired; infinity where no key limits the request.
        """
        request_class = self._context.request_class
        if self._first_execution_ms is None or request_class.effect != Effect.KEYED:
            return math.inf
        return self._first_execution_ms + request_class.key_ttl_ms - self._context.now_ms()

    def blocking_reason(self, is_endpoint_usable: Callable[[], bool] | None = None) -> CloseReason | None:
        """Return why nothing may be begun for the request at this very moment; None where it may.

        Args:
            is_endpoint_usable: whether the endpoint may still be given work; None where any state will do.
        """
        block = self._find_block(is_endpoint_usable)
        if block is None:
            return None
        self._context.balancer_actor.counters.blocked_sends[block.send_block.value] += 1
        return block.close_reason

    def _find_block(self, is_endpoint_usable: Callable[[], bool] | None) -> Block | None:
        context = self._context
        if (close_reason := context.client.find_close_reason()) is not None:
            return Block(SendBlock.CLIENT_GONE, close_reason)
        if context.drain_forced.is_set():
            return Block(SendBlock.SHUTDOWN, CloseReason.NOT_SENT)
        if self.idempotency_key_remaining_ms() < 0:
            return Block(SendBlock.KEY_EXPIRED, CloseReason.NOT_SENT)
        is_adopted = bool(context.record.request.established_endpoint)
        if not is_adopted and context.now_ms() > context.deadline_ms:
            return Block(SendBlock.DEADLINE_PASSED, CloseReason.NOT_SENT)
        if is_endpoint_usable is not None and not is_endpoint_usable():
            return Block(SendBlock.ENDPOINT_WITHDRAWN, CloseReason.NOT_SENT)
        return None

    def check_before_write(self, is_endpoint_usable: Callable[[], bool] | None = None) -> CloseReason | None:
        """Check everything once more, and the request's invariants, just before its first byte is written.

        Args:
            is_endpoint_usable: as in ``blocking_reason``.

        Returns:
            Why nothing may be written; None where the caller has to write now, and the request may have been
            executed from then on.
        """
        context = self._context
        close_reason = self.blocking_reason(is_endpoint_usable)
        now_ms = context.now_ms()
        if close_reason is None and not context.guard.may_send(now_ms, self._first_execution_ms):
            context.balancer_actor.counters.blocked_sends[SendBlock.INVARIANT.value] += 1
            close_reason = CloseReason.NOT_SENT
        self.write_started = close_reason is None
        return close_reason
