"""A request's life against a scripted wire: what must hold on every front."""

from __future__ import annotations

import ast
import asyncio
from pathlib import Path

import pytest

from sageturn import Endpoint, EndpointListEvent, RequestClass, Settings
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.close_reason import CloseReason, outcome_status
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle

PACKAGE = Path(__file__).parents[2] / "sageturn"


class Wire:
    """Each call takes the next of ``calls``; ``left`` is set when the client goes."""

    def __init__(self, *calls: CloseReason | None) -> None:
        self.calls, self.did = list(calls), list[str]()
        self.left = asyncio.Event()
        self.leave_in_call = False
        self.out = 0

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        self.out += 1
        assert self.out == 1 and patience_ms > 0
        self.did.append("call")
        if self.leave_in_call:
            self.left.set()
        self.out -= 1
        return self.calls.pop(0)

    async def wait_client_disconnect(self) -> CloseReason:
        await self.left.wait()
        return CloseReason.CLIENT_LEFT

    def poll_client(self) -> CloseReason | None:
        return CloseReason.CLIENT_LEFT if self.left.is_set() else None

    async def close_upstream(self) -> None:
        self.did.append("drop")

    async def accept_client(self) -> None:
        self.did.append("accept")

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        self.did.append("stand")
        await stop.wait()
        return CloseReason.MOVED

    async def send_final_response(self, answer: FinalResponse) -> None:
        self.did.append("fail-fast" if answer.rejected else "failed")


def live(*calls: CloseReason | None, leave: bool = False, stop: bool = False):  # type: ignore[no-untyped-def]
    async def go():  # type: ignore[no-untyped-def]
        settings = Settings(classes=(RequestClass("c", latency_objective_ms=900),), may_cancel=True)
        balancer_actor = BalancerActor(settings, 1, Clock(), lambda: None)
        actor = asyncio.ensure_future(balancer_actor.run())
        await balancer_actor.post_event(
            EndpointListEvent("full", [Endpoint("a"), Endpoint("b"), Endpoint("c"), Endpoint("d")])
        )
        wire = Wire(*calls)
        wire.leave_in_call = leave
        lifecycle = RequestLifecycle(balancer_actor, wire, ClientRequest("c", "", 1000.0))
        if stop:
            lifecycle.drain_requested.set()
        record = await asyncio.wait_for(lifecycle.run(), 5)
        await asyncio.sleep(0.01)
        actor.cancel()
        balancer = balancer_actor._balancer
        assert balancer.requests == {} and all(s.open == s.pending == 0 for s in balancer.endpoints.values())
        return wire.did, record

    return asyncio.run(go())


@pytest.mark.parametrize("close_reason", [e for e in CloseReason if not e.name.startswith("CLIENT")])
def test_no_ending_leads_to_a_fourth_call_or_a_second_answer(close_reason: CloseReason) -> None:
    did, record = live(*[close_reason] * 4)
    assert did == ["call", "call", "call", "fail-fast"] and record.attempts == 3


def test_a_call_that_stands_is_accepted_and_moved_when_told_to() -> None:
    did, record = live(CloseReason.BUSY, None, stop=True)
    assert did == ["call", "call", "accept", "stand"] and record.close_reason is CloseReason.MOVED


def test_a_client_that_leaves_as_its_call_stands_leaves_no_call_behind() -> None:
    # Both came in one turn of the loop: the call's connection stayed open, with nobody at its other side.
    did, record = live(None, leave=True)
    assert did == ["call", "drop"] and record.close_reason is CloseReason.CLIENT_LEFT


def test_every_ending_has_an_outcome() -> None:
    assert {outcome_status(e) for e in CloseReason} == {
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
    }


def test_the_core_knows_no_transport() -> None:
    # The second front rests on it: what the core imports is where a wire would creep in.
    for file in (PACKAGE / "core").glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            for name in names:
                assert name.split(".")[0] not in ("socket", "ssl", "http", "httptools", "xml"), file
                assert not name.startswith(("sageturn.net", "sageturn.frontends", "sageturn.store")), file
