"""Rebalancing in a real relay, on both fronts: turned on, turned off, and not there at all."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import SETTINGS, ask, first_line, relaying, up, write_config
from support.xmpp_fakes import Client, echo
from support.xmpp_relay import client_tls, relaying_xmpp, server_tls

from sageturn.config.errors import ConfigError
from sageturn.config.loader import load
from sageturn.config.operator import read_operator_file
from sageturn.config.settings import read_settings
from sageturn.rebalance.planner import Migration, MigrationPlan

ON: dict[str, Any] = {"rebalance": {"mode": "on", "tick_s": 0.05, "least_age_s": 0, "burst": 4}}


def story(coro):  # type: ignore[no-untyped-def]
    return asyncio.run(asyncio.wait_for(coro, 30))


@pytest.fixture
def hasty(monkeypatch: pytest.MonkeyPatch) -> None:
    """A pace at which a test is over soon."""
    monkeypatch.setattr("sageturn.rebalance.pace.SETTLE_MS", 0.0)
    monkeypatch.setattr("sageturn.rebalance.pace.MigrationRateController.top", lambda self, own: 400.0)


async def until(what) -> None:  # type: ignore[no-untyped-def]
    while not what():
        await asyncio.sleep(0.01)


def test_a_relay_moves_some_who_stand_at_the_fuller_host(tmp_path: Path, hasty: None) -> None:
    async def go() -> None:
        async with relaying(tmp_path, up, up, operator=ON) as (relay, (a, b)):
            await until(lambda: relay.endpoint_registry.version == 2)

            async def client(key: str) -> None:
                line = first_line(more=",at=a", key=key)
                while True:
                    reader, writer = await ask(relay.listener.address, line)
                    assert await reader.readline() == b"UP r1\r\n"
                    said = await reader.read()
                    writer.close()
                    if said != b"MOVE\r\n":
                        return
                    line = first_line(key=key)  # it comes again, as the same client

            clients = [asyncio.ensure_future(client(f"key{n}")) for n in range(24)]
            await until(lambda: a.open <= 14 and b.open >= 10)
            planner = relay.rebalancer
            assert planner is not None
            await until(lambda: relay.store.get("state/n1/rebalance"))
            state = relay.store.get("state/n1/rebalance")
            assert state["mode"] == "on" and state["phase"]
            await until(lambda: planner.counts["landed_well"] >= 10)
            (tmp_path / "operator.json").write_text(json.dumps({"rebalance": {"mode": "yes"}}))
            relay.reload_requested.set()
            await until(lambda: not relay.reload_requested.is_set())
            assert planner.options.mode == "on", "a faulty file leaves what is in force"
            (tmp_path / "operator.json").write_text("{}")
            relay.reload_requested.set()
            await until(lambda: planner.options.mode == "off")
            assert planner.step().phase == "off"
            relay.request_registry.is_draining = True
            for task in clients:
                task.cancel()

    story(go())


def test_turned_on_by_sighup_it_knows_who_stands_already(tmp_path: Path) -> None:
    async def go() -> None:
        async with relaying(tmp_path, up) as (relay, _):
            assert relay.rebalancer is None
            clients = [
                await ask(relay.listener.address, first_line(more=",g=g1", key=f"k{n}")) for n in range(3)
            ]
            for reader, _ in clients:
                assert await reader.readline() == b"UP r1\r\n"
            (tmp_path / "operator.json").write_text(json.dumps(ON))
            relay.reload_requested.set()
            await until(lambda: relay.rebalancer is not None)
            assert relay.rebalancer is not None
            assert len(relay.rebalancer.book) == 3 and relay.rebalancer.book.hosts["a"].parts["g1"].count == 3
            draining = asyncio.ensure_future(relay.request_registry.drain(relay.ingress))
            await until(lambda: relay.rebalancer.counts["by_others"] == 3)  # type: ignore[union-attr]
            assert relay.rebalancer.step().phase == "stopping"
            await draining

    story(go())


def test_a_planner_that_fails_costs_nobody_anything(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*_: object) -> None:
        raise RuntimeError

    async def go() -> None:
        async with relaying(tmp_path, up, operator=ON) as (relay, _):
            monkeypatch.setattr(relay.rebalancer, "after_event", fails)
            reader, writer = await ask(relay.listener.address, first_line())
            assert await reader.readline() == b"UP r1\r\n" and relay.balancer_actor.observers == []
            monkeypatch.setattr(relay.rebalancer, "tick", fails)
            await until(lambda: relay.rebalancer.options.mode == "off")  # type: ignore[union-attr]
            writer.write(b"M 1\r\n")
            assert await reader.readline() == b"M 1\r\n"
            writer.close()

    story(go())


def test_an_xmpp_client_is_asked_by_its_own_words(tmp_path: Path) -> None:
    async def go() -> None:
        async with relaying_xmpp(tmp_path, lambda s: echo(s, server_tls()), tls=True) as (relay, _):
            file = tmp_path / "operator.json"
            file.write_text(json.dumps({**json.loads(file.read_text()), **ON}))
            client = await Client.connect(relay.xmpp_listener.address)
            await client.login(client_tls())
            await client.bind()
            await relay.apply_config(load({"GW_CONFIG": str(tmp_path / "config.json")}, str(file)))
            planner = relay.rebalancer
            assert planner is not None and len(planner.book) == 1
            (lifecycle,) = relay.request_registry
            assert planner.book.client_of(lifecycle.id) != 0
            planner.tick = lambda *_: MigrationPlan((Migration(lifecycle.id, "a test"),), "balancing", "")  # type: ignore[method-assign]
            assert "<move xmlns='urn:sageturn:relay:0'" in await client.rest()

    story(go())


def test_off_on_the_platform_it_is_not_even_imported(tmp_path: Path) -> None:
    file = write_config(tmp_path, ("127.0.0.1", 1))
    code = (
        "import sys; from sageturn.__main__ import main; from sageturn.config import loader as config; "
        "from sageturn.relay import Relay; Relay(config.load()); "
        "print([m for m in sys.modules if m.startswith(('sageturn.rebalance', 'sageturn.lab'))])"
    )
    env = {**os.environ, "GW_CONFIG": str(file)}
    said = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert said.stdout.strip() == "[]"


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
def test_faults_in_its_section_name_their_key(tmp_path: Path, change: dict[str, Any], key: str) -> None:
    (tmp_path / "operator.json").write_text(json.dumps({"rebalance": change}))
    file = write_config(tmp_path, ("127.0.0.1", 1))
    with pytest.raises(ConfigError, match=f"operator.rebalance.{key}"):
        load({"GW_CONFIG": str(file)}, str(tmp_path / "operator.json"))


def test_the_shipped_file_can_be_read_and_is_dry() -> None:
    shipped = Path(__file__).parents[2] / "deploy" / "rebalance.json"
    settings = {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "name": "guest-checkin"}]}
    options = read_operator_file(shipped, read_settings(settings)).rebalance
    assert options is not None and options.mode == "dry-run"
    assert options.quiet(23 * 60) and not options.quiet(12 * 60)
