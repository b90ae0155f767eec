"""Different deployments: behaviour follows from the settings, and does not depend on names in them."""

from __future__ import annotations

import asyncio
import copy
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.deployments import FERRY_SETTINGS, replace_setting
from support.network_fakes import (
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    exchange_line,
    make_endpoint_list,
    reset_connection,
    running_relay,
    send_request,
    start_endpoints_and_discovery,
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
from sageturn.config.loader import load
from sageturn.config.settings import read_settings
from sageturn.core.even_pacer import EvenPacer
from sageturn.core.messages import EndpointListUpdate
from sageturn.core.shutdown_schedule import plan_shutdown
from sageturn.frontends import frontend_connection
from sageturn.net import connecting
from sageturn.net.json_stream import JsonObject
from sageturn.relay import Relay

# ---------------------------------------------------------------- names do not matter


def renamed_and_shuffled(conf: JsonObject, rng: Random) -> tuple[JsonObject, dict[str, str]]:
    """Return settings with classes, tenants and zones renamed and reordered, and the new names by the old."""
    conf = copy.deepcopy(conf)
    names = {old: f"z{rng.random()}" for old in ("gate", "deck", "north", "south", "pier", "quay", "isle")}
    aims = dict(zip(("gate", "deck"), conf["familyInfo"]["messageAimMs"], strict=True))
    quotas = dict(zip(("north", "south"), conf["familyInfo"]["tenantQuotaConnections"], strict=True))
    for key in ("classes", "accounts"):
        rng.shuffle(conf[key])
    conf["familyInfo"]["messageAimMs"] = [aims[request_class["name"]] for request_class in conf["classes"]]
    conf["familyInfo"]["tenantQuotaConnections"] = [quotas[tenant["name"]] for tenant in conf["accounts"]]
    for named in (*conf["classes"], *conf["accounts"]):
        named["name"] = names[named["name"]]
    conf["zone"] = names[conf["zone"]]
    return conf, names


def simulated_actions(balancer: Balancer, names: dict[str, str], seed: int) -> list[Any]:
    """Return all actions, in order, on requests, outcomes and load reports drawn from one seed."""
    rng, all_actions = Random(seed), []
    zones = [names[zone] for zone in ("pier", "quay", "isle")]
    endpoints = [
        Endpoint(f"s{index}", zone=zones[index % 3], weight=1.0 + index % 2, kind="ab"[index % 2])
        for index in range(9)
    ]
    events: list[Any] = [EndpointListEvent("stale", endpoints), EndpointListEvent("full", endpoints)]
    request_count, now = 0, 0.0
    while now < 20000.0:
        event = events.pop(0) if events else None
        if event is None and rng.random() < 0.7:
            request_count += 1
            class_and_tenant = names[rng.choice(("gate", "deck"))], names[rng.choice(("north", "south"))]
            event = RequestArrived(
                request_count, *class_and_tenant, now + 900.0, group=f"g{rng.randrange(6)}"
            )
        elif event is None:
            event = HealthCheckCompleted(
                f"s{rng.randrange(9)}", "ok", {"x0": rng.random() * 1.1, "x1": rng.random() / 4}
            )
        actions = balancer.handle(now, event)
        all_actions += actions
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
                events.append(TimerFired(action.tag))
        now += 20.0 * rng.random()
    return all_actions


@given(st.integers(0, 10**6), st.booleans())
def test_renaming_and_permuting_classes_tenants_and_zones_changes_no_decision(
    seed: int, reports_delay: bool
) -> None:
    conf = replace_setting(FERRY_SETTINGS, "familyInfo.tellsDelay", reports_delay)
    other, names = renamed_and_shuffled(conf, Random(seed))
    expected_actions = simulated_actions(
        Balancer(read_settings(conf), 5), {name: name for name in names}, seed
    )
    assert (
        len(expected_actions) > 300
        and simulated_actions(Balancer(read_settings(other), 5), names, seed) == expected_actions
    )


# ---------------------------------------------------------------- the third deployment on sockets


@pytest.mark.parametrize("attempts", [1, 6])
async def test_a_third_deployment_is_served_by_its_own_settings(tmp_path: Path, attempts: int) -> None:
    conf = replace_setting(FERRY_SETTINGS, "policyLimits.sendCap", attempts)
    endpoints = [FakeEndpoint(script) for script in (reset_connection,) * 6]
    async with AsyncExitStack() as stack:
        names, discovery = await start_endpoints_and_discovery(stack, endpoints)
        file = write_config(tmp_path, discovery.address, make_endpoint_list(names), settings=conf)
        relay = Relay(load({"GW_CONFIG": str(file)}))
        relay.balancer_actor.check_endpoint_health = lambda endpoint: None
        relay.start()
        stack.push_async_callback(relay.stop)
        line = encode_request_line(900).replace(b"c=c,t=t", b"c=gate,t=north")
        assert (await exchange_line(relay.listener.address, line))[:4] in (b"BUSY", b"ERR ")
        assert sum(len(endpoint.request_lines) for endpoint in endpoints) == attempts
        assert all(endpoint.max_open_connections <= 1 for endpoint in endpoints)
        for endpoint in endpoints:
            endpoint.script = echo_lines
        relay.balancer_actor._balancer.admission.buckets["south"].tokens = 9.0
        line = encode_request_line(900).replace(b"c=c,t=t", b"c=deck,t=south")
        reader, writer = await send_request(relay.listener.address, line)
        assert await reader.readline() == b"UP r1\r\n"
        assert (await exchange_line(relay.listener.address, encode_request_line(900))).startswith(
            b"ERR c names no class"
        )
        writer.close()


# ---------------------------------------------------------------- drains


def test_no_request_is_placed_at_an_endpoint_that_is_known_to_drain() -> None:
    # One deployment allows 500 ms to stop sending, another 250 ms: the balancer stops at once.
    for settings in (
        FERRY_SETTINGS,
        replace_setting(FERRY_SETTINGS, "guarantees.stopSendingWithinMs", 500.0),
    ):
        balancer = Balancer(read_settings(settings), 3)
        balancer.handle(0.0, EndpointListEvent("full", [Endpoint("a"), Endpoint("b"), Endpoint("c")]))
        balancer.handle(
            10.0, EndpointListEvent("changes", [Endpoint("a", "draining"), Endpoint("b", "gone")])
        )
        sent = set()
        for request_id in range(200):
            now = 10.0 + request_id
            for event in (
                RequestArrived(request_id, "gate", "north", now + 900.0),
                AttemptEnded(request_id, 0, "c", "ok", True),
            ):
                actions = balancer.handle(now, event)
                sent |= {action.endpoint for action in actions if isinstance(action, PlaceRequest)}
        assert sent == {"c"}


@pytest.mark.parametrize("resumed", [False, True])
@pytest.mark.timeout(10)
async def test_endpoint_that_drains_while_a_connection_to_it_is_made_gets_no_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, resumed: bool
) -> None:
    # A connection may take connectTimeoutMs. Its request line was once sent even if the endpoint had begun to
    # drain in the meantime.
    async with running_relay(tmp_path, echo_lines, echo_lines) as (relay, endpoints):
        by_port = {
            endpoint.address[1]: (name, endpoint) for name, endpoint in zip("ab", endpoints, strict=True)
        }
        first: list[FakeEndpoint] = []
        connect = connecting.connect_unreserved

        async def connect_while_draining(address: tuple[str, int], timeout_s: float) -> Any:
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

        while relay.endpoint_registry.version != 2:  # version 2 is the list that discovery sends
            await asyncio.sleep(0.01)
        monkeypatch.setattr(frontend_connection, "connect_unreserved", connect_while_draining)
        more = ",at=a" if resumed else ""
        assert (
            await exchange_line(relay.listener.address, encode_request_line(extra_parameters=more))
            == b"UP r1\r\n"
        )
        assert len([line for line in first[0].request_lines if line]) == (1 if resumed else 0)


