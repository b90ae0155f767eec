"""Tests of the relay's time across steps of the system clock."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageturn.core.clock import MAX_SHIFT_RANGES, MIN_STEP_MS, Clock, WallClockHistory
from sageturn.core.start_times import StartTimes
from sageturn.decision import Endpoint

HOUR_S = 3600.0
START_S = 1.8e9


class SteppedClock:
    """A relay clock on a fake system clock, which can be stepped, and a fake monotonic clock."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.shift_s = 0.0
        self.clock = Clock(self.wall_s, lambda: self.elapsed_s)

    def wall_s(self) -> float:
        return START_S + self.elapsed_s + self.shift_s

    def started(self, age_s: float = 0.0) -> Endpoint:
        """Return an endpoint that started ``age_s`` ago, with a timestamp by the system clock."""
        return Endpoint("a", "ready", started_at_ms=(self.wall_s() - age_s) * 1000.0)


@pytest.mark.parametrize("is_writer_stepped", [True, False])
@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_timestamp_written_after_a_step_is_converted_exactly_whichever_clock_was_stepped(
    step_s: float, is_writer_stepped: bool
) -> None:
    stepped = SteppedClock()
    clock = stepped.clock
    stepped.elapsed_s = 100.0
    clock.read_wall_clock()
    stepped.shift_s = step_s
    stepped.elapsed_s = 130.0
    written_ms = (stepped.wall_s() - (0.0 if is_writer_stepped else step_s)) * 1000.0
    stepped.elapsed_s = 132.0
    assert clock.read_wall_clock() == pytest.approx(step_s * 1000.0)
    assert clock.from_wall_ms(written_ms) == pytest.approx((START_S + 130.0) * 1000.0)
    assert clock.now_ms() == pytest.approx((START_S + 132.0) * 1000.0)


@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_timestamp_written_before_a_step_is_never_converted_to_an_earlier_moment(step_s: float) -> None:
    stepped = SteppedClock()
    before_ms = stepped.wall_s() * 1000.0
    stepped.elapsed_s = 100.0
    stepped.shift_s = step_s
    stepped.clock.read_wall_clock()
    converted_ms = stepped.clock.from_wall_ms(before_ms)
    assert START_S * 1000.0 - 1.0 <= converted_ms <= START_S * 1000.0 + max(0.0, -step_s) * 1000.0 + 1.0


def test_a_timestamp_in_the_future_is_converted_to_now() -> None:
    # A relay that starts after its clock was stepped back gets start times from before the step.
    stepped = SteppedClock()
    future_ms = (stepped.wall_s() + HOUR_S) * 1000.0
    assert stepped.clock.from_wall_ms(future_ms) == stepped.clock.now_ms()


def test_jitter_between_two_readings_is_no_step() -> None:
    history = WallClockHistory()
    for now_ms in range(0, 1000, 100):
        history.record_reading(float(now_ms), now_ms + random.Random(now_ms).uniform(-0.9, 0.9) * MIN_STEP_MS)
    assert history.shift_ms == 0.0 and history.to_relay_ms(500.0, 1000.0) == 500.0


@given(st.integers(0, 1 << 32))
def test_an_endpoint_never_seems_older_than_it_is_whatever_the_steps(seed: int) -> None:
    # An endpoint that seems older than it is gets more load than it can bear. It may seem younger, even just
    # started, if the clock showed its start time twice or the machines were not stepped together.
    rng = random.Random(seed)
    stepped = SteppedClock()
    for _ in range(40):
        stepped.elapsed_s += rng.uniform(0.0, 60.0)
        if rng.random() < 0.2:
            stepped.shift_s += rng.choice([-HOUR_S, -30.0, -1.0, 1.0, 30.0, HOUR_S])
        started_s = stepped.elapsed_s
        endpoint = stepped.started()
        if rng.random() < 0.3:  # written by a machine that was never stepped
            endpoint = Endpoint("a", started_at_ms=(START_S + started_s) * 1000.0)
        stepped.elapsed_s += rng.uniform(0.0, 5.0)
        stepped.clock.read_wall_clock()
        converted_ms = stepped.clock.from_wall_ms(endpoint.started_at_ms)
        assert converted_ms >= (START_S + started_s) * 1000.0 - 1.0
        assert converted_ms <= stepped.clock.now_ms()


def test_a_start_is_converted_once_and_stays_unchanged() -> None:
    stepped = SteppedClock()
    times = StartTimes(stepped.clock)
    stepped.elapsed_s = 10.0
    endpoint = stepped.started(age_s=5.0)
    (before,) = times.convert([endpoint], is_full=True)
    assert before is endpoint  # no clock was stepped, so the endpoint is unchanged
    stepped.shift_s = -HOUR_S
    stepped.elapsed_s = HOUR_S  # the clock shows the same time again
    assert times.convert([endpoint], is_full=True) == [endpoint]
    restarted = stepped.started(age_s=1.0)
    (converted,) = times.convert([restarted], is_full=False)
    assert converted.started_at_ms == pytest.approx((START_S + HOUR_S - 1.0) * 1000.0)
    times.convert([Endpoint("a", "gone")], is_full=False)
    (again,) = times.convert([restarted], is_full=False)
    assert again.started_at_ms == pytest.approx(converted.started_at_ms)


@pytest.mark.parametrize("seed", range(5))
def test_a_clock_that_is_stepped_for_years_makes_no_endpoint_older_and_takes_no_more_memory(
    seed: int,
) -> None:
    # A bounded history of steps dropped the shift of the unstepped clock, however long that had applied.
    rng = random.Random(seed)
    history = WallClockHistory()
    shift_s = now_s = 0.0
    for _ in range(5000):
        now_s += rng.uniform(0.0, 60.0)
        if rng.random() < 0.2:
            shift_s += rng.choice([-HOUR_S, -30.0, -1.0, 1.0, 30.0, HOUR_S])
        started_s = now_s
        written_s = started_s if rng.random() < 0.3 else started_s + shift_s
        now_s += rng.uniform(0.0, 5.0)
        history.record_reading(now_s * 1000.0, (now_s + shift_s) * 1000.0)
        converted_ms = history.to_relay_ms(written_s * 1000.0, now_s * 1000.0)
        assert started_s * 1000.0 - 1.0 <= converted_ms <= now_s * 1000.0
    assert len(history.ranges) <= MAX_SHIFT_RANGES


def test_an_old_endpoint_keeps_its_age_after_shifts_are_merged() -> None:
    # Endpoints may seem younger than they are, but not so much that none ever counts as warmed up.
    history = WallClockHistory()
    for step in range(100):
        history.record_reading(0.0, step * 1000.0)
    age_ms = 2.0 * HOUR_S * 1000.0
    assert history.to_relay_ms(-age_ms, 0.0) <= -age_ms + 1.0
    assert history.to_relay_ms(99.0 * 1000.0 - age_ms, 0.0) <= 100.0 * 1000.0 - age_ms
