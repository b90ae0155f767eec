"""The rebalancing planner beside the real decision module: the failures it exists to handle."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.rebalance_fleet import Fleet

from sageturn import AttemptEnded, Endpoint, EndpointListEvent, MeasurementReported
from sageturn.core.endpoint_snapshot import OperatorMarks, snapshot_endpoints
from sageturn.rebalance.book import ConnectionTable
from sageturn.rebalance.clients import Clients
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.pace import Sign
from sageturn.rebalance.signs import OverloadSignals

QUICK = {"part_per_min": 0.5, "least_age_s": 2.0}


def skewed(options: dict[str, object] | None = None, **more: object) -> Fleet:
    fleet = Fleet("abcd", {**QUICK, **(options or {})}, **more)
    for host, groups in (("a", 14), ("b", 6), ("c", 6), ("d", 6)):
        for number in range(groups):
            fleet.stands(host, 5, f"{host}{number}")
    return fleet


def test_it_balances_slowly_by_whole_groups_and_then_stops() -> None:
    fleet = skewed()
    assert fleet.fullest > 1.7
    first = None
    for _ in range(240):
        homes: dict[str, set[str]] = {}
        for _, _, group, host in fleet.conns.values():
            homes.setdefault(group, set()).add(host)
        before = {i: conn for i, conn in fleet.conns.items()}
        plan = fleet.step()
        gone = Counter(before[m.request_id][2] for m in plan.moves)
        for group, count in gone.items():
            here = {before[m.request_id][3] for m in plan.moves if before[m.request_id][2] == group}
            assert len(here) == 1
            assert count == sum(conn[2] == group and conn[3] in here for conn in before.values())
        first = first or (fleet.now if plan.moves else None)
    assert fleet.fullest <= 1.15 and fleet.plan.phase == "balanced"
    assert first is not None and first >= 1e6 + 20000.0, "a relay that has just started waits"
    assert len(fleet.moved) <= 60 and all(why for _, _, why in fleet.moved)
    assert all("whole group" in why or "smaller part" in why for _, _, why in fleet.moved)
    held = len(fleet.moved)
    fleet.run(120)
    assert len(fleet.moved) == held, "balanced, it moves nobody"


def test_the_parts_of_a_straddling_group_go_first() -> None:
    fleet = skewed()
    fleet.stands("a", 2, "b1")
    while not fleet.moved:
        fleet.step()
    assert "smaller part" in fleet.moved[0][2]
    assert {conn[3] for conn in fleet.conns.values() if conn[2] == "b1"} == {"b"}
    fleet.run(2)
    assert {conn[3] for conn in fleet.conns.values() if conn[2] == "b1"} == {"b"}, "and joins the rest"


def test_guest_checkin_stays_unless_the_operator_says_otherwise() -> None:
    def one(keep: frozenset[str]) -> Fleet:
        fleet = Fleet("ab", {**QUICK, "keep_classes": keep})
        fleet.stands("a", 40, cls="guest-checkin")
        fleet.stands("b", 5)
        fleet.run(90)
        return fleet

    kept = one(frozenset({"guest-checkin"}))
    assert kept.moved == [] and kept.plan.phase == "unreachable" and "keeps in place" in kept.plan.why
    assert one(frozenset()).moved


def test_a_group_larger_than_the_imbalance_is_recognised_and_left() -> None:
    fleet = Fleet("abc", {**QUICK, "burst": 200})
    fleet.stands("a", 100, "whale")
    fleet.stands("b", 10, "x")
    fleet.stands("c", 10, "y")
    fleet.run(60)
    assert fleet.moved == [] and fleet.plan.phase == "unreachable"


def test_a_group_larger_than_many_ticks_budget_is_saved_for_and_goes_whole() -> None:
    fleet = Fleet("abc", {"part_per_min": 0.25, "burst": 32})
    for number in range(4):
        fleet.stands("a", 20, f"g{number}")
    fleet.stands("b", 20, "x")
    fleet.stands("c", 20, "y")
    for endpoint in fleet.balancer.endpoints.values():
        endpoint.limit = 16  # as after some set-ups in time
    waited = 0
    while not fleet.moved:
        waited += fleet.step().phase == "waiting"
        assert fleet.now < 1e6 + 300000.0
    assert waited > 10 and len(fleet.moved) == 20 and len({t for t, _, _ in fleet.moved}) == 1


def test_a_fresh_host_gets_its_part_within_what_it_can_take() -> None:
    fleet = Fleet(
        "abcde",
        {**QUICK, "burst": 8},
        slow_start_ms=24000.0,
        initial_capacity_ratio=0.12,
        cold_overload_multiple=4.0,
    )
    for host in "abcde":
        fleet.stands(host, 60)
    new = [Endpoint(name) for name in "abcde"] + [Endpoint("f", started_at_ms=fleet.now)]
    fleet.tell(EndpointListEvent("full", new))
    fall_s, sent = 3.0, []
    began = fleet.now
    for _ in range(300):
        before = set(fleet.on("f"))
        fleet.step()
        sent.append((fleet.now, len(set(fleet.on("f")) - before)))
    full = 300 / 6
    for end, _ in sent:
        age = min(1.0, (end - began) / 24000.0)
        bound = 4.0 * (0.12 + 0.88 * age) * full / 24.0 * fall_s
        assert sum(n for t, n in sent if end - fall_s * 1000 < t <= end) <= bound + 1
    assert fleet.held()["f"] >= 0.7 * full


def test_a_restart_under_its_name_stops_it_and_it_starts_again_slowly() -> None:
    fleet = skewed()
    while not fleet.moved:
        fleet.step()
    for request_id in fleet.on("d"):
        client, cls, group, _ = fleet.conns[request_id]
        fleet.ends(request_id, "reset")
        fleet.away.append((fleet.now + 500.0, client, cls, group))
    again = [Endpoint(n, started_at_ms=fleet.now if n == "d" else 0.0) for n in "abcd"]
    fleet.tell(EndpointListEvent("full", again))
    count, at = len(fleet.moved), fleet.now
    assert fleet.step().phase == "held" and fleet.planner.pace.rate == 0.0
    fleet.run(25)
    assert len(fleet.moved) == count
    while len(fleet.moved) == count:
        fleet.step()
        assert fleet.now < at + 240000.0
    top = fleet.planner.pace.top(len(fleet.conns))
    assert fleet.planner.pace.rate <= top / 2


def test_reconnects_in_an_outage_stop_it_and_those_on_the_way_are_counted() -> None:
    fleet = skewed()
    while not fleet.moved:
        fleet.step()
    fleet.gap_ms = 8000.0
    for name in "bcd":  # no set-up is answered: the limits shrink, and everyone is refused
        fleet.balancer.endpoints[name].limit = fleet.balancer.endpoints[name].pending = 4
        fleet.balancer._sum(fleet.balancer.endpoints[name])
    fleet.balancer.endpoints["a"].limit = fleet.balancer.endpoints["a"].pending = 4
    fleet.balancer._sum(fleet.balancer.endpoints["a"])
    count = len(fleet.moved)
    refused = sum(not fleet.comes(f"new{n}", group="zz") for n in range(12))
    assert refused >= 4
    fleet.run(12)
    assert len(fleet.moved) == count and fleet.plan.phase == "held"
    assert len(fleet.planner.clients.on_way) == 0 or fleet.now < 1e6 + 1e5


def test_never_more_on_the_way_than_there_is_room_for() -> None:
    fleet = skewed({"part_per_min": 1.0, "burst": 100, "back_within_s": 30.0})
    fleet.come_back = False
    most = 0
    for _ in range(120):
        room = sum(view.available_capacity for view in snapshot_endpoints(fleet.balancer, fleet.now))
        fleet.step()
        most = max(most, len(fleet.planner.clients.on_way))
        assert most <= room
    assert most > 0


def test_clients_that_never_come_back_slow_it_down() -> None:
    usual, missing = skewed(), skewed()
    missing.come_back = False
    usual.run(200)
    missing.run(200)
    assert missing.planner.signs.seen["not_back"] > 0
    assert len(missing.moved) < len(usual.moved)


def test_a_drain_mid_plan_holds_it_and_word_of_a_failed_watch_too() -> None:
    fleet = skewed()
    while not fleet.moved:
        fleet.step()
    fleet.tell(EndpointListEvent("changes", [Endpoint("c", state="draining")]))
    count = len(fleet.moved)
    assert fleet.step().phase == "held" and "draining" in fleet.plan.why
    fleet.tell(EndpointListEvent("changes", [Endpoint("c")]))
    fleet.tell(EndpointListEvent("failed", []))
    fleet.run(30)
    assert "list_failed" in fleet.plan.why and len(fleet.moved) == count
    fleet.tell(EndpointListEvent("full", [Endpoint(n) for n in "abcd"]))
    fleet.run(90)
    assert len(fleet.moved) > count


def test_a_flapping_list_keeps_it_still() -> None:
    fleet = skewed()
    for turn in range(60):
        names = "abcd" if turn % 2 else "abc"
        fleet.tell(EndpointListEvent("full", [Endpoint(n) for n in names]))
        fleet.step()
    assert fleet.moved == []


def test_every_host_overfull_moves_nobody() -> None:
    fleet = skewed()
    for endpoint in fleet.balancer.endpoints.values():
        endpoint.spent_until_ms = float("inf")
    fleet.run(60)
    assert fleet.moved == [] and "room" in fleet.plan.why


def test_chance_alone_moves_nobody_where_many_relays_share_the_hosts() -> None:
    # Of 50 relays each sees a handful on each host: unequal, though the hosts are equally full.
    fleet = Fleet("abcdefgh", QUICK, relay_count=50, groups=False)
    for host, count in zip("abcdefgh", (2, 7, 4, 6, 3, 5, 1, 4), strict=True):
        fleet.stands(host, count)
    fleet.run(60)
    assert fleet.moved == [] and fleet.plan.phase == "balanced"
    alone = Fleet("abcdefgh", QUICK, relay_count=1, groups=False)
    for host, count in zip("abcdefgh", (2, 7, 4, 6, 3, 5, 1, 4), strict=True):
        alone.stands(host, count)
    alone.run(60)
    assert alone.moved


def test_sizes_and_loads_count_not_connections() -> None:
    fleet = Fleet("ab", QUICK, weights="nominal", groups=False)
    fleet.tell(EndpointListEvent("full", [Endpoint("a", share=3.0), Endpoint("b", share=1.0)]))
    fleet.stands("a", 30, load=2.0)
    fleet.stands("b", 10, load=2.0)
    fleet.run(60)
    assert fleet.moved == []
    for request_id in fleet.on("b"):
        fleet.tell(MeasurementReported(request_id, 0, "b", "load", 6.0))
    fleet.run(90)
    assert fleet.moved and all("b at" in why for _, _, why in fleet.moved)


def test_turned_off_mid_burst_it_asks_nobody_more_and_dry_run_moves_nobody() -> None:
    fleet = skewed()
    while not fleet.moved:
        fleet.step()
    count = len(fleet.moved)
    fleet.planner.options = RebalanceOptions(**{**QUICK, "mode": "off"})
    fleet.run(60)
    assert len(fleet.moved) == count and fleet.plan.phase == "off"
    fleet.planner.options = RebalanceOptions(**{**QUICK, "mode": "dry-run"})
    planned = sum(len(fleet.step().moves) for _ in range(60))
    assert planned > 0 and len(fleet.moved) == count
    assert fleet.planner.counts["would_move"] == planned


def test_quiet_hours_and_exclusions_are_kept() -> None:
    fleet = skewed({"quiet_hours": ((22 * 60, 6 * 60),)})
    fleet.minute = 23 * 60
    fleet.run(60)
    assert fleet.moved == [] and fleet.plan.phase == "quiet"
    fleet.minute = 6 * 60
    fleet.run(60)
    assert fleet.moved
    kept = skewed({"keep_tenants": frozenset({"t"})})
    kept.run(60)
    assert kept.moved == []


def test_one_budget_for_the_module_a_drain_and_the_plan() -> None:
    fleet = skewed()
    fleet.run(40)
    before = fleet.planner.pace.tokens
    for request_id in fleet.on("b")[:6]:
        fleet.planner.on_migrated_by_others(fleet.now, request_id)
    assert fleet.planner.pace.tokens == pytest.approx(before - 6)
    gone = {fleet.conns[i][0] for i in fleet.on("b")[:6]}
    fleet.run(120)
    assert not gone & {client for _, client, _ in fleet.moved}


def test_the_module_leaves_alone_whom_the_planner_has_just_moved() -> None:
    fleet = skewed()
    while not fleet.moved:
        fleet.step()
    clients = {client for _, client, _ in fleet.moved}
    fleet.step()
    landed = [i for i, conn in fleet.conns.items() if conn[0] in clients]
    assert landed
    for host in {fleet.conns[i][3] for i in landed}:
        fleet.balancer.actions = []
        for _ in range(30):
            fleet.balancer._relieve(fleet.balancer.endpoints[host])
        assert not {a.id for a in fleet.balancer.actions} & set(landed)
        assert fleet.balancer.actions


def test_the_state_tells_what_and_why() -> None:
    fleet = skewed()
    fleet.run(60)
    state = fleet.planner.state(fleet.plan)
    assert state["mode"] == "on" and state["counts"]["moved"] == len(fleet.moved)  # type: ignore[index]
    assert state["phase"] == fleet.plan.phase and state["why"]


def test_the_book_is_true_after_any_course_of_events() -> None:
    fleet = skewed()
    book = fleet.planner.book
    for request_id in list(fleet.conns)[::3]:
        fleet.ends(request_id, "ok")
    fleet.stands("a", 7, "a0")
    ids = {i for held in book.hosts.values() for p in held.parts.values() for i, *_ in book.members(p)}
    assert ids == set(fleet.conns) and len(book) == len(ids)
    for name, held in book.hosts.items():
        assert held.count == fleet.held()[name]
    for request_id in list(fleet.conns):
        fleet.ends(request_id, "ok")
    assert not book.hosts and not book.straddling and len(book) == 0 and book.told == 0.0


CALLS = st.lists(
    st.tuples(
        st.sampled_from(["step"] * 3 + ["new", "end", "reset", "lost", "away", "drain", "list", "fail"]),
        st.integers(0, 999),
    ),
    min_size=20,
    max_size=150,
)


@settings(max_examples=60, deadline=None)
@given(calls=CALLS, seed=st.integers(0, 5), burst=st.integers(1, 20))
def test_whatever_happens_the_bounds_hold(calls: list[tuple[str, int]], seed: int, burst: int) -> None:
    # The budget over any span, no client twice within its time, guest-checkin never, a reason for each.
    again_s = 60.0
    fleet = Fleet("abcd", {"part_per_min": 1.0, "burst": burst, "again_s": again_s, "least_age_s": 0.0})
    for number in range(30):
        cls = "guest-checkin" if number % 5 == 0 else "c"
        group = f"g{number % 9}" if number % 3 else ""
        fleet.stands("ab"[number % 2] if number < 20 else "cd"[number % 2], 3, group, cls)
    fleet.run(20)  # it has settled, and may move from here on
    most = len(fleet.conns)
    for what, number in calls:
        some = list(fleet.conns)
        if what == "step":
            fleet.step()
        elif what == "new":
            fleet.comes(f"n{number % 50}", group=f"g{number % 9}")
        elif what in ("end", "reset") and some:
            fleet.ends(some[number % len(some)], "reset" if what == "reset" else "ok")
        elif what == "lost":
            fleet.come_back = number % 2 == 0
        elif what == "away" and some:
            fleet.planner.on_migrated_by_others(fleet.now, some[number % len(some)])
        elif what == "drain":
            state = ("draining", "ready")[number % 2]
            fleet.tell(EndpointListEvent("changes", [Endpoint("abcd"[number % 4], state=state)]))
        elif what == "list":
            started = {"d": number * 10.0}
            fleet.tell(
                EndpointListEvent("full", [Endpoint(n, started_at_ms=started.get(n, 0.0)) for n in "abcd"])
            )
        else:
            fleet.tell(EndpointListEvent("failed", []))
        most = max(most, len(fleet.conns))
    top = fleet.planner.pace.top(most)
    times = [t for t, _, _ in fleet.moved]
    for i, begin in enumerate(times):
        for j in range(i, len(times)):
            assert j - i + 1 <= burst + top * (times[j] - begin) / 1000.0 + 1e-6
    last: dict[str, float] = {}
    for at, client, why in fleet.moved:
        assert at - last.get(client, -1e12) >= again_s * 1000.0 and why
        last[client] = at
    kept = {c for c, cls, _, _ in fleet.conns.values() if cls == "guest-checkin"}
    assert not kept & set(last)


@given(st.lists(st.tuples(st.integers(1, 12), st.floats(0, 30)), max_size=60))
def test_a_full_memory_forgets_nobody_whose_time_is_not_over(moves: list[tuple[int, float]]) -> None:
    clients = Clients(RebalanceOptions(remember=4, again_s=50.0))
    now, last = 0.0, dict[int, float]()
    for client, gap_s in moves:
        now += gap_s * 1000.0
        clients.forget(now)
        if clients.settled(client, now) and clients.room_for(1):
            assert now - last.get(client, -1e9) >= 50000.0
            clients.move(client, "a", "", now, True)
            last[client] = now
        assert len(clients) <= 4


def test_an_outcome_for_nobody_is_passed_over() -> None:
    fleet = skewed()
    fleet.tell(AttemptEnded(99999, 0, "a", "reset", True))
    assert len(fleet.planner.book) == len(fleet.conns)


def test_a_held_host_gives_and_takes_nothing() -> None:
    fleet = skewed()
    fleet.planner.marks = OperatorMarks(rebalance_excluded=frozenset("a"))
    fleet.run(90)
    assert not any(why.startswith("a at") for _, _, why in fleet.moved)
    other = skewed()
    other.planner.marks = OperatorMarks(rebalance_excluded=frozenset("bc"))
    before = other.held()
    other.run(90)
    assert other.moved and other.held()["d"] > before["d"]
    assert (other.held()["b"], other.held()["c"]) == (before["b"], before["c"])


def test_a_cleared_host_is_emptied_whoever_is_on_it_and_a_large_group_in_parts() -> None:
    fleet = Fleet("abcd", {"mode": "off", "part_per_min": 1.0, "burst": 6})
    fleet.stands("a", 20, "whale")
    fleet.stands("a", 5, cls="guest-checkin")
    fleet.stands("b", 25, "x")
    fleet.tell(EndpointListEvent("changes", [Endpoint("a", state="draining")]))
    fleet.planner.marks = OperatorMarks(out_of_service=frozenset("a"), evacuating=frozenset("a"))
    fleet.run(150)
    assert fleet.held()["a"] == 0 and len(fleet.moved) == 25
    assert all("cleared by an operator" in why for _, _, why in fleet.moved)


def test_one_that_another_relay_may_have_moved_is_left_alone() -> None:
    fleet = Fleet("ab", {**QUICK, "again_s": 100.0}, groups=False)
    fleet.stands("b", 4)
    for number in range(30):
        fleet.comes(f"back{number}", returned=True)
    for request_id in fleet.on("b"):
        fleet.ends(request_id)
    fleet.run(80)
    assert fleet.moved == [] and fleet.plan.phase in ("waiting", "balanced")
    fleet.run(120)
    assert fleet.moved, "their time is over"


def test_that_most_come_back_at_other_relays_is_no_harm_where_there_are_many() -> None:
    # With 50 relays one in 50 comes back here; a floor of a tenth took that for an outage, and held the pace.
    signs, book, now = OverloadSignals(1.0 / 50.0), ConnectionTable(), 0.0
    for number in range(2000):
        now += 40.0
        if number % 50 == 0:
            signs.back(now)
        else:
            signs.not_back(now, 1)
        assert Sign.NOT_BACK not in signs.read(now, book, ())
    for _ in range(1000):
        now += 40.0
        signs.not_back(now, 1)
    assert Sign.NOT_BACK in signs.read(now, book, ()), "none at all is harm"
