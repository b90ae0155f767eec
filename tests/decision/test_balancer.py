"""Throttling, placement, overload and migration by a balancer, tested by events in and actions out."""

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
    action_types = [type(driver.send_request("t")[0]) for _ in range(60)]
    assert action_types[0] is PlaceRequest and action_types[-1] is RejectRequest
    assert isinstance(driver.send_request("u")[0], PlaceRequest)


def test_a_rejection_says_when_to_retry_only_where_that_is_allowed() -> None:
    driver = BalancerDriver()
    rejections = [
        action for _ in range(60) for action in driver.send_request() if isinstance(action, RejectRequest)
    ]
    assert rejections and all(0 < action.retry_after_ms <= 1000 for action in rejections)
    driver = BalancerDriver(retry_after=False)
    rejections = [
        action for _ in range(60) for action in driver.send_request() if isinstance(action, RejectRequest)
    ]
    assert rejections and all(action.retry_after_ms == 0 for action in rejections)


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


def establish_connections(driver: BalancerDriver, count: int) -> None:
    for _ in range(count):
        driver.send_request()
        driver.establish(driver.last_id)


def test_an_overloaded_endpoint_is_sent_nothing_until_its_delays_are_short_again() -> None:
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    establish_connections(driver, 8)
    slow_id = next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == ["a"])
    driver.handle(MeasurementReported(slow_id, 0, "a", "delay", 90.0))
    for _ in range(4):
        assert driver.place_request().endpoint == "b"
    driver.now_ms = 5000.0
    assert {driver.place_request().endpoint for _ in range(8)} == {"a", "b"}


def test_requests_are_rejected_while_all_endpoints_are_overloaded() -> None:
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    establish_connections(driver, 8)
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
    action_types = [type(driver.send_request()[0]) for _ in range(20)]
    assert action_types[-1] is RejectRequest


def test_own_zone_is_preferred_if_crossing_zones_has_a_cost_and_spills_over_when_full() -> None:
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
    (migration,) = driver.handle(MeasurementReported(1, 0, name, "delay", 90.0))
    assert migration == MigrateConnection(1)
    assert driver.handle(MeasurementReported(1, 0, name, "delay", 40.0)) == []


def test_clients_are_migrated_also_where_all_are_overloaded_but_not_at_a_high_cost() -> None:
    for migration_cost, count in ((1.0, 0), (0.02, 1)):
        driver = BalancerDriver([Endpoint("a"), Endpoint("b")], migration_cost=migration_cost)
        establish_connections(driver, 8)
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
    # The endpoint's part is a quarter of the quota; it starts at a tenth of that and warms up in 10 s.
    for start in times:
        budget = 3.0 * 25.0 * (0.1 + 0.9 * (start + 1000 - 49_900) / 10_000) / 2
        assert 0 < sum(start <= placed_ms < start + 1000 for placed_ms in times) <= budget


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
        open_id = next(request_id for request_id in driver.attempts if driver.attempts[request_id] == [name])
        driver.handle(MeasurementReported(open_id, 0, name, "delay", 90.0))
    spill = set()
    for _ in range(3):
        spill.add(driver.place_request(group="g").endpoint)
        driver.establish(driver.last_id)
    assert len(spill) == 1 and not spill & homes


def test_a_tenant_beyond_its_quota_is_rejected_first_under_load() -> None:
    tenants = (Tenant("t", 5.0, quota_connections=5.0), Tenant("u", 5.0, quota_connections=95.0))
    driver = BalancerDriver(tenants=tenants)
    establish_connections(driver, 8)
    assert isinstance(driver.send_request("t")[0], PlaceRequest)  # not loaded yet: nobody is throttled
    open_id = next(request_id for request_id in range(1, 9) if driver.attempts[request_id] == ["a"])
    driver.handle(MeasurementReported(open_id, 0, "a", "delay", 90.0))
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
    # Guards against an endpoint that stays ejected because the client of its trial attempt disconnected.
    driver = BalancerDriver([Endpoint(name) for name in "abcd"], may_cancel=True)
    endpoints = driver.balancer.endpoints
    while all(endpoint.ready for endpoint in endpoints.values()):
        driver.send_request()
        driver.end_attempt(driver.last_id, "connect_failed")
        driver.end_attempt(driver.last_id, "connect_failed", final=True)
    ejected = next(endpoint for endpoint in endpoints.values() if not endpoint.ready)
    driver.now_ms += 1600.0
    driver.send_request()
    # Readmitted for all clients at once, a slow endpoint halved the number of clients kept on a simulated
    # day.
    assert (
        ejected.ready
        and ejected.connections.concurrency_limit == 1
        and driver.handle(ClientDisconnected(driver.last_id)) == [AbandonAttempt(driver.last_id, 0)]
    )
    driver.end_attempt(driver.last_id, "cancelled", final=True)
    while ejected.ready:
        driver.send_request()
        failed = driver.attempts[driver.last_id][0] == ejected.name
        driver.end_attempt(driver.last_id, "connect_failed" if failed else "ok", final=True)
        assert ejected.ready != failed


