"""The relay's time across steps of the system's clock."""

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
    """A system clock and a monotonic one; only the first is stepped."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.shift_s = 0.0
        self.clock = Clock(self.wall_s, lambda: self.elapsed_s)

    def wall_s(self) -> float:
        return START_S + self.elapsed_s + self.shift_s

    def started(self, age_s: float = 0.0) -> Endpoint:
        """Returns an endpoint that started ``age_s`` ago by the clock that shows ``now``."""
        return Endpoint("a", "ready", started_at_ms=(self.wall_s() - age_s) * 1000.0)


@pytest.mark.parametrize("is_writer_stepped", [True, False])
@pytest.mark.parametrize("step_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
def test_a_timestamp_of_after_a_step_stands_for_its_moment_whoever_was_stepped(
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
def test_a_timestamp_of_before_a_step_is_never_older_than_its_moment(step_s: float) -> None:
    stepped = SteppedClock()
    before_ms = stepped.wall_s() * 1000.0
    stepped.elapsed_s = 100.0
    stepped.shift_s = step_s
    stepped.clock.read_wall_clock()
    converted_ms = stepped.clock.from_wall_ms(before_ms)
    assert START_S * 1000.0 - 1.0 <= converted_ms <= START_S * 1000.0 + max(0.0, -step_s) * 1000.0 + 1.0


def test_a_timestamp_that_no_clock_can_have_shown_yet_stands_for_now() -> None:
    # A relay that starts after a step back is given starts of before it: an hour ahead of its clock.
    stepped = SteppedClock()
    future_ms = (stepped.wall_s() + HOUR_S) * 1000.0
    assert stepped.clock.from_wall_ms(future_ms) == stepped.clock.now_ms()


def test_jitter_between_two_readings_is_no_step() -> None:
    history = WallClockHistory()
    for now_ms in range(0, 1000, 100):
        history.record_reading(float(now_ms), now_ms + random.Random(now_ms).uniform(-0.9, 0.9) * MIN_STEP_MS)
    assert history.shift_ms == 0.0 and history.to_relay_ms(500.0, 1000.0) == 500.0


@given(st.integers(0, 1 << 32))
def test_an_endpoint_is_never_taken_for_older_than_it_is_whatever_the_steps(seed: int) -> None:
    # Older means a larger part of the load than it bears. It may be taken for younger, up to a moment ago,
    # where its start was shown twice or machines were not stepped together.
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


def test_a_start_is_converted_once_and_its_identity_stays() -> None:
    stepped = SteppedClock()
    times = StartTimes(stepped.clock)
    stepped.elapsed_s = 10.0
    endpoint = stepped.started(age_s=5.0)
    (before,) = times.convert([endpoint], is_full=True)
    assert before is endpoint  # nothing was stepped: as discovery gave it
    stepped.shift_s = -HOUR_S
    stepped.elapsed_s = HOUR_S  # the clock shows for the second time what it showed then
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
    # A bounded history of steps forgot the unstepped time, however long it was.
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


def test_merged_shifts_leave_an_old_endpoint_its_age() -> None:
    # Erring towards younger must not go so far that nothing is ever taken for warm.
    history = WallClockHistory()
    for step in range(100):
        history.record_reading(0.0, step * 1000.0)
    age_ms = 2.0 * HOUR_S * 1000.0
    assert history.to_relay_ms(-age_ms, 0.0) <= -age_ms + 1.0
    assert history.to_relay_ms(99.0 * 1000.0 - age_ms, 0.0) <= 100.0 * 1000.0 - age_ms
