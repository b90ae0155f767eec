"""Property tests of the planner's limits under generated sequences of events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from support.rebalance_fleet import RebalanceFleet

from sageturn import Endpoint, EndpointListEvent

EXCLUSION_S = 60.0  # minimum time between two migrations of a client
STEPS = ["step"] * 3
CONNECTION_EVENTS = ["connect", "end", "reset", "migrate_by_other"]
FLEET_EVENTS = ["toggle_return", "drain", "list", "list_failed"]

EVENTS = st.lists(
    st.tuples(st.sampled_from(STEPS + CONNECTION_EVENTS + FLEET_EVENTS), st.integers(0, 999)),
    min_size=20,
    max_size=150,
)


def make_settled_fleet(burst: int) -> RebalanceFleet:
    """Return a fleet of 90 connections, with and without groups, after the planner's settling time."""
    options = {"part_per_min": 1.0, "burst": burst, "again_s": EXCLUSION_S, "least_age_s": 0.0}
    fleet = RebalanceFleet("abcd", options)
    for number in range(30):
        class_name = "guest-checkin" if number % 5 == 0 else "c"
        group = f"g{number % 9}" if number % 3 else ""
        endpoint = "ab"[number % 2] if number < 20 else "cd"[number % 2]
        fleet.add_connections(endpoint, 3, group, class_name)
    fleet.run(20)
    return fleet


def apply_event(fleet: RebalanceFleet, event: str, number: int) -> None:
    """Apply an event to the fleet; ``number`` selects the connection, client or endpoint it concerns."""
    ids = list(fleet.connections)
    match event:
        case "step":
            fleet.step()
        case "connect":
            fleet.connect_client(f"n{number % 50}", group=f"g{number % 9}")
        case "end" if ids:
            fleet.end_connection(ids[number % len(ids)], "ok")
        case "reset" if ids:
            fleet.end_connection(ids[number % len(ids)], "reset")
        case "migrate_by_other" if ids:
            fleet.planner.on_migrated_by_others(fleet.now_ms, ids[number % len(ids)])
        case "toggle_return":
            fleet.clients_return = number % 2 == 0
        case "drain":
            state = ("draining", "ready")[number % 2]
            fleet.handle(EndpointListEvent("changes", [Endpoint("abcd"[number % 4], state=state)]))
        case "list":
            starts_ms = {"d": number * 10.0}
            endpoints = [Endpoint(name, started_at_ms=starts_ms.get(name, 0.0)) for name in "abcd"]
            fleet.handle(EndpointListEvent("full", endpoints))
        case _:
            fleet.handle(EndpointListEvent("failed", []))


@settings(max_examples=60, deadline=None)
@given(events=EVENTS, seed=st.integers(0, 5), burst=st.integers(1, 20))
def test_bounds_hold_under_any_sequence_of_events(
    events: list[tuple[str, int]], seed: int, burst: int
) -> None:
    fleet = make_settled_fleet(burst)
    max_connections = len(fleet.connections)
    for event, number in events:
        apply_event(fleet, event, number)
        max_connections = max(max_connections, len(fleet.connections))

    # The rate limit holds over any time span.
    max_rate = fleet.planner.rate_controller.max_rate(max_connections)
    times_ms = [migrated.at_ms for migrated in fleet.migrated]
    for first, begin_ms in enumerate(times_ms):
        for count, end_ms in enumerate(times_ms[first:], start=1):
            assert count <= burst + max_rate * (end_ms - begin_ms) / 1000.0 + 1e-6

    # No client is migrated twice within the exclusion time, and each migration has a reason.
    last_ms: dict[str, float] = {}
    for migrated in fleet.migrated:
        assert migrated.at_ms - last_ms.get(migrated.client, -1e12) >= EXCLUSION_S * 1000.0
        assert migrated.reason
        last_ms[migrated.client] = migrated.at_ms

    # An excluded class is never migrated.
    excluded = {
        connection.client
        for connection in fleet.connections.values()
        if connection.class_name == "guest-checkin"
    }
    assert not excluded & set(last_ms)
