"""Predictions of the cost of control for each member, from fits through the runs of smaller sizes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.fit import MIN_SIZES, Estimate, Fit, fit
from sageturn.lab.scale.plan import Size

# What costs may be proportional to: a member's link ends, alone, times the keys, and times the state records
# that all members write in a second; for a real relay also its clients.
LINK_TERMS = ("links", "links*keys", "links*news")
CLIENT_TERMS = ("1", "clients")


@dataclass(frozen=True, slots=True)
class RunShape:
    """The size of a run, done or planned, as the terms need it."""

    members: int
    keys: int
    link_count: float
    state_interval_s: float  # 0 where members write no state records, as in the experiment file
    clients_per_relay: int

    @classmethod
    def of_line(cls, line: Line) -> RunShape:
        """Returns the shape of a completed run."""
        return cls(line["members"], line["keys"], line["links"], line["state_s"], line["clients_each"])

    @classmethod
    def of_size(cls, size: Size) -> RunShape:
        """Returns the shape of a planned run."""
        return cls(size.members, size.keys, size.link_count, size.state_s, size.clients)

    def terms(self) -> dict[str, float]:
        """Returns each term's value, for a member on average."""
        link_ends = 2.0 * self.link_count / self.members
        state_records_per_s = self.members / self.state_interval_s if self.state_interval_s else 0.0
        return {
            "links": link_ends,
            "links*keys": link_ends * self.keys,
            "links*news": link_ends * state_records_per_s,
            "1": 1.0,
            "clients": float(self.clients_per_relay),
        }


# ---------------------------------------------------------------- metrics of a line


def is_usable(line: Line) -> bool:
    """Whether a run can be fitted: it was completed, no process was saturated, and it had links."""
    return "failed" not in line and not line["phases"]["idle"]["saturated"] and line["links"] > 0


def mean_of_members(line: Line, field: str) -> float | None:
    """Averages a field over emulated and real members, in the idle phase; None where there is none."""
    member_counts = {"real": line["real"], "hollow": line["members"] - line["real"]}
    idle = line["phases"]["idle"]
    parts = [(count, idle[role][field]) for role, count in member_counts.items() if role in idle]
    if not parts:
        return None
    return float(sum(count * value for count, value in parts) / sum(count for count, _ in parts))


def _relay_core(line: Line) -> float | None:
    relay = line["phases"]["idle"].get("real")
    return float(relay["core"]) if relay and line["clients_each"] else None


def _relay_memory_mb(line: Line) -> float | None:
    return float(line["memory"]["real_mb"][0]) if line["real"] and line["clients_each"] else None


@dataclass(frozen=True, slots=True)
class Metric:
    """A fitted figure: its terms, and how to read it from a usable line; None where a run has none."""

    terms: tuple[str, ...]
    read: Callable[[Line], float | None]


METRICS: dict[str, Metric] = {
    "octets": Metric(LINK_TERMS, lambda line: mean_of_members(line, "octets")),
    "core": Metric(LINK_TERMS, lambda line: mean_of_members(line, "core")),
    "real_core": Metric(CLIENT_TERMS, _relay_core),
    "real_mb": Metric(CLIENT_TERMS, _relay_memory_mb),
}


def metric_value(line: Line, metric: str) -> float | None:
    """Reads one of METRICS from a usable line; None where its run has no such figure."""
    return METRICS[metric].read(line)


# ---------------------------------------------------------------- fits and predictions


def fit_runs(lines: Iterable[Line], spread: str) -> dict[str, Fit]:
    """Fits each metric to all usable sizes of one spread; a metric with too few sizes is left out."""
    usable = [line for line in lines if is_usable(line) and line["spread"] == spread]
    fits = {}
    for name, metric in METRICS.items():
        measured = [
            (RunShape.of_line(line).terms(), value) for line in usable if (value := metric.read(line))
        ]
        if not measured:
            continue
        terms = separable_terms([values for values, _ in measured], metric.terms)
        rows = [[values[term] for term in terms] for values, _ in measured]
        if len({tuple(row) for row in rows}) >= MIN_SIZES:
            with suppress(ValueError):  # FitError, and what numpy raises where it finds no solution
                fits[name] = fit(terms, rows, [value for _, value in measured])
    return fits


def separable_terms(shapes: list[dict[str, float]], terms: tuple[str, ...]) -> list[str]:
    """Returns the terms whose ratio to the first one varies over these sizes, after the first one itself."""
    first = terms[0]
    varying = [
        term for term in terms[1:] if len({round(shape[term] / shape[first], 9) for shape in shapes}) > 1
    ]
    return [first, *varying]


@dataclass(frozen=True, slots=True)
class Prediction:
    """The estimate of a metric before a size was run, and the fit that it comes from."""

    estimate: Estimate
    fit: Fit

    @property
    def value(self) -> float:
        """The estimated value."""
        return self.estimate.value

    def to_line(self) -> Line:
        """Returns the prediction's part of a result line."""
        return {
            "value": self.estimate.value,
            "low": self.estimate.low,
            "high": self.estimate.high,
            "fit": self.fit.to_json(),
        }


def predict(lines: Iterable[Line], size: Size) -> dict[str, Prediction]:
    """Predicts metrics of a size that was not run yet; those that cannot be fitted are left out."""
    terms = RunShape.of_size(size).terms()
    predictions = {}
    for metric, fitted in fit_runs(lines, size.spread).items():
        if METRICS[metric].terms == CLIENT_TERMS and not size.clients:
            continue
        estimate = fitted.estimate([terms[term] for term in fitted.terms])
        predictions[metric] = Prediction(estimate, fitted)
    return predictions


def encode_predictions(predictions: dict[str, Prediction]) -> Line:
    """Returns the value of a result line's key ``predicted``."""
    return {metric: prediction.to_line() for metric, prediction in predictions.items()}


def compare_predictions(line: Line) -> Line:
    """Adds to each prediction of a result line what was measured, unless the run failed. Returns the line."""
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
