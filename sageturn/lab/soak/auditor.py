"""Auditor of a run's evidence, which checks the protocol's rules across all relays, without side effects."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise
from math import sqrt

from sageturn.decision import Effect
from sageturn.lab.soak.plan import (
    CHANGE_DELAY_S,
    DRAIN_GRACE_S,
    FALL_MULTIPLE,
    KEY_TTL_S,
    MAX_ATTEMPTS,
    NEVER_S,
    QUOTA_S,
    SLOW_START_WINDOW_S,
    START_CAPACITY,
    WARM_UP_S,
    FaultKind,
    SoakPlan,
)
from sageturn.lab.soak.records import AttemptRecord, ClientEnd, ClientRecord, Evidence, RelayRecord

MEASURING_SLACK_S = 0.15  # tolerance for processes that wait for a CPU core
LIMIT_SLACK_S = 0.05  # tolerance that the protocol adds to each time limit
ANSWER_GRACE_S = 0.5  # time past a client's wait by which its answer has to arrive
DISCONNECT_GRACE_S = 0.1  # time past a client's disconnect in which an attempt may still begin
NOTIFICATION_DEADLINE_S = 6.0  # time from a change to the moment when a relay counts as notified of it
RELOAD_DEADLINE_S = 4.0  # longest delay that SIGHUP causes to a notification where lists are pushed
BAD_CLIENT_DEADLINE_S = 3.0  # time in which an invalid request has to be answered or its connection closed
# A budget of fewer attempts may be exceeded by three times its square root, a larger one by twice that root.
SMALL_BUDGET_ATTEMPTS = 30.0


class Rule(StrEnum):
    """A rule that every run has to obey."""

    ANSWERED = "answered"
    ADOPTED = "adopted"
    ANSWERED_ONCE = "answered_once"
    IN_TIME = "in_time"
    BAD_CLIENT_ANSWERED = "bad_client_answered"
    ATTEMPT_LIMIT = "attempt_limit"
    SINGLE_ATTEMPT = "single_attempt"
    REPEATABLE = "repeatable"
    CLIENT_PRESENT = "client_present"
    DRAIN = "drain"
    SLOW_START = "slow_start"
    REQUEST_FORM = "request_form"
    ENDED_IN_ORDER = "ended_in_order"
    RELAY_EXIT = "relay_exit"
    RELAY_LOG = "relay_log"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: Rule
    subject: str  # name of a request, relay or endpoint
    detail: str


class Auditor:
    """Auditor of one run."""

    def __init__(self, plan: SoakPlan, evidence: Evidence) -> None:
        self._plan = plan
        self._evidence = evidence
        self._relays = {record.process: record for record in evidence.relays}
        self._clients = {client.request: client for client in evidence.clients if not client.is_bad}
        self._attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in evidence.attempts:
            if attempt.request:
                self._attempts[attempt.request].append(attempt)
        for attempts in self._attempts.values():
            attempts.sort(key=lambda attempt: attempt.complete_s)

    def find_violations(self) -> list[Violation]:
        """Return all violations, in the order of the checks."""
        found: list[Violation] = []
        for client in self._evidence.clients:
            found += self._check_bad_client(client) if client.is_bad else self._check_client(client)
        for request, attempts in self._attempts.items():
            found += self._check_attempts(request, attempts)
        for attempt in self._evidence.attempts:
            if attempt.error:
                found.append(Violation(Rule.REQUEST_FORM, attempt.endpoint, attempt.error))
        found += self._check_drains()
        found += self._check_slow_starts()
        for record in self._evidence.relays:
            found += self._check_relay(record)
        return found

    # ------------------------------------------------------------ clients

    def _was_killed(self, client: ClientRecord) -> bool:
        """Return whether the relay was killed before it answered the client or ended the connection."""
        relay = self._relays.get(client.relay_process)
        if relay is None or not relay.killed_s:
            return False
        return not client.answered_s or client.ended_s >= relay.killed_s - MEASURING_SLACK_S

    def _check_client(self, client: ClientRecord) -> Iterator[Violation]:
        if client.end == ClientEnd.REFUSED or not client.sent_s or self._was_killed(client):
            return
        if not client.answer and not client.left_s:
            yield Violation(Rule.ANSWERED, client.request, f"{client.end} {self._describe_elapsed(client)}")
            return
        if not client.answer and client.left_s > client.sent_s + client.wait_s + ANSWER_GRACE_S:
            yield Violation(Rule.ANSWERED, client.request, "nothing came")
            return
        if client.adopted_endpoint and not client.is_established:
            yield from self._check_lost_adoption(client)
        late_s = client.answered_s - client.sent_s - client.wait_s
        if client.answer and late_s > ANSWER_GRACE_S + MEASURING_SLACK_S:
            yield Violation(Rule.IN_TIME, client.request, f"{late_s:.3f} s late: {client.answer}")
        if client.answer and not client.is_established:
            if client.lines_after_answer:
                yield Violation(Rule.ANSWERED_ONCE, client.request, f"more after {client.answer}")
            if not client.answer.startswith(("BUSY", "ERR")):
                yield Violation(Rule.ANSWERED_ONCE, client.request, f"no answer is {client.answer!r}")
        elif client.is_established:
            yield from self._check_established(client)

    def _check_lost_adoption(self, client: ClientRecord) -> Iterator[Violation]:
        """Check that a connection from before the run was not restored for a reason that the rules allow.

        Such a reason is the end of its relay or of its endpoint, or a class that allows no repeat at will.
        """
        ended_s = client.answered_s or client.left_s
        relay = self._relays.get(client.relay_process)
        has_relay_ended = relay is not None and 0.0 < relay.terminated_s <= ended_s
        has_endpoint_ended = any(
            incarnation.name == client.adopted_endpoint
            and self._plan.started_s + min(incarnation.drain_s, incarnation.end_s) <= ended_s
            for incarnation in self._plan.incarnations
        )
        if self._plan.effect is Effect.SAFE and not has_relay_ended and not has_endpoint_ended:
            elapsed = f"{ended_s - client.sent_s:.3f} s after it was sent, relay {client.relay}"
            yield Violation(Rule.ADOPTED, client.request, f"{client.answer or 'nothing'} {elapsed}")

    def _describe_elapsed(self, client: ClientRecord) -> str:
        return f"{client.ended_s - client.sent_s:.3f} s after it was sent, relay {client.relay}"

    def _check_established(self, client: ClientRecord) -> Iterator[Violation]:
        attempts = self._attempts.get(client.request, [])
        established = [attempt for attempt in attempts if attempt.answer == "UP"]
        if not established or client.answer != f"UP {client.request}":
            yield Violation(Rule.ANSWERED_ONCE, client.request, f"no endpoint gave {client.answer!r}")
        elif client.ended_s and not client.is_moved and not established[-1].is_ended_by_endpoint:
            detail = f"{client.end} without MOVE, relay {client.relay}"
            yield Violation(Rule.ENDED_IN_ORDER, client.request, detail)

    def _check_bad_client(self, client: ClientRecord) -> Iterator[Violation]:
        if client.end == ClientEnd.REFUSED or not client.sent_s or self._was_killed(client):
            return
        ended_s = client.answered_s or client.ended_s or NEVER_S
        if client.left_s and client.left_s < client.sent_s + BAD_CLIENT_DEADLINE_S:
            return
        if ended_s > client.sent_s + BAD_CLIENT_DEADLINE_S + MEASURING_SLACK_S:
            yield Violation(Rule.BAD_CLIENT_ANSWERED, client.request, f"relay {client.relay}")

    # ------------------------------------------------------------ attempts

    def _check_attempts(self, request: str, attempts: list[AttemptRecord]) -> Iterator[Violation]:
        if len(attempts) > MAX_ATTEMPTS:
            yield Violation(Rule.ATTEMPT_LIMIT, request, f"{len(attempts)} attempts")
        for previous, current in pairwise(attempts):
            previous_end_s = previous.ended_s or NEVER_S
            if current.complete_s < previous_end_s - MEASURING_SLACK_S:
                yield Violation(Rule.SINGLE_ATTEMPT, request, f"{previous.endpoint} and {current.endpoint}")
        yield from self._check_repeats(request, attempts)
        client = self._clients.get(request)
        if client is not None and client.left_s:
            begun_s = max(attempt.first_byte_s for attempt in attempts) - client.left_s
            if begun_s > DISCONNECT_GRACE_S + MEASURING_SLACK_S:
                detail = f"{begun_s:.3f} s after the client had left, relay {client.relay}"
                yield Violation(Rule.CLIENT_PRESENT, request, detail)

    def _check_repeats(self, request: str, attempts: list[AttemptRecord]) -> Iterator[Violation]:
        executed = [attempt for attempt in attempts if not attempt.answer.startswith("b'BUSY\\r\\n'")]
        if self._plan.effect is Effect.SAFE or not executed:
            return
        for attempt in attempts:
            elapsed_s = attempt.complete_s - executed[0].complete_s
            is_allowed = self._plan.effect is Effect.KEYED and elapsed_s <= KEY_TTL_S + LIMIT_SLACK_S
            if elapsed_s > 0 and not is_allowed:
                yield Violation(Rule.REPEATABLE, request, f"{elapsed_s:.3f} s after {executed[0].endpoint}")

    # ------------------------------------------------------------ endpoints

    def _check_drains(self) -> Iterator[Violation]:
        first_notified_s: dict[tuple[int, str, float], float] = {}
        for notification in self._evidence.notifications:
            key = (notification.relay_process, notification.endpoint, round(notification.started_at_s, 3))
            first_notified_s[key] = min(first_notified_s.get(key, NEVER_S), notification.notified_s)
        incarnations = {
            (incarnation.name, round(self._plan.started_s + incarnation.start_s, 3)): incarnation
            for incarnation in self._plan.incarnations
        }
        for attempt in self._evidence.attempts:
            client = self._clients.get(attempt.request)
            incarnation = incarnations.get((attempt.endpoint, round(attempt.started_at_s, 3)))
            if client is None or incarnation is None or incarnation.drain_s >= NEVER_S:
                continue
            relay = self._relays.get(client.relay_process)
            key = (client.relay_process, attempt.endpoint, round(attempt.started_at_s, 3))
            deadline_s = self._latest_notification_s(incarnation.drain_s, relay)
            notified_s = min(first_notified_s.get(key, NEVER_S), deadline_s)
            late_s = attempt.first_byte_s - notified_s - DRAIN_GRACE_S - LIMIT_SLACK_S
            if late_s > MEASURING_SLACK_S:
                detail = f"{late_s:.3f} s past the grace, relay {client.relay}, request {attempt.request}"
                yield Violation(Rule.DRAIN, attempt.endpoint, detail)

    def _latest_notification_s(self, drain_s: float, relay: RelayRecord | None) -> float:
        """Return the latest time at which a relay counts as notified of a drain, on the monotonic clock.

        That is 6 s after discovery had the change and was reachable, but at least 6 s after the relay's
        start.
        """
        if self._plan.is_pushed:
            return self._latest_pushed_notification_s(drain_s, relay)
        available_s = drain_s
        for outage in self._plan.faults_of(FaultKind.DISCOVERY_DOWN):
            if (
                outage.begin_s <= available_s < outage.end_s
                or available_s < outage.begin_s < available_s + NOTIFICATION_DEADLINE_S
            ):
                available_s = outage.end_s
        notified_s = self._plan.started_s + available_s
        return max(notified_s, relay.started_s if relay else 0.0) + NOTIFICATION_DEADLINE_S

    def _latest_pushed_notification_s(self, drain_s: float, relay: RelayRecord | None) -> float:
        """Return the latest time at which a relay counts as notified of a drain, where lists are pushed.

        That is when the relay's agent has the change. It is later if at that time discovery is down, watches
        are unresponsive or the relay reloads.
        """
        available_s = drain_s + CHANGE_DELAY_S
        for outage in self._plan.faults_of(FaultKind.DISCOVERY_DOWN):
            if outage.is_active(available_s):
                available_s = outage.end_s
        for stall in self._plan.faults_of(FaultKind.DISCOVERY_SILENT):
            if stall.begin_s <= available_s < stall.begin_s + NOTIFICATION_DEADLINE_S:
                available_s = stall.begin_s + NOTIFICATION_DEADLINE_S
        for reload in self._plan.reloads():
            is_own = relay is not None and reload.target == relay.relay
            if is_own and reload.begin_s <= available_s < reload.begin_s + RELOAD_DEADLINE_S:
                available_s = reload.begin_s + RELOAD_DEADLINE_S
        return max(self._plan.started_s + available_s, relay.started_s if relay else 0.0)

    def _check_slow_starts(self) -> Iterator[Violation]:
        """Check that all relays together stay within the budget in each window that ends with an attempt."""
        arrivals: dict[tuple[str, float], list[float]] = defaultdict(list)
        for attempt in self._evidence.attempts:
            if attempt.complete_s and attempt.started_at_s > self._plan.started_s:
                age_s = attempt.complete_s - attempt.started_at_s
                arrivals[attempt.endpoint, attempt.started_at_s].append(age_s)
        for (endpoint, _), ages in arrivals.items():
            ages.sort()
            for number, age_s in enumerate(ages):
                if age_s > WARM_UP_S:
                    break
                count = number + 1 - bisect_left(ages, age_s - SLOW_START_WINDOW_S)
                bound = self.max_attempts_in_window(age_s)
                if count > bound:
                    detail = f"{count} attempts in the window up to {age_s:.2f} s, {bound:.1f} allowed"
                    yield Violation(Rule.SLOW_START, endpoint, detail)
                    break

    def max_attempts_in_window(self, age_s: float) -> float:
        """Return the attempts that all relays together may make in the window that ends at that age."""
        size = self._plan.size
        warm_connections = size.requests_per_s * QUOTA_S / size.endpoints
        capacity = START_CAPACITY + (1.0 - START_CAPACITY) * min(1.0, age_s / WARM_UP_S)
        budget = FALL_MULTIPLE * warm_connections * capacity * SLOW_START_WINDOW_S / WARM_UP_S
        if budget < SMALL_BUDGET_ATTEMPTS:
            return budget + 3.0 * sqrt(budget) + 3.0
        return budget + 2.0 * sqrt(budget) + 2.0

    # ------------------------------------------------------------ relays

    def _check_relay(self, record: RelayRecord) -> Iterator[Violation]:
        name = f"relay {record.relay}"
        if not record.ready_s and not record.killed_s and not record.terminated_s:
            yield Violation(Rule.RELAY_EXIT, name, "it did not become ready")
        if record.exit_code is None:
            yield Violation(Rule.RELAY_EXIT, name, "it did not end")
        elif not record.killed_s and (record.exit_code or not record.terminated_s):
            yield Violation(Rule.RELAY_EXIT, name, f"exit code {record.exit_code}")
        elif (
            record.terminated_s
            and record.exited_s > record.terminated_s + self._plan.kill_after_s + MEASURING_SLACK_S
        ):
            took_s = record.exited_s - record.terminated_s
            yield Violation(Rule.RELAY_EXIT, name, f"{took_s:.3f} s after SIGTERM")
        for line in record.log_errors:
            yield Violation(Rule.RELAY_LOG, name, line)
