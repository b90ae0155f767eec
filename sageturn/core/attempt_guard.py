"""The guard of one request: asked before an attempt is sent, and as the request is answered and closed."""

from __future__ import annotations

from sageturn.core.invariants import Invariant, InvariantMonitor
from sageturn.decision import RequestClass

# The protocol counts an answer that is later than this as lost.
MAX_RESPONSE_DELAY_MS = 500.0


class AttemptGuard:
    """What must hold for one request. Pure: the caller passes the time, in milliseconds.

    The balancer decides by the same rules. If it, or the order of events on the way from it, is wrong, that
    is noticed here, and nothing reaches an endpoint.
    """

    __slots__ = (
        "_attempts",
        "_class",
        "_client_deadline_ms",
        "_max_attempts",
        "_monitor",
        "_open_attempts",
        "_request",
    )

    def __init__(
        self,
        request: str,
        request_class: RequestClass,
        max_attempts: int,
        client_deadline_ms: float,
        monitor: InvariantMonitor,
    ) -> None:
        """``request``: its id, for the log. ``client_deadline_ms``: when its client gives up."""
        self._request = request
        self._class = request_class
        self._max_attempts = max_attempts
        self._client_deadline_ms = client_deadline_ms
        self._monitor = monitor
        self._open_attempts = 0
        self._attempts = 0

    def begin_attempt(self) -> None:
        """An attempt has begun: from here on a connection may be open for it."""
        self._open_attempts += 1
        self._attempts += 1

    def end_attempt(self) -> None:
        """Its connection is closed, or established for good."""
        self._open_attempts -= 1

    def may_send(self, now_ms: float, first_execution_ms: float | None) -> bool:
        """Whether the request may be written to an endpoint at this moment.

        ``first_execution_ms``: start of the first attempt that may have been executed; None if there is none.
        """
        violated, detail = self._find_violation(now_ms, first_execution_ms)
        if violated is not None:
            self._monitor.report_violation(violated, self._request, detail)
        return violated is None

    def _find_violation(
        self, now_ms: float, first_execution_ms: float | None
    ) -> tuple[Invariant | None, str]:
        if self._open_attempts != 1:
            return Invariant.SINGLE_ATTEMPT, f"{self._open_attempts} attempts are open"
        if self._attempts > self._max_attempts:
            return Invariant.ATTEMPT_LIMIT, f"attempt {self._attempts} of {self._max_attempts}"
        if first_execution_ms is not None and not self._is_repeatable(now_ms - first_execution_ms):
            return Invariant.REPEATABLE, f"{self._class.effect}, {now_ms - first_execution_ms:.0f} ms after"
        return None, ""

    def _is_repeatable(self, elapsed_ms: float) -> bool:
        if self._class.effect == "keyed":
            return elapsed_ms <= self._class.key_ttl_ms
        return self._class.effect == "safe"

    def check_response(self, now_ms: float) -> None:
        """The final response is about to be sent."""
        late_ms = now_ms - self._client_deadline_ms
        if late_ms > MAX_RESPONSE_DELAY_MS:
            self._monitor.report_violation(
                Invariant.RESPONSE_IN_TIME, self._request, f"{late_ms:.0f} ms after its client gave up"
            )

    def check_closed(self, *, is_answered: bool, has_client_left: bool) -> None:
        """The request has ended, and its client's connection is about to be closed."""
        if not is_answered and not has_client_left:
            self._monitor.report_violation(Invariant.ANSWERED, self._request, "closed without an answer")
