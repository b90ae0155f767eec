"""Whether one variant does better than another: differences on the same days, with their intervals."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf
from typing import Any

import numpy as np
from scipy import stats

from sageturn.lab.runs import Results

LEVEL = 0.95
RESAMPLES = 4000


@dataclass(frozen=True, slots=True)
class Difference:
    """``second`` less ``first`` in one metric, over pairs of runs of the same scenario and seed."""

    metric: str
    scenario: str  # empty: over all of them
    pairs: int
    first: float
    second: float
    mean: float
    low: float  # bounds of the confidence interval
    high: float
    more_pairs: float  # pairs in all that would settle a difference of this size; inf where there is none

    @property
    def settled(self) -> bool:
        """Whether the interval leaves 0 out."""
        return self.low > 0.0 or self.high < 0.0


def compare(
    results: Results, first: str, second: str, metric: str, by_scenario: bool = True
) -> list[Difference]:
    """Over all scenarios, and then for each; raises ValueError where there is no pair."""
    ours, theirs = results.values(first, metric), results.values(second, metric)
    both = sorted(ours.keys() & theirs.keys())
    if not both:
        raise ValueError(f"no day was played by both {first} and {second}")
    # Days of one scenario under other seeds are alike: their mean is one value of the whole.
    scenarios = sorted({scenario for scenario, _ in both})
    found = []
    per_seed: dict[int, list[tuple[float, float]]] = {}
    for scenario, seed in both:
        per_seed.setdefault(seed, []).append((ours[(scenario, seed)], theirs[(scenario, seed)]))
    whole = np.array([np.mean(pairs, axis=0) for _, pairs in sorted(per_seed.items())])
    found.append(difference(metric, "", whole))
    if by_scenario:
        for scenario in scenarios:
            days = [(ours[key], theirs[key]) for key in both if key[0] == scenario]
            found.append(difference(metric, scenario, np.array(days)))
    return found


def difference(metric: str, scenario: str, pairs: Any) -> Difference:
    """``pairs``: one row for each, with the values of the first variant and of the second."""
    gaps = pairs[:, 1] - pairs[:, 0]
    mean, count = float(gaps.mean()), len(gaps)
    low, high = interval(gaps)
    spread = float(gaps.std(ddof=1)) if count > 1 else 0.0
    need: float = inf if mean == 0.0 else ceil((stats.norm.ppf(0.5 + LEVEL / 2.0) * spread / mean) ** 2)
    first, second = (float(value) for value in pairs.mean(axis=0))
    return Difference(metric, scenario, count, first, second, mean, low, high, max(need, 2.0))


def interval(gaps: Any) -> tuple[float, float]:
    """Of the mean, by the bias-corrected and accelerated bootstrap; with few values by Student's t, which
    does not take three days for the whole world.
    """
    if len(gaps) < 2:
        return -inf, inf
    if np.ptp(gaps) == 0.0:
        return float(gaps[0]), float(gaps[0])
    if len(gaps) < 8:
        low, high = stats.t.interval(LEVEL, len(gaps) - 1, gaps.mean(), stats.sem(gaps))
        return float(low), float(high)
    found = stats.bootstrap(
        (gaps,), np.mean, confidence_level=LEVEL, n_resamples=RESAMPLES, rng=np.random.default_rng(1)
    ).confidence_interval
    return float(found.low), float(found.high)
