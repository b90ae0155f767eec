"""Depth, curve, buckets, placement and attempts, by events in and actions out."""

from support.balancer_driver import BalancerDriver

from sageturn import (
    AbandonAttempt,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    FailRequest,
    MeasurementReported,
    MigrateConnection,
    PlaceRequest,
    RejectRequest,
    RequestClass,
    Tenant,
)


def test_a_lightly_loaded_relay_throttles_nobody() -> None:
    driver = BalancerDriver()
    for _ in range(7):
        (action,) = driver.send_request()
        assert isinstance(action, PlaceRequest)


def test_a_loaded_relay_rejects_the_busy_tenant_and_serves_the_other() -> None:
    driver = BalancerDriver()
    kinds = [type(driver.send_request("t")[0]) for _ in range(60)]
    assert kinds[0] is PlaceRequest and kinds[-1] is RejectRequest
    assert isinstance(driver.send_request("u")[0], PlaceRequest)


def test_a_rejection_says_when_to_retry_only_where_that_is_allowed() -> None:
    driver = BalancerDriver()
    refusals = [
        action for _ in range(60) for action in driver.send_request() if isinstance(action, RejectRequest)
    ]
    assert refusals and all(0 < action.retry_after_ms <= 1000 for action in refusals)
    driver = BalancerDriver(retry_after=False)
    refusals = [
        action for _ in range(60) for action in driver.send_request() if isinstance(action, RejectRequest)
    ]
    assert refusals and all(action.retry_after_ms == 0 for action in refusals)


def test_a_retry_goes_elsewhere() -> None:
    driver = BalancerDriver()
    driver.send_request()
    (again,) = driver.end_attempt(1, "connect_failed")
    assert isinstance(again, PlaceRequest) and again.endpoint != driver.attempts[1][0]


def test_a_draining_endpoint_is_sent_nothing() -> None:
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    driver.update_endpoints([Endpoint("a", "draining")], "changes")
    for _ in range(6):
        assert driver.place_request().endpoint == "b"


def test_no_endpoint_means_an_immediate_answer() -> None:
    driver = BalancerDriver([])
    assert isinstance(driver.send_request()[0], RejectRequest)


def test_an_unsafe_request_that_may_have_been_executed_fails() -> None:
    driver = BalancerDriver(classes=(RequestClass("c", 500, effect="unsafe"),))
    driver.send_request()
    assert driver.end_attempt(1, "error") == [FailRequest(1)]


def open_on_each(driver: BalancerDriver, count: int) -> None:
    for _ in range(count):
        driver.send_request()
        driver.establish(driver.last_id)


def test_an_overloaded_endpoint_is_sent_nothing_until_its_delays_are_short_again() -> None:
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    open_on_each(driver, 8)
    late = next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == ["a"])
    driver.handle(MeasurementReported(late, 0, "a", "delay", 90.0))
    for _ in range(4):
        assert driver.place_request().endpoint == "b"
    driver.now_ms = 5000.0
    assert {driver.place_request().endpoint for _ in range(8)} == {"a", "b"}


def test_requests_are_rejected_while_all_endpoints_are_overloaded() -> None:
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    open_on_each(driver, 8)
    for name in "ab":
        driver.handle(
            MeasurementReported(
                next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == [name]),
                0,
                name,
                "delay",
                90.0,
            )
        )
    kinds = [type(driver.send_request()[0]) for _ in range(20)]
    assert kinds[-1] is RejectRequest


def test_own_zone_first_where_crossing_is_priced_and_spill_when_it_is_full() -> None:
    endpoints = [
        Endpoint("a", zone="x"),
        Endpoint("b", zone="x"),
        Endpoint("c", zone="y"),
        Endpoint("d", zone="y"),
    ]
    tenants = (Tenant("t", 20.0), Tenant("u", 20.0))
    driver = BalancerDriver(endpoints, zone="x", cross_zone_cost=0.1, relay_count=4, tenants=tenants)
    first = [driver.place_request(tenant).endpoint for tenant in "tutututututututu"]
    assert set(first) == {"a", "b"}
    assert driver.place_request("t").endpoint in "cd"


def test_a_group_stays_on_few_endpoints_the_same_at_every_balancer() -> None:
    endpoints = [Endpoint(name) for name in "abcdefghij"]
    homes = []
    for seed in (1, 2):
        driver = BalancerDriver(endpoints, seed=seed, groups=True)
        for number in range(12):
            driver.send_request(group=f"other{number}")
            driver.establish(driver.last_id)
        seen = set()
        for _ in range(6):
            seen.add(driver.place_request(group="g").endpoint)
            driver.establish(driver.last_id)
        homes.append(seen)
    assert len(homes[0] | homes[1]) <= 4


