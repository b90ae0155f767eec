"""Predictions of each member's control costs, from fits through the runs of other sizes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.fit import MIN_SIZES, Estimate, Fit, fit
from sageturn.lab.scale.plan import Size

# Terms that costs may be proportional to. LINK_TERMS are a member's link ends, their product with the number
# of keys, and their product with the state records that all members write in a second. CLIENT_TERMS are for
# real relays: a constant and the number of clients.
LINK_TERMS = ("links", "links*keys", "links*news")
CLIENT_TERMS = ("1", "clients")


@dataclass(frozen=True, slots=True)
class RunDimensions:
    """Dimensions of a completed or planned run, from which the terms are computed."""

    members: int
    keys: int
    link_count: float
    state_interval_s: float  # 0 if members write no state records
    clients_per_relay: int

    @classmethod
    def of_line(cls, line: Line) -> RunDimensions:
        """Return the dimensions of a completed run."""
        return cls(line["members"], line["keys"], line["links"], line["state_s"], line["clients_each"])

    @classmethod
    def of_size(cls, size: Size) -> RunDimensions:
        """Return the dimensions of a planned run."""
        return cls(size.members, size.keys, size.link_count, size.state_s, size.clients)

    def terms(self) -> dict[str, float]:
        """Return each term's value for an average member."""
        link_ends = 2.0 * self.link_count / self.members
        state_records_per_s = self.members / self.state_interval_s if self.state_interval_s else 0.0
        return {
            "links": link_ends,
            "links*keys": link_ends * self.keys,
            "links*news": link_ends * state_records_per_s,
            "1": 1.0,
            "clients": float(self.clients_per_relay),
        }


# ---------------------------------------------------------------- metrics of a result line


def is_usable(line: Line) -> bool:
    """Return True if a run can be fitted: it was completed, had links, and was not saturated when idle."""
    return "failed" not in line and not line["phases"]["idle"]["saturated"] and line["links"] > 0


def mean_of_members(line: Line, field: str) -> float | None:
    """Return a field's mean over all members in the idle phase; None if no member has it."""
    member_counts = {"real": line["real"], "hollow": line["members"] - line["real"]}
    idle = line["phases"]["idle"]
    weighted = [(count, idle[role][field]) for role, count in member_counts.items() if role in idle]
    if not weighted:
        return None
    return float(sum(count * value for count, value in weighted) / sum(count for count, _ in weighted))


def _relay_core(line: Line) -> float | None:
    relay = line["phases"]["idle"].get("real")
    return float(relay["core"]) if relay and line["clients_each"] else None


def _relay_memory_mb(line: Line) -> float | None:
    return float(line["memory"]["real_mb"][0]) if line["real"] and line["clients_each"] else None


@dataclass(frozen=True, slots=True)
class Metric:
    """A fitted metric: its terms, and a function that reads it from a usable line; None if it is absent."""

    terms: tuple[str, ...]
    read: Callable[[Line], float | None]


METRICS: dict[str, Metric] = {
    "octets": Metric(LINK_TERMS, lambda line: mean_of_members(line, "octets")),
    "core": Metric(LINK_TERMS, lambda line: mean_of_members(line, "core")),
    "real_core": Metric(CLIENT_TERMS, _relay_core),
    "real_mb": Metric(CLIENT_TERMS, _relay_memory_mb),
}


def metric_value(line: Line, metric: str) -> float | None:
    """Return the value of one of METRICS in a usable line; None if the run has no such metric."""
    return METRICS[metric].read(line)


# ---------------------------------------------------------------- fits and predictions


def fit_runs(lines: Iterable[Line], spread: str) -> dict[str, Fit]:
    """Return each metric's fit over the usable runs of a spread; metrics with too few sizes are left out."""
    usable = [line for line in lines if is_usable(line) and line["spread"] == spread]
    fits = {}
    for name, metric in METRICS.items():
        measured = [
            (RunDimensions.of_line(line).terms(), value) for line in usable if (value := metric.read(line))
        ]
        if not measured:
            continue
        terms = separable_terms([values for values, _ in measured], metric.terms)
        rows = [[values[term] for term in terms] for values, _ in measured]
        if len({tuple(row) for row in rows}) >= MIN_SIZES:
            with suppress(ValueError):  # FitError, or numpy's LinAlgError if there is no solution
                fits[name] = fit(terms, rows, [value for _, value in measured])
    return fits


def separable_terms(terms_by_size: list[dict[str, float]], terms: tuple[str, ...]) -> list[str]:
    """Return the first term and all terms whose ratio to it varies over these sizes.

    A fit cannot separate the other terms from the first one.
    """
    first = terms[0]
    varying = [
        term
        for term in terms[1:]
        if len({round(size_terms[term] / size_terms[first], 9) for size_terms in terms_by_size}) > 1
    ]
    return [first, *varying]


@dataclass(frozen=True, slots=True)
class Prediction:
    """The estimate of a metric for a size that has not been run, and the fit that it is based on."""

    estimate: Estimate
    fit: Fit

    @property
    def value(self) -> float:
        """Estimated value of the metric."""
        return self.estimate.value

    def to_line(self) -> Line:
        """Return the prediction's part of a result line."""
        return {
            "value": self.estimate.value,
            "low": self.estimate.low,
            "high": self.estimate.high,
            "fit": self.fit.to_json(),
        }


def predict(lines: Iterable[Line], size: Size) -> dict[str, Prediction]:
    """Predict the metrics of a size that has not been run; metrics that cannot be fitted are left out."""
    terms = RunDimensions.of_size(size).terms()
    predictions = {}
    for metric, fitted in fit_runs(lines, size.spread).items():
        if METRICS[metric].terms == CLIENT_TERMS and not size.clients:
            continue
        estimate = fitted.estimate([terms[term] for term in fitted.terms])
        predictions[metric] = Prediction(estimate, fitted)
    return predictions


def encode_predictions(predictions: dict[str, Prediction]) -> Line:
    """Return the value of a result line's key ``predicted``."""
    return {metric: prediction.to_line() for metric, prediction in predictions.items()}


def compare_predictions(line: Line) -> Line:
    """Add the measured value to each prediction of a result line, unless the run failed. Return the line."""
    for metric, prediction in line.get("predicted", {}).items():
        if "failed" in line:
            continue
        measured = metric_value(line, metric)
        if measured is None:
            continue
        prediction["came"] = measured
        prediction["ratio"] = round(measured / prediction["value"], 4) if prediction["value"] else None
        prediction["inside"] = prediction["low"] <= measured <= prediction["high"]
    return line
