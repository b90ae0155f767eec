"""Calls for the list: in time for the news from any state, and no more than discovery can answer in turn."""

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

MUST_ASK_MS = 10000.0
FAIL_MS = 3000.0  # discovery fails a call that has waited so long, and works on it all the same
DOWN_FAIL_MS = 2000.0  # so was a call answered 503 that came while it was down, on every herd day looked at


class Highest(Random):
    """The worst that chance can do."""

    def random(self) -> float:
        return 1.0 - 2.0**-53


# ---------------------------------------------------------------- one relay: the sum of all set times

# What the client has waited itself by the time it tells a failure: docs/design/discovery-calls.md.
SPENT = {
    DiscoveryFailure.UNREACHED: discovery_watch.CONNECT_TIMEOUT_S * 1000.0,
    DiscoveryFailure.OVERLOADED: FAIL_MS,
    DiscoveryFailure.UNANSWERED: discovery_watch.RESPONSE_TIMEOUT_S * 1000.0,
    DiscoveryFailure.UNUSABLE: 0.0,
    DiscoveryFailure.LOST: 0.0,
    DiscoveryFailure.SILENT: discovery_watch.IDLE_TIMEOUT_S * 1000.0,
}
FAILURES = st.sampled_from(list(DiscoveryFailure))


def test_the_client_waits_as_the_backoff_reckons() -> None:
    assert (
        discovery_watch.CONNECT_TIMEOUT_S,
        discovery_watch.RESPONSE_TIMEOUT_S,
        discovery_watch.IDLE_TIMEOUT_S,
    ) == (
        CONNECT_TIMEOUT_MS / 1000.0,
        RESPONSE_TIMEOUT_MS / 1000.0,
        IDLE_TIMEOUT_MS / 1000.0,
    )
    assert (
        discovery_watch.RESPONSE_TIMEOUT_S * 1000.0 > FAIL_MS
    )  # so that a call which discovery fails is told from a mute one


@given(
    st.integers(1, 1000),
    st.floats(1000.0, 20000.0) | st.just(0.0),
    st.booleans(),
    st.lists(FAILURES, max_size=30),
    st.floats(0.0, 20000.0),
)
def test_from_any_state_the_set_times_leave_room_for_the_answer(
    relays: int, must_ask_ms: float, pushed: bool, before: list[DiscoveryFailure], gap_ms: float
) -> None:
    # A change counts as told 6 s after discovery had it and could be reached, whatever has failed before. The
    # wait after a failure was 5 s in the mean at once, and up to four times 130 ms for each relay.
    for failure in DiscoveryFailure:
        backoff, now = DiscoveryBackoff(relays, must_ask_ms, Highest(), pushed), 0.0
        assert backoff.first_call_delay_ms() + MIN_RESPONSE_TIME_MS <= ENDPOINT_LIST_DEADLINE_MS
        for one in before:
            if one is not DiscoveryFailure.OVERLOADED or relays * SLOW_CALL_MS <= FAIL_MS:
                now += gap_ms + backoff.retry_delay_ms(now, one)
        wait_ms = backoff.retry_delay_ms(now, failure)
        assert SPENT[failure] + wait_ms + MIN_RESPONSE_TIME_MS <= ENDPOINT_LIST_DEADLINE_MS
        if failure not in (DiscoveryFailure.UNANSWERED, DiscoveryFailure.SILENT, DiscoveryFailure.OVERLOADED):
            assert (
                wait_ms + FAIL_MS <= ENDPOINT_LIST_DEADLINE_MS
            )  # whatever waits then is answered in time, or not at all


