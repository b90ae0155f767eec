"""Calls to discovery meet the deadline from any state, and do not exceed what discovery can answer."""

from __future__ import annotations

import heapq
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageturn.decision import DiscoveryFailure
from sageturn.decision.discovery_backoff import (
    CONNECT_TIMEOUT_MS,
    ENDPOINT_LIST_DEADLINE_MS,
    IDLE_TIMEOUT_MS,
    MIN_RESPONSE_TIME_MS,
    RESPONSE_TIMEOUT_MS,
    SLOW_CALL_MS,
    DiscoveryBackoff,
    classify_rejection,
)
from sageturn.net import discovery_watch

MAX_POLL_INTERVAL_MS = 10000.0
QUEUE_TIMEOUT_MS = 3000.0  # discovery fails a call that has waited longer, but still processes it
# Time after which discovery that is down answers calls by 503, in simulations with many relays calling at
# once.
DOWN_RESPONSE_MS = 2000.0


class HighestRandom(Random):
    """Random source of the highest number below 1, and so of the longest delay."""

    def random(self) -> float:
        return 1.0 - 2.0**-53


# ---------------------------------------------------------------- one relay: the sum of all fixed times

# Time that the client takes to detect each failure: docs/design/discovery-calls.md.
DETECTION_MS = {
    DiscoveryFailure.UNREACHED: discovery_watch.CONNECT_TIMEOUT_S * 1000.0,
    DiscoveryFailure.OVERLOADED: QUEUE_TIMEOUT_MS,
    DiscoveryFailure.UNANSWERED: discovery_watch.RESPONSE_TIMEOUT_S * 1000.0,
    DiscoveryFailure.UNUSABLE: 0.0,
    DiscoveryFailure.LOST: 0.0,
    DiscoveryFailure.SILENT: discovery_watch.IDLE_TIMEOUT_S * 1000.0,
}
# Failures whose detection takes so long that discovery may fail the next call after the deadline.
SLOWLY_DETECTED = (DiscoveryFailure.UNANSWERED, DiscoveryFailure.SILENT, DiscoveryFailure.OVERLOADED)
FAILURES = st.sampled_from(list(DiscoveryFailure))


def test_client_timeouts_are_those_of_the_backoff() -> None:
    assert discovery_watch.CONNECT_TIMEOUT_S == CONNECT_TIMEOUT_MS / 1000.0
    assert discovery_watch.RESPONSE_TIMEOUT_S == RESPONSE_TIMEOUT_MS / 1000.0
    assert discovery_watch.IDLE_TIMEOUT_S == IDLE_TIMEOUT_MS / 1000.0
    # The client distinguishes a call that discovery fails from one that gets no response.
    assert discovery_watch.RESPONSE_TIMEOUT_S * 1000.0 > QUEUE_TIMEOUT_MS


@given(
    st.integers(1, 1000),
    st.floats(1000.0, 20000.0) | st.just(0.0),
    st.booleans(),
    st.lists(FAILURES, max_size=30),
    st.floats(0.0, 20000.0),
)
def test_fixed_times_leave_time_for_the_response_from_any_state(
    relay_count: int,
    max_poll_interval_ms: float,
    is_list_pushed: bool,
    earlier: list[DiscoveryFailure],
    gap_ms: float,
) -> None:
    # A relay must have a change 6 s after discovery had it and could be reached, whatever has failed before.
    # Delays with a mean of 5 s after a failure, and of up to 4 * 130 ms per relay, were too long.
    fits_queue = relay_count * SLOW_CALL_MS <= QUEUE_TIMEOUT_MS
    for failure in DiscoveryFailure:
        backoff = DiscoveryBackoff(relay_count, max_poll_interval_ms, HighestRandom(), is_list_pushed)
        now_ms = 0.0
        assert backoff.first_call_delay_ms() + MIN_RESPONSE_TIME_MS <= ENDPOINT_LIST_DEADLINE_MS
        for earlier_failure in earlier:
            if earlier_failure is not DiscoveryFailure.OVERLOADED or fits_queue:
                now_ms += gap_ms + backoff.retry_delay_ms(now_ms, earlier_failure)
        delay_ms = backoff.retry_delay_ms(now_ms, failure)
        assert DETECTION_MS[failure] + delay_ms + MIN_RESPONSE_TIME_MS <= ENDPOINT_LIST_DEADLINE_MS
        if failure not in SLOWLY_DETECTED:
            # A call that waits at discovery is then answered in time, or not at all.
            assert delay_ms + QUEUE_TIMEOUT_MS <= ENDPOINT_LIST_DEADLINE_MS


