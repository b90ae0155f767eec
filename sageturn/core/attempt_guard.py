"""Checks the invariants of one request before each write, when it is answered and when it is closed."""

from __future__ import annotations

from typing import NamedTuple

from sageturn.core.invariants import Invariant, InvariantMonitor
from sageturn.decision import Effect, RequestClass

MAX_RESPONSE_DELAY_MS = 500.0  # the protocol counts a response as lost if it is delayed by more


class Violation(NamedTuple):
    """An invariant that does not hold, with the details for the log."""

    invariant: Invariant
    detail: str


class AttemptGuard:
    """Checker of one request's invariants. It does no I/O: the caller passes the time, in milliseconds.

    The balancer decides by the same rules. The guard catches a fault in the balancer, or instructions that
    arrive out of order, before anything is written to an endpoint.
    """

    __slots__ = (
        "_attempts",
        "_client_deadline_ms",
        "_log_id",
        "_max_attempts",
        "_monitor",
        "_open_attempts",
        "_request_class",
    )

    def __init__(
        self,
        log_id: str,
        request_class: RequestClass,
        max_attempts: int,
        client_deadline_ms: float,
        monitor: InvariantMonitor,
    ) -> None:
        """Create the guard of a request that has had no attempt.

        Args:
            log_id: id of the request in log lines.
            request_class: determines whether a request that may have been executed can be repeated.
            max_attempts: number of attempts that the settings allow.
            client_deadline_ms: time at which the client gives up.
            monitor: counts and logs violations.
        """
        self._log_id = log_id
        self._request_class = request_class
        self._max_attempts = max_attempts
        self._client_deadline_ms = client_deadline_ms
        self._monitor = monitor
        self._open_attempts = 0
        self._attempts = 0

    def begin_attempt(self) -> None:
        """Count an attempt that begins; a connection may be open for it from now on."""
        self._open_attempts += 1
        self._attempts += 1

    def end_attempt(self) -> None:
        """Count the attempt in flight as ended: its connection was closed or is established."""
        self._open_attempts -= 1

    def discount_attempt(self) -> None:
        """Stop counting the attempt that has just ended: its request cannot have arrived anywhere."""
        self._attempts -= 1

    def may_send(self, now_ms: float, first_execution_ms: float | None) -> bool:
        """Return whether the request may be written to an endpoint now; report the violation if not.

        Args:
            now_ms: current time.
            first_execution_ms: start of the first attempt that may have been executed; None if there is none.
        """
        violation = self._find_violation(now_ms, first_execution_ms)
        if violation is None:
            return True
        self._monitor.report_violation(violation.invariant, self._log_id, violation.detail)
        return False

    def _find_violation(self, now_ms: float, first_execution_ms: float | None) -> Violation | None:
        if self._open_attempts != 1:
            return Violation(Invariant.SINGLE_ATTEMPT, f"{self._open_attempts} attempts are open")
        if self._attempts > self._max_attempts:
            return Violation(Invariant.ATTEMPT_LIMIT, f"attempt {self._attempts} of {self._max_attempts}")
        if first_execution_ms is not None and not self._is_repeatable(now_ms - first_execution_ms):
            detail = f"{self._request_class.effect}, {now_ms - first_execution_ms:.0f} ms after"
            return Violation(Invariant.REPEATABLE, detail)
        return None

    def _is_repeatable(self, elapsed_ms: float) -> bool:
        if self._request_class.effect == Effect.KEYED:
            return elapsed_ms <= self._request_class.key_ttl_ms
        return self._request_class.effect == Effect.SAFE

    def check_response(self, now_ms: float) -> None:
        """Report a violation if the final response, which is about to be sent, is too late for the client."""
        delay_ms = now_ms - self._client_deadline_ms
        if delay_ms > MAX_RESPONSE_DELAY_MS:
            self._monitor.report_violation(
                Invariant.RESPONSE_IN_TIME, self._log_id, f"{delay_ms:.0f} ms after its client gave up"
            )

    def check_closed(self, *, is_answered: bool, has_client_disconnected: bool) -> None:
        """Report a violation if the request has ended and its connected client was not answered."""
        if not is_answered and not has_client_disconnected:
            self._monitor.report_violation(Invariant.ANSWERED, self._log_id, "closed without an answer")
