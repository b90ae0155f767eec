"""Scores migrations by whether their clients are placed on less utilized endpoints than before."""

from __future__ import annotations

from collections.abc import Mapping

SCORE_SMOOTHING_FACTOR = 0.05  # weight of the newest migration in the moving average
MIN_USEFUL_SCORE = 0.2  # fraction of useful migrations; at a lower one migration pauses
SCORE_AFTER_PAUSE = 0.5  # allows some migrations to be scored before the next pause
MIN_RATIO_REDUCTION = 0.02  # minimum difference between the source's and the target's ratio


def is_useful_migration(source: str, target: str, ratios: Mapping[str, float]) -> bool:
    """Return True if the target is clearly less utilized than the source.

    ``ratios`` has each endpoint's utilization divided by the mean; an endpoint that it lacks counts as 1.
    """
    return target != source and ratios.get(target, 1.0) < ratios.get(source, 1.0) - MIN_RATIO_REDUCTION


class MigrationScore:
    """Fraction of recent migrations that were useful, as an exponential moving average."""

    def __init__(self) -> None:
        self.value = 1.0

    @property
    def is_too_low(self) -> bool:
        """True if too few migrations are useful: the balancer has other criteria than the planner."""
        return self.value < MIN_USEFUL_SCORE

    def record(self, is_useful: bool) -> None:
        """Include one migration, whose client is established again."""
        self.value += SCORE_SMOOTHING_FACTOR * (is_useful - self.value)

    def reset_after_pause(self) -> None:
        """Reset the score after a pause, so that migration is attempted again."""
        self.value = SCORE_AFTER_PAUSE
