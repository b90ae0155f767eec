"""Restarted relays are ready soon, whatever discovery does meanwhile: real processes on loopback."""

from __future__ import annotations

import asyncio
import signal

import pytest

from sageturn.lab.readiness import BOUND_S, STATES, Case, first_pong, measure

STARTS = 2


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL], ids=lambda number: number.name)
def test_a_restarted_relay_that_has_a_list_is_ready_in_time_whatever_discovery_does(
    state: str, number: signal.Signals
) -> None:
    took = asyncio.run(asyncio.wait_for(measure(Case(state, number, "ask", True), STARTS), 60))
    assert len(took) == STARTS and max(took) < BOUND_S


def test_a_relay_that_is_not_ready_counts_as_late() -> None:
    # Nobody has a list to give it: the measurement has to show that, and not pass it over.
    async def go() -> list[float]:
        waiting = asyncio.ensure_future(first_pong(("127.0.0.1", 9)))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        waiting.cancel()
        return await measure(Case("up", signal.SIGKILL, "ask", True), 1, bound_s=0.001)

    assert asyncio.run(asyncio.wait_for(go(), 30)) == [0.001]
