"""Edges: rules of effects, list failures, restarts, empty fleets, settings unlike any deployment."""

from typing import Any

import pytest

from sageturn import (
    AttemptEnded,
    Balancer,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    DiscoveryFailure,
    Endpoint,
    EndpointListEvent,
    FailRequest,
    MeasurementReported,
    MigrateConnection,
    PlaceRequest,
    RejectRequest,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
    WatchEndpoints,
)


def keyed(scope: str) -> tuple[RequestClass, ...]:
    return (RequestClass("c", 500, effect="keyed", scope=scope, key_ttl_ms=300),)


def test_an_idempotent_request_is_retried_only_within_its_keys_scope_and_lifetime(make: Any) -> None:
    endpoints = [
        Endpoint("a", zone="x", cell=1),
        Endpoint("b", zone="x", cell=1),
        Endpoint("c", zone="y", cell=2),
    ]
    for scope in ("zone", "cell"):
        for seed in range(6):
            relay = make(endpoints, seed=seed, classes=keyed(scope))
            relay.ask()
            first = relay.sent[1][0]
            relay.now = 100.0
            (again,) = relay.ends(1, "error")
            if first == "c":
                assert again == FailRequest(1)
            else:
                assert isinstance(again, PlaceRequest) and {first, again.endpoint} == {"a", "b"}
    relay = make(endpoints, classes=keyed("all"))
    relay.ask()
    relay.now = 301.0
    assert isinstance(relay.ends(1, "error")[0], RejectRequest)


def test_an_unsafe_request_gets_all_its_time_and_is_retried_if_it_was_not_executed(make: Any) -> None:
    relay = make(classes=(RequestClass("c", 500, effect="unsafe"),))
    assert relay.ask()[0].timeout_ms == 2000.0
    assert isinstance(relay.ends(1, "full")[0], PlaceRequest)


def test_the_time_out_of_a_safe_request_leaves_time_for_a_retry(make: Any) -> None:
    aim = (RequestClass("c", latency_objective_ms=1800),)
    assert make(classes=aim).ask()[0].timeout_ms <= 1000.0
    # Past its aim a request is not sent again: cut off at half its time, its work at the endpoint was wasted.
    assert make().ask()[0].timeout_ms == 2000.0


@pytest.mark.parametrize("status", ["error", "timeout", "full", "reset", "connect_failed"])
def test_failed_set_ups_halve_the_concurrency_limit_and_late_ones_do_not_raise_it(
    make: Any, status: str
) -> None:
    # With the session store slow, time-outs and errors left the limits at their top: set-ups were sent three
    # times faster than the store took them, and all of them failed for as long as clients came again.
    relay = make([Endpoint("a")])
    endpoint = relay.balancer.endpoints["a"]
    relay.ask()
    relay.ends(1, status)
    assert endpoint.concurrency_limit == 4
    relay = make([Endpoint("a")])
    endpoint = relay.balancer.endpoints["a"]
    relay.ask()
    relay.now += 501.0
    relay.stands(1)
    assert endpoint.concurrency_limit == 8


def test_groups_and_zones_draw_connections_only_up_to_a_bound(make: Any) -> None:
    # A relay that had just started put 64 connections on the one endpoint of its zone, and none on others.
    endpoints = [Endpoint(name, zone="x" if name == "a" else "y") for name in "abcd"]
    relay = make(endpoints, zone="x", cross_zone_cost=0.1, groups=True, relay_count=2, tenants=())
    for _ in range(40):
        relay.ask(tenant="", group="g")
        relay.stands(relay.ids)
        relay.now += 1000.0
    at = [sent[-1] for sent in relay.sent.values()]
    assert 15 <= at.count("a") <= 30 and max(at.count(name) for name in "bcd") <= 20


def test_an_endpoint_that_resets_connections_has_little_capacity_left(make: Any) -> None:
    # A slowed endpoint dropped all it held; 2.5 s later it was filled again, and dropped them all again.
    relay = make([Endpoint("a"), Endpoint("b")])
    while sum(sent == ["a"] for sent in relay.sent.values()) < 8:
        relay.ask()
        relay.stands(relay.ids)
    for k in [k for k, sent in relay.sent.items() if sent == ["a"]]:
        relay.ends(k, "reset", True)
    endpoint = relay.balancer.endpoints["a"]
    assert endpoint.capacity <= 1.0 and endpoint.is_full()


