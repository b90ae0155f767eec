"""Measurements of a simulated run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

MIN_SETUP_MS = 1
MAX_SETUP_MS = 120_000
SIGNIFICANT_DIGITS = 3


def make_setup_histogram() -> HdrHistogram:
    """Makes an empty histogram of set-up times in milliseconds."""
    return HdrHistogram(MIN_SETUP_MS, MAX_SETUP_MS, SIGNIFICANT_DIGITS)


@dataclass
class SimulationResult:
    """Time series, counters and histograms of a run; the series have one entry a second.

    ``wanted`` and ``served`` hold the connections that clients want and those that are served in time, each
    times its priority weight, first by class and then by tenant. ``utilizations`` is sampled every 5 s, by
    host, and -1 for a host that isn't there. ``planner_states`` are by relay, at the end of the run.
    """

    imbalance_ratios: list[float] = field(default_factory=list)  # highest utilization over the mean
    mean_utilizations: list[float] = field(default_factory=list)
    total_migrations: list[int] = field(default_factory=list)
    total_rejections: list[int] = field(default_factory=list)
    wanted: list[list[float]] = field(default_factory=list)
    served: list[list[float]] = field(default_factory=list)
    utilizations: list[list[float]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)  # by ClientEvent and ``late_event``
    setup_histograms: list[HdrHistogram] = field(default_factory=list)  # by class
    peak_intake_ratio: float = 0.0  # highest intake of a cold host over the one that crashes it
    crashed_hosts: int = 0
    weighted_waiting_s: float = 0.0  # between two connections of a client, times the priority weight
    weighted_wanted_s: float = 0.0
    planner_states: dict[int, dict[str, object]] = field(default_factory=dict)

    def service(self) -> float:
        """Returns the weight of the seconds that were served in time over that of all wanted seconds."""
        wanted = float(np.sum(self.wanted))
        return float(np.sum(self.served)) / wanted if wanted > 0 else 0.0
