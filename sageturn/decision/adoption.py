"""Plans the attempts that restore a connection which was established before the relay started.

Such a connection belongs to one endpoint, so a plan chooses no endpoint: it decides how long each attempt may
take, whether another one follows, and after which delay. The module is pure: it has no clock and does no I/O,
and its randomness is seeded. Times are milliseconds of the relay's time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from sageturn.decision.events import NOT_EXECUTED_STATUSES, AttemptStatus
from sageturn.decision.jitter import jitter_factor
from sageturn.decision.reject_cause import RejectCause
from sageturn.decision.settings import Effect, RequestClass, Settings

ADOPTION_LIMIT_MS = 40000.0  # the protocol counts a connection that is not established by then as lost
RESPONSE_MARGIN_MS = 15.0  # time for the final response to reach the client

# After a restart all clients arrive at once, so a slow connect or a slow answer does not indicate a fault.
CONNECT_TIMEOUT_MS = 5000.0
ANSWER_TIMEOUT_MS = 10000.0
MIN_ANSWER_TIMEOUT_MS = 1000.0  # an idempotency key that expires sooner leaves no time for a repeat

# An attempt that did not arrive costs the endpoint nothing and is not limited in number, so the next one
# follows soon. The number of those that arrive is limited, so they are spread over more time.
NOT_ARRIVED_DELAY_MS = 100.0
NOT_ARRIVED_DELAY_FACTOR = 2.0
MAX_NOT_ARRIVED_DELAY_MS = 2000.0
ARRIVED_DELAY_MS = 500.0
ARRIVED_DELAY_FACTOR = 4.0
MAX_ARRIVED_DELAY_MS = 8000.0
MAX_DELAY_EXPONENT = 16

# Outcomes of attempts of which the endpoint cannot have received the complete request.
NOT_ARRIVED_STATUSES = (AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT)


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Time limits of one attempt: ``total_ms`` until it is established, ``connect_ms`` of it to connect."""

    total_ms: float
    connect_ms: float


@dataclass(frozen=True, slots=True)
class RetryAdoption:
    """Decision to make another attempt after ``delay_ms``."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class EndAdoption:
    """Decision to make no further attempt, for ``cause``."""

    cause: RejectCause


class AdoptionPlan:
    """Plan of the attempts for one connection, which must not overlap."""

    def __init__(
        self, settings: Settings, request_class: RequestClass, rng: Random, started_ms: float, wait_ms: float
    ) -> None:
        """Create the plan for a client that arrived at ``started_ms`` and waits for ``wait_ms``."""
        self._max_attempts = settings.max_attempts
        self._request_class = request_class
        self._rng = rng
        self._deadline_ms = started_ms + max(0.0, min(wait_ms, ADOPTION_LIMIT_MS) - RESPONSE_MARGIN_MS)
        self._arrived_attempts = 0
        self._failures_since_arrival = 0  # attempts that did not arrive, since the last one that did
        # Start of the first attempt that may have been executed; None if there is none.
        self._first_execution_ms: float | None = None

    def next_timeouts(self, now_ms: float) -> AttemptTimeouts:
        """Return the time limits of an attempt that begins now.

        An attempt that no other may follow gets all the time that is left.
        """
        remaining_ms = max(1.0, self._deadline_ms - now_ms)
        total_ms = remaining_ms
        repeat_ms = self._repeat_window_ms(now_ms)
        is_last = self._arrived_attempts + 1 >= self._max_attempts
        if not is_last and repeat_ms / 2.0 >= MIN_ANSWER_TIMEOUT_MS:
            total_ms = min(remaining_ms, ANSWER_TIMEOUT_MS, repeat_ms / 2.0)
        return AttemptTimeouts(total_ms, min(total_ms, CONNECT_TIMEOUT_MS))

    def on_attempt_failed(
        self, now_ms: float, attempt_started_ms: float, status: AttemptStatus, *, is_endpoint_leaving: bool
    ) -> RetryAdoption | EndAdoption:
        """Decide what follows an attempt that was not established.

        Args:
            now_ms: the time at which it ended.
            attempt_started_ms: the time at which it began.
            status: its outcome.
            is_endpoint_leaving: True if the endpoint drains, was removed from the list or is out of service.
        """
        self._record_outcome(attempt_started_ms, status)
        if is_endpoint_leaving:
            return EndAdoption(RejectCause.NO_ENDPOINT)
        if self._arrived_attempts >= self._max_attempts:
            return EndAdoption(RejectCause.ATTEMPTS_EXHAUSTED)
        window_ms = math.inf if self._first_execution_ms is None else self._repeat_window_ms(now_ms)
        max_delay_ms = window_ms / 2.0
        if max_delay_ms <= 0.0:
            return EndAdoption(RejectCause.MAY_HAVE_RUN)
        delay_ms = min(self._delay_ms(), max_delay_ms)
        if now_ms + delay_ms >= self._deadline_ms:
            return EndAdoption(RejectCause.LATE)
        return RetryAdoption(delay_ms)

    def _record_outcome(self, attempt_started_ms: float, status: AttemptStatus) -> None:
        if status in NOT_ARRIVED_STATUSES:
            self._failures_since_arrival += 1
            return
        self._arrived_attempts += 1
        self._failures_since_arrival = 0
        if status not in NOT_EXECUTED_STATUSES and self._first_execution_ms is None:
            self._first_execution_ms = attempt_started_ms

    def _repeat_window_ms(self, now_ms: float) -> float:
        """Return for how long the request may still be repeated once it may have been executed."""
        match self._request_class.effect:
            case Effect.SAFE:
                return math.inf
            case Effect.KEYED:
                first_ms = now_ms if self._first_execution_ms is None else self._first_execution_ms
                return first_ms + self._request_class.key_ttl_ms - now_ms
            case _:
                return 0.0

    def _delay_ms(self) -> float:
        if self._failures_since_arrival:
            exponent = min(self._failures_since_arrival - 1, MAX_DELAY_EXPONENT)
            delay_ms = NOT_ARRIVED_DELAY_MS * NOT_ARRIVED_DELAY_FACTOR**exponent
            return min(delay_ms, MAX_NOT_ARRIVED_DELAY_MS) * jitter_factor(self._rng)
        exponent = min(self._arrived_attempts - 1, MAX_DELAY_EXPONENT)
        delay_ms = ARRIVED_DELAY_MS * ARRIVED_DELAY_FACTOR**exponent
        return min(delay_ms, MAX_ARRIVED_DELAY_MS) * jitter_factor(self._rng)


class AdoptionPlanner:
    """Planner of all adoptions of one relay, which share the settings and the random generator."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = Random(seed)

    def plan(self, request_class: RequestClass, started_ms: float, wait_ms: float) -> AdoptionPlan:
        """Return the plan for a client that arrived at ``started_ms`` and waits for ``wait_ms``."""
        return AdoptionPlan(self._settings, request_class, self._rng, started_ms, wait_ms)
