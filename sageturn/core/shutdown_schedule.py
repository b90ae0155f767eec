"""Computes the times of a graceful shutdown's steps, so that it ends before the process is killed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision import RequestClass

KILL_AFTER_DEADLINE_S = 0.7  # minimum time from the longest deadline of a request to SIGKILL
MAX_DEADLINE_S = 3.0  # a longer deadline delays SIGKILL no further
EXIT_BEFORE_KILL_S = 0.3
FORCED_DRAIN_S = 0.5  # time from the forced drain to the exit
MIGRATION_START_S = 0.45  # time from the signal to the start of the migration
MIGRATION_TIME_RATIO = 0.735  # fraction of the time until the forced drain; the rest is for retries elsewhere


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of a graceful shutdown, in seconds after the signal.

    Attributes:
        migration_start_s: time at which the migration of established connections begins.
        migration_duration_s: duration of the migration, over which clients are spread evenly.
        forced_drain_at_s: time at which the drain is forced.
        exit_at_s: time at which the process exits.
    """

    migration_start_s: float
    migration_duration_s: float
    forced_drain_at_s: float
    exit_at_s: float


def plan_shutdown(classes: Iterable[RequestClass]) -> ShutdownSchedule:
    """Return the schedule that the deadlines of ``classes`` allow.

    A class without a deadline counts as having ``MAX_DEADLINE_S``.
    """
    deadlines_ms = (cls.give_up_ms or MAX_DEADLINE_S * 1000.0 for cls in classes)
    deadline_s = max(deadlines_ms, default=0.0) / 1000.0
    exit_at_s = min(deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - EXIT_BEFORE_KILL_S
    forced_drain_at_s = max(exit_at_s - FORCED_DRAIN_S, exit_at_s / 2.0)
    migration_start_s = min(MIGRATION_START_S, forced_drain_at_s / 2.0)
    migration_duration_s = (forced_drain_at_s - migration_start_s) * MIGRATION_TIME_RATIO
    return ShutdownSchedule(migration_start_s, migration_duration_s, forced_drain_at_s, exit_at_s)