def test_a_retry_never_goes_to_the_endpoint_that_failed(make: Any) -> None:
    for seed in range(20):
        relay = make([Endpoint(name) for name in "abc"], seed=seed)
        relay.ask()
        relay.ends(1, "error")
        assert len(set(relay.sent[1])) == 2


def test_attempts_stop_at_the_cap(make: Any) -> None:
    relay = make(max_attempts=2)
    relay.ask()
    relay.ends(1, "full")
    assert isinstance(relay.ends(1, "full")[0], RejectRequest) and len(relay.sent[1]) == 2


def test_nothing_more_after_the_client_left(make: Any) -> None:
    relay = make()
    relay.ask()
    assert relay.tell(ClientDisconnected(1)) == []  # no cancel where it is not allowed
    assert relay.ends(1, "error", final=False) == []
    assert not relay.balancer.requests


def test_a_deadline_already_past_is_answered_at_once(make: Any) -> None:
    assert isinstance(make().ask(patience_ms=0)[0], RejectRequest)


def test_midflow_passes_without_a_token(make: Any) -> None:
    relay = make()
    for _ in range(60):
        relay.ask("t")
    assert isinstance(relay.ask("t")[0], RejectRequest)
    assert isinstance(relay.ask("t", midflow=True)[0], PlaceRequest)
    assert isinstance(relay.ask("t")[0], RejectRequest)


def test_full_endpoints_lose_and_full_outcomes_halve_the_concurrency_limit(make: Any) -> None:
    relay = make([Endpoint("a"), Endpoint("b")])
    relay.ask()
    full = relay.sent[1][0]
    for _ in range(3):  # its limit falls to one, and then it is taken by one pending connection
        relay.ends(relay.ids, "full", final=True)
        while relay.ask()[0].endpoint != full:
            pass
    for _ in range(4):
        assert relay.ask()[0].endpoint != full


def test_capacity_after_an_overload_is_less_than_what_was_held(make: Any) -> None:
    relay = make([Endpoint("a"), Endpoint("b")], migration_cost=1.0)
    for _ in range(20):
        relay.ask()
        relay.stands(relay.ids)
    held = [i for i in relay.sent if relay.sent[i] == ["a"]]
    relay.tell(MeasurementReported(held[0], 0, "a", "delay", 90.0))
    relay.tell(MeasurementReported(held[0], 0, "a", "delay", 5.0))  # well again
    for _ in range(4):
        assert relay.ask()[0].endpoint == "b"  # but it held more than the room it has now


def test_the_lone_member_of_a_group_is_migrated_first(make: Any) -> None:
    relay = make([Endpoint("a"), Endpoint("b"), Endpoint("c")], groups=True)
    for k in range(1, 8):
        relay.tell(ConnectionAdopted(k, "c", "t", "a", "lone" if k == 5 else "big"))
    assert relay.tell(MeasurementReported(1, 0, "a", "delay", 90.0))[0] == MigrateConnection(5)


def test_a_new_endpoint_counts_at_the_others_mean_until_a_connection_is_established(make: Any) -> None:
    # Of two endpoints, one holding ten and one new, neither is the lighter: chance decides.
    got = []
    for seed in range(30):
        relay = make([Endpoint("a")], seed=seed)
        for _ in range(10):
            relay.ask()
            relay.stands(relay.ids)
        relay.listed([Endpoint("new")], "changes")
        got.append(relay.ask()[0].endpoint)
    assert 5 < got.count("new") < 25


def test_ejection_is_bounded_and_a_restart_ends_it(make: Any) -> None:
    relay = make([Endpoint(name) for name in "abc"])
    for _ in range(40):
        relay.ask(patience_ms=100)
        relay.now += 1.0
        for _ in range(3):
            if relay.ids in relay.balancer.requests:
                relay.ends(relay.ids, "connect_failed")
    assert len(relay.balancer.fleet.ready) >= 2
    (out,) = relay.balancer.fleet.ejected
    relay.listed([Endpoint(out.name, started_at_ms=relay.now)], "changes")
    assert not relay.balancer.fleet.ejected


