"""Tests of the rebalance planner with the real balancer: what it migrates, and what stops it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from support.rebalance_fleet import (
    FAST_OPTIONS,
    START_MS,
    PendingReconnect,
    RebalanceFleet,
    make_uneven_fleet,
)

from sageturn import AttemptEnded, Endpoint, EndpointListEvent, MeasurementReported, MigrateConnection
from sageturn.core.endpoint_snapshot import EndpointRestrictions, snapshot_endpoints
from sageturn.rebalance.options import QuietSpan
from sageturn.rebalance.overload_signals import OverloadSignal


def test_whole_groups_are_migrated_slowly_until_balanced() -> None:
    fleet = make_uneven_fleet()
    assert fleet.max_ratio > 1.7
    first_ms = None
    for _ in range(240):
        before = dict(fleet.connections)
        plan = fleet.step()
        leaving = [before[migration.request_id] for migration in plan.migrations]
        for group, count in Counter(connection.group for connection in leaving).items():
            (source,) = {connection.endpoint for connection in leaving if connection.group == group}
            members = [
                connection
                for connection in before.values()
                if connection.group == group and connection.endpoint == source
            ]
            assert count == len(members)
        first_ms = first_ms or (fleet.now_ms if plan.migrations else None)
    assert fleet.max_ratio <= 1.15 and fleet.plan.phase == "balanced"
    assert first_ms is not None and first_ms >= START_MS + 20000.0, (
        "migrations must wait for the settling time after a start"
    )
    reasons = [migrated.reason for migrated in fleet.migrated]
    assert len(reasons) <= 60 and all(reasons)
    assert all("whole group" in reason or "smaller part" in reason for reason in reasons)
    fleet.run(120)
    assert len(fleet.migrated) == len(reasons), "a balanced fleet must have no more migrations"


def test_smaller_parts_of_a_spread_group_go_first() -> None:
    fleet = make_uneven_fleet()
    fleet.add_connections("a", 2, "b1")

    fleet.run_until_migrated()
    assert "smaller part" in fleet.migrated[0].reason
    assert fleet.endpoints_of_group("b1") == {"b"}
    fleet.run(2)
    assert fleet.endpoints_of_group("b1") == {"b"}, (
        "the migrated members must be placed with the rest of their group"
    )


def run_fleet_of_guests(keep_classes: frozenset[str]) -> RebalanceFleet:
    """Run for 90 s a fleet whose fuller endpoint has only connections of class guest-checkin. Return it."""
    fleet = RebalanceFleet("ab", {**FAST_OPTIONS, "keep_classes": keep_classes})
    fleet.add_connections("a", 40, class_name="guest-checkin")
    fleet.add_connections("b", 5)
    fleet.run(90)
    return fleet


def test_excluded_classes_stay() -> None:
    excluding_fleet = run_fleet_of_guests(frozenset({"guest-checkin"}))
    assert excluding_fleet.migrated == [] and excluding_fleet.plan.phase == "unreachable"
    assert "keeps in place" in excluding_fleet.plan.explanation
    assert run_fleet_of_guests(frozenset()).migrated


def test_a_group_larger_than_the_imbalance_stays() -> None:
    fleet = RebalanceFleet("abc", {**FAST_OPTIONS, "burst": 200})
    fleet.add_connections("a", 100, "whale")
    fleet.add_connections("b", 10, "x")
    fleet.add_connections("c", 10, "y")
    fleet.run(60)
    assert fleet.migrated == [] and fleet.plan.phase == "unreachable"


def test_tokens_are_saved_for_a_large_group_which_goes_at_once() -> None:
    fleet = RebalanceFleet("abc", {"part_per_min": 0.25, "burst": 32})
    for number in range(4):
        fleet.add_connections("a", 20, f"g{number}")
    fleet.add_connections("b", 20, "x")
    fleet.add_connections("c", 20, "y")
    for endpoint in fleet.balancer.endpoints.values():
        endpoint.connections.concurrency_limit = 16  # simulates some set-ups within their objective
    waited = 0
    while not fleet.migrated:
        waited += fleet.step().phase == "waiting"
        assert fleet.now_ms < START_MS + 300000.0
    assert waited > 10 and len(fleet.migrated) == 20
    assert len({migrated.at_ms for migrated in fleet.migrated}) == 1


def test_a_new_endpoint_receives_its_share_within_its_slow_start() -> None:
    fleet = RebalanceFleet(
        "abcde",
        {**FAST_OPTIONS, "burst": 8},
        slow_start_ms=24000.0,
        initial_capacity_ratio=0.12,
        cold_overload_multiple=4.0,
    )
    for endpoint in "abcde":
        fleet.add_connections(endpoint, 60)
    new = [Endpoint(name) for name in "abcde"] + [Endpoint("f", started_at_ms=fleet.now_ms)]
    fleet.handle(EndpointListEvent("full", new))
    window_ms = 3000.0  # time window of the bound on the intake
    intake = []
    start_ms = fleet.now_ms
    for _ in range(300):
        before = set(fleet.request_ids_at("f"))
        fleet.step()
        intake.append((fleet.now_ms, len(set(fleet.request_ids_at("f")) - before)))
    fair_count = 300 / 6
    for end_ms, _ in intake:
        warmth = min(1.0, (end_ms - start_ms) / 24000.0)
        bound = 4.0 * (0.12 + 0.88 * warmth) * fair_count / 24.0 * window_ms / 1000.0
        arrived = sum(count for at_ms, count in intake if end_ms - window_ms < at_ms <= end_ms)
        assert arrived <= bound + 1
    assert fleet.connection_counts()["f"] >= 0.7 * fair_count


def test_an_endpoint_restart_stops_migration_which_resumes_slowly() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    for request_id in fleet.request_ids_at("d"):
        connection = fleet.connections[request_id]
        fleet.end_connection(request_id, "reset")
        fleet.reconnects.append(
            PendingReconnect(fleet.now_ms + 500.0, connection.client, connection.class_name, connection.group)
        )
    restarted = [Endpoint(name, started_at_ms=fleet.now_ms if name == "d" else 0.0) for name in "abcd"]
    fleet.handle(EndpointListEvent("full", restarted))
    count = len(fleet.migrated)
    restarted_ms = fleet.now_ms
    assert fleet.step().phase == "held" and fleet.planner.rate_controller.rate == 0.0
    fleet.run(25)
    assert len(fleet.migrated) == count
    while len(fleet.migrated) == count:
        fleet.step()
        assert fleet.now_ms < restarted_ms + 240000.0
    max_rate = fleet.planner.rate_controller.max_rate(len(fleet.connections))
    assert fleet.planner.rate_controller.rate <= max_rate / 2


def test_an_outage_stops_migration_and_clients_in_flight_are_counted() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    fleet.reconnect_delay_ms = 8000.0
    # The unanswered set-ups in flight reach each endpoint's concurrency limit, so new clients are rejected.
    for endpoint in fleet.balancer.endpoints.values():
        endpoint.connections.concurrency_limit = 4
        endpoint.connections.in_flight = 4
        fleet.balancer.fleet.update_totals(endpoint)
    count = len(fleet.migrated)
    rejected = sum(not fleet.connect_client(f"new{number}", group="zz") for number in range(12))
    assert rejected >= 4
    fleet.run(12)
    assert len(fleet.migrated) == count and fleet.plan.phase == "held"
    assert fleet.planner.history.in_flight_count == 0 or fleet.now_ms < START_MS + 1e5


def test_clients_in_flight_never_exceed_capacity() -> None:
    fleet = make_uneven_fleet({"part_per_min": 1.0, "burst": 100, "back_within_s": 30.0})
    fleet.clients_return = False
    max_in_flight = 0
    for _ in range(120):
        capacity = sum(
            endpoint.available_capacity for endpoint in snapshot_endpoints(fleet.balancer, fleet.now_ms)
        )
        fleet.step()
        max_in_flight = max(max_in_flight, fleet.planner.history.in_flight_count)
        assert max_in_flight <= capacity
    assert max_in_flight > 0


def test_clients_that_do_not_return_slow_migration_down() -> None:
    usual = make_uneven_fleet()
    missing = make_uneven_fleet()
    missing.clients_return = False
    usual.run(200)
    missing.run(200)
    assert missing.planner.overload_detector.signal_counts[OverloadSignal.MISSING_CLIENTS] > 0
    assert len(missing.migrated) < len(usual.migrated)


def test_a_drain_or_a_failed_watch_stops_migration() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    fleet.handle(EndpointListEvent("changes", [Endpoint("c", state="draining")]))
    count = len(fleet.migrated)
    assert fleet.step().phase == "held" and "draining" in fleet.plan.explanation
    fleet.handle(EndpointListEvent("changes", [Endpoint("c")]))
    fleet.handle(EndpointListEvent("failed", []))
    fleet.run(30)
    assert "list_failed" in fleet.plan.explanation and len(fleet.migrated) == count
    fleet.handle(EndpointListEvent("full", [Endpoint(name) for name in "abcd"]))
    fleet.run(90)
    assert len(fleet.migrated) > count


def test_a_flapping_endpoint_list_prevents_migration() -> None:
    fleet = make_uneven_fleet()
    for turn in range(60):
        names = "abcd" if turn % 2 else "abc"
        fleet.handle(EndpointListEvent("full", [Endpoint(name) for name in names]))
        fleet.step()
    assert fleet.migrated == []


def test_nobody_is_migrated_while_every_endpoint_is_full() -> None:
    fleet = make_uneven_fleet()
    for endpoint in fleet.balancer.endpoints.values():
        endpoint.load.saturated_until_ms = float("inf")
    fleet.run(60)
    assert fleet.migrated == [] and "room" in fleet.plan.explanation


def test_chance_imbalance_is_ignored_where_many_relays_share_the_endpoints() -> None:
    # Each of 50 relays has only a few connections at each endpoint: their counts differ by chance, even if
    # the endpoints' totals are equal.
    fleet = RebalanceFleet("abcdefgh", FAST_OPTIONS, relay_count=50, groups=False)
    for endpoint, count in zip("abcdefgh", (2, 7, 4, 6, 3, 5, 1, 4), strict=True):
        fleet.add_connections(endpoint, count)
    fleet.run(60)
    assert fleet.migrated == [] and fleet.plan.phase == "balanced"
    single_relay_fleet = RebalanceFleet("abcdefgh", FAST_OPTIONS, relay_count=1, groups=False)
    for endpoint, count in zip("abcdefgh", (2, 7, 4, 6, 3, 5, 1, 4), strict=True):
        single_relay_fleet.add_connections(endpoint, count)
    single_relay_fleet.run(60)
    assert single_relay_fleet.migrated


def test_balance_is_measured_by_load_and_size_not_by_connection_count() -> None:
    fleet = RebalanceFleet("ab", FAST_OPTIONS, weights="nominal", groups=False)
    fleet.handle(EndpointListEvent("full", [Endpoint("a", weight=3.0), Endpoint("b", weight=1.0)]))
    fleet.add_connections("a", 30, load=2.0)
    fleet.add_connections("b", 10, load=2.0)
    fleet.run(60)
    assert fleet.migrated == []
    for request_id in fleet.request_ids_at("b"):
        fleet.handle(MeasurementReported(request_id, 0, "b", "load", 6.0))
    fleet.run(90)
    assert fleet.migrated and all("b at" in migrated.reason for migrated in fleet.migrated)


def test_neither_off_nor_dry_run_migrates_anyone() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    count = len(fleet.migrated)
    fleet.planner.options = replace(fleet.options, mode="off")
    fleet.run(60)
    assert len(fleet.migrated) == count and fleet.plan.phase == "off"
    fleet.planner.options = replace(fleet.options, mode="dry-run")
    planned = sum(len(fleet.step().migrations) for _ in range(60))
    assert planned > 0 and len(fleet.migrated) == count
    assert fleet.planner.counts["would_move"] == planned


def test_quiet_hours_and_exclusions_are_respected() -> None:
    fleet = make_uneven_fleet({"quiet_hours": (QuietSpan(22 * 60, 6 * 60),)})
    fleet.minute = 23 * 60
    fleet.run(60)
    assert fleet.migrated == [] and fleet.plan.phase == "quiet"
    fleet.minute = 6 * 60
    fleet.run(60)
    assert fleet.migrated
    excluding_fleet = make_uneven_fleet({"keep_tenants": frozenset({"t"})})
    excluding_fleet.run(60)
    assert excluding_fleet.migrated == []


def test_migrations_by_others_are_charged_to_the_same_budget() -> None:
    fleet = make_uneven_fleet()
    fleet.run(40)
    before = fleet.planner.rate_controller.tokens
    request_ids = fleet.request_ids_at("b")[:6]
    for request_id in request_ids:
        fleet.planner.on_migrated_by_others(fleet.now_ms, request_id)
    assert fleet.planner.rate_controller.tokens == pytest.approx(before - 6)
    others = {fleet.connections[request_id].client for request_id in request_ids}
    fleet.run(120)
    assert not others & {migrated.client for migrated in fleet.migrated}


def test_the_balancer_exempts_clients_that_the_planner_has_just_migrated() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    clients = {migrated.client for migrated in fleet.migrated}
    fleet.step()
    landed = [
        request_id for request_id, connection in fleet.connections.items() if connection.client in clients
    ]
    assert landed
    for endpoint in {fleet.connections[request_id].endpoint for request_id in landed}:
        migrated_ids: set[int] = set()
        for _ in range(30):
            for action in fleet.balancer.relief.relieve(fleet.balancer.endpoints[endpoint]):
                assert isinstance(action, MigrateConnection)
                migrated_ids.add(action.id)
        assert not migrated_ids & set(landed)
        assert migrated_ids


def test_the_state_reports_the_activity_and_its_reason() -> None:
    fleet = make_uneven_fleet()
    fleet.run(60)
    state = fleet.planner.encode_state(fleet.plan)
    counts = state["counts"]
    assert isinstance(counts, dict)
    assert state["mode"] == "on" and counts["moved"] == len(fleet.migrated)
    assert state["phase"] == fleet.plan.phase and state["why"]


def test_an_ended_attempt_of_an_unknown_request_is_ignored() -> None:
    fleet = make_uneven_fleet()
    fleet.handle(AttemptEnded(99999, 0, "a", "reset", True))
    assert len(fleet.planner.connections) == len(fleet.connections)


def test_an_excluded_endpoint_neither_gives_nor_receives() -> None:
    fleet = make_uneven_fleet()
    fleet.planner.restrictions = EndpointRestrictions(rebalance_excluded=frozenset("a"))
    fleet.run(90)
    assert not any(migrated.reason.startswith("a at") for migrated in fleet.migrated)
    other = make_uneven_fleet()
    other.planner.restrictions = EndpointRestrictions(rebalance_excluded=frozenset("bc"))
    before = other.connection_counts()
    other.run(90)
    assert other.migrated and other.connection_counts()["d"] > before["d"]
    assert (other.connection_counts()["b"], other.connection_counts()["c"]) == (before["b"], before["c"])


def test_an_evacuated_endpoint_is_emptied_and_a_large_group_is_migrated_in_parts() -> None:
    fleet = RebalanceFleet("abcd", {"mode": "off", "part_per_min": 1.0, "burst": 6})
    fleet.add_connections("a", 20, "whale")
    fleet.add_connections("a", 5, class_name="guest-checkin")
    fleet.add_connections("b", 25, "x")
    fleet.handle(EndpointListEvent("changes", [Endpoint("a", state="draining")]))
    fleet.planner.restrictions = EndpointRestrictions(
        out_of_service=frozenset("a"), evacuating=frozenset("a")
    )
    fleet.run(150)
    assert fleet.connection_counts()["a"] == 0 and len(fleet.migrated) == 25
    assert all("cleared by an operator" in migrated.reason for migrated in fleet.migrated)


def test_a_client_that_another_relay_may_have_migrated_is_left_alone() -> None:
    fleet = RebalanceFleet("ab", {**FAST_OPTIONS, "again_s": 100.0}, groups=False)
    fleet.add_connections("b", 4)
    for number in range(30):
        fleet.connect_client(f"back{number}", is_reconnect=True)
    for request_id in fleet.request_ids_at("b"):
        fleet.end_connection(request_id)
    fleet.run(80)
    assert fleet.migrated == [] and fleet.plan.phase in ("waiting", "balanced")
    fleet.run(120)
    assert fleet.migrated, "the clients must become eligible after again_s"


def test_migrations_that_are_not_useful_pause_balancing() -> None:
    fleet = make_uneven_fleet()
    fleet.run_until_migrated()
    fleet.step()
    assert not fleet.reconnects, "all migrated clients must have reconnected"
    for _ in range(40):
        fleet.planner.tracker.migration_score.record(is_useful=False)
    fleet.step()
    count = len(fleet.migrated)
    assert fleet.plan.phase == "useless" and "as full" in fleet.plan.explanation
    fleet.run(50)
    assert fleet.plan.phase == "useless" and len(fleet.migrated) == count
    fleet.run(60)
    assert len(fleet.migrated) > count
