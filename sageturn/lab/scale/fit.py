"""Slopes through measured sizes, how straight they are, and what they say of a larger one. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from sageturn.lab.scale.errors import FitError

MIN_SIZES = 4
MIN_EXPONENT_SIZES = 3
MIN_R2 = 0.98
MAX_STRAIGHT_RESIDUAL = 0.2  # relative: how far off a size may be with the line still counted as straight
CONFIDENCE_LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Fit:
    """``y`` as a sum of coefficients times terms; intervals at 95%, from Student's t.

    Each size counts the same, whatever its magnitude: the sum of squared relative residuals is minimal.
    """

    terms: tuple[str, ...]
    values: tuple[float, ...]
    low: tuple[float, ...]
    high: tuple[float, ...]
    r2: float
    max_residual: float  # relative
    size_count: int
    relative_deviation: float  # standard deviation of one measurement, relative to its value
    covariance: tuple[tuple[float, ...], ...]

    @property
    def is_straight(self) -> bool:
        """Whether there are enough sizes and all are near enough to the line to rely on it."""
        return (
            self.size_count >= MIN_SIZES and self.r2 >= MIN_R2 and self.max_residual <= MAX_STRAIGHT_RESIDUAL
        )

    def at(self, x: Sequence[float]) -> tuple[float, float, float]:
        """The value, and low and high end of the interval that a measurement there should fall into."""
        row = np.array(x, dtype=float)
        value = float(row @ np.array(self.values))
        variance = float(row @ np.array(self.covariance) @ row) + (self.relative_deviation * value) ** 2
        margin = _student_t(self.size_count - len(self.terms)) * variance**0.5
        return value, value - margin, value + margin

    def to_json(self) -> dict[str, object]:
        """Returns the fit by the keys of a result line."""
        return {
            "terms": list(self.terms),
            "values": list(self.values),
            "low": list(self.low),
            "high": list(self.high),
            "r2": round(self.r2, 5),
            "worst_residual": round(self.max_residual, 4),
            "sizes": self.size_count,
            "straight": self.is_straight,
        }


def fit(terms: Sequence[str], rows: Sequence[Sequence[float]], y: Sequence[float]) -> Fit:
    """Least squares of relative residuals. ``rows``: the terms' values at each size, ``y``: the results.

    Raises FitError with fewer sizes than terms, terms that the sizes do not tell apart, or values of 0 or
    less.
    """
    x = np.array(rows, dtype=float)
    measured = np.array(y, dtype=float)
    if len(measured) < len(terms) or x.shape != (len(measured), len(terms)):
        raise FitError(f"{len(measured)} sizes for {len(terms)} terms")
    if not (measured > 0).all():
        raise FitError("values must be above 0")
    weighted = x / measured[:, None]
    values, _, rank, _ = np.linalg.lstsq(weighted, np.ones(len(measured)), rcond=None)
    if rank < len(terms):
        raise FitError("the sizes do not tell the terms apart")
    fitted = x @ values
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
    """The exponent of y's growth with x (1: in proportion), with its interval at 95%."""

    value: float
    low: float
    high: float


def fit_exponent(x: Sequence[float], y: Sequence[float]) -> Exponent:
    """Fits the exponent of a power law to the points. Raises FitError for less than three."""
    if len(x) < MIN_EXPONENT_SIZES:
        raise FitError(f"{len(x)} sizes tell no exponent with an interval")
    line = stats.linregress(np.log(np.array(x, float)), np.log(np.array(y, float)))
    margin = _student_t(len(x) - 2) * line.stderr
    return Exponent(float(line.slope), float(line.slope - margin), float(line.slope + margin))


def _student_t(freedom: int) -> float:
    """The quantile for the confidence level; infinite without a degree of freedom."""
    return float(stats.t.ppf(0.5 + CONFIDENCE_LEVEL / 2.0, freedom)) if freedom > 0 else float("inf")
