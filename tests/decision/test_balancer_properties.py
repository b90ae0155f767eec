"""Arbitrary legal orders of events against the four rules, and against leaks."""

from __future__ import annotations

from typing import Any

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
NEVER_RAN = ("full", "connect_failed", "moot")
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")


def record(cls: RequestClass, until: float) -> dict[str, Any]:
    """What the world knows of one request: whether an attempt is out, stands, may have run."""
    return {
        "cls": cls,
        "until": until,
        "out": False,
        "stands": False,
        "answered": False,
        "moved": False,
        "ran": None,
        "attempt": -1,
        "endpoint": "",
        "sent": 0.0,
    }


class World:
    """Feeds a balancer legal events only, and checks each action as it comes."""

    def __init__(self, seed: int, groups: bool, discovery: str, priced: bool) -> None:
        self.settings = Settings(
            classes=CLASSES,
            tenants=(Tenant("t", 3.0, 20.0), Tenant("u", 3.0, 20.0)),
            relay_count=2,
            zone="x",
            discovery=discovery,
            max_attempts=3,
            may_cancel=True,
            groups=groups,
            cross_zone_cost=0.1 if priced else 0.0,
            weights="rough" if groups else "live",
        )
        self.balancer = Balancer(self.settings, seed)
        self.now = 0.0
        self.ids = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.held: dict[int, dict[str, Any]] = {}  # not answered, or answered with an attempt out
        self.timers: list[tuple[float, str]] = []

    def tell(self, event: Any) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, PlaceRequest):
                self.check_send(action)
            elif isinstance(action, RejectRequest | FailRequest):
                request = self.held[action.id]
                assert not request["answered"] and not request["out"]
                if isinstance(action, RejectRequest):
                    cls = request["cls"]
                    harmless = cls.effect == "safe" or (cls.effect == "keyed" and cls.scope == "all")
                    assert request["ran"] is None or harmless
                del self.held[action.id]
            elif isinstance(action, AbandonAttempt):
                assert self.held[action.id]["out"]
            elif isinstance(action, MigrateConnection):
                assert self.held[action.id]["stands"] and not self.held[action.id]["moved"]
                self.held[action.id]["moved"] = True
            elif isinstance(action, SetTimer):
                assert action.delay_ms >= 0
                self.timers.append((self.now + action.delay_ms, action.tag))

    def check_send(self, action: PlaceRequest) -> None:
        request = self.held[action.id]
        assert not request["answered"] and not request["out"], "one attempt at a time, none after the answer"
        assert self.endpoints[action.endpoint].state == "ready", "drains are kept"
        assert self.now < request["until"] and 0 < action.timeout_ms <= request["until"] - self.now + 1e-6
        if request["ran"] is not None and request["cls"].effect != "safe":
            zone, cell, sent_ms = request["ran"]
            endpoint = self.endpoints[action.endpoint]
            assert request["cls"].effect == "keyed" and self.now <= sent_ms + request["cls"].key_ttl_ms
            assert request["cls"].scope == "all" or (zone, cell)[request["cls"].scope == "cell"] in (
                endpoint.zone,
                endpoint.cell,
            )
        request["out"], request["endpoint"], request["attempt"], request["sent"] = (
            True,
            action.endpoint,
            request["attempt"] + 1,
            self.now,
        )
        assert request["attempt"] < self.settings.max_attempts

    def owed(self) -> None:
        """Rule one: a request is answered at once or has an attempt out, which always ends."""
        for request in self.held.values():
            assert request["out"], "a held request has no known end"

    def step(self, pick: int, kind: int, arg: int) -> None:
        out = [request_id for request_id, request in self.held.items() if request["out"]]
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
            self.tell(EndpointListEvent("failed", []))
        else:
            self.tell(AttemptEnded(10_000_000 + arg, 0, "nobody", "error", False))

    def send_request(self, pick: int, arg: int) -> None:
        self.ids += 1
        cls = CLASSES[arg % len(CLASSES)]
        until = self.now + (1000.0 if pick % 7 else 0.0)
        self.held[self.ids] = record(cls, until)
        group = "gh"[arg % 2]
        self.tell(RequestArrived(self.ids, cls.name, "tuv"[pick % 3], until, group, midflow=not pick))

    def establish(self, request_id: int) -> None:
        request = self.held[request_id]
        if not request["stands"]:
            request["stands"], request["until"] = True, float("inf")
            self.tell(ConnectionEstablished(request_id, request["attempt"], request["endpoint"]))

    def disconnect(self, request_id: int) -> None:
        if not self.held[request_id]["answered"]:
            self.held[request_id]["answered"] = True
            self.tell(ClientDisconnected(request_id))

    def report_delay(self, request_id: int, delay_ms: float) -> None:
        request = self.held[request_id]
        self.tell(MeasurementReported(request_id, request["attempt"], request["endpoint"], "delay", delay_ms))

    def change_endpoint(self, pick: int, arg: int) -> None:
        name = f"s{pick % 7}"
        state = ("ready", "ready", "draining", "gone")[arg % 4]
        line = Endpoint(name, state, "xy"[pick % 2], pick % 2 * 10 + arg % 3, self.now if arg > 9 else 0.0)
        if state != "gone" or name in self.endpoints:
            self.endpoints[name] = line
            self.tell(EndpointListEvent("changes", [line]))

    def end(self, request_id: int, status: str) -> None:
        request = self.held[request_id]
        if request["stands"]:
            status = ("ok", "reset", "cancelled")[len(status) % 3]
        final = request["answered"] or request["stands"] or status == "ok" or request["moved"]
        request["out"] = False
        if status not in NEVER_RAN and request["ran"] is None:
            endpoint = self.endpoints[request["endpoint"]]
            request["ran"] = (endpoint.zone, endpoint.cell, request["sent"])
        if final:
            del self.held[request_id]
        self.tell(AttemptEnded(request_id, request["attempt"], request["endpoint"], status, final))

    def pass_time(self, duration_ms: float) -> None:
        self.now += duration_ms
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, tag in due:
            self.tell(TimerFired(tag))
        for request_id in [
            request_id
            for request_id, request in self.held.items()
            if request["out"] and self.now >= request["until"]
        ]:
            self.end(request_id, "timeout")


