"""Comparisons of two variants: differences over the same days, with confidence intervals."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray
from scipy import stats

from sageturn.lab.errors import NoCommonRunsError
from sageturn.lab.runner.result_file import Results

CONFIDENCE_LEVEL = 0.95
RESAMPLES = 4000
MIN_BOOTSTRAP_PAIRS = 8
MIN_PAIRS = 2


@dataclass(frozen=True, slots=True)
class Difference:
    """``second`` less ``first`` in one metric, over pairs of runs of the same scenario and seed.

    ``low`` and ``high`` are the bounds of the confidence interval. ``needed_pairs`` is the number of
    pairs with which a difference of this size would be significant; infinite where there is none.
    """

    metric: str
    scenario: str  # empty: over all scenarios
    pairs: int
    first: float
    second: float
    mean: float
    low: float
    high: float
    needed_pairs: float

    @property
    def settled(self) -> bool:
        """Whether the confidence interval excludes 0."""
        return self.low > 0.0 or self.high < 0.0


def compare(
    results: Results, first: str, second: str, metric: str, by_scenario: bool = True
) -> list[Difference]:
    """Compares two variants over all scenarios, and then for each. Raises NoCommonRunsError."""
    first_values = results.values(first, metric)
    second_values = results.values(second, metric)
    keys = sorted(first_values.keys() & second_values.keys())
    if not keys:
        raise NoCommonRunsError(f"no day was played by both {first} and {second}")
    differences = [difference(metric, "", _means_by_seed(keys, first_values, second_values))]
    if by_scenario:
        for scenario in sorted({scenario for scenario, _ in keys}):
            pairs = [(first_values[key], second_values[key]) for key in keys if key[0] == scenario]
            differences.append(difference(metric, scenario, np.array(pairs)))
    return differences


def _means_by_seed(
    keys: list[tuple[str, int]],
    first_values: dict[tuple[str, int], float],
    second_values: dict[tuple[str, int], float],
) -> NDArray[np.float64]:
    """Returns a row for each seed: the scenarios of one seed are not independent, and make one pair."""
    pairs_by_seed: dict[int, list[tuple[float, float]]] = {}
    for key in keys:
        _, seed = key
        pairs_by_seed.setdefault(seed, []).append((first_values[key], second_values[key]))
    return np.array([np.mean(pairs, axis=0) for _, pairs in sorted(pairs_by_seed.items())])


def difference(metric: str, scenario: str, pairs: NDArray[np.float64]) -> Difference:
    """Returns the difference over pairs, an array with a row of the first and the second value for each."""
    gaps = pairs[:, 1] - pairs[:, 0]
    mean = float(gaps.mean())
    count = len(gaps)
    interval = confidence_interval(gaps)
    first, second = (float(value) for value in pairs.mean(axis=0))
    needed_pairs = max(_needed_pairs(gaps, mean), float(MIN_PAIRS))
    return Difference(metric, scenario, count, first, second, mean, interval.low, interval.high, needed_pairs)


def _needed_pairs(gaps: NDArray[np.float64], mean: float) -> float:
    if mean == 0.0:
        return inf
    deviation = float(gaps.std(ddof=1)) if len(gaps) > 1 else 0.0
    quantile = stats.norm.ppf(0.5 + CONFIDENCE_LEVEL / 2.0)
    needed: float = ceil((quantile * deviation / mean) ** 2)
    return needed


class Interval(NamedTuple):
    """The bounds of a confidence interval."""

    low: float
    high: float


def confidence_interval(gaps: NDArray[np.float64]) -> Interval:
    """Returns the interval of the mean, by the bias-corrected and accelerated bootstrap or Student's t."""
    if len(gaps) < MIN_PAIRS:
        return Interval(-inf, inf)
    if np.ptp(gaps) == 0.0:
        return Interval(float(gaps[0]), float(gaps[0]))
    if len(gaps) < MIN_BOOTSTRAP_PAIRS:
        low, high = stats.t.interval(CONFIDENCE_LEVEL, len(gaps) - 1, gaps.mean(), stats.sem(gaps))
        return Interval(float(low), float(high))
    bootstrap = stats.bootstrap(
        (gaps,),
        np.mean,
        confidence_level=CONFIDENCE_LEVEL,
        n_resamples=RESAMPLES,
        rng=np.random.default_rng(1),
    )
    bounds = bootstrap.confidence_interval
    return Interval(float(bounds.low), float(bounds.high))
