"""When the steps of a graceful shutdown are due, so that it is over before the process is killed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision import RequestClass

# SIGKILL comes no sooner than this after the longest deadline of a request, which counts up to the maximum.
KILL_AFTER_DEADLINE_S = 0.7
MAX_DEADLINE_S = 3.0
EXIT_BEFORE_KILL_S = 0.3
FORCED_DRAIN_S = 0.5  # left between the forced drain and the exit
MIGRATION_START_S = 0.45
# The share of the time until the forced drain in which clients are migrated: they may need a retry elsewhere.
MIGRATION_TIME_RATIO = 0.735


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds after the signal, but for ``migration_duration_s``, which is a length."""

    migration_start_s: float  # when the migration of established connections begins,
    migration_duration_s: float  # and how long it takes: evenly, so that clients don't reconnect all at once
    forced_drain_at_s: float  # when the drain is forced
    exit_at_s: float  # when the process exits


def shutdown_schedule(classes: Iterable[RequestClass]) -> ShutdownSchedule:
    """As long as the deadlines of all classes allow; a class without one counts with the maximum."""
    deadlines_ms = (cls.give_up_ms or MAX_DEADLINE_S * 1000.0 for cls in classes)
    deadline_s = max(deadlines_ms, default=0.0) / 1000.0
    exit_s = min(deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S - EXIT_BEFORE_KILL_S
    forced_s = max(exit_s - FORCED_DRAIN_S, exit_s / 2.0)
    migration_start_s = min(MIGRATION_START_S, forced_s / 2.0)
    migration_s = (forced_s - migration_start_s) * MIGRATION_TIME_RATIO
    return ShutdownSchedule(migration_start_s, migration_s, forced_s, exit_s)
