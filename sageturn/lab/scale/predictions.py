"""What control costs a member by a run's size: fits through the runs so far, and predictions from them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from sageturn.lab.scale.fit import MIN_SIZES, Fit, fit
from sageturn.lab.scale.plan import Size

Line = dict[str, Any]  # of a result file, by that file's keys

# What costs may be proportional to, from reading the code: a member's ends of links, alone, times the keys,
# and times the state records that all members write; and a real relay's clients.
LINK_TERMS = ("links", "links*keys", "links*news")
CLIENT_TERMS = ("1", "clients")


@dataclass(frozen=True, slots=True)
class RunShape:
    """The size of a run, done or planned, as the terms need it."""

    members: int
    keys: int
    link_count: float
    state_interval_s: float  # 0: members write no state records
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
        """Every term's value, for a member on average."""
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
    """A run whose processes were held up says nothing of a slope."""
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
    """The terms that these sizes tell apart: one in constant proportion to the first is left out."""
    first = terms[0]
    varying = [
        term for term in terms[1:] if len({round(shape[term] / shape[first], 9) for shape in shapes}) > 1
    ]
    return [first, *varying]


def predict(lines: Iterable[Line], size: Size) -> Line:
    """Predicts the metrics of a size that was not run yet from the fits through the smaller ones."""
    terms = RunShape.of_size(size).terms()
    predictions: Line = {}
    for metric, fitted in fit_runs(lines, size.spread).items():
        if METRICS[metric].terms == CLIENT_TERMS and not size.clients:
            continue
        value, low, high = fitted.at([terms[term] for term in fitted.terms])
        predictions[metric] = {"value": value, "low": low, "high": high, "fit": fitted.to_json()}
    return predictions


def judge_predictions(line: Line) -> Line:
    """The line, with each prediction beside what was measured: inside its interval or not, and the ratio."""
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
