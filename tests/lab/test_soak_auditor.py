"""The soak's auditor finds violations of each rule, and none in a run that obeys them."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from sageturn.decision import Effect
from sageturn.lab.soak.auditor import Auditor, Rule
from sageturn.lab.soak.plan import (
    DRAIN_GRACE_S,
    KEY_TTL_S,
    MAX_ATTEMPTS,
    NEVER_S,
    EndpointIncarnation,
    FaultKind,
    ScheduledFault,
    SoakPlan,
    SoakSize,
    Variant,
)
from sageturn.lab.soak.records import (
    AttemptRecord,
    ClientRecord,
    EndpointNotification,
    Evidence,
    RelayRecord,
)

STARTED_S = 100.0  # start of the run
PROCESS = 7
OLD = EndpointIncarnation("s0", 0, -60.0, NEVER_S, NEVER_S)
DRAINING = EndpointIncarnation("s1", 0, -60.0, 1.0, 5.0)
NEW = EndpointIncarnation("s2", 0, 0.5, NEVER_S, NEVER_S)


def make_plan(effect: Effect = Effect.SAFE) -> SoakPlan:
    plan = SoakPlan(1, SoakSize(relays=2, hosts=1, requests_per_s=20.0), effect, (), STARTED_S)
    plan.incarnations = [OLD, DRAINING, NEW]
    return plan


def client(request: str = "q1", **fields: Any) -> ClientRecord:
    """Return the record of a client served from 101 s to 104 s; ``fields`` override its fields."""
    values = {"sent_s": 101.0, "answer": f"UP {request}", "answered_s": 101.1, "left_s": 104.0}
    return replace(ClientRecord(request, 0, PROCESS, 2.0, Effect.SAFE), **{**values, **fields})


def attempt(request: str = "q1", incarnation: EndpointIncarnation = OLD, **fields: Any) -> AttemptRecord:
    """Return the record of an answered attempt that was sent at 101.05 s; ``fields`` override its fields."""
    values = {"first_byte_s": 101.05, "complete_s": 101.05, "answer": "UP", "ended_s": 104.0}
    record = AttemptRecord(incarnation.name, STARTED_S + incarnation.start_s, request)
    return replace(record, **{**values, **fields})


def relay(**fields: Any) -> RelayRecord:
    values = {"ready_s": 91.0, "terminated_s": 110.0, "exited_s": 111.0, "exit_code": 0}
    return replace(RelayRecord(0, PROCESS, 90.0), **{**values, **fields})


def broken_rules(
    clients: list[ClientRecord],
    attempts: list[AttemptRecord],
    *,
    effect: Effect = Effect.SAFE,
    process: RelayRecord | None = None,
    notifications: list[EndpointNotification] | None = None,
) -> set[Rule]:
    evidence = Evidence(clients, attempts, [process or relay()], notifications or [])
    return {violation.rule for violation in Auditor(make_plan(effect), evidence).find_violations()}


def test_a_run_that_obeys_the_rules_has_no_violations() -> None:
    retried = attempt(answer="b'BUSY\\r\\n'", first_byte_s=101.01, complete_s=101.01, ended_s=101.02)
    assert broken_rules([client()], [retried, attempt()], effect=Effect.UNSAFE) == set()


RELAY_ENDED: dict[str, Any] = {"left_s": 0.0, "ended_s": 102.0, "end": "eof"}


@pytest.mark.parametrize(
    ("fields", "rule"),
    [
        ({"answer": "", "answered_s": 0.0, **RELAY_ENDED}, Rule.ANSWERED),
        ({"answer": "", "answered_s": 0.0, "left_s": 105.0}, Rule.ANSWERED),
        ({"answer": "ERR x", "answered_s": 103.8, **RELAY_ENDED}, Rule.IN_TIME),
        ({"answer": "BUSY", "lines_after_answer": 1}, Rule.ANSWERED_ONCE),
        ({"answer": "PONG"}, Rule.ANSWERED_ONCE),
        ({"answer": "UP forged"}, Rule.ANSWERED_ONCE),
        (RELAY_ENDED, Rule.ENDED_IN_ORDER),
        ({"answer": "", "answered_s": 0.0, "is_bad": True, "left_s": 105.0}, Rule.BAD_CLIENT_ANSWERED),
    ],
)
def test_broken_obligations_to_clients_are_found(fields: dict[str, Any], rule: Rule) -> None:
    assert broken_rules([client(**fields)], [attempt()]) == {rule}


def test_a_killed_relay_need_not_answer_and_a_moved_client_was_ended_in_order() -> None:
    disconnected = client(answer="", answered_s=0.0, left_s=0.0, ended_s=102.0, end="reset")
    killed = relay(killed_s=102.0, terminated_s=0.0, exit_code=-9)
    assert broken_rules([disconnected], [], process=killed) == set()
    assert broken_rules([client(is_moved=True, **RELAY_ENDED)], [attempt()]) == set()
    by_endpoint = attempt(ended_s=102.0, is_ended_by_endpoint=True)
    assert broken_rules([client(**RELAY_ENDED)], [by_endpoint]) == set()


ADOPTED: dict[str, Any] = {"adopted_endpoint": "s0", "wait_s": 40.0, "sent_s": 95.0}


@pytest.mark.parametrize(
    "fields",
    [
        {"answer": "ERR lost", "answered_s": 101.0},
        {"answer": "BUSY", "answered_s": 101.0},
        {"answer": "", "answered_s": 0.0, "left_s": 135.0},
    ],
)
def test_a_connection_from_before_the_run_has_to_be_restored(fields: dict[str, Any]) -> None:
    lost = client(**{**ADOPTED, **fields})
    assert broken_rules([lost], [], process=relay(terminated_s=140.0, exited_s=141.0)) == {Rule.ADOPTED}


def test_a_connection_from_before_the_run_may_end_with_its_relay_its_endpoint_or_an_unsafe_attempt() -> None:
    lost = client(**{**ADOPTED, "answer": "ERR lost", "answered_s": 102.0})
    assert broken_rules([lost], [], process=relay(terminated_s=101.9, exited_s=102.5)) == set()
    assert broken_rules([replace(lost, adopted_endpoint="s1")], []) == set()
    assert broken_rules([lost], [], effect=Effect.UNSAFE) == set()
    assert broken_rules([client(**ADOPTED)], [attempt()]) == set()


def test_the_earliest_kill_follows_the_clients_deadline() -> None:
    plan = make_plan()
    plan.request_timeout_s = 0.3
    evidence = Evidence([], [], [relay(terminated_s=110.0, exited_s=111.2)], [])
    (violation,) = Auditor(plan, evidence).find_violations()
    assert violation.rule is Rule.RELAY_EXIT and violation.detail == "1.200 s after SIGTERM"


def test_attempts_are_limited_and_sequential() -> None:
    many = [
        attempt(
            first_byte_s=101.0 + 0.1 * number, complete_s=101.0 + 0.1 * number, ended_s=101.05 + 0.1 * number
        )
        for number in range(MAX_ATTEMPTS + 1)
    ]
    assert broken_rules([client()], many) == {Rule.ATTEMPT_LIMIT}
    overlapping = [attempt(), attempt(complete_s=101.5, first_byte_s=101.5)]
    assert broken_rules([client()], overlapping) == {Rule.SINGLE_ATTEMPT}


@pytest.mark.parametrize(
    ("effect", "second_s", "broken"),
    [
        (Effect.SAFE, 103.0, False),
        (Effect.KEYED, 101.05 + KEY_TTL_S, False),
        (Effect.KEYED, 101.2 + KEY_TTL_S, True),
        (Effect.UNSAFE, 101.5, True),
    ],
)
def test_a_request_that_may_have_run_is_not_repeated(effect: Effect, second_s: float, broken: bool) -> None:
    first = attempt(answer="", ended_s=101.1)
    second = attempt(first_byte_s=second_s, complete_s=second_s)
    found = broken_rules([client()], [first, second], effect=effect)
    assert found == ({Rule.REPEATABLE} if broken else set())


def test_no_attempt_begins_after_the_client_has_disconnected() -> None:
    left = client(answer="", answered_s=0.0, left_s=101.2)
    late = attempt(first_byte_s=101.6, complete_s=101.6, answer="", ended_s=101.7)
    assert broken_rules([left], [late]) == {Rule.CLIENT_PRESENT}
    assert broken_rules([left], [replace(late, first_byte_s=101.25, complete_s=101.25)]) == set()


def test_no_request_is_sent_past_the_grace_of_a_drain() -> None:
    notification = EndpointNotification(PROCESS, "s1", STARTED_S + DRAINING.start_s, 101.3)
    in_time = attempt(incarnation=DRAINING, first_byte_s=101.3 + DRAIN_GRACE_S, complete_s=101.6)
    assert broken_rules([client()], [in_time], notifications=[notification]) == set()
    late = replace(in_time, first_byte_s=101.9, complete_s=101.9)
    assert broken_rules([client()], [late], notifications=[notification]) == {Rule.DRAIN}
    assert broken_rules([client()], [late]) == set()  # a relay counts as notified after 6 s at the latest
    much_later = replace(late, first_byte_s=108.0, complete_s=108.0, ended_s=109.0)
    assert broken_rules([client(sent_s=107.9, answered_s=108.1, left_s=109.0)], [much_later]) == {Rule.DRAIN}


def test_a_pushed_list_counts_as_received_at_once_except_after_outages_stalls_and_reloads() -> None:
    # The drain begins at 101 s, and the agent has it 0.2 s later.
    def rules(begun_s: float, *faults: ScheduledFault, **process: Any) -> set[Rule]:
        plan = replace(make_plan(), variants=(Variant.PUSHED_LISTS,), faults=list(faults))
        begun = attempt(incarnation=DRAINING, first_byte_s=begun_s, complete_s=begun_s, ended_s=begun_s + 1.0)
        served = client(sent_s=begun_s - 0.1, answered_s=begun_s + 0.1, left_s=begun_s + 1.0)
        evidence = Evidence([served], [begun], [relay(**process)])
        return {violation.rule for violation in Auditor(plan, evidence).find_violations()}

    assert rules(101.6) == set()
    assert rules(101.9) == {Rule.DRAIN}
    down = ScheduledFault(FaultKind.DISCOVERY_DOWN, 0.5, 3.0)
    assert (rules(103.4, down), rules(103.7, down)) == (set(), {Rule.DRAIN})
    silent = ScheduledFault(FaultKind.DISCOVERY_SILENT, 0.5, 2.0)
    assert (rules(106.9, silent), rules(107.2, silent)) == (set(), {Rule.DRAIN})
    reloaded = ScheduledFault(FaultKind.RELAY_RELOAD, 1.0, 2.0, target=0)
    assert (rules(105.4, reloaded), rules(105.7, reloaded)) == (set(), {Rule.DRAIN})
    assert rules(101.9, replace(reloaded, target=1)) == {Rule.DRAIN}
    assert (rules(102.4, started_s=102.0), rules(102.9, started_s=102.0)) == (set(), {Rule.DRAIN})


def test_all_relays_together_obey_the_budget_of_an_endpoint_in_slow_start() -> None:
    auditor = Auditor(make_plan(), Evidence())
    bound = int(auditor.max_attempts_in_window(1.0))
    many = [
        attempt(f"q{number}", NEW, first_byte_s=100.6, complete_s=101.5 - 0.0001 * number)
        for number in range(bound + 1)
    ]
    clients = [client(f"q{number}") for number in range(bound + 1)]
    assert broken_rules(clients[:-1], many[:-1]) == set()
    assert broken_rules(clients, many) == {Rule.SLOW_START}


@pytest.mark.parametrize(
    ("fields", "rule"),
    [
        ({"exit_code": 1}, Rule.RELAY_EXIT),
        ({"terminated_s": 0.0}, Rule.RELAY_EXIT),
        ({"exited_s": 114.0}, Rule.RELAY_EXIT),
        ({"exit_code": None}, Rule.RELAY_EXIT),
        ({"log_errors": ["Traceback"]}, Rule.RELAY_LOG),
    ],
)
def test_relays_exit_in_order_and_log_no_errors(fields: dict[str, Any], rule: Rule) -> None:
    assert broken_rules([], [], process=relay(**fields)) == {rule}


def test_a_line_that_no_client_sends_is_found() -> None:
    assert broken_rules([client()], [attempt(), attempt("", error="b'x'")]) == {Rule.REQUEST_FORM}
