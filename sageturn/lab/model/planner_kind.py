"""The planners that a run of the laboratory can have, by the names of experiment files and options."""

from __future__ import annotations

from enum import StrEnum


class PlannerKind(StrEnum):
    """The planner of connections' migration in all relays of a run."""

    OFF = "off"  # no planner
    NAIVE = "naive"  # the baseline of ``naive_planner``
    ON = "on"  # the program's own


PLANNER_NAMES = tuple(kind.value for kind in PlannerKind)
