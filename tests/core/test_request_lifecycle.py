"""Tests of a request's lifecycle with a scripted transport: rules that hold for every frontend."""

from __future__ import annotations

import ast
import asyncio
from pathlib import Path

import pytest
from support.relay_checks import is_balancer_idle

from sageturn import Endpoint, EndpointListEvent, RequestClass, Settings
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.close_reason import CloseReason, outcome_status
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle

PACKAGE = Path(__file__).parents[2] / "sageturn"


class ScriptedTransport:
    """Transport whose attempts end with the next of ``attempts``: a close reason, or None if established."""

    def __init__(self, *attempts: CloseReason | None) -> None:
        self.attempts = list(attempts)
        self.calls: list[str] = []
        self.client_disconnected = asyncio.Event()
        self.disconnects_during_attempt = False
        self.attempts_in_flight = 0

    async def open_upstream(
        self, endpoint: str, timeout_ms: float, connect_timeout_ms: float
    ) -> CloseReason | None:
        self.attempts_in_flight += 1
        assert self.attempts_in_flight == 1 and timeout_ms > 0
        self.calls.append("open upstream")
        if self.disconnects_during_attempt:
            self.client_disconnected.set()
        self.attempts_in_flight -= 1
        return self.attempts.pop(0)

    async def wait_client_disconnect(self) -> CloseReason:
        await self.client_disconnected.wait()
        return CloseReason.CLIENT_LEFT

    def poll_client(self) -> CloseReason | None:
        return CloseReason.CLIENT_LEFT if self.client_disconnected.is_set() else None

    def is_endpoint_leaving(self, endpoint: str) -> bool:
        return False

    async def close_upstream(self) -> None:
        self.calls.append("close upstream")

    async def accept_client(self) -> None:
        self.calls.append("accept")

    async def relay_traffic(self, drain_requested: asyncio.Event) -> CloseReason:
        self.calls.append("relay traffic")
        await drain_requested.wait()
        return CloseReason.MOVED

    async def send_final_response(self, response: FinalResponse) -> None:
        self.calls.append("reject" if response.rejected else "fail")


async def run_lifecycle(transport: ScriptedTransport, drain: bool = False) -> ConnectionRecord:
    """Run one request with a balancer of four endpoints, and check that it is idle afterwards."""
    settings = Settings(classes=(RequestClass("c", latency_objective_ms=900),), may_cancel=True)
    balancer_actor = BalancerActor(settings, 1, Clock(), lambda: None)
    actor = asyncio.ensure_future(balancer_actor.run())
    await balancer_actor.post_event(EndpointListEvent("full", [Endpoint(name) for name in "abcd"]))
    lifecycle = RequestLifecycle(balancer_actor, transport, ClientRequest("c", "", 1000.0))
    if drain:
        lifecycle.drain_requested.set()
    record = await asyncio.wait_for(lifecycle.run(), 5)
    await asyncio.sleep(0.01)
    actor.cancel()
    assert is_balancer_idle(balancer_actor)
    return record


@pytest.mark.parametrize(
    "close_reason", [reason for reason in CloseReason if not reason.name.startswith("CLIENT")]
)
async def test_no_close_reason_leads_to_a_fourth_attempt_or_a_second_response(
    close_reason: CloseReason,
) -> None:
    transport = ScriptedTransport(*[close_reason] * 4)
    record = await run_lifecycle(transport)
    assert transport.calls == ["open upstream", "open upstream", "open upstream", "reject"]
    assert record.attempts == 3


async def test_an_established_attempt_is_accepted_and_migrated_on_request() -> None:
    transport = ScriptedTransport(CloseReason.BUSY, None)
    record = await run_lifecycle(transport, drain=True)
    assert transport.calls == ["open upstream", "open upstream", "accept", "relay traffic"]
    assert record.close_reason is CloseReason.MOVED


async def test_a_client_that_disconnects_as_its_attempt_is_established_leaves_no_connection_open() -> None:
    # Both happened in one iteration of the event loop: the endpoint's connection stayed open with no client.
    transport = ScriptedTransport(None)
    transport.disconnects_during_attempt = True
    record = await run_lifecycle(transport)
    assert transport.calls == ["open upstream", "close upstream"]
    assert record.close_reason is CloseReason.CLIENT_LEFT


def test_every_close_reason_has_a_status() -> None:
    assert {outcome_status(reason) for reason in CloseReason} == {
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
    }


def test_the_core_imports_no_protocol() -> None:
    # Both frontends use the core, so it must not depend on the protocol of either.
    for file in (PACKAGE / "core").glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            for name in names:
                assert name.split(".")[0] not in ("socket", "ssl", "http", "httptools", "xml"), file
                assert not name.startswith(("sageturn.net", "sageturn.frontends", "sageturn.store")), file