def test_an_endpoint_that_stays_overloaded_is_relieved_of_lone_group_members() -> None:
    driver = BalancerDriver([Endpoint(name) for name in "abc"], groups=True)
    for number in range(16):
        driver.send_request(group="big" if number else "lone")
        driver.establish(driver.last_id)
    name = driver.attempts[1][0]
    (move,) = driver.handle(MeasurementReported(1, 0, name, "delay", 90.0))
    assert move == MigrateConnection(1)
    assert driver.handle(MeasurementReported(1, 0, name, "delay", 40.0)) == []


def test_clients_are_migrated_also_where_all_are_overloaded_but_not_at_a_high_cost() -> None:
    for price, count in ((1.0, 0), (0.02, 1)):
        driver = BalancerDriver([Endpoint("a"), Endpoint("b")], migration_cost=price)
        open_on_each(driver, 8)
        request_on = {driver.attempts[request_id][0]: request_id for request_id in range(1, 9)}
        for name in "ab":
            assert (
                min(1, len(driver.handle(MeasurementReported(request_on[name], 0, name, "delay", 90.0))))
                == count
            )


def test_an_endpoint_in_slow_start_gets_our_part_of_its_budget_in_any_window() -> None:
    tenants = (Tenant("t", 10.0, quota_connections=100.0),)
    old = [Endpoint(name) for name in "abc"]
    driver = BalancerDriver(
        old,
        tenants=tenants,
        relay_count=2,
        cold_overload_window_ms=1000.0,
        cold_overload_multiple=3.0,
        initial_capacity_ratio=0.1,
    )
    driver.now_ms = 50_000.0
    driver.update_endpoints([Endpoint("new", started_at_ms=49_900.0)], "changes")
    times = []
    for _ in range(2000):
        driver.now_ms += 3.0
        driver.send_request()
        driver.establish(driver.last_id)
        driver.end_attempt(driver.last_id, "ok", final=True)
        if driver.attempts[driver.last_id] == ["new"]:
            times.append(driver.now_ms)
    # a quarter of the quota fits an endpoint; it starts at a tenth and warms up in 10 s
    for start in times:
        share = 3.0 * 25.0 * (0.1 + 0.9 * (start + 1000 - 49_900) / 10_000) / 2
        assert 0 < sum(start <= placed_ms < start + 1000 for placed_ms in times) <= share


def test_a_group_spills_to_the_next_in_its_own_order() -> None:
    driver = BalancerDriver([Endpoint(name) for name in "abcdefghij"], groups=True, relay_count=1)
    for number in range(90):
        driver.send_request(group=f"other{number}")
        driver.establish(driver.last_id)
    homes = set()
    for _ in range(6):
        homes.add(driver.place_request(group="g").endpoint)
        driver.establish(driver.last_id)
    for name in sorted(homes):
        held = next(request_id for request_id in driver.attempts if driver.attempts[request_id] == [name])
        driver.handle(MeasurementReported(held, 0, name, "delay", 90.0))
    spill = set()
    for _ in range(3):
        spill.add(driver.place_request(group="g").endpoint)
        driver.establish(driver.last_id)
    assert len(spill) == 1 and not spill & homes


def test_a_tenant_beyond_its_quota_is_rejected_first_under_load() -> None:
    tenants = (Tenant("t", 5.0, quota_connections=5.0), Tenant("u", 5.0, quota_connections=95.0))
    driver = BalancerDriver(tenants=tenants)
    open_on_each(driver, 8)
    assert isinstance(driver.send_request("t")[0], PlaceRequest)  # shallow: nobody is throttled
    held = next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == ["a"])
    driver.handle(MeasurementReported(held, 0, "a", "delay", 90.0))
    driver.handle(
        MeasurementReported(
            next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == ["b"]),
            0,
            "b",
            "delay",
            90.0,
        )
    )
    assert isinstance(driver.send_request("t")[0], RejectRequest)
    assert isinstance(driver.send_request("u")[0], PlaceRequest)


