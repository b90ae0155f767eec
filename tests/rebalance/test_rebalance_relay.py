"""Tests of rebalancing in a real relay, on both frontends: turned on, turned off, and not imported."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from support.event_loop import until
from support.network_fakes import (
    SETTINGS,
    echo_lines,
    encode_request_line,
    running_relay,
    send_request,
    write_config,
)
from support.xmpp_fakes import XmppClient, echo_messages
from support.xmpp_relay import (
    make_client_tls_context,
    make_server_tls_context,
    running_xmpp_relay,
    xmpp_address,
)

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.config.operator import read_operator_file
from sageturn.config.settings import read_settings
from sageturn.rebalance.plan import Migration, MigrationPlan, PlanPhase
from sageturn.relay import Relay

REBALANCE_ON: dict[str, Any] = {"rebalance": {"mode": "on", "tick_s": 0.05, "least_age_s": 0, "burst": 4}}


@pytest.fixture
def fast_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the migration rate so that a test completes quickly."""
    monkeypatch.setattr("sageturn.rebalance.rate_controller.SETTLING_TIME_MS", 0.0)
    monkeypatch.setattr(
        "sageturn.rebalance.rate_controller.MigrationRateController.max_rate", lambda self, own: 400.0
    )


async def stay_connected(relay: Relay, key: str) -> None:
    """Connect a client to endpoint a, and reconnect it each time it is asked to."""
    line = encode_request_line(extra_parameters=",at=a", key=key)
    while True:
        reader, writer = await send_request(relay.listener.address, line)
        assert await reader.readline() == b"UP r1\r\n"
        response = await reader.read()
        writer.close()
        if response != b"MOVE\r\n":
            return
        line = encode_request_line(key=key)  # the same key identifies the same client


@asynccontextmanager
async def connected_clients(relay: Relay, count: int) -> AsyncIterator[None]:
    """Keep clients connected in the context; the relay is set to draining before they are cancelled."""
    clients = [asyncio.ensure_future(stay_connected(relay, f"key{number}")) for number in range(count)]
    try:
        yield
    finally:
        relay.request_registry.is_draining = True
        for task in clients:
            task.cancel()


@pytest.mark.timeout(30)
async def test_a_relay_migrates_clients_off_the_fuller_endpoint(tmp_path: Path, fast_rate: None) -> None:
    async with running_relay(tmp_path, echo_lines, echo_lines, operator=REBALANCE_ON) as (
        relay,
        (fuller, emptier),
    ):
        await until(lambda: relay.endpoint_registry.version == 2)
        async with connected_clients(relay, 24):
            await until(lambda: fuller.open_connections <= 14 and emptier.open_connections >= 10)
            planner = relay.rebalancer
            assert planner is not None
            await until(lambda: relay.store.get("state/n1/rebalance"))
            state = relay.store.get("state/n1/rebalance")
            assert state["mode"] == "on" and state["phase"]
            await until(lambda: planner.counts["landed_well"] >= 10)
            (tmp_path / "operator.json").write_text(json.dumps({"rebalance": {"mode": "yes"}}))
            relay.reload_requested.set()
            await until(lambda: not relay.reload_requested.is_set())
            assert planner.options.mode == "on", (
                "an invalid operator file must not change the options in force"
            )
            (tmp_path / "operator.json").write_text("{}")
            relay.reload_requested.set()
            await until(lambda: planner.options.mode == "off")
            assert planner.step().phase == "off"


@pytest.mark.timeout(30)
async def test_rebalancing_turned_on_by_a_reload_adopts_the_established_connections(tmp_path: Path) -> None:
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        assert relay.rebalancer is None
        clients = [
            await send_request(
                relay.listener.address, encode_request_line(extra_parameters=",g=g1", key=f"k{number}")
            )
            for number in range(3)
        ]
        for reader, _writer in clients:
            assert await reader.readline() == b"UP r1\r\n"
        (tmp_path / "operator.json").write_text(json.dumps(REBALANCE_ON))
        relay.reload_requested.set()
        await until(lambda: relay.rebalancer is not None)
        rebalancer = relay.rebalancer
        assert rebalancer is not None
        assert len(rebalancer.connections) == 3
        assert rebalancer.connections.endpoints["a"].groups["g1"].connection_count == 3
        draining = asyncio.ensure_future(relay.request_registry.drain(relay.ingress))
        await until(lambda: rebalancer.counts["by_others"] == 3)
        assert rebalancer.step().phase == "stopping"
        await draining


