"""Linear fits through measured sizes, and estimates for a larger size from them. All functions are pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from scipy import stats

from sageturn.lab.scale.errors import FitError

MIN_SIZES = 4
MIN_EXPONENT_SIZES = 3
MIN_R2 = 0.98
MAX_LINEAR_RESIDUAL = 0.2  # largest relative residual at any size
CONFIDENCE_LEVEL = 0.95


class Estimate(NamedTuple):
    """An estimated value with its prediction interval at 95%."""

    value: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares fit of ``y`` as a linear combination of terms, with confidence intervals at 95%.

    The intervals come from Student's t. The fit minimizes the squared relative residuals, so each size has
    the same weight, whatever its magnitude.
    """

    terms: tuple[str, ...]
    values: tuple[float, ...]  # coefficients of the terms
    low: tuple[float, ...]
    high: tuple[float, ...]
    r2: float
    max_residual: float  # largest relative residual, as an absolute value
    size_count: int
    relative_deviation: float  # standard deviation of one measurement, relative to its value
    covariance: tuple[tuple[float, ...], ...]  # covariance matrix of the coefficients

    @property
    def is_linear(self) -> bool:
        """True if there are enough sizes and all are close enough to the line for an estimate."""
        return self.size_count >= MIN_SIZES and self.r2 >= MIN_R2 and self.max_residual <= MAX_LINEAR_RESIDUAL

    def estimate(self, term_values: Sequence[float]) -> Estimate:
        """Return the estimate of ``y`` for the given values of the terms."""
        row = np.array(term_values, dtype=float)
        value = float(row @ np.array(self.values))
        variance = float(row @ np.array(self.covariance) @ row) + (self.relative_deviation * value) ** 2
        margin = _student_t(self.size_count - len(self.terms)) * variance**0.5
        return Estimate(value, value - margin, value + margin)

    def to_json(self) -> dict[str, object]:
        """Return the fit under the keys of a result line."""
        return {
            "terms": list(self.terms),
            "values": list(self.values),
            "low": list(self.low),
            "high": list(self.high),
            "r2": round(self.r2, 5),
            "worst_residual": round(self.max_residual, 4),
            "sizes": self.size_count,
            "straight": self.is_linear,
        }


def fit(terms: Sequence[str], rows: Sequence[Sequence[float]], results: Sequence[float]) -> Fit:
    """Fit ``results`` to the terms by least squares of relative residuals.

    Args:
        terms: The names of the terms.
        rows: The terms' values at each size.
        results: The measured values, one for each row.

    Raises:
        FitError: There are fewer sizes than terms, the terms are linearly dependent over these sizes, or a
            result is 0 or less.
    """
    term_values = np.array(rows, dtype=float)
    measured = np.array(results, dtype=float)
    if len(measured) < len(terms) or term_values.shape != (len(measured), len(terms)):
        raise FitError(f"{len(measured)} sizes cannot be fitted to {len(terms)} terms")
    if not (measured > 0).all():
        raise FitError("measured values must be above 0")
    weighted = term_values / measured[:, None]
    values, _, rank, _ = np.linalg.lstsq(weighted, np.ones(len(measured)), rcond=None)
    if rank < len(terms):
        raise FitError("the terms are linearly dependent over the measured sizes")
    fitted = term_values @ values
    relative = fitted / measured - 1.0
    freedom = len(measured) - len(terms)
    variance = float((relative**2).sum() / freedom) if freedom else 0.0
    covariance = variance * np.linalg.inv(weighted.T @ weighted)
    total = float(((measured - measured.mean()) ** 2).sum())
    r2 = 1.0 - float(((measured - fitted) ** 2).sum()) / total if total else 1.0
    margin = _student_t(freedom) * np.sqrt(np.diag(covariance))
    return Fit(
        terms=tuple(terms),
        values=tuple(values.tolist()),
        low=tuple((values - margin).tolist()),
        high=tuple((values + margin).tolist()),
        r2=r2,
        max_residual=float(np.abs(relative).max()),
        size_count=len({tuple(row) for row in rows}),
        relative_deviation=variance**0.5,
        covariance=tuple(map(tuple, covariance.tolist())),
    )


@dataclass(frozen=True, slots=True)
class Exponent:
    """Exponent of a power law with its confidence interval at 95%; 1 means proportional growth."""

    value: float
    low: float
    high: float


def fit_exponent(sizes: Sequence[float], results: Sequence[float]) -> Exponent:
    """Return the exponent of a power law through the points. Raise FitError for fewer than three points."""
    if len(sizes) < MIN_EXPONENT_SIZES:
        raise FitError(f"{len(sizes)} sizes are too few for an exponent with a confidence interval")
    line = stats.linregress(np.log(np.array(sizes, float)), np.log(np.array(results, float)))
    margin = _student_t(len(sizes) - 2) * line.stderr
    return Exponent(float(line.slope), float(line.slope - margin), float(line.slope + margin))


def _student_t(freedom: int) -> float:
    """Return Student's t quantile at the confidence level; infinity if there is no degree of freedom."""
    return float(stats.t.ppf(0.5 + CONFIDENCE_LEVEL / 2.0, freedom)) if freedom > 0 else float("inf")
