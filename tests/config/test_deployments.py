"""Deployments unlike each other: settings read strictly, and behaviour that follows from them and no name."""

from __future__ import annotations

import asyncio
import copy
import json
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network_fakes import (
    FakeEndpoint,
    ask,
    first_line,
    listed,
    relaying,
    reply,
    resets,
    serve_all,
    up,
    write_config,
)

from sageturn import (
    AttemptEnded,
    Balancer,
    ConnectionEstablished,
    Endpoint,
    EndpointListEvent,
    HealthCheckCompleted,
    PlaceRequest,
    RequestArrived,
    SetTimer,
    TimerFired,
)
from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.config.settings import read_settings
from sageturn.core.even_pacer import EvenPacer
from sageturn.core.messages import EndpointListUpdate
from sageturn.core.shutdown_schedule import shutdown_schedule
from sageturn.relay import Relay

# A third deployment, which nobody runs: three zones, two classes, six attempts, reports with answers too.
FERRIES: dict[str, Any] = {
    "accounts": [{"name": "north", "allowancePerS": 3.0}, {"name": "south", "allowancePerS": 1.5}],
    "classes": [
        {"name": "gate", "aimMs": 200.0, "hardLimitMs": 900.0, "semantics": "safe", "keyTtlMs": 0.0},
        {"name": "deck", "aimMs": 900.0, "hardLimitMs": 1100.0},
    ],
    "discovery": "ask",
    "groupSize": 5,
    "zone": "pier",
    "weightKind": "nominal",
    "familyInfo": {
        "groups": True,
        "messageAimMs": [150.0, 400.0],
        "tenantQuotaConnections": [60.0, 30.0],
        "tellsDelay": True,
    },
    "guarantees": {
        "fallMs": 1500.0,
        "fallMultiple": 3.0,
        "startCapacity": 0.3,
        "warmWithinMs": 12000.0,
        "mustAskInMs": 8000.0,
        "stopSendingWithinMs": 100.0,
    },
    "policyLimits": {
        "sendCap": 6,
        "retryAfter": True,
        "cancel": True,
        "connectTimeoutMs": 150.0,
        "probes": True,
        "keepaliveMs": 5000.0,
        "maxRetryAfterMs": 800.0,
    },
    "prices": {"crossZone": 0.02, "moves": 0.01, "probe": 0.004},
    "report": {"source": "answers", "fields": ["x0", "x1"]},
}
ABSURD = (None, True, "x", -1, -0.5, 1e12, float("nan"), float("inf"), [], {}, [1], {"a": 1})


def change(conf: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    conf = copy.deepcopy(conf)
    at: Any = conf
    *parts, last = path.split(".")
    for part in parts:
        at = at[int(part)] if isinstance(at, list) else at[part]
    if value is ...:
        del at[last]
    else:
        at[int(last) if isinstance(at, list) else last] = value
    return conf


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("policyLimits", ..., "policyLimits.sendCap"),
        ("policyLimits.sendCap", 0, "policyLimits.sendCap"),
        ("policyLimits.sendCap", 2.5, "policyLimits.sendCap"),
        ("policyLimits.probes", 1, "policyLimits.probes"),
        ("policyLimits.connectTimeoutMs", 0, "connectTimeoutMs"),
        ("prices.probe", -0.1, "prices.probe"),
        ("prices.probe", float("nan"), "prices.probe"),
        ("report.source", "rumour", "report.source"),
        ("report.fields", ["x0", 3], "report.fields"),
        ("report.fields", "x0", "report.fields"),
        ("report", [], "report"),
        ("guarantees.fallMultiple", ..., "guarantees.fallMultiple"),
        ("guarantees.startCapacity", 1.5, "guarantees.startCapacity"),
        ("classes", [], "classes"),
        ("guarantees.warmWithinMs", float("inf"), "warmWithinMs"),
        ("classes.1.aimMs", 0, r"classes\[1\].aimMs"),
        ("classes.1.name", "gate", "classes"),
        ("classes.0", 7, r"classes\[0\]"),
        ("groupSize", 0, "groupSize"),
        ("familyInfo.messageAimMs", [1, "x"], r"familyInfo.messageAimMs\[1\]"),
        ("accounts.0.allowancePerS", -1, r"accounts\[0\].allowancePerS"),
        ("weightKind", 4, "weightKind"),
    ],
)
def test_a_missing_or_absurd_figure_is_refused_by_its_key(path: str, value: Any, key: str) -> None:
    # "must be above 0" or a bare Python error named a field of the program, or nothing; infinity passed.
    with pytest.raises(ConfigError, match=f"settings.*{key}"):
        read_settings(change(FERRIES, path, value), "settings")


