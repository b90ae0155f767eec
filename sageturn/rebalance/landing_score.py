"""Scores whether migrated clients land at endpoints that are less utilized than those they left."""

from __future__ import annotations

from collections.abc import Mapping

SCORE_GAIN = 0.05  # weight of one landing in the mean
MIN_USEFUL_SCORE = 0.2  # part of useful landings under which migrating pauses
SCORE_AFTER_PAUSE = 0.5
MIN_RATIO_GAIN = 0.02  # by which the target's ratio is lower, for a useful landing


def is_useful_landing(source: str, target: str, ratios: Mapping[str, float]) -> bool:
    """Whether a client has landed at a clearly emptier endpoint, by ratios of utilization over the mean."""
    return target != source and ratios.get(target, 1.0) < ratios.get(source, 1.0) - MIN_RATIO_GAIN


class LandingScore:
    """The part of recent landings that were useful, as a decaying mean."""

    def __init__(self) -> None:
        self.value = 1.0

    @property
    def is_too_low(self) -> bool:
        """Whether the balancer places clients for reasons that the planner does not know."""
        return self.value < MIN_USEFUL_SCORE

    def record(self, useful: bool) -> None:
        """Counts one migrated client that is established again."""
        self.value += SCORE_GAIN * (useful - self.value)

    def resume(self) -> None:
        """Sets a middling score after a pause, so that migrating is tried again."""
        self.value = SCORE_AFTER_PAUSE
