"""Tests that log lines about a request carry the id that its client gave it."""

from __future__ import annotations

import asyncio

import pytest

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.request_directory import MAX_QUEUED_INSTRUCTIONS
from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import (
    Action,
    ClientDisconnected,
    Event,
    MigrateConnection,
    PlaceRequest,
    RequestClass,
    Settings,
    TimerFired,
)


@pytest.fixture
def balancer_actor() -> BalancerActor:
    return BalancerActor(Settings(classes=(RequestClass("c", 500.0),)), 1, Clock(), lambda: None)


async def handle_all(balancer_actor: BalancerActor, *events: Event) -> None:
    """Run the actor until it has handled ``events``."""
    for event in events:
        await balancer_actor.post_event(event)
    running = asyncio.ensure_future(balancer_actor.run())
    await asyncio.sleep(0)
    await cancel_and_wait(running)


async def test_a_lost_instruction_names_its_request(
    balancer_actor: BalancerActor, caplog: pytest.LogCaptureFixture
) -> None:
    request = balancer_actor.requests.register("id7")
    for _ in range(MAX_QUEUED_INSTRUCTIONS + 1):
        balancer_actor.migrate_connection(request.id)
    assert caplog.messages == ["instruction lost, mailbox full request=id7 instruction=RedirectClient()"]


async def test_a_failed_event_names_its_request_where_it_has_one(
    balancer_actor: BalancerActor, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fail(now_ms: float, event: Event) -> list[Action]:
        raise ValueError("unforeseen")

    monkeypatch.setattr(balancer_actor.balancer, "handle", fail)
    request = balancer_actor.requests.register("id7")
    unnamed = balancer_actor.requests.register("")
    events = (ClientDisconnected(request.id), ClientDisconnected(unnamed.id), TimerFired("mark"))
    await handle_all(balancer_actor, *events)
    assert caplog.messages == [
        "balancer failed event=ClientDisconnected request=id7",
        f"balancer failed event=ClientDisconnected request={unnamed.id}",
        "balancer failed event=TimerFired request=-",
    ]


async def test_a_failed_action_names_its_request(
    balancer_actor: BalancerActor, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fail(request_id: int, instruction: object) -> None:
        raise ValueError("unforeseen")

    monkeypatch.setattr(balancer_actor.requests, "instruct", fail)
    request = balancer_actor.requests.register("id7")
    actions = [PlaceRequest(request.id, "a", 500.0), MigrateConnection(request.id)]
    monkeypatch.setattr(balancer_actor.balancer, "handle", lambda now_ms, event: actions)
    await handle_all(balancer_actor, TimerFired("mark"))
    assert caplog.messages == [
        "action failed action=PlaceRequest request=id7",
        "action failed action=MigrateConnection request=id7",
    ]
