"""Planners of a lab run; the values are used in experiment files and command-line options."""

from __future__ import annotations

from enum import StrEnum


class PlannerKind(StrEnum):
    """Planner of connection migrations in all relays of a run."""

    OFF = "off"  # no planner
    NAIVE = "naive"  # the baseline of ``naive_planner``
    ON = "on"  # the rebalance planner of the relay


PLANNER_NAMES = tuple(kind.value for kind in PlannerKind)
