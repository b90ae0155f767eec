"""The balancer makes one relay's decisions, from that relay's events alone. It has no clock and does no I/O.

Each event is dispatched to a handler. The handlers ask ``admission`` whether a request is admitted and
``placement`` for its endpoint, and report the outcome of each attempt to ``fleet`` and ``overload``.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from sageturn.decision import actions, endpoint_watch, events, health_checks
from sageturn.decision.admission import AdmissionControl
from sageturn.decision.endpoint_watch import EndpointWatch
from sageturn.decision.events import NOT_EXECUTED_STATUSES, AttemptStatus, ListEventKind, MeasurementKind
from sageturn.decision.fleet import Fleet
from sageturn.decision.health_checks import HealthCheckScheduler
from sageturn.decision.jitter import jitter_factor
from sageturn.decision.overload import DEFAULT_MESSAGE_OBJECTIVE_MS, OVERLOAD_DELAY_RATIO, OverloadControl
from sageturn.decision.placement import Placement
from sageturn.decision.reject_cause import RejectCause
from sageturn.decision.relief import LoadRelief
from sageturn.decision.settings import Effect, Settings
from sageturn.decision.setup_times import SetupTimes
from sageturn.decision.state import AttemptState, EndpointState, RequestState

MIN_RETRY_AFTER_MS = 100.0
REEVALUATION_INTERVAL_MS = 50.0  # interval between checks of endpoints that shed load or are ejected
ATTEMPT_TIMEOUT_RATIO = 0.5  # part of the remaining time that an attempt gets if a retry may follow it


class Balancer:
    """Decision maker on requests and endpoints: ``handle`` maps one event to the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._rng = Random(seed)
        objective_ms = settings.shortest_message_objective_ms(DEFAULT_MESSAGE_OBJECTIVE_MS)
        max_queue_ms = objective_ms * OVERLOAD_DELAY_RATIO
        self._health_checks = HealthCheckScheduler(settings, max_queue_ms, self._rng)
        self.fleet = Fleet(settings, self._rng, self._health_checks)
        self.admission = AdmissionControl(settings, self._rng, self.fleet)
        self.relief = LoadRelief(settings, self._rng, self.fleet)
        self.overload = OverloadControl(settings, self._rng, self.fleet, self.relief)
        self.setup_times = SetupTimes(self.fleet)
        self.placement = Placement(settings, self._rng, self.fleet, self.setup_times)
        self.endpoints = self.fleet.endpoints
        self.requests: dict[int, RequestState] = {}
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._actions: list[actions.Action] = []
        self.reject_cause: RejectCause | None = None  # set if the latest event ended its request
        self._next_reevaluation_ms = 0.0
        self._watch = EndpointWatch(settings, self._rng)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            events.RequestArrived: self._on_request,
            events.ConnectionEstablished: self._on_established,
            events.AttemptEnded: self._on_attempt_ended,
            events.MeasurementReported: self._on_measurement,
            events.ClientDisconnected: self._on_client_disconnected,
            events.EndpointListEvent: self._on_list,
            events.ConnectionAdopted: self._on_adopted,
            events.TimerFired: self._on_timer,
            events.HealthCheckCompleted: self._on_health_check,
        }

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        """Return the actions that the event requires, in order. ``now_ms`` must never decrease."""
        self._actions = []
        self.reject_cause = None
        self.fleet.now_ms = now_ms
        self._handlers[type(event)](now_ms, event)
        return self._actions

    def _on_request(self, now_ms: float, event: events.RequestArrived) -> None:
        request_class = self._classes.get(event.class_name) or self.settings.classes[0]
        objective_deadline_ms = min(event.deadline_ms, now_ms + request_class.latency_objective_ms)
        request = RequestState.from_arrival(event, request_class, objective_deadline_ms)
        request.endpoint = self.fleet.endpoints.get(event.migrated_from)  # placement avoids this endpoint
        self.reevaluate_endpoints(now_ms)
        self.requests[event.id] = request
        if not event.is_retry:
            self._health_checks.record_request()
        if not event.is_takeover:
            wait_ms = self.admission.take_token(now_ms, event.tenant)
            if wait_ms > 0:
                self._end(request, wait_ms, RejectCause.THROTTLED)
                return
        self._place(now_ms, request)

    def reevaluate_endpoints(self, now_ms: float) -> None:
        """Update which endpoints shed load and readmit ejected ones, at most once per interval."""
        if now_ms >= self._next_reevaluation_ms:
            self._next_reevaluation_ms = now_ms + REEVALUATION_INTERVAL_MS
            self.fleet.update_weights()
            for endpoint in list(self.fleet.shedding.values()):
                self.overload.reevaluate(now_ms, endpoint)
            self.fleet.readmit_ejected(now_ms)

    def _place(self, now_ms: float, request: RequestState) -> None:
        """Place the next attempt, or end the request if it cannot be placed now: no request is queued."""
        is_late = request.attempts and now_ms >= request.objective_deadline_ms
        is_exhausted = request.attempts >= self.settings.max_attempts
        if request.deadline_ms - now_ms <= 0 or is_exhausted or is_late:
            self._end(request, 0.0, RejectCause.ATTEMPTS_EXHAUSTED if is_exhausted else RejectCause.LATE)
            return
        wait_ms = 0.0 if request.is_takeover else self.admission.setup_wait_ms(now_ms)
        endpoint = None if wait_ms else self.placement.select_endpoint(request)
        if endpoint is None:
            cause = self.admission.setup_wait_cause(wait_ms) if wait_ms else RejectCause.NO_ENDPOINT
            self._end(request, wait_ms or MIN_RETRY_AFTER_MS, cause)
            return
        timeout_ms = self._attempt_timeout_ms(now_ms, request)
        request.begin_attempt(endpoint, now_ms)
        self.fleet.rejection_streak.reset()
        self.admission.setup_window.begin_setup()
        self.fleet.count_attempt(endpoint, 1, 1)
        self.fleet.count_connection(request, 1)
        if endpoint.is_at_capacity():
            self.overload.reevaluate(now_ms, endpoint)
        if endpoint.slow_start:
            self.fleet.slow_start.take_permit(endpoint.slow_start)
        self._actions.append(actions.PlaceRequest(request.id, endpoint.name, timeout_ms))

    def _attempt_timeout_ms(self, now_ms: float, request: RequestState) -> float:
        """Return the next attempt's timeout: all the remaining time if no retry could follow in time."""
        remaining_ms = request.deadline_ms - now_ms
        timeout_ms = max(remaining_ms * ATTEMPT_TIMEOUT_RATIO, self.settings.connect_timeout_ms)
        is_unsafe = request.request_class.effect == Effect.UNSAFE
        is_last = is_unsafe or request.attempts + 1 >= self.settings.max_attempts
        return remaining_ms if is_last or now_ms + timeout_ms >= request.objective_deadline_ms else timeout_ms

    def _end(self, request: RequestState, retry_after_ms: float, cause: RejectCause) -> None:
        """End the request finally: reject it if a retry is harmless by its class, else fail it."""
        self.reject_cause = cause
        if not request.attempts:
            self.fleet.rejection_streak.record_rejection(self.fleet.now_ms)
        if request.request_class.is_rejectable(request.execution is not None):
            advice_ms = max(MIN_RETRY_AFTER_MS, retry_after_ms) * jitter_factor(self._rng)
            advice_ms = min(self.settings.max_retry_after_ms, advice_ms)
            is_advised = self.settings.retry_after and retry_after_ms
            self._actions.append(actions.RejectRequest(request.id, advice_ms if is_advised else 0.0))
        else:
            self._actions.append(actions.FailRequest(request.id))
        del self.requests[request.id]

    def _on_established(self, now_ms: float, event: events.ConnectionEstablished) -> None:
        request = self.requests.get(event.id)
        endpoint = request.endpoint_of(event.attempt) if request else None
        if request is None or endpoint is None or request.state != AttemptState.IN_FLIGHT:
            return
        request.state = AttemptState.ESTABLISHED
        self.admission.setup_window.end_setup(now_ms, now_ms - request.sent_ms, is_served=True)
        if not request.is_finished:
            endpoint.connections.established[request.id] = request
        self.fleet.count_attempt(endpoint, -1, 0)
        self.fleet.record_establishment(endpoint, now_ms <= request.objective_deadline_ms)
        if event.duration_ms > 0 and endpoint.kind and not endpoint.slow_start:
            self.setup_times.record(now_ms, endpoint, event.duration_ms)

    def _on_attempt_ended(self, now_ms: float, event: events.AttemptEnded) -> None:
        request = self.requests.get(event.id)
        endpoint = request.endpoint_of(event.attempt) if request else None
        if request is None or endpoint is None or request.state == AttemptState.NONE:
            return
        was_in_flight = request.state == AttemptState.IN_FLIGHT
        self._actions += self.overload.record_report(now_ms, endpoint, event.report)
        self.fleet.count_attempt(endpoint, -1 if was_in_flight else 0, -1)
        self.fleet.count_connection(request, -1)
        request.state = AttemptState.NONE
        endpoint.forget_connection(request.id)
        if was_in_flight:
            self._record_setup_end(now_ms, request, endpoint, event.status)
        elif event.status == AttemptStatus.RESET:
            self.overload.record_reset(now_ms, endpoint)
        if event.final or request.is_finished:
            del self.requests[request.id]
            return
        if event.status not in NOT_EXECUTED_STATUSES:
            request.record_execution(endpoint)
        if request.request_class.effect == Effect.UNSAFE and request.execution is not None:
            self._end(request, 0.0, RejectCause.MAY_HAVE_RUN)
        else:
            self._place(now_ms, request)

    def _record_setup_end(
        self, now_ms: float, request: RequestState, endpoint: EndpointState, status: str
    ) -> None:
        """Adapt the limits to an attempt that ended before it was established."""
        is_served = status == AttemptStatus.OK
        self.admission.setup_window.end_setup(now_ms, now_ms - request.sent_ms, is_served)
        self.fleet.record_setup_end(endpoint, status)
        if status == AttemptStatus.CONNECT_FAILED:
            self._actions += self._watch.on_connect_failed(now_ms)

    def _on_client_disconnected(self, now_ms: float, event: events.ClientDisconnected) -> None:
        request = self.requests.get(event.id)
        if request is None or request.is_finished:
            return
        if request.state == AttemptState.ESTABLISHED and request.endpoint is not None:
            request.endpoint.forget_connection(request.id)
        elif request.state == AttemptState.IN_FLIGHT and self.settings.may_cancel:
            self._actions.append(actions.AbandonAttempt(request.id, request.attempts - 1))
        request.is_finished = True  # ``AttemptEnded`` of its attempt still follows

    def _on_adopted(self, now_ms: float, event: events.ConnectionAdopted) -> None:
        request_class = self._classes.get(event.class_name) or self.settings.classes[0]
        self.requests[event.id] = self.fleet.adopt(event, request_class)

    def _on_measurement(self, now_ms: float, event: events.MeasurementReported) -> None:
        endpoint = self.fleet.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        if event.kind == MeasurementKind.LOAD:
            self._actions += self.overload.record_load(now_ms, endpoint, event.id, event.value)
        else:
            self._actions += self.overload.record_delay(now_ms, endpoint, event.value)

    def _on_list(self, now_ms: float, event: events.EndpointListEvent) -> None:
        if event.kind == ListEventKind.STALE:
            self._actions += self._health_checks.on_start()
        self._actions += self._watch.on_list(now_ms, event)
        if event.kind != ListEventKind.FAILED:
            self.fleet.apply_list(event)

    def _on_timer(self, now_ms: float, event: events.TimerFired) -> None:
        if event.tag == endpoint_watch.TIMER_TAG:
            self._actions += self._watch.on_timer(now_ms)
        elif event.tag == health_checks.TIMER_TAG:
            listed_names = [endpoint.name for endpoint in self.fleet.ready + self.fleet.ejected]
            self._actions += self._health_checks.on_timer(now_ms, listed_names)

    def _on_health_check(self, now_ms: float, event: events.HealthCheckCompleted) -> None:
        endpoint = self.fleet.endpoints.get(event.endpoint)
        if event.status == AttemptStatus.REFUSED:
            self._health_checks.exclude_endpoint(event.endpoint)
        elif endpoint is not None:
            self._actions += self.overload.record_report(now_ms, endpoint, event.report)