@given(st.integers(1, 1000), st.floats(1000.0, 20000.0), st.integers(0, 999))
def test_every_relay_has_asked_in_time_for_a_second_try(relays: int, must_ask_ms: float, seed: int) -> None:
    # 200 relays spread their first calls over 26 s. Hosts that were gone for 10 s counted as told meanwhile,
    # and 80 requests went to them.
    backoff = DiscoveryBackoff(relays, must_ask_ms, Random(seed))
    assert backoff.first_call_delay_ms() <= must_ask_ms / 2
    assert backoff.first_call_delay_ms(stale=True) <= min(must_ask_ms / 2, 1800.0)
    for _ in range(9):
        assert backoff.retry_delay_ms(0.0, DiscoveryFailure.UNREACHED) <= max(must_ask_ms / 2, 1050.0)
    top_ms = 3.0 * max(1050.0, relays * SLOW_CALL_MS - FAIL_MS)
    assert max(backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) for _ in range(30)) <= top_ms
    backoff.on_success()
    assert (
        backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED)
        <= ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS
    )


@given(st.integers(1, 1000), st.floats(1000.0, 20000.0), st.booleans(), st.integers(0, 999))
def test_a_watch_that_is_over_is_opened_anew_before_its_news_count_as_told(
    relays: int, must_ask_ms: float, pushed: bool, seed: int
) -> None:
    # It was taken for a failed call: at 200 relays the next came 2.5 to 7.5 s later, 3.2 s of silence before
    # it, where what a silent watch misses counts as told after 6 s.
    backoff = DiscoveryBackoff(relays, must_ask_ms, Random(seed), pushed)
    for failure, most_ms in ((DiscoveryFailure.SILENT, 1800.0), (DiscoveryFailure.LOST, 2800.0)):
        for now in (0.0, must_ask_ms + 1.0, must_ask_ms + 2.0):
            assert backoff.retry_delay_ms(now, failure) <= (150.0 if pushed else most_ms)
    if not pushed:  # but one that is over again and again is not hammered
        assert backoff.retry_delay_ms(must_ask_ms + 3.0, DiscoveryFailure.LOST) >= min(
            350.0, 0.25 * must_ask_ms
        )
        assert backoff.retry_delay_ms(must_ask_ms + 4.0, DiscoveryFailure.SILENT) >= min(
            350.0, 0.25 * must_ask_ms
        )
    assert (
        not pushed or max(backoff.retry_delay_ms(0.0, f) for f in DiscoveryFailure for _ in range(9)) <= 150.0
    )


@pytest.mark.parametrize("failure", list(DiscoveryFailure))
def test_a_lone_relay_does_not_hammer_either(failure: DiscoveryFailure) -> None:
    backoff = DiscoveryBackoff(1, MUST_ASK_MS, Random(5))
    backoff.retry_delay_ms(0.0, failure)
    assert min(backoff.retry_delay_ms(1.0, failure) for _ in range(200)) >= 350.0


def test_only_a_call_that_stood_in_the_queue_slows_those_after_it() -> None:
    backoff = DiscoveryBackoff(200, MUST_ASK_MS, Highest())
    first, second, third = (backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) for _ in range(3))
    assert first < second < third
    costless = [backoff.retry_delay_ms(0.0, DiscoveryFailure.UNREACHED) for _ in range(9)]
    assert max(costless) <= 2800.0
    assert backoff.retry_delay_ms(0.0, DiscoveryFailure.OVERLOADED) == first  # that queue is gone by now
    assert (
        classify_rejection(999.0) is DiscoveryFailure.UNREACHED
        and classify_rejection(FAIL_MS) is DiscoveryFailure.OVERLOADED
    )


def test_relays_whose_watches_end_together_do_not_ask_in_step() -> None:
    for failure in (DiscoveryFailure.SILENT, DiscoveryFailure.LOST):
        waits = sorted(
            DiscoveryBackoff(200, 10000.0, Random(seed)).retry_delay_ms(0.0, failure) for seed in range(200)
        )
        assert max(sum(w <= v < w + 200.0 for v in waits) for w in waits) <= 50


# ---------------------------------------------------------------- all relays, and discovery's queue