def leaves(value: Any, path: str = "") -> list[str]:
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    found = [f"{path}{k}" for k, _ in items]
    return found + [deeper for k, v in items for deeper in leaves(v, f"{path}{k}.")]


@given(st.lists(st.tuples(st.sampled_from(leaves(FERRIES)), st.sampled_from(ABSURD)), min_size=1, max_size=3))
def test_spoilt_settings_are_taken_or_refused_but_never_break_the_program(spoilt: list[Any]) -> None:
    conf = FERRIES
    for path, value in spoilt:
        try:
            conf = change(conf, path, value)
        except (KeyError, TypeError, IndexError, ValueError):
            continue  # what it lay in is gone already
    try:
        settings = read_settings(conf, "settings")
    except ConfigError as error:
        assert str(error).startswith("settings")
    else:
        Balancer(settings, 1).handle(0.0, EndpointListEvent("stale", [Endpoint("a")]))


# ---------------------------------------------------------------- no name matters


def renamed(conf: dict[str, Any], rng: Random) -> tuple[dict[str, Any], dict[str, str]]:
    """Other names for classes, tenants and zones, in another order; with what each is called now."""
    conf = copy.deepcopy(conf)
    names = {old: f"z{rng.random()}" for old in ("gate", "deck", "north", "south", "pier", "quay", "isle")}
    aims = dict(zip(("gate", "deck"), conf["familyInfo"]["messageAimMs"], strict=True))
    quotas = dict(zip(("north", "south"), conf["familyInfo"]["tenantQuotaConnections"], strict=True))
    for key in ("classes", "accounts"):
        rng.shuffle(conf[key])
    conf["familyInfo"]["messageAimMs"] = [aims[c["name"]] for c in conf["classes"]]
    conf["familyInfo"]["tenantQuotaConnections"] = [quotas[t["name"]] for t in conf["accounts"]]
    for part in (*conf["classes"], *conf["accounts"]):
        part["name"] = names[part["name"]]
    conf["zone"] = names[conf["zone"]]
    return conf, names


def day(balancer: Balancer, names: dict[str, str], seed: int) -> list[Any]:
    """Requests, outcomes and reports by one seed; every action, in order."""
    rng, done = Random(seed), []
    zones = [names[z] for z in ("pier", "quay", "isle")]
    endpoints = [Endpoint(f"s{k}", zone=zones[k % 3], share=1.0 + k % 2, kind="ab"[k % 2]) for k in range(9)]
    events: list[Any] = [EndpointListEvent("stale", endpoints), EndpointListEvent("full", endpoints)]
    ids, now = 0, 0.0
    while now < 20000.0:
        event = events.pop(0) if events else None
        if event is None and rng.random() < 0.7:
            ids += 1
            names_of = names[rng.choice(("gate", "deck"))], names[rng.choice(("north", "south"))]
            event = RequestArrived(ids, *names_of, now + 900.0, group=f"g{rng.randrange(6)}")
        elif event is None:
            event = HealthCheckCompleted(
                f"s{rng.randrange(9)}", "ok", {"x0": rng.random() * 1.1, "x1": rng.random() / 4}
            )
        actions = balancer.handle(now, event)
        done += actions
        for action in actions:
            if isinstance(action, PlaceRequest):
                attempt = balancer.requests[action.id].attempts - 1
                status = rng.choice(("up", "up", "up", "error", "full", "reset"))
                if status == "up":
                    events.append(
                        ConnectionEstablished(action.id, attempt, action.endpoint, 40.0 + 60.0 * rng.random())
                    )
                    if rng.random() < 0.5:
                        events.append(AttemptEnded(action.id, attempt, action.endpoint, "ok", True))
                else:
                    events.append(AttemptEnded(action.id, attempt, action.endpoint, status, False))
            elif isinstance(action, SetTimer) and rng.random() < 0.3:
                events.append(TimerFired(action.mark))
        now += 20.0 * rng.random()
    return done