def test_the_list_is_watched_at_start_and_again_after_each_failure(make: Any) -> None:
    relay = make([], discovery="ask", max_poll_interval_ms=9000.0)
    relay.balancer = Balancer(relay.balancer.settings, 1)  # to which no list has come
    (first,) = relay.listed([Endpoint("a")], "stale")
    assert isinstance(first, SetTimer) and first.delay_ms <= 130.0
    assert relay.tell(TimerFired(first.mark)) == [WatchEndpoints()]
    waits = []
    for _ in range(12):
        (timer,) = relay.tell(EndpointListEvent("failed", []))
        assert isinstance(timer, SetTimer)
        waits.append(timer.delay_ms)
        assert relay.tell(TimerFired(timer.mark)) == [WatchEndpoints()]
    # They had grown up to 4.5 s: what discovery has counts as told 6 s after it is back.
    assert min(waits) >= 350.0 and max(waits) <= 1050.0 and len(set(waits)) == 12
    assert isinstance(relay.ask()[0], PlaceRequest)  # the list held stays in use meanwhile
    relay.listed([Endpoint("a")], "full")
    assert relay.tell(TimerFired("watch")) == []


def test_the_wait_for_the_next_call_goes_by_what_the_last_one_cost(make: Any) -> None:
    relay = make([], discovery="ask", max_poll_interval_ms=10000.0, relay_count=200)

    def waits(failure: DiscoveryFailure) -> list[float]:
        return [relay.tell(EndpointListEvent("failed", [], failure))[0].delay_ms for _ in range(6)]

    assert max(waits(DiscoveryFailure.UNREACHED)) <= 2800.0
    assert max(waits(DiscoveryFailure.UNANSWERED)) <= 1500.0
    assert max(waits(DiscoveryFailure.OVERLOADED)) > 20000.0
    relay.listed([Endpoint("a")], "full")
    assert waits(DiscoveryFailure.OVERLOADED)[0] <= 2000.0
    assert max(waits(DiscoveryFailure.SILENT)) <= 1800.0
    assert max(waits(DiscoveryFailure.OVERLOADED)) <= 2000.0  # it may be down since that watch ended


def test_no_endpoint_at_all_and_all_gone(make: Any) -> None:
    relay = make([])
    assert isinstance(relay.ask()[0], RejectRequest)
    relay.listed([Endpoint("a")], "full")
    assert isinstance(relay.ask()[0], PlaceRequest)
    relay.listed([], "full")
    assert isinstance(relay.ends(2, "error")[0], RejectRequest)
    relay.listed([], "full")
    assert not relay.balancer.endpoints


def test_all_in_slow_start_at_a_restarted_relay_with_a_flood_of_returning_clients(make: Any) -> None:
    tenants = (Tenant("t", 5.0, quota_connections=40.0),)
    relay = make(
        [], tenants=tenants, relay_count=3, cold_overload_window_ms=1000.0, initial_capacity_ratio=0.1
    )
    relay.now = 100_000.0
    relay.listed([Endpoint(name, started_at_ms=99_000.0) for name in "abcd"], "stale")
    answers = [relay.ask()[0] for _ in range(300)]
    assert (
        sum(isinstance(a, PlaceRequest) for a in answers) <= 8
    )  # each of four has budget for a pair at most


def test_events_about_unknown_requests_are_ignored(make: Any) -> None:
    relay = make()
    relay.ask()
    for event in (
        AttemptEnded(99, 0, "a", "error", False),
        AttemptEnded(1, 5, "a", "error", False),
        ConnectionEstablished(99, 0, "a"),
        ConnectionEstablished(1, 3, "a"),
        ClientDisconnected(99),
        MeasurementReported(99, 0, "nobody", "delay", 90.0),
        MeasurementReported(99, 0, "a", "load", 90.0),
        TimerFired("unknown"),
    ):
        assert relay.tell(event) == []


