"""The table of connections and its sums."""

from __future__ import annotations

from support.rebalance_fleet import make_uneven_fleet


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