class Fleet:
    """Relays that lose their watches as discovery goes down, and discovery, which serves in turn again later.

    It answers those that have waited up to 3 s by then; the others are failed, and cost it as much.
    """

    def __init__(self, relays: int, cost_ms: float, down_ms: float, how: str, seed: int) -> None:
        """``how`` it is down: refuses, resets, 503 (at once), cut (connections never come up), hung (they do,
        and nobody answers) or waits (fails calls after 2 s). Or it never is: all relays start as one, are
        moved there as one, or see their watches fall silent as one.
        """
        chance = Random(f"{seed} {relays} {how}")
        self.paces = [DiscoveryBackoff(relays, MUST_ASK_MS, Random(seed * 1009 + k)) for k in range(relays)]
        self.cost_ms, self.how = cost_ms, how
        self.back_ms = 0.0 if how in ("starts", "moved", "silent") else down_ms
        self.free_ms = self.back_ms
        self.events: list[tuple[float, int, str, int, Any]] = []
        self.count, self.failed = 0, 0
        self.calls: list[float] = []
        self.answered: dict[int, float] = {}  # by relay: how long after the return
        self.held: list[tuple[float, int]] = []
        for k, pace in enumerate(self.paces):
            if how == "starts":
                self.at(pace.first_call_delay_ms(), "call", k)
            elif how == "moved":
                self.at(0.0, "call", k)
            elif how in ("cut", "hung", "silent"):  # its last sign of life came up to 2 s before
                self.at(IDLE_TIMEOUT_MS - 2000.0 * chance.random(), "fail", k, DiscoveryFailure.SILENT)
            else:
                self.at(0.0, "fail", k, DiscoveryFailure.LOST)
        self.at(self.back_ms, "back", -1)
        while self.events and len(self.answered) < relays:
            now, _, what, k, more = heapq.heappop(self.events)
            assert now < self.back_ms + 1800000.0, "discovery answers nobody any more"
            getattr(self, what)(now, k, more)
        self.last_ms = max(self.answered.values())
        self.late = sum(after > ENDPOINT_LIST_DEADLINE_MS for after in self.answered.values())

    def at(self, when: float, what: str, k: int, more: Any = None) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what, k, more))

    def fail(self, now: float, k: int, failure: DiscoveryFailure) -> None:
        self.at(now + self.paces[k].retry_delay_ms(now, failure), "call", k)

    def back(self, now: float, k: int, more: None) -> None:
        for since, one in self.held:
            if now - since <= FAIL_MS:
                self.queue(now, since, one)

    def queue(self, now: float, since: float, k: int) -> None:
        self.free_ms = max(self.free_ms, now) + self.cost_ms
        if self.free_ms - since <= FAIL_MS:
            self.at(self.free_ms, "answer", k)
        else:
            self.failed += since >= self.back_ms
            self.at(max(now, since + FAIL_MS), "fail", k, DiscoveryFailure.OVERLOADED)

    def answer(self, now: float, k: int, more: None) -> None:
        self.answered[k] = now - self.back_ms

    def call(self, now: float, k: int, more: None) -> None:
        self.calls.append(now)
        if now >= self.back_ms:
            self.queue(now, now, k)
        elif self.how == "cut":
            self.at(now + CONNECT_TIMEOUT_MS, "fail", k, DiscoveryFailure.UNREACHED)
        elif self.how == "hung" and now + FAIL_MS >= self.back_ms:
            self.held.append((now, k))
        elif self.how == "hung":
            self.at(now + RESPONSE_TIMEOUT_MS, "fail", k, DiscoveryFailure.UNANSWERED)
        elif self.how == "waits":
            self.at(now + DOWN_FAIL_MS, "fail", k, DiscoveryFailure.OVERLOADED)
        else:
            self.at(now + (20.0 if self.how == "503" else 1.0), "fail", k, DiscoveryFailure.UNREACHED)

    def peak(self) -> int:
        """The most calls in any second."""
        calls = sorted(self.calls)
        most = first = 0
        for last, when in enumerate(calls):
            while calls[first] <= when - 1000.0:
                first += 1
            most = max(most, last - first + 1)
        return most


DOWN = (1000.0, 2000.0, 4000.0, 8000.0, 20000.0, 60000.0)
AT_ONCE = ("starts", "refuses", "resets", "503", "cut")


