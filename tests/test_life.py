"""A request's life against a scripted wire: what must hold on every front."""

from __future__ import annotations

import ast
import asyncio
from pathlib import Path

import pytest

from sageturn import RequestClass, Server, ServerList, Settings
from sageturn.core.clock import Clock
from sageturn.core.endings import Ending, outcome_status
from sageturn.core.messages import Answer, Ask
from sageturn.core.module import ModuleActor
from sageturn.core.requests import RequestLife

PACKAGE = Path(__file__).parent.parent / "sageturn"


class Wire:
    """Each call takes the next of ``calls``; ``left`` is set when the client goes."""

    def __init__(self, *calls: Ending | None) -> None:
        self.calls, self.did = list(calls), list[str]()
        self.left = asyncio.Event()
        self.leave_in_call = False
        self.out = 0

    async def call(self, endpoint: str, patience_ms: float, connect_ms: float) -> Ending | None:
        self.out += 1
        assert self.out == 1 and patience_ms > 0
        self.did.append("call")
        if self.leave_in_call:
            self.left.set()
        self.out -= 1
        return self.calls.pop(0)

    async def client_left(self) -> Ending:
        await self.left.wait()
        return Ending.CLIENT_LEFT

    def look_at_client(self) -> Ending | None:
        return Ending.CLIENT_LEFT if self.left.is_set() else None

    async def drop(self) -> None:
        self.did.append("drop")

    async def accept(self) -> None:
        self.did.append("accept")

    async def stand(self, stop: asyncio.Event) -> Ending:
        self.did.append("stand")
        await stop.wait()
        return Ending.MOVED

    async def answer(self, answer: Answer) -> None:
        self.did.append("fail-fast" if answer.refused else "failed")


def live(*calls: Ending | None, leave: bool = False, stop: bool = False):  # type: ignore[no-untyped-def]
    async def go():  # type: ignore[no-untyped-def]
        settings = Settings(classes=(RequestClass("c", aim_ms=900),), may_cancel=True)
        module = ModuleActor(settings, 1, Clock(), lambda: None)
        actor = asyncio.ensure_future(module.run())
        await module.tell(ServerList("full", [Server("a"), Server("b"), Server("c"), Server("d")]))
        wire = Wire(*calls)
        wire.leave_in_call = leave
        life = RequestLife(module, wire, Ask("c", "", 1000.0))
        if stop:
            life.stop.set()
        record = await asyncio.wait_for(life.run(), 5)
        await asyncio.sleep(0.01)
        actor.cancel()
        balancer = module._balancer
        assert balancer.requests == {} and all(s.open == s.pending == 0 for s in balancer.servers.values())
        return wire.did, record

    return asyncio.run(go())


@pytest.mark.parametrize("ending", [e for e in Ending if not e.name.startswith("CLIENT")])
def test_no_ending_leads_to_a_fourth_call_or_a_second_answer(ending: Ending) -> None:
    did, record = live(*[ending] * 4)
    assert did == ["call", "call", "call", "fail-fast"] and record.calls == 3


def test_a_call_that_stands_is_accepted_and_moved_when_told_to() -> None:
    did, record = live(Ending.BUSY, None, stop=True)
    assert did == ["call", "call", "accept", "stand"] and record.ending is Ending.MOVED


def test_a_client_that_leaves_as_its_call_stands_leaves_no_call_behind() -> None:
    # Both came in one turn of the loop: the call's connection stayed open, with nobody at its other side.
    did, record = live(None, leave=True)
    assert did == ["call", "drop"] and record.ending is Ending.CLIENT_LEFT


def test_every_ending_has_an_outcome() -> None:
    assert {outcome_status(e) for e in Ending} == {
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
    }


def test_the_core_knows_no_wire() -> None:
    # The second front rests on it: what the core imports is where a wire would creep in.
    for file in (PACKAGE / "core").glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            for name in names:
                assert name.split(".")[0] not in ("socket", "ssl", "http", "httptools", "xml"), file
                assert not name.startswith(("sageturn.net", "sageturn.fronts", "sageturn.store")), file