@given(st.integers(1, 1000), st.floats(1000.0, 20000.0), st.integers(0, 999))
def test_every_relay_calls_in_time_for_a_retry(
    relay_count: int, max_poll_interval_ms: float, seed: int
) -> None:
    # When 200 relays spread their first calls over 26 s, they sent 80 requests to endpoints that had been
    # removed 10 s before. A relay is expected to have been notified of a removal by then.
    backoff = DiscoveryBackoff(relay_count, max_poll_interval_ms, Random(seed))
    half_interval_ms = max_poll_interval_ms / 2
    assert backoff.first_call_delay_ms() <= half_interval_ms
    assert backoff.first_call_delay_ms(stale=True) <= min(half_interval_ms, 1800.0)
    for _ in range(9):
        assert backoff.retry_delay_ms(0.0, DiscoveryFailure.UNREACHED) <= max(half_interval_ms, 1050.0)
    overloaded_ms = [backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) for _ in range(30)]
    assert max(overloaded_ms) <= 3.0 * max(1050.0, relay_count * SLOW_CALL_MS - QUEUE_TIMEOUT_MS)
    backoff.on_success()
    delay_ms = backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED)
    assert delay_ms <= ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS


@given(st.integers(1, 1000), st.floats(1000.0, 20000.0), st.booleans(), st.integers(0, 999))
def test_watch_that_ended_is_restarted_before_what_it_missed_counts_as_known(
    relay_count: int, max_poll_interval_ms: float, is_list_pushed: bool, seed: int
) -> None:
    # When the end of a watch counted as a failed call, the next call of 200 relays came 2.5 to 7.5 s later,
    # after the 3.2 s in which the watch had sent nothing. The relay must have the changes that an
    # unresponsive watch missed after 6 s.
    backoff = DiscoveryBackoff(relay_count, max_poll_interval_ms, Random(seed), is_list_pushed)
    for failure, max_delay_ms in ((DiscoveryFailure.SILENT, 1800.0), (DiscoveryFailure.LOST, 2800.0)):
        for now_ms in (0.0, max_poll_interval_ms + 1.0, max_poll_interval_ms + 2.0):
            assert backoff.retry_delay_ms(now_ms, failure) <= (150.0 if is_list_pushed else max_delay_ms)
    if is_list_pushed:
        delays_ms = [backoff.retry_delay_ms(0.0, failure) for failure in DiscoveryFailure for _ in range(9)]
        assert max(delays_ms) <= 150.0
    else:  # repeated ends of watches do not cause frequent calls
        min_delay_ms = min(350.0, 0.25 * max_poll_interval_ms)
        assert backoff.retry_delay_ms(max_poll_interval_ms + 3.0, DiscoveryFailure.LOST) >= min_delay_ms
        assert backoff.retry_delay_ms(max_poll_interval_ms + 4.0, DiscoveryFailure.SILENT) >= min_delay_ms


@pytest.mark.parametrize("failure", list(DiscoveryFailure))
def test_a_single_relay_does_not_call_discovery_too_often(failure: DiscoveryFailure) -> None:
    backoff = DiscoveryBackoff(1, MAX_POLL_INTERVAL_MS, Random(5))
    backoff.retry_delay_ms(0.0, failure)
    assert min(backoff.retry_delay_ms(1.0, failure) for _ in range(200)) >= 350.0