def test_an_ejected_endpoint_is_readmitted_and_ejected_again_by_its_next_failure() -> None:
    # One whose trial was lost with its client stayed out for good.
    driver = BalancerDriver([Endpoint(name) for name in "abcd"], may_cancel=True)
    endpoints = driver.balancer.endpoints
    while all(endpoint.ready for endpoint in endpoints.values()):
        driver.send_request()
        driver.end_attempt(driver.last_id, "connect_failed")
        driver.end_attempt(driver.last_id, "connect_failed", final=True)
    out = next(endpoint for endpoint in endpoints.values() if not endpoint.ready)
    driver.now_ms += 1600.0
    driver.send_request()
    # Back for all clients at once, a slow endpoint cost the fleet day half of what it kept.
    assert (
        out.ready
        and out.connections.concurrency_limit == 1
        and driver.handle(ClientDisconnected(driver.last_id)) == [AbandonAttempt(driver.last_id, 0)]
    )
    driver.end_attempt(driver.last_id, "cancelled", final=True)
    while out.ready:
        driver.send_request()
        failed = driver.attempts[driver.last_id][0] == out.name
        driver.end_attempt(driver.last_id, "connect_failed" if failed else "ok", final=True)
        assert out.ready != failed


def strain(driver: BalancerDriver, names: str) -> None:
    for name in names:
        held = next(request_id for request_id in driver.attempts if driver.attempts[request_id][-1] == name)
        driver.handle(MeasurementReported(held, 0, name, "delay", 45.0))


def test_a_group_gets_no_further_endpoint_while_endpoints_are_scarce() -> None:
    # i571616: under load, spill to any endpoint with room made each of them pay for each group.
    for late in (1, 4):
        driver = BalancerDriver([Endpoint(name) for name in "abcdefghij"], groups=True, relay_count=1)
        open_on_each(driver, 60)
        driver.send_request(group="g")
        driver.establish(driver.last_id)
        first = driver.attempts[driver.last_id][0]
        ranked = driver.balancer.placement.group_ranking.rank("g")
        own = [endpoint.name for endpoint in ranked.endpoints[: ranked.home_count]]
        strain(driver, "".join(own) + "".join(name for name in "abcdefghij" if name not in own)[: late - 1])
        (action,) = driver.send_request(group="g")
        if late == 1:
            assert isinstance(action, PlaceRequest) and action.endpoint not in own
        else:
            assert isinstance(driver.send_request()[0], PlaceRequest)
            assert isinstance(action, RejectRequest) and action.retry_after_ms > 0
            assert isinstance(
                driver.send_request(group="g", midflow=True)[0], PlaceRequest
            )  # it stands already: never cut off
            driver.now_ms += 3000.0  # its home is well again before the others are asked
            (action,) = driver.send_request(group="g")
            assert isinstance(action, PlaceRequest) and action.endpoint in own and first in own


def test_a_group_may_go_to_its_first_endpoints_of_another_zone_while_scarce() -> None:
    endpoints = [Endpoint(name, zone="x") for name in "abcde"] + [
        Endpoint(name, zone="y") for name in "fghij"
    ]
    driver = BalancerDriver(endpoints, zone="x", cross_zone_cost=0.1, groups=True, relay_count=1)
    open_on_each(driver, 60)
    ranked = driver.balancer.placement.group_ranking.rank("g")
    strain(driver, "abcde")
    (action,) = driver.send_request(group="g")
    assert isinstance(action, PlaceRequest) and action.endpoint in [
        endpoint.name for endpoint in ranked.endpoints[5 : 5 + ranked.home_count]
    ]


def test_the_heaviest_are_migrated_first_unless_endpoints_are_scarce() -> None:
    # i0ba860: moving the heaviest while nobody had room sent away what was worth most, and it stayed out.
    for late, heaviest in (("a", True), ("abcd", False)):
        driver = BalancerDriver([Endpoint(name) for name in "abcd"], relay_count=1)
        for number in range(40):
            driver.send_request(expected_load=float(number % 20))
            driver.establish(driver.last_id)
        strain(driver, late[1:])
        on_a = [request_id for request_id in driver.attempts if driver.attempts[request_id] == ["a"]]
        moves = driver.handle(MeasurementReported(on_a[0], 0, "a", "delay", 90.0))
        order = sorted(on_a, key=lambda request_id: -((request_id - 1) % 20))
        wanted = order if heaviest else on_a
        assert moves and moves == [MigrateConnection(request_id) for request_id in wanted[: len(moves)]]