def raise_error(*_: object) -> None:
    raise RuntimeError


@pytest.mark.timeout(30)
async def test_a_failing_planner_leaves_clients_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_relay(tmp_path, echo_lines, operator=REBALANCE_ON) as (relay, _):
        rebalancer = relay.rebalancer
        assert rebalancer is not None
        monkeypatch.setattr(rebalancer, "after_event", raise_error)
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n" and relay.balancer_actor.observers == []
        monkeypatch.setattr(rebalancer, "tick", raise_error)
        await until(lambda: rebalancer.options.mode == "off")
        writer.write(b"M 1\r\n")
        assert await reader.readline() == b"M 1\r\n"
        writer.close()


@pytest.mark.timeout(30)
async def test_an_xmpp_client_is_asked_to_reconnect_by_an_xmpp_stanza(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_xmpp_relay(
        tmp_path, lambda session: echo_messages(session, make_server_tls_context()), tls=True
    ) as (relay, _):
        file = tmp_path / "operator.json"
        file.write_text(json.dumps({**json.loads(file.read_text()), **REBALANCE_ON}))
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        await client.bind()
        await relay.apply_config(load({"GW_CONFIG": str(tmp_path / "config.json")}, str(file)))
        planner = relay.rebalancer
        assert planner is not None and len(planner.connections) == 1
        (lifecycle,) = relay.request_registry
        assert planner.connections.client_hash_of(lifecycle.id) != 0
        plan = MigrationPlan((Migration(lifecycle.id, "a test"),), PlanPhase.BALANCING, "")
        monkeypatch.setattr(planner, "tick", lambda *_: plan)
        assert "<move xmlns='urn:sageturn:relay:0'" in await client.read_rest()


def test_the_package_is_not_imported_while_rebalancing_is_off(tmp_path: Path) -> None:
    file = write_config(tmp_path, ("127.0.0.1", 1))
    code = (
        "import sys; from sageturn.__main__ import main; from sageturn.config import loader as config; "
        "from sageturn.relay import Relay; Relay(config.load()); "
        "print([m for m in sys.modules if m.startswith(('sageturn.rebalance', 'sageturn.lab'))])"
    )
    environment = {**os.environ, "GW_CONFIG": str(file)}
    result = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"mode": "yes"}, "mode"),
        ({"moed": "on"}, "moed"),
        ({"stop": 1.2}, "stop"),
        ({"part_per_min": 2}, "part_per_min"),
        ({"burst": 0}, "burst"),
        ({"again_most_s": 5}, "again_most_s"),
        ({"keep_classes": ["nope"]}, r"keep_classes\[0\]"),
        ({"keep_tenants": [5]}, r"keep_tenants\[0\]"),
        ({"quiet_hours": ["22:00-06:00", "25:00-01:00"]}, r"quiet_hours\[1\]"),
        ({"tick_s": 0}, "tick_s"),
        ({"quiet_hours": ["06:00-06:00"]}, r"quiet_hours\[0\]"),
        ({"start": "high"}, "start"),
    ],
)
def test_an_error_in_the_rebalance_section_names_its_key(
    tmp_path: Path, change: dict[str, Any], key: str
) -> None:
    (tmp_path / "operator.json").write_text(json.dumps({"rebalance": change}))
    file = write_config(tmp_path, ("127.0.0.1", 1))
    with pytest.raises(ConfigError, match=f"operator.rebalance.{key}"):
        load({"GW_CONFIG": str(file)}, str(tmp_path / "operator.json"))


def test_the_deployed_file_is_valid_and_selects_a_dry_run() -> None:
    shipped = Path(__file__).parents[2] / "deploy" / "rebalance.json"
    settings = {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "name": "guest-checkin"}]}
    options = read_operator_file(shipped, read_settings(settings)).rebalance
    assert options is not None and options.mode == "dry-run"
    assert options.is_quiet_at(23 * 60) and not options.is_quiet_at(12 * 60)