@given(st.integers(0, 10**6), st.booleans())
def test_renaming_and_permuting_classes_tenants_and_zones_changes_no_decision(seed: int, told: bool) -> None:
    conf = change(FERRIES, "familyInfo.tellsDelay", told)
    other, names = renamed(conf, Random(seed))
    same = day(Balancer(read_settings(conf), 5), {name: name for name in names}, seed)
    assert len(same) > 300 and day(Balancer(read_settings(other), 5), names, seed) == same


# ---------------------------------------------------------------- the third deployment on sockets


@pytest.mark.parametrize("attempts", [1, 6])
def test_a_third_deployment_is_served_by_its_own_figures(tmp_path: Path, attempts: int) -> None:
    async def go() -> None:
        from contextlib import AsyncExitStack

        conf = change(FERRIES, "policyLimits.sendCap", attempts)
        endpoints = [FakeEndpoint(script) for script in (resets,) * 6]
        async with AsyncExitStack() as stack:
            names, discovery = await serve_all(stack, endpoints)
            file = write_config(tmp_path, discovery.address, listed(names), settings=conf)
            relay = Relay(load({"GW_CONFIG": str(file)}))
            relay.balancer_actor.check_endpoint_health = lambda endpoint: None
            relay.start()
            stack.push_async_callback(relay.stop)
            line = first_line(900).replace(b"c=c,t=t", b"c=gate,t=north")
            assert (await reply(relay.listener.address, line))[:4] in (b"BUSY", b"ERR ")
            assert sum(len(e.lines) for e in endpoints) == attempts
            assert all(e.most_open <= 1 for e in endpoints)
            for endpoint in endpoints:
                endpoint.script = up
            relay.balancer_actor._balancer.buckets["south"][0] = 9.0
            line = first_line(900).replace(b"c=c,t=t", b"c=deck,t=south")
            reader, writer = await ask(relay.listener.address, line)
            assert await reader.readline() == b"UP r1\r\n"
            assert (await reply(relay.listener.address, first_line(900))).startswith(b"ERR c names no class")
            writer.close()

    asyncio.run(asyncio.wait_for(go(), 20))


def test_faulty_settings_at_sighup_leave_the_old_ones_in_force_by_name(tmp_path: Path) -> None:
    file = write_config(tmp_path, ("127.0.0.1", 9), settings=FERRIES)
    env = {"GW_CONFIG": str(file)}
    before = load(env)
    content = json.loads(file.read_text())
    file.write_text(json.dumps({**content, "settings": change(FERRIES, "prices.probe", "dear")}))
    with pytest.raises(ConfigError, match="settings.prices.probe"):
        load(env, previous=before)
    file.write_text(json.dumps({**content, "settings": change(FERRIES, "policyLimits.probes", False)}))
    assert before.keys_needing_restart(load(env, previous=before)) == ["settings"]


# ---------------------------------------------------------------- drains


