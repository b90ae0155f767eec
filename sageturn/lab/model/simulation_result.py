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
    """Make an empty histogram of set-up times in milliseconds."""
    return HdrHistogram(MIN_SETUP_MS, MAX_SETUP_MS, SIGNIFICANT_DIGITS)


@dataclass
class SimulationResult:
    """Time series, counters and histograms of a run; the series have one entry per second.

    ``requested`` and ``served`` have the connections that clients request, established or not, and those
    that are served in time, each times its priority weight, first by class and then by tenant.
    ``utilizations`` is sampled every 5 s by endpoint; it is -1 for an endpoint that does not run.
    ``planner_states`` are by relay, at the end of the run.
    """

    imbalance_ratios: list[float] = field(default_factory=list)  # highest utilization over the mean
    mean_utilizations: list[float] = field(default_factory=list)
    total_migrations: list[int] = field(default_factory=list)
    total_rejections: list[int] = field(default_factory=list)
    requested: list[list[float]] = field(default_factory=list)
    served: list[list[float]] = field(default_factory=list)
    utilizations: list[list[float]] = field(default_factory=list)
    # Counts of events; the keys are those of ClientEvent and ``late_setup_key``.
    counts: Counter[str] = field(default_factory=Counter)
    setup_histograms: list[HdrHistogram] = field(default_factory=list)  # one per class
    peak_intake_ratio: float = 0.0  # highest intake of a cold endpoint over the one that crashes it
    crashed_endpoints: int = 0
    weighted_waiting_s: float = 0.0  # time between two connections of a client, times the weight
    weighted_requested_s: float = 0.0
    planner_states: dict[int, dict[str, object]] = field(default_factory=dict)

    def service(self) -> float:
        """Return the weighted time that was served in time over that which was requested."""
        requested = float(np.sum(self.requested))
        return float(np.sum(self.served)) / requested if requested > 0 else 0.0