def overload_endpoints(driver: BalancerDriver, names: str) -> None:
    for name in names:
        open_id = next(
            request_id for request_id in driver.attempts if driver.attempts[request_id][-1] == name
        )
        driver.handle(MeasurementReported(open_id, 0, name, "delay", 45.0))


def test_a_group_gets_no_further_endpoint_while_endpoints_are_scarce() -> None:
    # Under load, spilling to any endpoint with headroom made each endpoint bear the cost of each group (issue
    # i571616).
    for overloaded_count in (1, 4):
        driver = BalancerDriver([Endpoint(name) for name in "abcdefghij"], groups=True, relay_count=1)
        establish_connections(driver, 60)
        driver.send_request(group="g")
        driver.establish(driver.last_id)
        first = driver.attempts[driver.last_id][0]
        ranked = driver.balancer.placement.group_ranking.rank("g")
        home_names = [endpoint.name for endpoint in ranked.endpoints[: ranked.home_count]]
        overload_endpoints(
            driver,
            "".join(home_names)
            + "".join(name for name in "abcdefghij" if name not in home_names)[: overloaded_count - 1],
        )
        (action,) = driver.send_request(group="g")
        if overloaded_count == 1:
            assert isinstance(action, PlaceRequest) and action.endpoint not in home_names
        else:
            assert isinstance(driver.send_request()[0], PlaceRequest)
            assert isinstance(action, RejectRequest) and action.retry_after_ms > 0
            assert isinstance(
                driver.send_request(group="g", is_takeover=True)[0], PlaceRequest
            )  # an established connection is never cut off
            driver.now_ms += 3000.0  # its home has recovered by then
            (action,) = driver.send_request(group="g")
            assert isinstance(action, PlaceRequest) and action.endpoint in home_names and first in home_names


def test_a_group_may_go_to_its_first_endpoints_of_another_zone_while_scarce() -> None:
    endpoints = [Endpoint(name, zone="x") for name in "abcde"] + [
        Endpoint(name, zone="y") for name in "fghij"
    ]
    driver = BalancerDriver(endpoints, zone="x", cross_zone_cost=0.1, groups=True, relay_count=1)
    establish_connections(driver, 60)
    ranked = driver.balancer.placement.group_ranking.rank("g")
    overload_endpoints(driver, "abcde")
    (action,) = driver.send_request(group="g")
    assert isinstance(action, PlaceRequest) and action.endpoint in [
        endpoint.name for endpoint in ranked.endpoints[5 : 5 + ranked.home_count]
    ]


def test_the_heaviest_are_migrated_first_unless_endpoints_are_scarce() -> None:
    # While no endpoint had headroom, migrating the heaviest connections lost the most valuable clients for
    # good (issue i0ba860).
    for overloaded_names, heaviest in (("a", True), ("abcd", False)):
        driver = BalancerDriver([Endpoint(name) for name in "abcd"], relay_count=1)
        for number in range(40):
            driver.send_request(expected_load=float(number % 20))
            driver.establish(driver.last_id)
        overload_endpoints(driver, overloaded_names[1:])
        on_a = [request_id for request_id in driver.attempts if driver.attempts[request_id] == ["a"]]
        migrations = driver.handle(MeasurementReported(on_a[0], 0, "a", "delay", 90.0))
        order = sorted(on_a, key=lambda request_id: -((request_id - 1) % 20))
        expected = order if heaviest else on_a
        assert migrations and migrations == [
            MigrateConnection(request_id) for request_id in expected[: len(migrations)]
        ]


