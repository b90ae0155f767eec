"""Steps of the wall clock while the relay runs do not change the age of endpoints."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines, running_relay

from sageturn.core.messages import EndpointListUpdate
from sageturn.decision import Endpoint
from sageturn.relay import Relay

STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
REAL_TIME = time.time


def step_wall_clock(monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    monkeypatch.setattr(time, "time", lambda: REAL_TIME() + step_s)


async def list_new_endpoint(relay: Relay, name: str, age_s: float) -> None:
    """List an endpoint that started ``age_s`` ago, by a clock that was stepped as well."""
    registry = relay.endpoint_registry
    started_ms = (time.time() - age_s) * 1000.0
    endpoint = Endpoint(name, "ready", started_at_ms=started_ms)
    update = EndpointListUpdate(registry.version + 1, False, [endpoint], {name: ("127.0.0.1", 9)})
    await registry.on_watch_event(registry.watch_number, update)
    await until(lambda: name in relay.balancer_actor.balancer.endpoints)


async def check_age_after_step(folder: Path, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    async with running_relay(folder, echo_lines) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        step_wall_clock(monkeypatch, step_s)
        await list_new_endpoint(relay, "new", age_s=0.5)
        endpoint = relay.balancer_actor.balancer.endpoints["new"]
        age_ms = endpoint.age_ms(relay.balancer_actor.clock.now_ms())
        assert endpoint.slow_start is not None, step_s
        assert 0.0 <= age_ms < 2000.0, step_s


@pytest.mark.timeout(80)  # 20 s for each step
async def test_an_endpoint_started_after_a_step_of_the_wall_clock_is_in_slow_start_for_its_real_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After a step back by an hour, a new endpoint counted as warm and got its full share at once. After one
    # forward by an hour, it counted as not yet started and got no request for that hour.
    for step_s in STEPS_S:
        with monkeypatch.context() as patched:
            async with asyncio.timeout(20):
                await check_age_after_step(tmp_path, patched, step_s)
