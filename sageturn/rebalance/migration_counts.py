"""Counters of migrations and their outcomes."""

from __future__ import annotations

from enum import StrEnum


class MigrationCount(StrEnum):
    """Counter since the planner's start; the values are the names in the stored state."""

    MIGRATED = "moved"
    MIGRATED_BATCHES = "units"
    MIGRATED_IN_DRY_RUN = "would_move"
    BY_OTHERS = "by_others"  # migrations by the balancer or a drain of the relay
    RETURNED = "back"
    RETURNED_SLOWLY = "back_late"  # the set-up took longer than the class's latency objective
    NOT_RETURNED = "not_back"
    LANDED_WELL = "landed_well"  # placed on a clearly less utilized endpoint
    LANDED_BADLY = "landed_ill"  # placed on any other endpoint
