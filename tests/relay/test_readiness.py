"""Restarted relays are ready in time, whatever the state of discovery: real processes on loopback."""

from __future__ import annotations

import asyncio
import signal

import pytest

from sageturn.decision import DiscoveryMode
from sageturn.lab.readiness import BOUND_S, Case, DiscoveryState, first_pong, measure

STARTS = 2


@pytest.mark.timeout(60)
@pytest.mark.parametrize("state", list(DiscoveryState))
@pytest.mark.parametrize(
    "end_signal", [signal.SIGTERM, signal.SIGKILL], ids=lambda end_signal: end_signal.name
)
async def test_restarted_relay_with_a_known_list_is_ready_in_time_in_any_state_of_discovery(
    state: DiscoveryState, end_signal: signal.Signals
) -> None:
    took_s = await measure(Case(state, end_signal, DiscoveryMode.ASK, True), STARTS)
    assert len(took_s) == STARTS and max(took_s) < BOUND_S


@pytest.mark.timeout(30)
async def test_relay_that_is_not_ready_counts_as_late() -> None:
    # The measurement must count a relay that never becomes ready with the full bound, and not omit it.
    waiting = asyncio.ensure_future(first_pong(("127.0.0.1", 9)))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    waiting.cancel()
    case = Case(DiscoveryState.UP, signal.SIGKILL, DiscoveryMode.ASK, True)
    assert await measure(case, 1, bound_s=0.001) == [0.001]