STEPS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 13), st.integers(0, 15)), max_size=120)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(STEPS, st.integers(0, 9), st.booleans(), st.sampled_from(["push", "ask"]), st.booleans())
def test_any_legal_order_keeps_the_rules(
    steps: list[tuple[int, int, int]], seed: int, groups: bool, discovery: str, priced: bool
) -> None:
    world = World(seed, groups, discovery, priced)
    world.endpoints = {
        f"s{number}": Endpoint(f"s{number}", "ready", "xy"[number % 2], number % 2 * 10)
        for number in range(5)
    }
    world.tell(EndpointListEvent("stale", list(world.endpoints.values())))
    for number in range(3):
        world.ids += 1
        world.held[world.ids] = record(CLASSES[0], float("inf"))
        world.held[world.ids].update(
            out=True, stands=True, ran=("x", 0, 0.0), attempt=0, endpoint=f"s{number}"
        )
        world.tell(ConnectionAdopted(world.ids, "safe", "t", f"s{number}", "g"))
    for pick, kind, arg in steps:
        world.step(pick, kind, arg)
        world.owed()
        world.pass_time(float(arg * pick) / 4)
        world.owed()
    for request_id in list(world.held):
        world.end(request_id, "ok")
    world.tell(EndpointListEvent("full", []))
    balancer = world.balancer
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
    """What may happen next to an attempt that was sent: its request, its number and its endpoint."""
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


def play(steps: list[tuple[int, int, int]], seed: int, prefix: str) -> list[Any]:
    """One course of events under names that all begin with the prefix; its actions without the prefix."""
    balancer = balancer_with_names(prefix, seed)
    log: list[Any] = []
    sent: list[tuple[int, int, str]] = []
    attempts: dict[int, int] = {}
    due: list[Event] = [EndpointListEvent("full", [listed(prefix, number) for number in range(6)])]
    for now, (kind, pick, arg) in enumerate([(0, 0, 0), *steps]):
        if kind % 3 == 0 or not sent:
            cls, tenant = f"{prefix}c{pick % 2}", f"{prefix}t{arg % 3}"
            due.append(RequestArrived(now + 1, cls, tenant, now * 10.0 + 900.0, prefix + "g"))
        else:
            due += events_after(sent[pick % len(sent)], prefix, pick, arg)
        for event in due:
            for action in balancer.handle(now * 10.0, event):
                if isinstance(action, PlaceRequest):
                    attempts[action.id] = attempts.get(action.id, -1) + 1
                    sent.append((action.id, attempts[action.id], action.endpoint))
                log.append(repr(action).replace(prefix, ""))
        due = []
    return log


@settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS, st.integers(0, 9))
def test_other_names_give_the_same_decisions(steps: list[tuple[int, int, int]], seed: int) -> None:
    # Endpoints, zones, classes and tenants under other names. Only a group's home follows from names, by
    # hash, since that is all that relays have in common; so groups cost nothing here.
    assert play(steps, seed, "q_") == play(steps, seed, "renamed-")
