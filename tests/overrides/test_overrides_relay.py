"""Overrides in running relays: written at any relay, applied by all, also after a kill or a reload."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, exchange_line, send_request
from support.override_records import make_out_of_service, make_pin
from support.override_relays import (
    count_placements,
    encode_public_key,
    make_overrides_section,
    override_actor,
    reported_revisions,
    revoke_override,
    running_relays_with_overrides,
    set_override,
    unix_time_ms,
)

from sageturn import decision
from sageturn.rebalance.options import RebalanceOptions

pytestmark = pytest.mark.timeout(40)


async def test_every_relay_applies_operations_from_all_relays(tmp_path: Path) -> None:
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines, echo_lines, relays=2) as (
        relays,
        endpoints,
    ):
        first_relay, second_relay = relays
        set_override(first_relay, "o1", make_out_of_service("a"))
        set_override(second_relay, "o2", make_out_of_service("b"), operator="mai")
        for relay in relays:
            await until(partial(relay.endpoint_registry.is_out_of_service, "a"))
            await until(partial(relay.endpoint_registry.is_out_of_service, "b"))
            assert relay.endpoint_registry.is_out_of_service("a")
            assert (await count_placements(relay, endpoints))[:2] == [0, 0]
        await until(lambda: reported_revisions(first_relay) == {"o1": 1, "o2": 1})
        revoke_override(second_relay, "o1")
        await until(lambda: not first_relay.endpoint_registry.is_out_of_service("a"))
        addresses = first_relay.endpoint_registry.addresses
        assert not first_relay.endpoint_registry.is_ready_at("b", addresses["b"])
        assert first_relay.endpoint_registry.is_ready_at("a", addresses["a"])


async def test_a_strict_pin_without_its_endpoint_fails_fast_and_a_preferred_pin_falls_back(
    tmp_path: Path,
) -> None:
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines, floor_pin=0) as (
        (relay,),
        endpoints,
    ):
        set_override(relay, "p1", make_pin("b", strict=True, tenant="t"))
        await until(lambda: override_actor(relay).registry.overrides)
        assert await count_placements(relay, endpoints) == [0, 12]
        set_override(relay, "o1", make_out_of_service("b"))
        await until(lambda: relay.endpoint_registry.is_out_of_service("b"))
        began_s = asyncio.get_running_loop().time()
        assert (await exchange_line(relay.listener.address, encode_request_line())).startswith(b"BUSY")
        assert asyncio.get_running_loop().time() - began_s < 0.2
        revoke_override(relay, "p1")
        set_override(relay, "p2", make_pin("b", tenant="t"))
        await until(lambda: override_actor(relay).registry.overrides["p1"].is_revoked)
        assert await count_placements(relay, endpoints) == [12, 0]
        revoke_override(relay, "o1")
        await until(lambda: not relay.endpoint_registry.is_out_of_service("b"))
        # b is in slow start again, so most requests are placed on a
        assert sum(await count_placements(relay, endpoints)) == 12


async def test_the_planner_migrates_connections_off_an_endpoint_out_of_service(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sageturn.rebalance.rate_controller.SETTLING_TIME_MS", 0.0)
    monkeypatch.setattr(
        "sageturn.rebalance.rate_controller.MigrationRateController.max_rate", lambda self, own: 400.0
    )
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines) as ((relay,), _):
        rebalancer = relay.rebalancer
        assert rebalancer is not None
        rebalancer.options = RebalanceOptions(tick_s=0.05, back_within_s=0.1)
        clients = [
            await send_request(
                relay.listener.address, encode_request_line(extra_parameters=",at=a", key=f"k{number}")
            )
            for number in range(6)
        ]
        for reader, _writer in clients:
            assert await reader.readline() == b"UP r1\r\n"
        set_override(relay, "o1", make_out_of_service("a", migrate_connections=True))
        for reader, writer in clients:
            assert await reader.read() == b"MOVE\r\n"
            writer.close()
        assert relay.rebalancer is rebalancer
        assert rebalancer.options.mode == "off" and rebalancer.counts["moved"] == 6


async def test_a_relay_killed_before_it_applied_overrides_applies_them_from_its_start(tmp_path: Path) -> None:
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines) as ((relay,), _):
        # Without its callback the actor never sees the records, as if the relay was killed right after the
        # write.
        relay.store.on_change.remove(override_actor(relay).on_store_change)
        set_override(relay, "o1", make_out_of_service("a"))
        now_ms = unix_time_ms()
        set_override(
            relay,
            "o2",
            make_out_of_service("b"),
            created_at_ms=now_ms - 5000,
            expires_at_ms=unix_time_ms() - 1,
        )
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines) as ((relay,), endpoints):
        assert relay.endpoint_registry.is_out_of_service("a")
        assert not relay.endpoint_registry.is_out_of_service("b")
        assert await count_placements(relay, endpoints) == [0, 12]


async def test_a_reload_removes_an_operators_key_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines) as ((relay,), _):
        set_override(relay, "o1", make_out_of_service("a"))
        await until(lambda: relay.endpoint_registry.is_out_of_service("a"))
        file = tmp_path / "r0" / "operator.json"
        valid_content = json.loads(file.read_text())
        file.write_text(json.dumps({**valid_content, "overrides": {"operators": {"lan": "short"}}}))
        relay.reload_requested.set()
        await until(lambda: not relay.reload_requested.is_set())
        assert relay.endpoint_registry.is_out_of_service("a")
        only_mai = make_overrides_section(operators={"mai": encode_public_key("mai")})
        file.write_text(json.dumps({**valid_content, "overrides": only_mai}))
        relay.reload_requested.set()
        await until(lambda: not relay.endpoint_registry.is_out_of_service("a"))
        file.write_text(json.dumps(valid_content))
        relay.reload_requested.set()
        await until(lambda: relay.endpoint_registry.is_out_of_service("a"))


async def test_consecutive_reloads_and_a_drain_in_between_leave_the_balancer_with_the_current_state(
    tmp_path: Path,
) -> None:
    # The second reload must not drop the changes of the first. The next step must post current states, not
    # those at the time of the reload: otherwise the balancer would again see an endpoint as ready that began
    # to drain in between.
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines) as ((relay,), _):
        actor = override_actor(relay)
        listed_endpoints = relay.balancer_actor.balancer.endpoints
        options = relay.config.operator.overrides
        assert options is not None
        without_lan = replace(options, operators={"mai": options.operators["mai"]})
        set_override(relay, "o1", make_out_of_service("a"))
        await until(lambda: listed_endpoints["a"].state == "draining")
        actor.set_options(without_lan, relay.store)
        actor.set_options(without_lan, relay.store)
        await actor.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert listed_endpoints["a"].state == "ready"
        actor.set_options(options, relay.store)
        await actor.step()
        actor.set_options(without_lan, relay.store)
        draining = decision.Endpoint("a", "draining")
        await actor.post_event(decision.EndpointListEvent("changes", [draining]))
        await actor.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert listed_endpoints["a"].state == "draining"
