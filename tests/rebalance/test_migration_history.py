"""Tests of the migration history."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sageturn.rebalance.migration_history import MigrationHistory
from sageturn.rebalance.options import RebalanceOptions


@given(st.lists(st.tuples(st.integers(1, 12), st.floats(0, 30)), max_size=60))
def test_a_full_history_forgets_nobody_early(migrations: list[tuple[int, float]]) -> None:
    history = MigrationHistory(RebalanceOptions(remember=4, again_s=50.0))
    now_ms = 0.0
    last_ms: dict[int, float] = {}
    for client, gap_s in migrations:
        now_ms += gap_s * 1000.0
        history.prune(now_ms)
        if history.may_migrate(client, now_ms) and history.has_capacity_for(1):
            assert now_ms - last_ms.get(client, -1e9) >= 50000.0
            history.record_migration(client, "a", now_ms, by_planner=True)
            last_ms[client] = now_ms
        assert len(history) <= 4
