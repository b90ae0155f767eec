"""Property tests: the balancer keeps its rules and leaks no state under any legal order of events.

The rules: each request is answered at once or has one attempt in flight; only a ready endpoint is sent an
attempt, before the deadline; a request is executed again only where its class allows it; and a rejection
promises that a retry is harmless.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sageturn import (
    AbandonAttempt,
    AttemptEnded,
    Balancer,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    Event,
    FailRequest,
    MeasurementReported,
    MigrateConnection,
    PlaceRequest,
    RejectRequest,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from sageturn.decision.state import FleetTotals

CLASSES = (
    RequestClass("safe", 300),
    RequestClass("unsafe", 300, effect="unsafe"),
    RequestClass("all", 300, effect="keyed", scope="all", key_ttl_ms=400),
    RequestClass("zone", 300, effect="keyed", scope="zone", key_ttl_ms=400),
    RequestClass("cell", 300, effect="keyed", scope="cell", key_ttl_ms=400),
)
NOT_EXECUTED = ("full", "connect_failed", "moot")
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")


class Execution(NamedTuple):
    """First attempt of a request that may have been executed."""

    zone: str
    cell: int
    sent_ms: float


@dataclass
class ClientRequest:
    """Expected state of one request: not answered yet, or with an attempt in flight or established."""

    request_class: RequestClass
    deadline_ms: float
    is_in_flight: bool = False  # an attempt was sent, and has not ended
    is_established: bool = False
    is_abandoned: bool = False  # its client has disconnected
    is_migrated: bool = False
    execution: Execution | None = None
    attempt: int = -1
    endpoint: str = ""
    sent_ms: float = 0.0


class RuleChecker:
    """Checker that sends a balancer legal events only, and checks each action that it returns."""

    def __init__(self, seed: int, groups: bool, discovery: str, has_cross_zone_cost: bool) -> None:
        self.settings = Settings(
            classes=CLASSES,
            tenants=(Tenant("t", 3.0, 20.0), Tenant("u", 3.0, 20.0)),
            relay_count=2,
            zone="x",
            discovery=discovery,
            max_attempts=3,
            may_cancel=True,
            groups=groups,
            cross_zone_cost=0.1 if has_cross_zone_cost else 0.0,
            weights="rough" if groups else "live",
        )
        self.balancer = Balancer(self.settings, seed)
        self.now_ms = 0.0
        self.last_id = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.requests: dict[int, ClientRequest] = {}
        self.timers: list[tuple[float, str]] = []

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_ms, event):
            if isinstance(action, PlaceRequest):
                self.check_placement(action)
            elif isinstance(action, RejectRequest | FailRequest):
                request = self.requests[action.id]
                assert not request.is_abandoned and not request.is_in_flight
                if isinstance(action, RejectRequest):
                    request_class = request.request_class
                    harmless = request_class.effect == "safe" or (
                        request_class.effect == "keyed" and request_class.scope == "all"
                    )
                    assert request.execution is None or harmless
                del self.requests[action.id]
            elif isinstance(action, AbandonAttempt):
                assert self.requests[action.id].is_in_flight
            elif isinstance(action, MigrateConnection):
                assert self.requests[action.id].is_established and not self.requests[action.id].is_migrated
                self.requests[action.id].is_migrated = True
            elif isinstance(action, SetTimer):
                assert action.delay_ms >= 0
                self.timers.append((self.now_ms + action.delay_ms, action.tag))

    def check_placement(self, action: PlaceRequest) -> None:
        request = self.requests[action.id]
        assert not request.is_abandoned and not request.is_in_flight, (
            "request already has an attempt in flight"
        )
        assert self.endpoints[action.endpoint].state == "ready", "an attempt was sent to an unready endpoint"
        remaining_ms = request.deadline_ms - self.now_ms
        assert self.now_ms < request.deadline_ms and 0 < action.timeout_ms <= remaining_ms + 1e-6
        request_class = request.request_class
        if request.execution is not None and request_class.effect != "safe":
            zone, cell, sent_ms = request.execution
            endpoint = self.endpoints[action.endpoint]
            assert request_class.effect == "keyed" and self.now_ms <= sent_ms + request_class.key_ttl_ms
            assert request_class.scope == "all" or (zone, cell)[request_class.scope == "cell"] in (
                endpoint.zone,
                endpoint.cell,
            )
        request.is_in_flight = True
        request.endpoint = action.endpoint
        request.attempt += 1
        request.sent_ms = self.now_ms
        assert request.attempt < self.settings.max_attempts

    def check_requests(self) -> None:
        """Check that each request is answered at once or has an attempt in flight, which always ends."""
        for request in self.requests.values():
            assert request.is_in_flight, "a request was not answered and has no attempt in flight"

    def step(self, pick: int, kind: int, arg: int) -> None:
        out = [request_id for request_id, request in self.requests.items() if request.is_in_flight]
        if kind <= 3 or not out:
            self.send_request(pick, arg)
        elif kind <= 5:
            self.establish(out[pick % len(out)])
        elif kind <= 8:
            self.end(out[pick % len(out)], STATUSES[arg % len(STATUSES)])
        elif kind == 9:
            self.disconnect(out[pick % len(out)])
        elif kind == 10:
            self.report_delay(out[pick % len(out)], float(arg * 9))
        elif kind == 11:
            self.change_endpoint(pick, arg)
        elif kind == 12 and self.settings.discovery == "ask":
            self.handle(EndpointListEvent("failed", []))
        else:
            self.handle(AttemptEnded(10_000_000 + arg, 0, "nobody", "error", False))

    def send_request(self, pick: int, arg: int) -> None:
        self.last_id += 1
        request_class = CLASSES[arg % len(CLASSES)]
        deadline_ms = self.now_ms + (1000.0 if pick % 7 else 0.0)
        self.requests[self.last_id] = ClientRequest(request_class, deadline_ms)
        group = "gh"[arg % 2]
        self.handle(
            RequestArrived(
                self.last_id, request_class.name, "tuv"[pick % 3], deadline_ms, group, is_takeover=not pick
            )
        )

    def establish(self, request_id: int) -> None:
        request = self.requests[request_id]
        if not request.is_established:
            request.is_established, request.deadline_ms = True, float("inf")
            self.handle(ConnectionEstablished(request_id, request.attempt, request.endpoint))

    def disconnect(self, request_id: int) -> None:
        if not self.requests[request_id].is_abandoned:
            self.requests[request_id].is_abandoned = True
            self.handle(ClientDisconnected(request_id))

    def report_delay(self, request_id: int, delay_ms: float) -> None:
        request = self.requests[request_id]
        self.handle(MeasurementReported(request_id, request.attempt, request.endpoint, "delay", delay_ms))

    def change_endpoint(self, pick: int, arg: int) -> None:
        name = f"s{pick % 7}"
        state = ("ready", "ready", "draining", "gone")[arg % 4]
        line = Endpoint(name, state, "xy"[pick % 2], pick % 2 * 10 + arg % 3, self.now_ms if arg > 9 else 0.0)
        if state != "gone" or name in self.endpoints:
            self.endpoints[name] = line
            self.handle(EndpointListEvent("changes", [line]))

    def end(self, request_id: int, status: str) -> None:
        request = self.requests[request_id]
        if request.is_established:
            status = ("ok", "reset", "cancelled")[len(status) % 3]
        final = request.is_abandoned or request.is_established or status == "ok" or request.is_migrated
        request.is_in_flight = False
        if status not in NOT_EXECUTED and request.execution is None:
            endpoint = self.endpoints[request.endpoint]
            request.execution = Execution(endpoint.zone, endpoint.cell, request.sent_ms)
        if final:
            del self.requests[request_id]
        self.handle(AttemptEnded(request_id, request.attempt, request.endpoint, status, final))

    def advance_time(self, duration_ms: float) -> None:
        self.now_ms += duration_ms
        due = [timer for timer in self.timers if timer[0] <= self.now_ms]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_ms]
        for _, tag in due:
            self.handle(TimerFired(tag))
        for request_id in [
            request_id
            for request_id, request in self.requests.items()
            if request.is_in_flight and self.now_ms >= request.deadline_ms
        ]:
            self.end(request_id, "timeout")


STEPS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 13), st.integers(0, 15)), max_size=120)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(STEPS, st.integers(0, 9), st.booleans(), st.sampled_from(["push", "ask"]), st.booleans())
def test_any_legal_order_keeps_the_rules(
    steps: list[tuple[int, int, int]], seed: int, groups: bool, discovery: str, has_cross_zone_cost: bool
) -> None:
    checker = RuleChecker(seed, groups, discovery, has_cross_zone_cost)
    checker.endpoints = {
        f"s{number}": Endpoint(f"s{number}", "ready", "xy"[number % 2], number % 2 * 10)
        for number in range(5)
    }
    checker.handle(EndpointListEvent("stale", list(checker.endpoints.values())))
    for number in range(3):
        checker.last_id += 1
        checker.requests[checker.last_id] = ClientRequest(
            CLASSES[0],
            float("inf"),
            is_in_flight=True,
            is_established=True,
            execution=Execution("x", 0, 0.0),
            attempt=0,
            endpoint=f"s{number}",
        )
        checker.handle(ConnectionAdopted(checker.last_id, "safe", "t", f"s{number}", "g"))
    for pick, kind, arg in steps:
        checker.step(pick, kind, arg)
        checker.check_requests()
        checker.advance_time(float(arg * pick) / 4)
        checker.check_requests()
    for request_id in list(checker.requests):
        checker.end(request_id, "ok")
    checker.handle(EndpointListEvent("full", []))
    balancer = checker.balancer
    assert (
        not balancer.requests
        and not balancer.fleet.group_counts
        and not balancer.endpoints
        and not balancer.fleet.shedding
    )
    assert balancer.fleet.open_count == 0 and balancer.fleet.totals == FleetTotals()
    assert all(count == 0 for count in balancer.fleet.tenant_counts.values())


def listed(prefix: str, number: int, state: str = "ready") -> Endpoint:
    return Endpoint(f"{prefix}s{number}", state, f"{prefix}z{number % 2}", number, 0.0)


def balancer_with_names(prefix: str, seed: int) -> Balancer:
    return Balancer(
        Settings(
            classes=(
                RequestClass(prefix + "c0", 300, message_latency_objective_ms=60),
                RequestClass(prefix + "c1", 300, effect="keyed", scope="zone", key_ttl_ms=500),
            ),
            tenants=(Tenant(prefix + "t0", 4.0, 30.0), Tenant(prefix + "t1", 2.0, 9.0)),
            zone=prefix + "z0",
            cross_zone_cost=0.1,
            may_cancel=True,
        ),
        seed,
    )


def events_after(sent: tuple[int, int, str], prefix: str, pick: int, arg: int) -> list[Event]:
    """Return events that may follow an attempt; ``sent`` is its request, its number and its endpoint."""
    request_id, attempt, endpoint = sent
    choices: list[list[Event]] = [
        [
            ConnectionEstablished(request_id, attempt, endpoint),
            MeasurementReported(request_id, attempt, endpoint, "delay", 45.0),
        ],
        [AttemptEnded(request_id, attempt, endpoint, "reset", False)],
        [AttemptEnded(request_id, attempt, endpoint, "timeout", False), ClientDisconnected(request_id)],
        [EndpointListEvent("changes", [listed(prefix, pick % 6, ("draining", "ready")[arg % 2])])],
    ]
    return choices[arg % 4]


def actions_under_names(steps: list[tuple[int, int, int]], seed: int, prefix: str) -> list[Any]:
    """Run events under names that begin with the prefix. Return the actions without the prefix."""
    balancer = balancer_with_names(prefix, seed)
    log: list[Any] = []
    sent: list[tuple[int, int, str]] = []
    attempts: dict[int, int] = {}
    due: list[Event] = [EndpointListEvent("full", [listed(prefix, number) for number in range(6)])]
    for number, (kind, pick, arg) in enumerate([(0, 0, 0), *steps]):
        if kind % 3 == 0 or not sent:
            cls, tenant = f"{prefix}c{pick % 2}", f"{prefix}t{arg % 3}"
            due.append(RequestArrived(number + 1, cls, tenant, number * 10.0 + 900.0, prefix + "g"))
        else:
            due += events_after(sent[pick % len(sent)], prefix, pick, arg)
        for event in due:
            for action in balancer.handle(number * 10.0, event):
                if isinstance(action, PlaceRequest):
                    attempts[action.id] = attempts.get(action.id, -1) + 1
                    sent.append((action.id, attempts[action.id], action.endpoint))
                log.append(repr(action).replace(prefix, ""))
        due = []
    return log


@settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS, st.integers(0, 9))
def test_other_names_give_the_same_decisions(steps: list[tuple[int, int, int]], seed: int) -> None:
    # Endpoints, zones, classes and tenants get other names. Only a group's homes depend on names, through
    # their hashes, which are all that relays have in common; so groups cost nothing here.
    assert actions_under_names(steps, seed, "q_") == actions_under_names(steps, seed, "renamed-")
