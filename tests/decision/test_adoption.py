"""The plan of the attempts that restore a connection from before the relay's start."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sageturn.decision import AttemptStatus, Effect, RequestClass, Settings
from sageturn.decision.adoption import (
    ADOPTION_LIMIT_MS,
    NOT_ARRIVED_STATUSES,
    AdoptionPlan,
    AdoptionPlanner,
    EndAdoption,
    RetryAdoption,
)
from sageturn.decision.events import NOT_EXECUTED_STATUSES
from sageturn.decision.reject_cause import RejectCause

UNLIMITED_WAIT_MS = 1e9
FAILURES = [status for status in AttemptStatus if status is not AttemptStatus.OK]


def make_plan(
    effect: Effect = Effect.SAFE, max_attempts: int = 3, key_ttl_ms: float = 0.0, wait_ms: float = 1e9
) -> AdoptionPlan:
    request_class = RequestClass("c", 500.0, effect=effect, key_ttl_ms=key_ttl_ms)
    settings = Settings(classes=(request_class,), max_attempts=max_attempts)
    return AdoptionPlanner(settings, 1).plan(request_class, 0.0, wait_ms)


def fail(
    plan: AdoptionPlan, started_ms: float, ended_ms: float, status: AttemptStatus, *, is_leaving: bool = False
) -> RetryAdoption | EndAdoption:
    return plan.on_attempt_failed(ended_ms, started_ms, status, is_endpoint_leaving=is_leaving)


def test_no_attempt_waits_to_the_end_while_another_may_follow() -> None:
    plan = make_plan()
    now_ms = 0.0
    for is_last in (False, False, True):
        timeout_ms = plan.next_timeouts(now_ms).total_ms
        remaining_ms = ADOPTION_LIMIT_MS - now_ms
        assert (timeout_ms > 0.9 * remaining_ms) is is_last and timeout_ms < remaining_ms
        next_step = fail(plan, now_ms, now_ms + timeout_ms, AttemptStatus.TIMEOUT)
        if not is_last:
            assert isinstance(next_step, RetryAdoption)
            now_ms += timeout_ms + next_step.delay_ms
    assert next_step == EndAdoption(RejectCause.ATTEMPTS_EXHAUSTED)


@pytest.mark.parametrize("effect", [Effect.UNSAFE, Effect.KEYED])
def test_an_attempt_that_must_not_be_repeated_gets_all_the_time(effect: Effect) -> None:
    plan = make_plan(effect, key_ttl_ms=100.0)
    assert plan.next_timeouts(0.0).total_ms > 0.9 * ADOPTION_LIMIT_MS
    assert fail(plan, 0.0, 150.0, AttemptStatus.RESET) == EndAdoption(RejectCause.MAY_HAVE_RUN)


def test_a_key_is_used_within_its_lifetime_from_the_first_execution_only() -> None:
    plan = make_plan(Effect.KEYED, key_ttl_ms=5000.0)
    assert plan.next_timeouts(0.0).total_ms == 2500.0
    next_step = fail(plan, 0.0, 4900.0, AttemptStatus.RESET)
    assert isinstance(next_step, RetryAdoption) and 4900.0 + next_step.delay_ms < 5000.0
    assert plan.next_timeouts(4950.0).total_ms > 30000.0
    assert fail(plan, 4950.0, 5001.0, AttemptStatus.RESET) == EndAdoption(RejectCause.MAY_HAVE_RUN)


@pytest.mark.parametrize("effect", Effect)
def test_attempts_that_did_not_arrive_are_repeated_after_growing_delays(effect: Effect) -> None:
    plan = make_plan(effect, max_attempts=1)
    now_ms, delays_ms = 0.0, []
    while isinstance(next_step := fail(plan, now_ms, now_ms, AttemptStatus.CONNECT_FAILED), RetryAdoption):
        delays_ms.append(next_step.delay_ms)
        now_ms += next_step.delay_ms
    assert next_step == EndAdoption(RejectCause.LATE) and now_ms > ADOPTION_LIMIT_MS - 3000.0
    assert min(delays_ms) == delays_ms[0] and 15 < len(delays_ms) < 60


def test_a_busy_endpoint_is_tried_again_for_every_class() -> None:
    for effect in Effect:
        assert isinstance(fail(make_plan(effect), 0.0, 5.0, AttemptStatus.FULL), RetryAdoption)


def test_an_endpoint_that_leaves_gets_no_further_attempt() -> None:
    next_step = fail(make_plan(), 0.0, 5.0, AttemptStatus.CONNECT_FAILED, is_leaving=True)
    assert next_step == EndAdoption(RejectCause.NO_ENDPOINT)


@given(
    effect=st.sampled_from(list(Effect)),
    max_attempts=st.integers(1, 8),
    key_ttl_ms=st.floats(0.0, 60000.0),
    wait_ms=st.floats(0.0, 60000.0),
    seed=st.integers(0, 1000),
)
@example(effect=Effect.KEYED, max_attempts=2, key_ttl_ms=5e-324, wait_ms=16.0, seed=3)  # half of it is 0
def test_every_plan_ends_in_time_and_keeps_the_rules_on_attempts(
    effect: Effect, max_attempts: int, key_ttl_ms: float, wait_ms: float, seed: int
) -> None:
    rng = Random(seed)
    plan = make_plan(effect, max_attempts, key_ttl_ms, wait_ms)
    now_ms, arrived, first_ms = 0.0, 0, None
    while True:
        started_ms = now_ms
        if first_ms is not None:
            assert effect == Effect.SAFE or (effect == Effect.KEYED and started_ms <= first_ms + key_ttl_ms)
        timeouts = plan.next_timeouts(now_ms)
        assert 0.0 < timeouts.connect_ms <= timeouts.total_ms
        now_ms += timeouts.total_ms * rng.choice([0.0, 0.01, 1.0])
        status = rng.choice(FAILURES)
        arrived += status not in NOT_ARRIVED_STATUSES
        if status not in NOT_EXECUTED_STATUSES and first_ms is None:
            first_ms = started_ms
        next_step = fail(plan, started_ms, now_ms, status)
        assert arrived <= max_attempts
        assert now_ms <= max(1.0, min(wait_ms, ADOPTION_LIMIT_MS))
        if isinstance(next_step, EndAdoption):
            break
        assert arrived < max_attempts and next_step.delay_ms > 0.0
        now_ms += next_step.delay_ms
