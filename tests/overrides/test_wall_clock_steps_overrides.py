"""A wall clock that is set forward on one relay: no override expires early there."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines
from support.override_records import make_out_of_service
from support.override_relays import override_actor, running_relays_with_overrides, set_override, unix_time_ms

from sageturn.overrides.actor import MAX_STEP_INTERVAL_S

REAL_TIME = time.time
STEP_S = 7200.0


async def test_a_clock_set_forward_expires_no_override_early(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An override that expires early does so for good: its endpoint would stay in service after the clock is
    # corrected.
    async with running_relays_with_overrides(tmp_path, echo_lines, echo_lines, echo_lines) as ((relay,), _):
        set_override(relay, "o1", make_out_of_service("a"))
        set_override(relay, "o2", make_out_of_service("b"), expires_at_ms=unix_time_ms() + 1500.0)
        await until(lambda: relay.endpoint_registry.is_out_of_service("b"))
        with monkeypatch.context() as patched:
            patched.setattr(time, "time", lambda: REAL_TIME() + STEP_S)
            await asyncio.sleep(2 * MAX_STEP_INTERVAL_S)
            assert relay.endpoint_registry.is_out_of_service("a")
            await until(lambda: not relay.endpoint_registry.is_out_of_service("b"))  # o2 has really expired
        await asyncio.sleep(2 * MAX_STEP_INTERVAL_S)
        assert relay.endpoint_registry.is_out_of_service("a")
        assert override_actor(relay).registry.overrides.keys() == {"o1", "o2"}
