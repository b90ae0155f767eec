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
        for a in self.balancer.handle(self.now, event):
            if isinstance(a, PlaceRequest):
                self.check_send(a)
            elif isinstance(a, RejectRequest | FailRequest):
                r = self.held[a.id]
                assert not r["answered"] and not r["out"]
                if isinstance(a, RejectRequest):
                    cls = r["cls"]
                    harmless = cls.effect == "safe" or (cls.effect == "keyed" and cls.scope == "all")
                    assert r["ran"] is None or harmless
                del self.held[a.id]
            elif isinstance(a, AbandonAttempt):
                assert self.held[a.id]["out"]
            elif isinstance(a, MigrateConnection):
                assert self.held[a.id]["stands"] and not self.held[a.id]["moved"]
                self.held[a.id]["moved"] = True
            elif isinstance(a, SetTimer):
                assert a.delay_ms >= 0
                self.timers.append((self.now + a.delay_ms, a.tag))

    def check_send(self, a: PlaceRequest) -> None:
        r = self.held[a.id]
        assert not r["answered"] and not r["out"], "one attempt at a time, none after the answer"
        assert self.endpoints[a.endpoint].state == "ready", "drains are kept"
        assert self.now < r["until"] and 0 < a.timeout_ms <= r["until"] - self.now + 1e-6
        if r["ran"] is not None and r["cls"].effect != "safe":
            zone, cell, at = r["ran"]
            to = self.endpoints[a.endpoint]
            assert r["cls"].effect == "keyed" and self.now <= at + r["cls"].key_ttl_ms
            assert r["cls"].scope == "all" or (zone, cell)[r["cls"].scope == "cell"] in (to.zone, to.cell)
        r["out"], r["endpoint"], r["attempt"], r["sent"] = True, a.endpoint, r["attempt"] + 1, self.now
        assert r["attempt"] < self.settings.max_attempts

    def owed(self) -> None:
        """Rule one: a request is answered at once or has an attempt out, which always ends."""
        for r in self.held.values():
            assert r["out"], "a held request has no known end"

    def step(self, pick: int, kind: int, arg: int) -> None:
        out = [i for i, r in self.held.items() if r["out"]]
        if kind <= 3 or not out:
            self.ids += 1
            cls = CLASSES[arg % len(CLASSES)]
            until = self.now + (1000.0 if pick % 7 else 0.0)
            self.held[self.ids] = record(cls, until)
            group = "gh"[arg % 2]
            self.tell(RequestArrived(self.ids, cls.name, "tuv"[pick % 3], until, group, midflow=not pick))
        elif kind <= 5:
            i = out[pick % len(out)]
            r = self.held[i]
            if not r["stands"]:
                r["stands"], r["until"] = True, float("inf")
                self.tell(ConnectionEstablished(i, r["attempt"], r["endpoint"]))
        elif kind <= 8:
            self.end(out[pick % len(out)], STATUSES[arg % len(STATUSES)])
        elif kind == 9:
            i = out[pick % len(out)]
            if not self.held[i]["answered"]:
                self.held[i]["answered"] = True
                self.tell(ClientDisconnected(i))
        elif kind == 10:
            i = out[pick % len(out)]
            self.tell(
                MeasurementReported(
                    i, self.held[i]["attempt"], self.held[i]["endpoint"], "delay", float(arg * 9)
                )
            )
        elif kind == 11:
            name = f"s{pick % 7}"
            state = ("ready", "ready", "draining", "gone")[arg % 4]
            line = Endpoint(
                name, state, "xy"[pick % 2], pick % 2 * 10 + arg % 3, self.now if arg > 9 else 0.0
            )
            if state != "gone" or name in self.endpoints:
                self.endpoints[name] = line
                self.tell(EndpointListEvent("changes", [line]))
        elif kind == 12 and self.settings.discovery == "ask":
            self.tell(EndpointListEvent("failed", []))
        else:
            self.tell(AttemptEnded(10_000_000 + arg, 0, "nobody", "error", False))

    def end(self, i: int, status: str) -> None:
        r = self.held[i]
        if r["stands"]:
            status = ("ok", "reset", "cancelled")[len(status) % 3]
        final = r["answered"] or r["stands"] or status == "ok" or r["moved"]
        r["out"] = False
        if status not in NEVER_RAN and r["ran"] is None:
            to = self.endpoints[r["endpoint"]]
            r["ran"] = (to.zone, to.cell, r["sent"])
        if final:
            del self.held[i]
        self.tell(AttemptEnded(i, r["attempt"], r["endpoint"], status, final))

    def pass_time(self, ms: float) -> None:
        self.now += ms
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, tag in due:
            self.tell(TimerFired(tag))
        for i in [i for i, r in self.held.items() if r["out"] and self.now >= r["until"]]:
            self.end(i, "timeout")