def test_an_endpoint_restarting_with_attempts_in_flight_leaks_nothing(make: Any) -> None:
    relay = make([Endpoint("a")], tenants=())
    for _ in range(5):
        relay.ask()
    relay.listed([Endpoint("a", started_at_ms=50.0)], "changes")
    for i in range(1, 6):
        relay.ends(i, "reset", final=True)
    assert relay.balancer.fleet.open_count == 0 and relay.balancer.fleet.totals.in_flight == 0


def test_state_stays_bounded_over_a_long_run(make: Any) -> None:
    relay = make(groups=True)
    for k in range(5000):
        relay.now += 50.0
        relay.listed([Endpoint(f"n{k}", started_at_ms=relay.now), Endpoint(f"n{k - 3}", "gone")], "changes")
        relay.ask(tenant=f"stranger{k}", group=f"g{k}")
        if relay.ids in relay.sent:
            relay.ends(relay.ids, "ok", final=True)
    b = relay.balancer
    assert not b.requests and not b.fleet.group_counts and not b.fleet.rankings
    assert len(b.endpoints) <= 10 and len(b.admission.buckets) <= 3


def test_many_zones_one_relay_no_tenants(make: Any) -> None:
    endpoints = [Endpoint(f"s{k}", zone=f"z{k}") for k in range(9)]
    relay = make(endpoints, tenants=(), zone="z4", cross_zone_cost=0.2)
    assert relay.ask(tenant="")[0].endpoint == "s4"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("relay_count", 0),
        ("cold_overload_window_ms", -1.0),
        ("discovery", "guess"),
        ("initial_capacity_ratio", 0.0),
        ("classes", ()),
    ],
)
def test_impossible_settings_name_the_field(field: str, value: Any) -> None:
    given: dict[str, Any] = {"classes": (RequestClass("c", 500),), field: value}
    with pytest.raises(ValueError, match=field):
        Settings(**given)


@pytest.mark.parametrize(
    ("field", "value"),
    [("effect", "odd"), ("scope", "odd"), ("latency_objective_ms", -5.0), ("key_ttl_ms", -1.0)],
)
def test_impossible_classes_name_the_field(field: str, value: Any) -> None:
    given: dict[str, Any] = {"name": "c", "latency_objective_ms": 500.0, field: value}
    with pytest.raises(ValueError, match=field):
        RequestClass(**given)


def test_same_events_same_actions(make: Any) -> None:
    logs = []
    for _ in range(2):
        relay = make(seed=5, groups=True)
        logs.append([relay.tell(RequestArrived(k, "c", "t", 2000.0, f"g{k % 3}")) for k in range(1, 60)])
    assert logs[0] == logs[1]


def test_one_endpoint_one_relay_one_tenant_no_cancel(make: Any) -> None:
    relay = make([Endpoint("only")], tenants=(Tenant("t", 5.0),), relay_count=1, max_attempts=2)
    assert relay.ask()[0].endpoint == "only"
    assert relay.ends(1, "error")[0].endpoint == "only"  # there is no elsewhere
    assert isinstance(relay.ends(1, "error")[0], RejectRequest)
    relay.ask()
    assert relay.tell(ClientDisconnected(2)) == []  # nothing may be cancelled
    assert relay.ends(2, "ok", final=True) == [] and not relay.balancer.requests


def test_capacity_is_regained_slowly_by_many_relays_while_endpoints_are_scarce(make: Any) -> None:
    # i0e0ee2: fourteen relays gave each late endpoint fourteen connections more a second.
    gained = []
    for relay_count, late in ((12, "a"), (12, "abc"), (1, "abc")):
        relay = make([Endpoint(name) for name in "abcdefgh"], relay_count=relay_count)
        for _ in range(40):
            relay.ask()
            relay.stands(relay.ids)
        for name in late:
            held = next(i for i in relay.sent if relay.sent[i] == [name])
            relay.tell(MeasurementReported(held, 0, name, "delay", 40.0))
        before = relay.balancer.endpoints["a"].capacity
        relay.now = 2400.0  # closed for 2.5 s, noted well before that
        held = next(i for i in relay.sent if relay.sent[i] == ["a"])
        relay.tell(MeasurementReported(held, 0, "a", "delay", 5.0))
        relay.now = 3400.0
        relay.balancer.overload.reevaluate(relay.now, relay.balancer.endpoints["a"])
        gained.append(relay.balancer.endpoints["a"].capacity - before)
    assert gained[0] == gained[2] and gained[1] < gained[0] / 2


