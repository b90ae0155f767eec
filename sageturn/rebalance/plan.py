"""The plan that the planner makes at each tick."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class PlanPhase(StrEnum):
    """The planner's activity. The values appear in the stored state and in the operators' pages."""

    NOT_PLANNED = ""
    STOPPING = "stopping"  # the relay itself shuts down
    EVACUATING = "clearing"  # empties endpoints that an operator clears
    OFF = "off"
    QUIET = "quiet"  # quiet hours
    BALANCED = "balanced"
    HELD = "held"  # an overload signal, or settling after a start
    UNREACHABLE = "unreachable"  # what is left may not be migrated
    USELESS = "useless"  # migrated clients land at endpoints that are as full
    WAITING = "waiting"  # for tokens, capacity, or connections to become old enough
    DRY_RUN = "dry-run"
    BALANCING = "balancing"


@dataclass(frozen=True, slots=True)
class Migration:
    """A connection whose client is to be asked to reconnect."""

    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class MigrationPlan:
    """The migrations of a tick, and an explanation in one line for the operator.

    ``PlanPhase.DRY_RUN`` is the one phase whose migrations are not to be made.
    """

    migrations: tuple[Migration, ...]
    phase: PlanPhase
    explanation: str


def empty_plan(phase: PlanPhase, explanation: str) -> MigrationPlan:
    """Returns a plan without migrations."""
    return MigrationPlan((), phase, explanation)


NO_PLAN = MigrationPlan((), PlanPhase.NOT_PLANNED, "")  # before the first tick