@pytest.mark.parametrize("how", AT_ONCE)
@pytest.mark.parametrize(
    "relays, cost_ms",
    [(n, 13) for n in (2, 3, 8, 20, 40, 100, 200, 346)] + [(n, 43) for n in (2, 3, 8, 20, 40, 70, 104)],
)
def test_all_have_the_news_in_time_where_their_calls_take_four_and_a_half_seconds(
    how: str, relays: int, cost_ms: int
) -> None:
    # Refused for a minute, 90% of 200 relays had it later than that, the last one 115 s after the return.
    assert relays * cost_ms <= 4500
    for down_ms in DOWN:
        for seed in range(2):
            fleet = Fleet(relays, cost_ms, down_ms, how, seed)
            assert fleet.last_ms <= ENDPOINT_LIST_DEADLINE_MS and not fleet.failed
            assert fleet.peak() <= 10 + 0.75 * relays


@pytest.mark.parametrize("how", ["hung", "silent", "moved"])
@pytest.mark.parametrize("relays, cost_ms", [(2, 13), (20, 13), (150, 13), (2, 43), (20, 43), (46, 43)])
def test_all_have_the_news_in_time_from_a_late_start_where_their_calls_take_two_seconds(
    how: str, relays: int, cost_ms: int
) -> None:
    # After a hang those that wait are in its queue already, and some of them have waited too long by then.
    assert relays * cost_ms <= 2000
    for down_ms in DOWN:
        for seed in range(3):
            assert Fleet(relays, cost_ms, down_ms, how, seed).last_ms <= ENDPOINT_LIST_DEADLINE_MS


@pytest.mark.parametrize("relays, cost_ms", [(2, 13), (8, 43), (30, 43), (100, 43), (200, 13), (200, 21)])
def test_a_discovery_that_keeps_calls_waiting_while_it_is_down_is_not_taken_to_be_overloaded(
    relays: int, cost_ms: int
) -> None:
    # On a herd day it did: 200 relays doubled their waits, and had their lists up to 16 s after the return.
    for down_ms in DOWN:
        for seed in range(3):
            assert Fleet(relays, cost_ms, down_ms, "waits", seed).last_ms <= ENDPOINT_LIST_DEADLINE_MS


@pytest.mark.parametrize("how", [*AT_ONCE, "hung", "waits"])
@pytest.mark.parametrize("relays, cost_ms", [(460, 13), (200, 43), (460, 43), (40, 130), (200, 130)])
def test_where_there_is_no_time_for_all_many_are_early_and_the_last_is_bounded(
    how: str, relays: int, cost_ms: int
) -> None:
    # It works on those that have given up, too: calls that come again as fast as ever would leave it no time
    # for any other, for good.
    work_ms, longest_ms = relays * cost_ms, 3.0 * (relays * SLOW_CALL_MS - FAIL_MS)
    for down_ms in (1000.0, 8000.0, 60000.0):
        fleet = Fleet(relays, cost_ms, down_ms, how, 1)
        if 21 * relays <= 4500 < work_ms and work_ms > 20000 and how != "starts":
            # At calls six times slower than were seen, it is taken to be down for a minute.
            assert fleet.last_ms <= 31.0 * work_ms and fleet.failed <= 31 * relays
            continue
        assert fleet.last_ms <= 8.0 * work_ms + (0.0 if how in AT_ONCE else longest_ms)
        assert fleet.failed <= 6 * relays
        assert fleet.peak() <= 10 + 0.75 * relays
        if how in AT_ONCE:  # what it can answer from the first call to the first failure
            assert relays - fleet.late >= min(relays, 0.95 * FAIL_MS / cost_ms)


def test_relays_that_start_and_fail_together_leave_discovery_time_to_answer_each() -> None:
    # It worked on calls that had given up: 28 relays asked at once, 18 of them for ten seconds in vain.
    for relays, cost_ms in ((4, 130), (40, 13), (40, 130), (200, 13), (200, 32), (200, 130)):
        for seed in range(3):
            fleet = Fleet(relays, cost_ms, 0.0, "starts", seed)
            work_ms = relays * cost_ms
            assert fleet.failed <= 8 * relays and fleet.last_ms <= max(5000.0 + 2000.0, 12.0 * work_ms)
            assert work_ms > 5500 or not fleet.failed
            assert relays > 40 or fleet.failed <= 4