def test_only_calls_that_were_queued_lengthen_the_delay() -> None:
    backoff = DiscoveryBackoff(200, MAX_POLL_INTERVAL_MS, HighestRandom())
    first, second, third = (backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) for _ in range(3))
    assert first < second < third
    unreached = [backoff.retry_delay_ms(0.0, DiscoveryFailure.UNREACHED) for _ in range(9)]
    assert max(unreached) <= 2800.0
    assert backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) == first  # the queue has emptied by then
    assert classify_rejection(999.0) is DiscoveryFailure.UNREACHED
    assert classify_rejection(QUEUE_TIMEOUT_MS) is DiscoveryFailure.OVERLOADED


@pytest.mark.parametrize("failure", [DiscoveryFailure.SILENT, DiscoveryFailure.LOST])
def test_relays_whose_watches_end_together_do_not_call_in_step(failure: DiscoveryFailure) -> None:
    delays_ms = sorted(
        DiscoveryBackoff(200, 10000.0, Random(seed)).retry_delay_ms(0.0, failure) for seed in range(200)
    )
    assert max(sum(first <= delay < first + 200.0 for delay in delays_ms) for first in delays_ms) <= 50


# ---------------------------------------------------------------- all relays, and discovery's queue


class SimulatedFleet:
    """Relays whose watches end as discovery goes down, and which call until it has answered each of them.

    Once discovery has recovered it serves calls in order: it answers those that have waited up to 3 s, and
    fails the others, which take as much of its time.
    """

    def __init__(self, relay_count: int, call_ms: float, down_ms: float, outage: str, seed: int) -> None:
        """Simulate the outage until all relays are answered.

        Args:
            relay_count: The number of relays.
            call_ms: The time that discovery takes to process a call.
            down_ms: The duration of the outage.
            outage: Discovery "refuses", "resets", answers "503" (at once), is "cut" off (connections are
                never established), is "hung" (accepts connections, but does not answer) or "delays" (fails
                calls after 2 s). With "starts", "moved" and "silent" it is never down: all relays start
                together, are moved to it together, or their watches stop sending together.
            seed: The seed of all random numbers.
        """
        rng = Random(f"{seed} {relay_count} {outage}")
        self.backoffs = [
            DiscoveryBackoff(relay_count, MAX_POLL_INTERVAL_MS, Random(seed * 1009 + relay))
            for relay in range(relay_count)
        ]
        self.call_ms = call_ms
        self.outage = outage
        self.up_at_ms = 0.0 if outage in ("starts", "moved", "silent") else down_ms
        self.idle_at_ms = self.up_at_ms  # time at which discovery has processed its queue
        self.events: list[tuple[float, int, str, int, Any]] = []
        self.event_count = 0
        self.failed_calls = 0
        self.called_at_ms: list[float] = []
        self.answered_after_ms: dict[int, float] = {}  # time from discovery's recovery, by relay
        self.hanging_calls: list[tuple[float, int]] = []
        for relay, backoff in enumerate(self.backoffs):
            if outage == "starts":
                self.schedule(backoff.first_call_delay_ms(), "call", relay)
            elif outage == "moved":
                self.schedule(0.0, "call", relay)
            elif outage in ("cut", "hung", "silent"):  # the last line came up to 2 s before
                noticed_at_ms = IDLE_TIMEOUT_MS - 2000.0 * rng.random()
                self.schedule(noticed_at_ms, "fail", relay, DiscoveryFailure.SILENT)
            else:
                self.schedule(0.0, "fail", relay, DiscoveryFailure.LOST)
        self.schedule(self.up_at_ms, "come_up", -1)
        self.run(relay_count)
        self.last_ms = max(self.answered_after_ms.values())
        self.late_count = sum(
            after_ms > ENDPOINT_LIST_DEADLINE_MS for after_ms in self.answered_after_ms.values()
        )

    def run(self, relay_count: int) -> None:
        while self.events and len(self.answered_after_ms) < relay_count:
            now_ms, _, handler, relay, argument = heapq.heappop(self.events)
            assert now_ms < self.up_at_ms + 1800000.0, "discovery has not answered all relays in half an hour"
            getattr(self, handler)(now_ms, relay, argument)

    def schedule(self, at_ms: float, handler: str, relay: int, argument: Any = None) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, handler, relay, argument))

    def fail(self, now_ms: float, relay: int, failure: DiscoveryFailure) -> None:
        delay_ms = self.backoffs[relay].retry_delay_ms(now_ms, failure)
        self.schedule(now_ms + delay_ms, "call", relay)

    def come_up(self, now_ms: float, relay: int, argument: None) -> None:
        for called_at_ms, waiting_relay in self.hanging_calls:
            if now_ms - called_at_ms <= QUEUE_TIMEOUT_MS:
                self.enqueue(now_ms, called_at_ms, waiting_relay)

    def enqueue(self, now_ms: float, called_at_ms: float, relay: int) -> None:
        self.idle_at_ms = max(self.idle_at_ms, now_ms) + self.call_ms
        if self.idle_at_ms - called_at_ms <= QUEUE_TIMEOUT_MS:
            self.schedule(self.idle_at_ms, "answer", relay)
        else:
            self.failed_calls += called_at_ms >= self.up_at_ms
            failed_at_ms = max(now_ms, called_at_ms + QUEUE_TIMEOUT_MS)
            self.schedule(failed_at_ms, "fail", relay, DiscoveryFailure.OVERLOADED)

    def answer(self, now_ms: float, relay: int, argument: None) -> None:
        self.answered_after_ms[relay] = now_ms - self.up_at_ms

    def call(self, now_ms: float, relay: int, argument: None) -> None:
        self.called_at_ms.append(now_ms)
        if now_ms >= self.up_at_ms:
            self.enqueue(now_ms, now_ms, relay)
        elif self.outage == "cut":
            self.schedule(now_ms + CONNECT_TIMEOUT_MS, "fail", relay, DiscoveryFailure.UNREACHED)
        elif self.outage == "hung" and now_ms + QUEUE_TIMEOUT_MS >= self.up_at_ms:
            self.hanging_calls.append((now_ms, relay))
        elif self.outage == "hung":
            self.schedule(now_ms + RESPONSE_TIMEOUT_MS, "fail", relay, DiscoveryFailure.UNANSWERED)
        elif self.outage == "delays":
            self.schedule(now_ms + DOWN_RESPONSE_MS, "fail", relay, DiscoveryFailure.OVERLOADED)
        else:
            rejected_after_ms = 20.0 if self.outage == "503" else 1.0
            self.schedule(now_ms + rejected_after_ms, "fail", relay, DiscoveryFailure.UNREACHED)

    def max_calls_per_second(self) -> int:
        calls_ms = sorted(self.called_at_ms)
        max_count = 0
        first = 0
        for last, called_at_ms in enumerate(calls_ms):
            while calls_ms[first] <= called_at_ms - 1000.0:
                first += 1
            max_count = max(max_count, last - first + 1)
        return max_count