STEPS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 13), st.integers(0, 15)), max_size=120)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(STEPS, st.integers(0, 9), st.booleans(), st.sampled_from(["push", "ask"]), st.booleans())
def test_any_legal_order_keeps_the_rules(
    steps: list[tuple[int, int, int]], seed: int, groups: bool, discovery: str, priced: bool
) -> None:
    world = World(seed, groups, discovery, priced)
    world.endpoints = {f"s{k}": Endpoint(f"s{k}", "ready", "xy"[k % 2], k % 2 * 10) for k in range(5)}
    world.tell(EndpointListEvent("stale", list(world.endpoints.values())))
    for k in range(3):
        world.ids += 1
        world.held[world.ids] = record(CLASSES[0], float("inf"))
        world.held[world.ids].update(out=True, stands=True, ran=("x", 0, 0.0), attempt=0, endpoint=f"s{k}")
        world.tell(ConnectionAdopted(world.ids, "safe", "t", f"s{k}", "g"))
    for pick, kind, arg in steps:
        world.step(pick, kind, arg)
        world.owed()
        world.pass_time(float(arg * pick) / 4)
        world.owed()
    for i in list(world.held):
        world.end(i, "ok")
    world.tell(EndpointListEvent("full", []))
    b = world.balancer
    assert not b.requests and not b.fleet.group_counts and not b.endpoints and not b.fleet.shedding
    assert b.fleet.open_count == 0 and b.fleet.totals == FleetTotals()
    assert all(count == 0 for count in b.fleet.tenant_counts.values())


def play(steps: list[tuple[int, int, int]], seed: int, prefix: str) -> list[Any]:
    """One course of events under names that all begin with the prefix; its actions without the prefix."""

    def line(k: int, state: str = "ready") -> Endpoint:
        return Endpoint(f"{prefix}s{k}", state, f"{prefix}z{k % 2}", k, 0.0)

    b = Balancer(
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
    log: list[Any] = []
    sent: list[tuple[int, int, str]] = []
    attempts: dict[int, int] = {}
    events: list[Any] = [EndpointListEvent("full", [line(k) for k in range(6)])]
    for now, (kind, pick, arg) in enumerate([(0, 0, 0), *steps]):
        if kind % 3 == 0 or not sent:
            cls, tenant = f"{prefix}c{pick % 2}", f"{prefix}t{arg % 3}"
            events.append(RequestArrived(now + 1, cls, tenant, now * 10.0 + 900.0, prefix + "g"))
        else:
            id, attempt, endpoint = sent[pick % len(sent)]
            choices: list[list[Event]] = [
                [
                    ConnectionEstablished(id, attempt, endpoint),
                    MeasurementReported(id, attempt, endpoint, "delay", 45.0),
                ],
                [AttemptEnded(id, attempt, endpoint, "reset", False)],
                [AttemptEnded(id, attempt, endpoint, "timeout", False), ClientDisconnected(id)],
                [EndpointListEvent("changes", [line(pick % 6, ("draining", "ready")[arg % 2])])],
            ]
            events += choices[arg % 4]
        due, events = events, []
        for event in due:
            for a in b.handle(now * 10.0, event):
                if isinstance(a, PlaceRequest):
                    attempts[a.id] = attempts.get(a.id, -1) + 1
                    sent.append((a.id, attempts[a.id], a.endpoint))
                log.append(repr(a).replace(prefix, ""))
    return log


@settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS, st.integers(0, 9))
def test_other_names_give_the_same_decisions(steps: list[tuple[int, int, int]], seed: int) -> None:
    # Endpoints, zones, classes and tenants under other names. Only a group's home follows from names, by
    # hash, since that is all that relays have in common; so groups cost nothing here.
    assert play(steps, seed, "q_") == play(steps, seed, "renamed-")