def test_many_relays_notified_of_one_overloaded_endpoint_do_not_empty_it() -> None:
    # A hundred relays with one connection each all get the delay report; about a third should migrate theirs.
    migrations = 0
    for seed in range(100):
        driver = BalancerDriver([Endpoint("a")], seed=seed, relay_count=100)
        establish_connections(driver, 1)
        migrations += len(driver.handle(MeasurementReported(1, 0, "a", "delay", 90.0)))
    assert 20 <= migrations <= 55


def test_an_endpoint_that_breaks_a_new_connection_is_left_alone_for_a_while() -> None:
    # Endpoints with too much queued work reset their newest connections, and a relay without connections
    # there gets no delay reports.
    driver = BalancerDriver([Endpoint("a"), Endpoint("b")])
    establish_connections(driver, 1)
    broken = driver.attempts[1][0]
    driver.end_attempt(1, "reset", final=True)
    for _ in range(6):
        assert driver.place_request("tu"[driver.last_id % 2]).endpoint != broken


def test_endpoints_without_connections_do_not_hide_that_the_others_are_full() -> None:
    # A balancer has four connections among a hundred endpoints: if all four are slow, endpoints are scarce.
    driver = BalancerDriver([Endpoint(f"s{number}") for number in range(100)], relay_count=100, groups=True)
    establish_connections(driver, 4)
    for number in range(1, 5):
        driver.handle(MeasurementReported(number, 0, driver.attempts[number][0], "delay", 45.0))
    assert driver.balancer.fleet.in_flight_ratio() > 0.5


def test_a_group_stays_on_few_endpoints_though_few_connections_show_little() -> None:
    # Two of a balancer's three connections in one group are chance, and do not show that the group has two
    # thirds of all connections.
    driver = BalancerDriver([Endpoint(f"s{number}") for number in range(100)], relay_count=100, groups=True)
    for group in ("g", "g", "h"):
        driver.send_request(group=group)
        driver.establish(driver.last_id)
    assert (
        driver.balancer.placement.group_ranking.rank("g").home_count < 30
        and driver.balancer.placement.group_ranking.rank("new").home_count <= 3
    )


def test_the_first_attempts_of_many_relays_at_an_endpoint_in_slow_start_are_spread() -> None:
    # Without spreading, 85 relays each sent a three seconds old endpoint their first connection in one
    # second.
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
    # CRC is linear: ranking by it alone made the same few endpoints the first homes of many groups.
    driver = BalancerDriver([Endpoint(f"backend-{number:x}") for number in range(40)], groups=True)
    first: dict[str, int] = {}
    for number in range(400):
        name = driver.balancer.placement.group_ranking.rank(f"room-{number}").endpoints[0].name
        first[name] = first.get(name, 0) + 1
    assert max(first.values()) <= 30


def test_endpoints_of_more_weight_are_home_to_more_groups_and_are_preferred_of_two() -> None:
    endpoints = [Endpoint("large", weight=4.0), Endpoint("small", weight=1.0)]
    driver = BalancerDriver(endpoints, groups=True, weights="rough")
    homes = [
        driver.balancer.placement.group_ranking.rank(f"room-{number}").endpoints[0].name
        for number in range(400)
    ]
    assert 280 < homes.count("large") < 360
    assert [driver.place_request(tenant).endpoint for tenant in "tut"] == ["large"] * 3
    driver = BalancerDriver(
        endpoints, weights="live"
    )  # live weights are outdated, and include load that the relay knows better
    establish_connections(driver, 10)
    assert {driver.attempts[request_id][0] for request_id in driver.attempts} == {"large", "small"}


def test_a_kind_of_machine_with_slower_set_ups_is_taken_to_be_smaller() -> None:
    endpoints = [Endpoint(f"{kind}{number}", kind=kind) for kind in ("quick", "slow") for number in range(5)]
    driver = BalancerDriver(endpoints)
    for _ in range(120):
        (placement,) = driver.send_request("tu"[driver.last_id % 2])
        assert isinstance(placement, PlaceRequest)
        took_ms = 10.0 if placement.endpoint.startswith("quick") else 40.0
        driver.handle(ConnectionEstablished(driver.last_id, 0, placement.endpoint, took_ms))
        driver.now_ms += 10.0  # weights are updated every 50 ms
    quick = sum(driver.attempts[request_id][0].startswith("quick") for request_id in driver.attempts)
    assert quick > 75
