"""Tests of the guard of each request: a violation is counted, and nothing is written to an endpoint."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Any

import pytest
from support.event_loop import until
from support.network_fakes import SETTINGS, encode_request_line, respond_with, running_relay, send_request
from support.relay_checks import is_idle

from sageturn.core.attempt_guard import MAX_RESPONSE_DELAY_MS, AttemptGuard
from sageturn.core.invariants import Invariant, InvariantMonitor
from sageturn.decision import AttemptEnded, Event, PlaceRequest, RequestClass

DEADLINE_MS = 2000.0


def make_guard(
    effect: str = "safe", key_ttl_ms: float = 0.0, max_attempts: int = 2
) -> tuple[AttemptGuard, InvariantMonitor]:
    monitor = InvariantMonitor()
    request_class = RequestClass("c", 500.0, effect=effect, key_ttl_ms=key_ttl_ms)
    return AttemptGuard("r1", request_class, max_attempts, DEADLINE_MS, monitor), monitor


def test_attempts_are_allowed_one_after_the_other_up_to_the_limit() -> None:
    guard, monitor = make_guard()
    for _ in range(2):
        guard.begin_attempt()
        assert guard.may_send(100.0, None)
        guard.end_attempt()
    guard.begin_attempt()
    assert not guard.may_send(100.0, None)
    assert monitor.violations == {Invariant.ATTEMPT_LIMIT: 1}


def test_a_discounted_attempt_leaves_the_limit_to_those_that_count() -> None:
    guard, monitor = make_guard()
    for _ in range(5):
        guard.begin_attempt()
        guard.end_attempt()
        guard.discount_attempt()
    for _ in range(2):
        guard.begin_attempt()
        assert guard.may_send(100.0, None)
        guard.end_attempt()
    guard.begin_attempt()
    assert not guard.may_send(100.0, None)
    assert monitor.violations == {Invariant.ATTEMPT_LIMIT: 1}


def test_overlapping_attempts_are_not_allowed(caplog: pytest.LogCaptureFixture) -> None:
    guard, monitor = make_guard()
    guard.begin_attempt()
    guard.begin_attempt()
    assert not guard.may_send(100.0, None)
    assert monitor.violations == {Invariant.SINGLE_ATTEMPT: 1}
    assert caplog.messages == [
        "invariant violated invariant=single_attempt request=r1 detail='2 attempts are open'"
    ]


@pytest.mark.parametrize(
    ("effect", "elapsed_ms", "allowed"),
    [("safe", 1500.0, True), ("keyed", 400.0, True), ("keyed", 401.0, False), ("unsafe", 1.0, False)],
)
def test_a_request_that_may_have_been_executed_is_repeated_only_if_that_is_harmless(
    effect: str, elapsed_ms: float, allowed: bool
) -> None:
    guard, monitor = make_guard(effect, key_ttl_ms=400.0)
    guard.begin_attempt()
    assert guard.may_send(100.0 + elapsed_ms, 100.0) is allowed
    assert monitor.violations == ({} if allowed else {Invariant.REPEATABLE: 1})


def test_late_and_missing_answers_are_counted() -> None:
    guard, monitor = make_guard()
    guard.check_response(DEADLINE_MS + MAX_RESPONSE_DELAY_MS)
    guard.check_closed(is_answered=True, has_client_disconnected=False)
    guard.check_closed(is_answered=False, has_client_disconnected=True)
    assert not monitor.violations
    guard.check_response(DEADLINE_MS + MAX_RESPONSE_DELAY_MS + 1.0)
    guard.check_closed(is_answered=False, has_client_disconnected=False)
    assert monitor.violations == {Invariant.RESPONSE_IN_TIME: 1, Invariant.ANSWERED: 1}


async def test_a_forbidden_retry_that_the_balancer_places_is_not_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "semantics": "unsafe"}]}

    async with running_relay(tmp_path, respond_with(b"ERR\r\n"), settings=settings) as (relay, (endpoint,)):
        actor = relay.balancer_actor
        handle = actor.balancer.handle
        repeated: list[int] = []

        def repeat_once(now_ms: float, event: Event) -> list[Any]:
            if isinstance(event, AttemptEnded) and not event.final and not repeated:
                repeated.append(event.id)
                return [PlaceRequest(event.id, event.endpoint, 500.0)]
            return handle(now_ms, event)

        monkeypatch.setattr(actor.balancer, "handle", repeat_once)
        reader, writer = await send_request(relay.listener.address, encode_request_line(300))
        # The balancer ignores the end of an attempt that it did not place, so the relay answers by itself.
        assert await reader.readline() == b"ERR internal\r\n"
        writer.close()
        assert repeated and len([line for line in endpoint.request_lines if line]) == 1
        assert actor.monitor.violations == {Invariant.REPEATABLE: 1}
        assert actor.counters.blocked_sends == {"invariant": 1}
        await until(lambda: not relay.request_registry)


async def test_counters_and_log_lines_show_the_outcome_of_each_request(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, respond_with(b"BUSY\r\n")) as (relay, _):
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert (await reader.readline()).startswith(b"BUSY")
        writer.close()
        await until(lambda: is_idle(relay))
        counters = relay.balancer_actor.counters
        assert (counters.requests, counters.established) == (1, 0)
        assert counters.failed_attempts["busy"] == counters.attempts >= 1
        assert sum(counters.rejected.values()) == 1 and not counters.failed
    failed = [text for text in caplog.messages if text.startswith("attempt failed ")]
    closed = [text for text in caplog.messages if text.startswith("connection closed ")]
    assert "attempt=1 endpoint=a reason=busy" in failed[0] and "may_have_run=false" in failed[0]
    assert " cause=" in closed[0]