def test_many_relays_notified_of_one_overloaded_endpoint_do_not_empty_it() -> None:
    # A hundred relays that hold one each all get the note; about a third should go.
    moves = 0
    for seed in range(100):
        driver = BalancerDriver([Endpoint("a")], seed=seed, relay_count=100)
        open_on_each(driver, 1)
        moves += len(driver.handle(MeasurementReported(1, 0, "a", "delay", 90.0)))
    assert 20 <= moves <= 55


def test_an_endpoint_that_breaks_a_new_connection_is_left_alone_for_a_while() -> None:
    # Endpoints with too much piled up break the newest; who holds nothing there gets no note.
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    open_on_each(driver, 1)
    broken = driver.attempts[1][0]
    driver.end_attempt(1, "reset", final=True)
    for _ in range(6):
        assert driver.place_request("tu"[driver.last_id % 2]).endpoint != broken


def test_endpoints_without_connections_do_not_hide_that_the_others_are_full() -> None:
    # A balancer with four connections among a hundred endpoints: all four late means scarce, not shallow.
    driver = BalancerDriver([Endpoint(f"s{number}") for number in range(100)], relay_count=100, groups=True)
    open_on_each(driver, 4)
    for number in range(1, 5):
        driver.handle(MeasurementReported(number, 0, driver.attempts[number][0], "delay", 45.0))
    assert driver.balancer.fleet.in_flight_ratio() > 0.5


def test_a_group_stays_on_few_endpoints_though_few_connections_show_little() -> None:
    # Two of a balancer's three connections of one group: chance, not two thirds of all connections.
    driver = BalancerDriver([Endpoint(f"s{number}") for number in range(100)], relay_count=100, groups=True)
    for group in ("g", "g", "h"):
        driver.send_request(group=group)
        driver.establish(driver.last_id)
    assert (
        driver.balancer.placement.group_ranking.rank("g").home_count < 30
        and driver.balancer.placement.group_ranking.rank("new").home_count <= 3
    )


def test_the_first_attempts_of_many_relays_at_an_endpoint_in_slow_start_are_spread() -> None:
    # 85 relays each sent an endpoint three seconds old their first connection within one second.
    sent = 0
    for seed in range(60):
        driver = BalancerDriver(
            [], seed=seed, tenants=(Tenant("t", 10.0, quota_connections=100.0),), relay_count=60
        )
        driver.now_ms = 50_000.0
        driver.update_endpoints([Endpoint("new", started_at_ms=49_900.0)], "changes")
        driver.now_ms += 100.0
        sent += isinstance(driver.send_request()[0], PlaceRequest)
    assert sent <= 3


def test_groups_share_out_over_endpoints_evenly() -> None:
    # CRC is linear: ranks by it alone made the same few endpoints early homes of many groups.
    driver = BalancerDriver([Endpoint(f"backend-{number:x}") for number in range(40)], groups=True)
    first: dict[str, int] = {}
    for number in range(400):
        name = driver.balancer.placement.group_ranking.rank(f"room-{number}").endpoints[0].name
        first[name] = first.get(name, 0) + 1
    assert max(first.values()) <= 30


def test_endpoints_of_more_weight_are_home_to_more_groups_and_win_the_pair() -> None:
    endpoints = [Endpoint("large", share=4.0), Endpoint("small", share=1.0)]
    driver = BalancerDriver(endpoints, groups=True, weights="rough")
    homes = [
        driver.balancer.placement.group_ranking.rank(f"room-{number}").endpoints[0].name
        for number in range(400)
    ]
    assert 280 < homes.count("large") < 360
    assert [driver.place_request(tenant).endpoint for tenant in "tut"] == ["large"] * 3
    driver = BalancerDriver(
        endpoints, weights="live"
    )  # live shares come late and count load that we know better
    open_on_each(driver, 10)
    assert {driver.attempts[request_id][0] for request_id in driver.attempts} == {"large", "small"}


def test_a_kind_of_machine_with_slower_set_ups_is_taken_to_be_smaller() -> None:
    endpoints = [Endpoint(f"{kind}{number}", kind=kind) for kind in ("quick", "slow") for number in range(5)]
    driver = BalancerDriver(endpoints)
    for _ in range(120):
        (placement,) = driver.send_request("tu"[driver.last_id % 2])
        assert isinstance(placement, PlaceRequest)
        took = 10.0 if placement.endpoint.startswith("quick") else 40.0
        driver.handle(ConnectionEstablished(driver.last_id, 0, placement.endpoint, took))
        driver.now_ms += 10.0  # sizes are looked at again every 50 ms
    quick = sum(driver.attempts[request_id][0].startswith("quick") for request_id in driver.attempts)
    assert quick > 75