DOWN_MS = (1000.0, 2000.0, 4000.0, 8000.0, 20000.0, 60000.0)
FAST_FAILING_OUTAGES = ("starts", "refuses", "resets", "503", "cut")


def assert_all_are_answered_in_time(relay_count: int, call_ms: int, outage: str) -> None:
    for down_ms in DOWN_MS:
        for seed in range(3):
            fleet = SimulatedFleet(relay_count, call_ms, down_ms, outage, seed)
            assert fleet.last_ms <= ENDPOINT_LIST_DEADLINE_MS


@pytest.mark.parametrize("outage", FAST_FAILING_OUTAGES)
@pytest.mark.parametrize(
    ("relay_count", "call_ms"),
    [(count, 13) for count in (2, 3, 8, 20, 40, 100, 200, 346)]
    + [(count, 43) for count in (2, 3, 8, 20, 40, 70, 104)],
)
def test_all_are_answered_in_time_where_their_calls_take_four_and_a_half_seconds(
    outage: str, relay_count: int, call_ms: int
) -> None:
    # After a minute of refused calls, 90% of 200 relays once missed the deadline; the last one was answered
    # 115 s after discovery had recovered.
    assert relay_count * call_ms <= 4500
    for down_ms in DOWN_MS:
        for seed in range(2):
            fleet = SimulatedFleet(relay_count, call_ms, down_ms, outage, seed)
            assert fleet.last_ms <= ENDPOINT_LIST_DEADLINE_MS
            assert not fleet.failed_calls
            assert fleet.max_calls_per_second() <= 10 + 0.75 * relay_count