def test_groups_and_endpoints_that_come_and_go_leave_nothing_behind(make: Any) -> None:
    relay = make([], groups=True)
    for k in range(1200):
        relay.now += 50.0
        relay.listed([Endpoint(f"s{k}"), Endpoint(f"s{k + 1}")])
        relay.ask(group=f"g{k}")
        relay.stands(relay.ids)
        relay.ends(relay.ids, "ok", final=True)
    relay.listed([Endpoint("a")])
    for k in range(1200):
        relay.ask(group=f"h{k}")  # most are refused: their groups never hold anything
    b = relay.balancer
    assert len(b.endpoints) <= 2 and len(b.fleet.rankings) <= 500


def test_where_no_delay_is_measured_reported_loads_relieve_an_endpoint(make: Any) -> None:
    # On sockets no note of delay comes: an overloaded endpoint kept its clients, and got more of them.
    relay = make([Endpoint("a"), Endpoint("b")], reports_delay=False, migration_cost=0.02)
    told = make([Endpoint("a"), Endpoint("b")], reports_delay=True, migration_cost=0.02)
    for r in (relay, told):
        for _ in range(20):
            r.ask()
            r.stands(r.ids)
    at_a = [i for i, sent in relay.sent.items() if sent[-1] == "a"]
    for i, sent in relay.sent.items():
        relay.tell(MeasurementReported(i, 0, sent[-1], "load", 1.0))
    moved = []
    for i in at_a:
        relay.now += 1100.0  # an endpoint is weighed once a second at most
        moved += relay.tell(MeasurementReported(i, 0, "a", "load", 300.0))
    assert moved and all(isinstance(a, MigrateConnection) for a in moved)
    # Heavier, not closed: closed on such signs, four of five endpoints sent all that came to the fifth.
    a, b = (relay.balancer.endpoints[name] for name in "ab")
    assert relay.now < a.deprioritized_until_ms and b.deprioritized_until_ms == 0 and not a.is_full()
    assert relay.balancer.placement.load_score(a) > relay.balancer.placement.load_score(b)
    assert [
        a
        for i in list(told.sent)
        for a in told.tell(MeasurementReported(i, 0, told.sent[i][-1], "load", 300.0))
    ] == []


def test_where_no_delay_is_measured_slow_set_ups_deprioritize_an_endpoint(make: Any) -> None:
    # An endpoint that was slowed down told nothing: its group's clients were placed there again and again.
    endpoints = [Endpoint(name, kind="k") for name in "ab"]
    for tells, closed in ((False, True), (True, False)):
        relay = make(endpoints, reports_delay=tells)
        for _ in range(40):
            relay.ask()
            relay.tell(ConnectionEstablished(relay.ids, 0, relay.sent[relay.ids][-1], 30.0))
        slow = [i for i in range(4) if relay.ask() and relay.sent[relay.ids][-1] == "a"]
        for i in slow:
            relay.tell(ConnectionEstablished(relay.ids - 3 + i, 0, "a", 210.0))
        a, b = (relay.balancer.endpoints[name] for name in "ab")
        placement = relay.balancer.placement
        assert slow and placement.is_crowded(a) is closed and not placement.is_crowded(b)
        assert not a.is_full()  # it fades: an endpoint that was slow is tried again
        relay.balancer.fleet.now_ms += 20_000.0
        assert not placement.is_crowded(a)


