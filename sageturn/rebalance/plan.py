"""Plan that the planner makes at each tick."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class PlanPhase(StrEnum):
    """Planner's activity in a tick; the values appear in the stored state and on the operators' pages."""

    NOT_PLANNED = ""
    STOPPING = "stopping"  # the relay shuts down and migrates all clients itself
    EVACUATING = "clearing"  # migrates everything off endpoints at an operator's request
    OFF = "off"
    QUIET = "quiet"  # quiet hours
    BALANCED = "balanced"
    HELD = "held"  # stopped by an overload signal, or by the settling time after a start
    UNREACHABLE = "unreachable"  # imbalanced, but nothing may be migrated, and waiting would not help
    USELESS = "useless"  # migrated clients are placed on endpoints that are as full
    WAITING = "waiting"  # waits for tokens, capacity, or connections that become eligible with time
    DRY_RUN = "dry-run"
    BALANCING = "balancing"


@dataclass(frozen=True, slots=True)
class Migration:
    """Connection whose client is to be asked to reconnect."""

    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class MigrationPlan:
    """Migrations of one tick, with a one-line explanation for operators.

    The migrations are to be carried out, except in ``PlanPhase.DRY_RUN``.
    """

    migrations: tuple[Migration, ...]
    phase: PlanPhase
    explanation: str


def empty_plan(phase: PlanPhase, explanation: str) -> MigrationPlan:
    """Return a plan without migrations."""
    return MigrationPlan((), phase, explanation)


NO_PLAN = MigrationPlan((), PlanPhase.NOT_PLANNED, "")  # plan in force until the first tick