@pytest.mark.parametrize("outage", ["hung", "silent", "moved"])
@pytest.mark.parametrize(
    ("relay_count", "call_ms"), [(2, 13), (20, 13), (150, 13), (2, 43), (20, 43), (46, 43)]
)
def test_all_are_answered_in_time_from_a_late_start_where_their_calls_take_two_seconds(
    outage: str, relay_count: int, call_ms: int
) -> None:
    # After a hang, the waiting calls are in the queue already, and some of them have waited too long.
    assert relay_count * call_ms <= 2000
    assert_all_are_answered_in_time(relay_count, call_ms, outage)


@pytest.mark.parametrize(
    ("relay_count", "call_ms"), [(2, 13), (8, 43), (30, 43), (100, 43), (200, 13), (200, 21)]
)
def test_discovery_that_delays_calls_while_it_is_down_is_not_taken_to_be_overloaded(
    relay_count: int, call_ms: int
) -> None:
    # When it was, 200 relays doubled their delays, and some got lists only 16 s after its recovery.
    assert_all_are_answered_in_time(relay_count, call_ms, "delays")


@pytest.mark.parametrize("outage", [*FAST_FAILING_OUTAGES, "hung", "delays"])
@pytest.mark.parametrize(("relay_count", "call_ms"), [(460, 13), (200, 43), (460, 43), (40, 130), (200, 130)])
def test_if_there_is_no_time_for_all_many_are_in_time_and_the_last_is_bounded(
    outage: str, relay_count: int, call_ms: int
) -> None:
    # Discovery also processes calls that were given up: if they were repeated without backoff, it would have
    # no time for any others.
    work_ms = relay_count * call_ms
    longest_delay_ms = 3.0 * (relay_count * SLOW_CALL_MS - QUEUE_TIMEOUT_MS)
    for down_ms in (1000.0, 8000.0, 60000.0):
        fleet = SimulatedFleet(relay_count, call_ms, down_ms, outage, 1)
        if 21 * relay_count <= 4500 < work_ms and work_ms > 20000 and outage != "starts":
            # Calls are six times slower than expected, and discovery is assumed to be down for a minute.
            assert fleet.last_ms <= 31.0 * work_ms
            assert fleet.failed_calls <= 31 * relay_count
            continue
        is_failing_fast = outage in FAST_FAILING_OUTAGES
        assert fleet.last_ms <= 8.0 * work_ms + (0.0 if is_failing_fast else longest_delay_ms)
        assert fleet.failed_calls <= 6 * relay_count
        assert fleet.max_calls_per_second() <= 10 + 0.75 * relay_count
        if is_failing_fast:  # calls that are answered before the first one fails
            in_time = relay_count - fleet.late_count
            assert in_time >= min(relay_count, 0.95 * QUEUE_TIMEOUT_MS / call_ms)


def test_relays_that_start_and_fail_together_leave_discovery_time_to_answer_each() -> None:
    # Discovery processed calls that had been given up: of 28 relays that called at once, 18 failed for 10 s.
    for relay_count, call_ms in ((4, 130), (40, 13), (40, 130), (200, 13), (200, 32), (200, 130)):
        for seed in range(3):
            fleet = SimulatedFleet(relay_count, call_ms, 0.0, "starts", seed)
            work_ms = relay_count * call_ms
            assert fleet.failed_calls <= 8 * relay_count
            assert fleet.last_ms <= max(5000.0 + 2000.0, 12.0 * work_ms)
            assert work_ms > 5500 or not fleet.failed_calls
            assert relay_count > 40 or fleet.failed_calls <= 4