def test_a_store_that_slows_all_set_ups_deprioritizes_no_endpoint(make: Any) -> None:
    # All endpoints were closed at once for set-ups that took three times the usual everywhere.
    relay = make([Endpoint(name, kind="k") for name in "ab"], reports_delay=False)
    for took in (30.0,) * 40 + (200.0,) * 40:
        relay.ask()
        relay.tell(ConnectionEstablished(relay.ids, 0, relay.sent[relay.ids][-1], took))
        relay.now += 20.0
    assert not any(relay.balancer.overload.setup_lag(s) > 0.4 for s in relay.balancer.fleet.ready)


def test_a_request_fails_fast_while_every_endpoint_is_saturated(make: Any) -> None:
    # With three endpoints of five left, all clients were taken in, and nobody's messages came in time.
    relay = make([Endpoint("a"), Endpoint("b")], reports_delay=False)
    for _ in range(8):
        relay.ask()
        relay.stands(relay.ids)
    for i, sent in relay.sent.items():
        relay.now += 1100.0
        relay.tell(MeasurementReported(i, 0, sent[-1], "load", 400.0))
    for s in relay.balancer.fleet.ready:
        relay.balancer.overload.check_utilization(relay.now + 1100.0, s)
    relay.now += 1101.0
    (refusal,) = relay.ask()
    assert isinstance(refusal, RejectRequest) and refusal.retry_after_ms > 0
    relay.now += 3000.0  # it is no verdict for good
    assert isinstance(relay.ask()[0], PlaceRequest)


def test_an_endpoint_in_slow_start_counts_at_the_part_it_can_do(make: Any) -> None:
    # Endpoints 3 s old held as many connections as warm ones of their size, and served none of them in time.
    endpoints = [Endpoint(name) for name in "abc"] + [Endpoint("new", started_at_ms=99_000.0)]
    relay = make(endpoints[:3], slow_start_ms=24_000.0, initial_capacity_ratio=0.12)
    relay.now = 100_000.0
    relay.listed(endpoints)
    for _ in range(40):
        relay.ask()
        if relay.ids in relay.sent:
            relay.stands(relay.ids)
        relay.now += 100.0
    new = relay.balancer.endpoints["new"]
    assert 0.2 < new.effective_weight < 0.35 and new.connection_share < 0.12


def test_endpoints_that_drain_do_not_count_to_the_fleet_that_the_quotas_are_meant_for(make: Any) -> None:
    # A relay that started during a release counted those that left beside their successors: what each
    # endpoint bears came out a quarter too small, and clients were refused while endpoints stood half empty.
    lines = [Endpoint(f"r{k}") for k in range(8)] + [Endpoint(f"d{k}", "draining") for k in range(2)]
    tenants = (Tenant("t", 13.0, 800.0),)
    with_drains, without = (
        make(some, tenants=tenants, relay_count=40, reports_delay=False).balancer
        for some in (lines, lines[:8])
    )
    assert with_drains.fleet.first_listed_count == 8
    assert with_drains.fleet.max_connections == without.fleet.max_connections
    assert make([Endpoint("d", "draining")]).balancer.fleet.first_listed_count == 1


def test_a_failed_connect_shows_that_the_list_of_the_start_is_out_of_date(make: Any) -> None:
    # Restarted relays had waited up to half of must_ask for their first call: 160 of 386 calls went to
    # endpoints that were gone by then.
    waits = []
    for seed in range(20):
        relay = make([], discovery="ask", max_poll_interval_ms=10000.0, relay_count=200)
        relay.balancer = Balancer(relay.balancer.settings, seed)  # to which no list has come
        (first,) = relay.listed([Endpoint(name) for name in "abc"], "stale")
        assert isinstance(first, SetTimer)
        relay.ask()
        sooner = [a for a in relay.ends(1, "connect_failed") if isinstance(a, SetTimer)]
        assert len(sooner) == 1
        waits.append(sooner[0].delay_ms)
    assert max(waits) <= 1800.0
    assert not [a for a in relay.ends(1, "connect_failed") if isinstance(a, SetTimer)]  # once
    assert relay.tell(TimerFired("watch")) == [WatchEndpoints()]
    assert relay.tell(TimerFired("watch")) == []  # the first timer: its call is out already
    relay.listed([], "failed")
    assert relay.tell(TimerFired("watch")) == [WatchEndpoints()]
