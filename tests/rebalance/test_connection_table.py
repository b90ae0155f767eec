"""Tests of the connection table and its totals."""

from __future__ import annotations

from support.rebalance_fleet import make_uneven_fleet

from sageturn.rebalance.connection_table import ConnectionLabels, ConnectionTable


def test_the_table_matches_the_connections_after_many_events() -> None:
    fleet = make_uneven_fleet()
    table = fleet.planner.connections
    for request_id in list(fleet.connections)[::3]:
        fleet.end_connection(request_id, "ok")
    fleet.add_connections("a", 7, "a0")
    ids = {
        connection.request_id
        for totals in table.endpoints.values()
        for allocation in totals.groups.values()
        for connection in table.members(allocation)
    }
    assert ids == set(fleet.connections) and len(table) == len(ids)
    for name, totals in table.endpoints.items():
        assert totals.connection_count == fleet.connection_counts()[name]
    for request_id in list(fleet.connections):
        fleet.end_connection(request_id, "ok")
    assert not table.endpoints and not table.allocations_by_group and len(table) == 0
    assert table.totals.reported_load == 0.0


def test_times_stay_correct_if_the_first_connection_is_established_at_0_ms() -> None:
    # Guards against treating an origin of 0 ms as an empty table: each added connection then shifted the
    # times of the earlier ones.
    table = ConnectionTable()
    instants_ms = {1: 0.0, 2: 5000.0, 3: 9000.0}
    for request_id, established_ms in instants_ms.items():
        table.add(established_ms, request_id, "a", ConnectionLabels("c", "t", ""), 0)
    allocation = table.endpoints["a"].groups[""]
    assert {row.request_id: row.established_ms for row in table.members(allocation)} == instants_ms
