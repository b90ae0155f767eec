"""When the steps of a graceful shutdown are due, so that all is over before the last signal comes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision import RequestClass

MOVE_FROM_S = 0.45
# The last signal comes no sooner than so long after the longest deadline, which counts as 3 s at the most.
LAST_SIGNAL_S, DEADLINE_MOST_S = 0.7, 3.0
EARLY_S = 0.3  # everything has ended so long before it,
HURRY_S = 0.5  # and whoever is left is answered and moved at once so long before that
MOVE_PART = 0.735  # of the time until then clients are moved: moved ones may need a second try elsewhere


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds after the signal. Clients are moved evenly over ``over_s``, not to come again all at once."""

    move_from_s: float
    over_s: float
    hurry_at_s: float
    leave_at_s: float


def shutdown_schedule(classes: Iterable[RequestClass]) -> ShutdownSchedule:
    """As long as the deadlines of all classes allow, and no longer; 3 s where one of them is not told."""
    deadline_s = max((c.give_up_ms or DEADLINE_MOST_S * 1000.0 for c in classes), default=0.0) / 1000.0
    leave_s = min(deadline_s, DEADLINE_MOST_S) + LAST_SIGNAL_S - EARLY_S
    hurry_s = max(leave_s - HURRY_S, leave_s / 2.0)
    from_s = min(MOVE_FROM_S, hurry_s / 2.0)
    return ShutdownSchedule(from_s, (hurry_s - from_s) * MOVE_PART, hurry_s, leave_s)