# ---------------------------------------------------------------- a graceful shutdown


@given(st.lists(st.floats(100.0, 20000.0), min_size=1, max_size=4))
def test_a_graceful_shutdown_ends_before_sigkill_in_any_deployment(waits_ms: list[float]) -> None:
    # A shutdown once took 3.4 s in every deployment, too long if all deadlines are under 3 s: SIGKILL
    # arrives 0.7 s after the longest deadline, and cuts off all connections that are still open.
    request_class = read_settings(FERRY_SETTINGS).classes[0]
    times = plan_shutdown([replace(request_class, give_up_ms=wait_ms) for wait_ms in waits_ms])
    killed_s = min(3.0, max(waits_ms) / 1000.0) + 0.7
    assert times.exit_at_s <= killed_s - 0.25
    assert (
        0.0
        < times.migration_start_s
        < times.migration_start_s + times.migration_duration_s
        < times.forced_drain_at_s
        < times.exit_at_s
    )


def test_the_shutdown_schedule_of_the_first_deployment_stays() -> None:
    request_class = read_settings(FERRY_SETTINGS).classes[0]
    times = plan_shutdown([replace(request_class, give_up_ms=3200.0)])
    assert times.migration_start_s == 0.45 and times.exit_at_s == pytest.approx(3.4)
    assert times.forced_drain_at_s == pytest.approx(2.9) and times.migration_duration_s == pytest.approx(
        1.8, abs=0.01
    )


@given(st.integers(1, 400), st.integers(4, 60))
def test_few_connections_are_migrated_as_evenly_as_many(count: int, steps: int) -> None:
    # At least one connection was migrated at each step, so that a relay with seven had migrated all of them
    # after 0.3 of 1.8 s. The relay restarted no sooner, and its clients were not served in the meantime.
    pacer, remaining, migrated = EvenPacer(), count, 0
    for step in range(steps):
        due = pacer.take_due_count(remaining, float(steps - step))
        remaining, migrated = remaining - due, migrated + due
        assert abs(migrated - count * (step + 1) / steps) <= 1.0
    assert remaining == 0