def test_nothing_new_goes_to_a_host_from_the_millisecond_on_that_its_drain_is_told() -> None:
    # 500 ms are allowed on one deployment, 250 on the other: the module needs none of them.
    for settings in (FERRIES, change(FERRIES, "guarantees.stopSendingWithinMs", 500.0)):
        balancer = Balancer(read_settings(settings), 3)
        balancer.handle(0.0, EndpointListEvent("full", [Endpoint("a"), Endpoint("b"), Endpoint("c")]))
        balancer.handle(
            10.0, EndpointListEvent("changes", [Endpoint("a", "draining"), Endpoint("b", "gone")])
        )
        sent = set()
        for k in range(200):
            now = 10.0 + k
            for event in (
                RequestArrived(k, "gate", "north", now + 900.0),
                AttemptEnded(k, 0, "c", "ok", True),
            ):
                sent |= {a.endpoint for a in balancer.handle(now, event) if isinstance(a, PlaceRequest)}
        assert sent == {"c"}


@pytest.mark.parametrize("resumed", [False, True])
def test_a_host_that_drains_while_a_connection_to_it_comes_up_gets_no_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, resumed: bool
) -> None:
    # A connection may take connectTimeoutMs to come up; its line followed whatever had been told meanwhile.
    async def go() -> None:
        from sageturn.frontends.platform import connection as platform_connection

        async with relaying(tmp_path, up, up) as (relay, endpoints):
            by_port = {e.address[1]: (name, e) for name, e in zip("ab", endpoints, strict=True)}
            first: list[FakeEndpoint] = []
            connect = platform_connection.connect_unreserved

            async def slowly(address: tuple[str, int], timeout_s: float) -> Any:
                sock = await connect(address, timeout_s)
                if not first:
                    name, endpoint = by_port[address[1]]
                    first.append(endpoint)
                    drains = [Endpoint(name, "draining")]
                    await relay.endpoint_registry.on_watch_event(
                        relay.endpoint_registry.watch_number, EndpointListUpdate(9, False, drains)
                    )
                    while relay.endpoint_registry.version != 9:
                        await asyncio.sleep(0)
                return sock

            while relay.endpoint_registry.version != 2:  # discovery's own list has come
                await asyncio.sleep(0.01)
            monkeypatch.setattr(platform_connection, "connect_unreserved", slowly)
            more = ",at=a" if resumed else ""
            assert await reply(relay.listener.address, first_line(more=more)) == b"UP r1\r\n"
            assert len([line for line in first[0].lines if line]) == (1 if resumed else 0)

    asyncio.run(asyncio.wait_for(go(), 10))


# ---------------------------------------------------------------- a planned stop


@given(st.lists(st.floats(100.0, 20000.0), min_size=1, max_size=4))
def test_a_stop_ends_before_the_last_signal_of_any_deployment(waits_ms: list[float]) -> None:
    # It took 3.4 s everywhere, which only deadlines of 3 s and more allow: the last signal comes 0.7 s after
    # the longest, and what stands then is lost.
    cls = read_settings(FERRIES).classes[0]
    times = shutdown_schedule([replace(cls, give_up_ms=wait_ms) for wait_ms in waits_ms])
    killed_s = min(3.0, max(waits_ms) / 1000.0) + 0.7
    assert times.leave_at_s <= killed_s - 0.25
    assert 0.0 < times.move_from_s < times.move_from_s + times.over_s < times.hurry_at_s < times.leave_at_s


def test_a_stop_of_the_first_deployment_keeps_its_times() -> None:
    cls = read_settings(FERRIES).classes[0]
    times = shutdown_schedule([replace(cls, give_up_ms=3200.0)])
    assert times.move_from_s == 0.45 and times.leave_at_s == pytest.approx(3.4)
    assert times.hurry_at_s == pytest.approx(2.9) and times.over_s == pytest.approx(1.8, abs=0.01)


@given(st.integers(1, 400), st.integers(4, 60))
def test_few_connections_leave_as_evenly_as_many(count: int, steps: int) -> None:
    # Seven stood at a relay of the full fleet, and had all been moved 0.3 s into the 1.8 s for it: one at a
    # step at the least. Their relay was back no sooner, and nobody served them for the time between.
    pace, left, gone = EvenPacer(), count, 0
    for step in range(steps):
        due = pace.due(left, float(steps - step))
        left, gone = left - due, gone + due
        assert abs(gone - count * (step + 1) / steps) <= 1.0
    assert left == 0
