"""Pure: slopes through measured sizes, how straight they are, and what they say of a larger one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

SIZES_LEAST = 4
R2_LEAST = 0.98
RESIDUAL_MOST = 0.2  # of a measured value, the most that the line may miss it by and still count as straight
LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Fit:
    """``y`` as a sum of coefficients times terms; intervals at 95%, from Student's t.

    Each size counts the same, whatever its magnitude: the squares of the relative residuals are least.
    """

    terms: tuple[str, ...]
    values: tuple[float, ...]
    low: tuple[float, ...]
    high: tuple[float, ...]
    r2: float
    worst: float  # relative residual
    sizes: int
    spread: float  # of one measurement, as a part of its value
    covariance: tuple[tuple[float, ...], ...]

    @property
    def straight(self) -> bool:
        return self.sizes >= SIZES_LEAST and self.r2 >= R2_LEAST and self.worst <= RESIDUAL_MOST

    def at(self, x: Sequence[float]) -> tuple[float, float, float]:
        """Value and the interval that a measurement there should fall into."""
        row = np.array(x, dtype=float)
        value = float(row @ np.array(self.values))
        spread = float(row @ np.array(self.covariance) @ row) + (self.spread * value) ** 2
        reach = _t(self.sizes - len(self.terms)) * spread**0.5
        return value, value - reach, value + reach

    def to_json(self) -> dict[str, object]:
        return {
            "terms": list(self.terms),
            "values": list(self.values),
            "low": list(self.low),
            "high": list(self.high),
            "r2": round(self.r2, 5),
            "worst_residual": round(self.worst, 4),
            "sizes": self.sizes,
            "straight": self.straight,
        }


def _t(freedom: int) -> float:
    return float(stats.t.ppf(0.5 + LEVEL / 2.0, freedom)) if freedom > 0 else float("inf")


def fit(terms: Sequence[str], rows: Sequence[Sequence[float]], y: Sequence[float]) -> Fit:
    """``rows``: each size's terms. Raises ValueError with fewer sizes than terms, or values of 0 or less."""
    x, measured = np.array(rows, dtype=float), np.array(y, dtype=float)
    if len(measured) < len(terms) or x.shape != (len(measured), len(terms)):
        raise ValueError(f"{len(measured)} sizes for {len(terms)} terms")
    if not (measured > 0).all():
        raise ValueError("values must be above 0")
    weighted = x / measured[:, None]
    values, _, rank, _ = np.linalg.lstsq(weighted, np.ones(len(measured)), rcond=None)
    if rank < len(terms):
        raise ValueError("the sizes do not tell the terms apart")
    found = x @ values
    relative = found / measured - 1.0
    freedom = len(measured) - len(terms)
    variance = float((relative**2).sum() / freedom) if freedom else 0.0
    covariance = variance * np.linalg.inv(weighted.T @ weighted)
    total = float(((measured - measured.mean()) ** 2).sum())
    r2 = 1.0 - float(((measured - found) ** 2).sum()) / total if total else 1.0
    reach = _t(freedom) * np.sqrt(np.diag(covariance))
    sizes = len({tuple(row) for row in rows})
    return Fit(
        tuple(terms),
        tuple(values.tolist()),
        tuple((values - reach).tolist()),
        tuple((values + reach).tolist()),
        r2,
        float(np.abs(relative).max()),
        sizes,
        variance**0.5,
        tuple(map(tuple, covariance.tolist())),
    )


@dataclass(frozen=True, slots=True)
class Exponent:
    """How y grows with x: 1 is in step with it, 2 with its square."""

    value: float
    low: float
    high: float


def exponent(x: Sequence[float], y: Sequence[float]) -> Exponent:
    """Of a power law through the points. Raises ValueError under three of them."""
    if len(x) < 3:
        raise ValueError(f"{len(x)} sizes tell no exponent with an interval")
    line = stats.linregress(np.log(np.array(x, float)), np.log(np.array(y, float)))
    reach = _t(len(x) - 2) * line.stderr
    return Exponent(float(line.slope), float(line.slope - reach), float(line.slope + reach))
