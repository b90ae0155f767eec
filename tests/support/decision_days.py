"""Seeded closed-loop simulation of one relay's day: endpoints, clients and discovery around a Balancer.

The simulation carries out each action, and adds faults: drains, restarts, crashes, slow endpoints and lost
watches. It uses only the public ``handle`` of the module. It has one seeded random generator, and its
arithmetic needs no mathematical library, so that the same events occur on any platform.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from heapq import heappop, heappush
from itertools import count
from random import Random

from support.decision_codes import EVENT_CODES, canonical_step, decode_action
from support.decision_variants import Variant

from sageturn import Balancer, decision

CLIENT_TIMEOUT_MS = 1500.0
SLOWNESS_CHANGE_MS = 4000.0
MEASUREMENT_INTERVAL_MS = 1000.0
MAX_RETRIES, RETRY_PROBABILITY = 2, 0.5  # retries of a rejected client
MEAN_WATCH_DURATION_MS = 20_000.0
START_MS = 50_000.0  # first instant of the clock, at which some endpoints are still warming up
TENANTS = ("red", "red", "red", "green", "blue", "unlisted")
CLASS_NAMES = ("safe", "safe", "unsafe", "keyed-all", "keyed-zone", "keyed-cell", "unlisted")
GROUPS = ("", "lobby", "lobby", "lobby", "hall", "g1", "g2", "g3", "g4")
EARLY_FAILURES = ("error", "full", "connect_failed", "reset", "moot", "cancelled")


@dataclass
class Endpoint:
    """Endpoint of the fleet, and its present faults."""

    name: str
    zone: str
    cell: int
    kind: str
    weight: float
    started_at_ms: float
    state: str = "ready"
    factor: float = 1.0
    is_slow: bool = False
    is_crashed: bool = False
    accepts_health_checks: bool = True


@dataclass
class Session:
    """Request and its connection, if any. ``phase`` is waiting, pending, open or ended."""

    id: int
    class_name: str
    tenant: str
    group: str
    phase: str = "waiting"
    endpoint: str = ""
    attempt: int = -1
    retries: int = 0
    is_migrated: bool = False


@dataclass
class Record:
    """Outcome of a simulated day."""

    digest: str = ""
    events: Counter[str] = field(default_factory=Counter)
    details: Counter[str] = field(default_factory=Counter)  # events by kind, such as "outcome reset"
    actions: Counter[str] = field(default_factory=Counter)


class DaySimulation:
    """Simulation of one variant's day. ``run`` returns its record."""

    def __init__(self, variant: Variant) -> None:
        self.variant = variant
        self.random = Random(variant.seed)
        self.balancer = Balancer(variant.settings, variant.seed)
        self.now_ms = START_MS
        self.scheduled_steps: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.ids = count(1)
        self.names = count(1)
        self.sessions: dict[int, Session] = {}
        self.fleet: dict[str, Endpoint] = {}
        self.is_watched = False
        self.record = Record()
        self.hash = sha256()
        self.action_handlers: dict[str, Callable[..., None]] = {
            "send": self._on_place,
            "refuse": self._on_reject,
            "fail": self._on_fail,
            "cancel": self._on_abandon,
            "move": self._on_migrate,
            "set_timer": self._on_set_timer,
            "watch": self._on_watch,
            "probe": self._on_check_health,
        }

    def run(self) -> Record:
        self._start()
        while self.record.events.total() < self.variant.events:
            self.now_ms, _, step = heappop(self.scheduled_steps)
            step()
        self.record.digest = self.hash.hexdigest()
        return self.record

    # ---------------------------------------------------------------- clock, chance and the module

    def _schedule(self, delay_ms: float, step: Callable[[], None]) -> None:
        heappush(self.scheduled_steps, (self.now_ms + delay_ms, next(self.order), step))

    def _draw_around(self, mean_ms: float) -> float:
        return mean_ms * 2.0 * self.random.random()

    def _draw_event(self, probability: float) -> bool:
        return self.random.random() < probability

    def _handle(self, event: decision.Event, detail: str = "") -> None:
        """Send the event, whose kind is ``detail``, to the balancer and carry out its actions."""
        actions = self.balancer.handle(self.now_ms, event)
        self.hash.update(canonical_step(self.now_ms, event, actions).encode())
        event_code = EVENT_CODES[type(event)]
        self.record.events[event_code] += 1
        self.record.details[f"{event_code} {detail}"] += 1
        for action in actions:
            code, values = decode_action(action)
            self.record.actions[code] += 1
            self.action_handlers[code](*values)

    # ---------------------------------------------------------------- the day's start

    def _start(self) -> None:
        for _ in range(self.variant.endpoints):
            endpoint = self._add_endpoint()
            endpoint.started_at_ms = self.random.choice((0.0, 1000.0, START_MS - 3000.0))
        names = list(self.fleet)
        self.fleet[names[0]].is_crashed = True  # the list held since the start is out of date
        for _ in range(5):
            session = self._new_session()
            session.phase, session.attempt = "open", 0
            session.endpoint = self.random.choice([*names, "forgotten"])
            self._handle(
                decision.ConnectionAdopted(
                    session.id,
                    session.class_name,
                    session.tenant,
                    session.endpoint,
                    session.group,
                    1.0,
                    f"client{session.id}",
                )
            )
            self._schedule_end(session)
        self._start_discovery(names)
        self._new_client()
        self._change_fleet()
        self._change_slowness()
        self._send_measurements()
        self._send_stray_events()

    def _start_discovery(self, names: list[str]) -> None:
        if self.variant.settings.discovery == "ask":
            self._publish("stale", names)
        else:
            self._publish("full", names)
            self._schedule(
                self._draw_around(MEAN_WATCH_DURATION_MS),
                lambda: self._end_watch(decision.DiscoveryFailure.LOST),
            )

    # ---------------------------------------------------------------- the fleet and its lists

    def _add_endpoint(self) -> Endpoint:
        number = next(self.names)
        zones, kinds, shares = self.variant.zones, self.variant.kinds, self.variant.shares
        endpoint = Endpoint(
            f"s{number}",
            zones[number % len(zones)],
            number % 4,
            kinds[number % len(kinds)],
            shares[number % len(shares)],
            self.now_ms,
        )
        endpoint.accepts_health_checks = self._draw_event(0.85)
        self.fleet[endpoint.name] = endpoint
        return endpoint

    def _publish(self, kind: str, names: list[str]) -> None:
        lines = [
            decision.Endpoint(
                endpoint.name,
                endpoint.state,
                endpoint.zone,
                endpoint.cell,
                endpoint.started_at_ms,
                endpoint.weight,
                endpoint.kind,
                endpoint.factor,
            )
            for endpoint in map(self.fleet.__getitem__, names)
        ]
        self._handle(decision.EndpointListEvent(kind, lines), kind)

    def _is_list_published(self) -> bool:
        return self.is_watched or self.variant.settings.discovery == "push"

    def _change_fleet(self) -> None:
        endpoint = self.random.choice(list(self.fleet.values()))
        change = self.random.choice((self._drain, self._restart, self._crash, self._reweigh))
        change(endpoint)
        if sum(endpoint.state == "ready" for endpoint in self.fleet.values()) < self.variant.endpoints:
            endpoint = self._add_endpoint()
            self._announce(endpoint)
        if self._is_list_published() and self._draw_event(0.1):
            self._publish("full", [name for name, endpoint in self.fleet.items() if endpoint.state != "gone"])
        self._schedule(self._draw_around(self.variant.fleet_change_ms), self._change_fleet)

    def _announce(self, endpoint: Endpoint) -> None:
        if self._is_list_published():
            self._publish("changes", [endpoint.name])

    def _drain(self, endpoint: Endpoint) -> None:
        endpoint.state = "draining"
        self._announce(endpoint)
        self._schedule(self._draw_around(2000.0), lambda: self._remove(endpoint))

    def _remove(self, endpoint: Endpoint) -> None:
        if endpoint.state != "draining" or self.fleet.get(endpoint.name) is not endpoint:
            return
        endpoint.state = "gone"
        self._announce(endpoint)
        self._break_connections(endpoint)
        del self.fleet[endpoint.name]

    def _restart(self, endpoint: Endpoint) -> None:
        self._break_connections(endpoint)
        endpoint.state, endpoint.is_crashed, endpoint.started_at_ms = "ready", False, self.now_ms
        self._announce(endpoint)

    def _crash(self, endpoint: Endpoint) -> None:
        endpoint.is_crashed = True
        self._break_connections(endpoint)
        self._schedule(self._draw_around(4000.0), lambda: self._restart_crashed(endpoint))

    def _restart_crashed(self, endpoint: Endpoint) -> None:
        if endpoint.is_crashed and endpoint.name in self.fleet:
            self._restart(endpoint)

    def _reweigh(self, endpoint: Endpoint) -> None:
        endpoint.factor = self.random.choice((0.5, 1.0, 1.0, 2.0))
        self._announce(endpoint)

    def _change_slowness(self) -> None:
        for endpoint in self.fleet.values():
            endpoint.is_slow = self._draw_event(self.variant.slow_ratio)
        self._schedule(self._draw_around(SLOWNESS_CHANGE_MS), self._change_slowness)

    def _connections(self, endpoint: Endpoint) -> list[Session]:
        return [
            session
            for session in self.sessions.values()
            if session.phase == "open" and session.endpoint == endpoint.name
        ]

    def _break_connections(self, endpoint: Endpoint) -> None:
        for session in self._connections(endpoint):
            self._schedule(self._draw_around(30.0), self._outcome_step(session, "reset", True, returns=True))

    # ---------------------------------------------------------------- clients

    def _new_session(self) -> Session:
        choice = self.random.choice
        session = Session(next(self.ids), choice(CLASS_NAMES), choice(TENANTS), choice(GROUPS))
        if self._draw_event(self.variant.private_group_ratio):
            session.group = f"private{session.id}"
        self.sessions[session.id] = session
        return session

    def _new_client(self) -> None:
        self._schedule(self._draw_around(self.variant.request_gap_ms), self._new_client)
        self._request_connection(self._new_session())

    def _request_connection(self, session: Session, is_reconnect: bool = False) -> None:
        is_bound = self._draw_event(self.variant.bound_ratio)
        allowed = frozenset(self.random.sample(list(self.fleet), 2)) if is_bound else None
        request = decision.RequestArrived(
            session.id,
            session.class_name,
            session.tenant,
            self.now_ms + CLIENT_TIMEOUT_MS,
            group=session.group,
            expected_load=self.random.choice((0.0, 1.0, 5.0)),
            is_takeover=self._draw_event(0.1),
            client=f"client{session.id}",
            is_reconnect=is_reconnect,
            is_retry=session.retries > 0,
            migrated_from=session.endpoint if session.is_migrated else "",
            migration_exempt_until_ms=self.now_ms + 5000.0 if session.is_migrated else 0.0,
            allowed=allowed,
            strict=is_bound and self._draw_event(0.5),
        )
        session.phase = "waiting"
        self._handle(request)

    def _reconnect(self, session: Session, delay_ms: float, is_reconnect: bool) -> None:
        """Let the client reconnect after ``delay_ms``, with another request."""
        again = self._new_session()
        again.class_name, again.tenant, again.group = session.class_name, session.tenant, session.group
        again.retries, again.is_migrated, again.endpoint = (
            session.retries,
            session.is_migrated,
            session.endpoint,
        )
        self._schedule(delay_ms, lambda: self._request_connection(again, is_reconnect))

    def _finish(self, session: Session) -> None:
        session.phase = "ended"
        self.sessions.pop(session.id, None)

    # ---------------------------------------------------------------- attempts and connections

    def _on_place(self, request_id: int, endpoint_name: str, timeout_ms: float) -> None:
        session = self.sessions[request_id]
        session.phase, session.endpoint, session.attempt = "pending", endpoint_name, session.attempt + 1
        endpoint = self.fleet.get(endpoint_name)
        if endpoint is None or endpoint.is_crashed:
            self._schedule(self._draw_around(10.0), self._outcome_step(session, "connect_failed", False))
            return
        took_ms = self._draw_around(400.0 if endpoint.is_slow else 30.0) * (
            0.7 if endpoint.kind == "a" else 1.0
        )
        if took_ms >= timeout_ms or self._draw_event(0.01):
            self._schedule(timeout_ms, self._outcome_step(session, "timeout", False))
        elif self._draw_event(0.3 if endpoint.is_slow else 0.03):
            status = self.random.choice(EARLY_FAILURES)
            self._schedule(took_ms, self._outcome_step(session, status, self._draw_event(0.05)))
        elif self._draw_event(0.03):
            self._schedule(took_ms, self._outcome_step(session, "ok", True))
        else:
            self._schedule(took_ms, self._establishment_step(session, took_ms))
        if self._draw_event(0.03):
            self._schedule(self._draw_around(40.0), lambda: self._disconnect(session))

    def _establishment_step(self, session: Session, took_ms: float) -> Callable[[], None]:
        attempt = session.attempt

        def step() -> None:
            if session.phase != "pending" or session.attempt != attempt:
                return
            session.phase = "open"
            self._schedule_end(session)
            self._handle(decision.ConnectionEstablished(session.id, attempt, session.endpoint, took_ms))

        return step

    def _outcome_step(
        self, session: Session, status: str, final: bool, returns: bool = False
    ) -> Callable[[], None]:
        attempt = session.attempt

        def step() -> None:
            if session.phase not in ("pending", "open") or session.attempt != attempt:
                return
            session.phase = "waiting"
            if final:
                self._finish(session)
            if returns:
                self._reconnect(session, self._draw_around(100.0), is_reconnect=True)
            report = self._report(session.endpoint) if self._has_report() else {}
            self._handle(
                decision.AttemptEnded(session.id, attempt, session.endpoint, status, final, report), status
            )

        return step

    def _schedule_end(self, session: Session) -> None:
        status = self.random.choice(("ok", "ok", "ok", "ok", "ok", "reset", "error"))
        self._schedule(self._draw_around(self.variant.session_ms), self._outcome_step(session, status, True))
        if self._draw_event(0.1):
            self._schedule(self._draw_around(self.variant.session_ms), lambda: self._disconnect(session))

    def _disconnect(self, session: Session) -> None:
        if session.phase in ("pending", "open"):
            self._schedule(self._draw_around(20.0), self._outcome_step(session, "ok", True))
            self._handle(decision.ClientDisconnected(session.id))

    def _on_reject(self, request_id: int, retry_after_ms: float) -> None:
        session = self.sessions.get(request_id)
        if session is None:
            return
        self._finish(session)
        if session.retries < MAX_RETRIES and self._draw_event(RETRY_PROBABILITY):
            session.retries += 1
            self._reconnect(session, retry_after_ms + self._draw_around(100.0), is_reconnect=False)

    def _on_fail(self, request_id: int) -> None:
        if request_id in self.sessions:
            self._finish(self.sessions[request_id])

    def _on_abandon(self, request_id: int, attempt: int) -> None:
        self._schedule(1.0, self._outcome_step(self.sessions[request_id], "cancelled", True))

    def _on_migrate(self, request_id: int) -> None:
        session = self.sessions.get(request_id)
        if session is None:  # the event that caused the migration was its end
            return
        session.is_migrated = True
        self._schedule(self._draw_around(60.0), self._outcome_step(session, "ok", True, returns=True))

    # ---------------------------------------------------------------- timers, discovery and reports

    def _on_set_timer(self, delay_ms: float, tag: str) -> None:
        self._schedule(delay_ms, lambda: self._handle(decision.TimerFired(tag)))

    def _on_watch(self) -> None:
        if self._draw_event(0.4):
            failures = (
                decision.DiscoveryFailure.UNREACHED,
                decision.DiscoveryFailure.OVERLOADED,
                decision.DiscoveryFailure.OVERLOADED,
                decision.DiscoveryFailure.UNANSWERED,
                decision.DiscoveryFailure.UNUSABLE,
            )
            failure = self.random.choice(failures)
            self._schedule(self._draw_around(800.0), lambda: self._end_watch(failure))
        else:
            self._schedule(self._draw_around(60.0), self._answer_watch)

    def _answer_watch(self) -> None:
        self.is_watched = True
        failure = self.random.choice((decision.DiscoveryFailure.LOST, decision.DiscoveryFailure.SILENT))
        self._schedule(self._draw_around(MEAN_WATCH_DURATION_MS), lambda: self._end_watch(failure))
        self._publish("full", list(self.fleet))

    def _end_watch(self, failure: decision.DiscoveryFailure) -> None:
        self.is_watched = False
        self._handle(decision.EndpointListEvent("failed", [], failure), f"failed {failure.name.lower()}")

    def _has_report(self) -> bool:
        return self.variant.settings.reports == "answers" and self._draw_event(0.5)

    def _report(self, endpoint_name: str) -> dict[str, float]:
        endpoint = self.fleet.get(endpoint_name)
        if endpoint is None:
            return {}
        utilization = 0.6 + 0.4 * self.random.random() if endpoint.is_slow else 0.75 * self.random.random()
        queued_work_s = self._draw_around(0.05 if endpoint.is_slow else 0.005)
        values = {"x0": utilization, "x1": queued_work_s, "cpu": utilization}
        return {name: values[name] for name in self.variant.settings.report_fields}

    def _on_check_health(self, endpoint_name: str) -> None:
        endpoint = self.fleet.get(endpoint_name)
        self._schedule(self._draw_around(20.0), lambda: self._answer_health_check(endpoint_name, endpoint))

    def _answer_health_check(self, endpoint_name: str, endpoint: Endpoint | None) -> None:
        if endpoint is None or endpoint.is_crashed or self._draw_event(0.05):
            self._handle(decision.HealthCheckCompleted(endpoint_name, "timeout"), "timeout")
        elif not endpoint.accepts_health_checks:
            self._handle(decision.HealthCheckCompleted(endpoint_name, "refused"), "refused")
        else:
            self._handle(
                decision.HealthCheckCompleted(endpoint_name, "ok", self._report(endpoint_name)), "ok"
            )

    def _send_measurements(self) -> None:
        """Report loads or, if they are measured, delays of some open connections each second."""
        self._schedule(MEASUREMENT_INTERVAL_MS, self._send_measurements)
        for endpoint in list(self.fleet.values()):
            for session in self._connections(endpoint):
                if session.phase == "open" and self._draw_event(0.25):
                    self._measure(session, endpoint)

    def _measure(self, session: Session, endpoint: Endpoint) -> None:
        if self.variant.settings.reports_delay and self._draw_event(0.7):
            kind, value = "delay", self._draw_around(60.0 if endpoint.is_slow else 8.0)
        else:
            mean_load = 1000.0 / self.variant.settings.relay_count
            kind, value = "load", self._draw_around(mean_load * (0.3 if endpoint.is_slow else 0.08))
        self._handle(
            decision.MeasurementReported(session.id, session.attempt, session.endpoint, kind, value), kind
        )

    def _send_stray_events(self) -> None:
        """Send events of unknown requests, endpoints and timers, which must be ignored."""
        self._schedule(self._draw_around(3000.0), self._send_stray_events)
        unknown = next(self.ids)
        self._handle(decision.ConnectionEstablished(unknown, 0, "s1", 5.0))
        self._handle(decision.AttemptEnded(unknown, 0, "s1", "ok", True))
        self._handle(decision.ClientDisconnected(unknown))
        self._handle(decision.MeasurementReported(unknown, 0, "unlisted", "load", 1.0))
        self._handle(decision.TimerFired("unlisted"))


def simulate_day(variant: Variant) -> Record:
    return DaySimulation(variant).run()
