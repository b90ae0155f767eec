"""The counters of migrations and their outcomes."""

from __future__ import annotations

from enum import StrEnum


class MigrationCount(StrEnum):
    """A counter since the planner's start; the values are the names in the stored state."""

    MIGRATED = "moved"
    MIGRATED_BATCHES = "units"
    MIGRATED_IN_DRY_RUN = "would_move"
    BY_OTHERS = "by_others"  # by the balancer or a drain
    RETURNED = "back"
    RETURNED_LATE = "back_late"  # set up beyond the class's latency objective
    NOT_RETURNED = "not_back"
    LANDED_WELL = "landed_well"  # at a clearly less utilized endpoint
    LANDED_BADLY = "landed_ill"
