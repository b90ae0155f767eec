"""Comparisons of two variants: differences over the same scenarios and seeds, with confidence intervals."""

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
BOOTSTRAP_RESAMPLES = 4000
MIN_BOOTSTRAP_PAIRS = 8
MIN_PAIRS = 2


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference in one metric, ``second`` less ``first``, over pairs of runs of a scenario and seed.

    ``low`` and ``high`` are the bounds of the confidence interval. ``needed_pairs`` is the number of
    pairs with which a difference of this size would be significant; infinite for a difference of 0.
    """

    metric: str
    scenario: str  # empty for all scenarios
    pairs: int
    first: float
    second: float
    mean: float
    low: float
    high: float
    needed_pairs: float

    @property
    def is_significant(self) -> bool:
        """True if the confidence interval excludes 0."""
        return self.low > 0.0 or self.high < 0.0


def compare(
    results: Results, first: str, second: str, metric: str, by_scenario: bool = True
) -> list[Difference]:
    """Return the difference over all scenarios, followed by that of each if ``by_scenario`` is set.

    Raises:
        NoCommonRunsError: The variants have no scenario and seed in common.
    """
    first_values = results.values(first, metric)
    second_values = results.values(second, metric)
    keys = sorted(first_values.keys() & second_values.keys())
    if not keys:
        raise NoCommonRunsError(f"no scenario and seed was run with both {first} and {second}")
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
    """Return a row for each seed: the scenarios of one seed are not independent, so they form one pair."""
    pairs_by_seed: dict[int, list[tuple[float, float]]] = {}
    for key in keys:
        _, seed = key
        pairs_by_seed.setdefault(seed, []).append((first_values[key], second_values[key]))
    return np.array([np.mean(pairs, axis=0) for _, pairs in sorted(pairs_by_seed.items())])


def difference(metric: str, scenario: str, pairs: NDArray[np.float64]) -> Difference:
    """Return the difference over pairs; each row of the array has the first and the second value."""
    deltas = pairs[:, 1] - pairs[:, 0]
    mean = float(deltas.mean())
    count = len(deltas)
    interval = confidence_interval(deltas)
    first, second = (float(value) for value in pairs.mean(axis=0))
    needed_pairs = max(_needed_pairs(deltas, mean), float(MIN_PAIRS))
    return Difference(metric, scenario, count, first, second, mean, interval.low, interval.high, needed_pairs)


def _needed_pairs(deltas: NDArray[np.float64], mean: float) -> float:
    if mean == 0.0:
        return inf
    deviation = float(deltas.std(ddof=1)) if len(deltas) > 1 else 0.0
    quantile = stats.norm.ppf(0.5 + CONFIDENCE_LEVEL / 2.0)
    needed: float = ceil((quantile * deviation / mean) ** 2)
    return needed


class Interval(NamedTuple):
    """Bounds of a confidence interval."""

    low: float
    high: float


def confidence_interval(deltas: NDArray[np.float64]) -> Interval:
    """Return the confidence interval of the mean.

    The method is the bias-corrected and accelerated bootstrap; Student's t with few pairs.
    """
    if len(deltas) < MIN_PAIRS:
        return Interval(-inf, inf)
    if np.ptp(deltas) == 0.0:
        return Interval(float(deltas[0]), float(deltas[0]))
    if len(deltas) < MIN_BOOTSTRAP_PAIRS:
        low, high = stats.t.interval(CONFIDENCE_LEVEL, len(deltas) - 1, deltas.mean(), stats.sem(deltas))
        return Interval(float(low), float(high))
    bootstrap = stats.bootstrap(
        (deltas,),
        np.mean,
        confidence_level=CONFIDENCE_LEVEL,
        n_resamples=BOOTSTRAP_RESAMPLES,
        rng=np.random.default_rng(1),
    )
    bounds = bootstrap.confidence_interval
    return Interval(float(bounds.low), float(bounds.high))
