"""Reports of scale runs: a table, the fits, and a plot."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from sageturn.lab.runner.result_file import Line, Results
from sageturn.lab.scale.arrivals import MAX_PROPAGATION_S
from sageturn.lab.scale.predictions import fit_runs, is_usable, metric_value

MAX_CONTROL_BYTES_PER_S = 27_000.0  # operators' limit for a relay's control traffic
MAX_CONTROL_CORE = 0.03  # operators' limit for a relay's control plane, as a ratio of one core

NEVER_HELD_PLOT_S = 30.0  # plotted duration of changes that some member never held
MARKERS = "osd^vx*"
MAX_FAILURE_CHARS = 60

COLUMNS = (
    "size",
    "spread",
    "seed",
    "members",
    "keys",
    "links",
    "phase",
    "KB/s a member",
    "busiest",
    "core a member",
    "busiest",
    "last held p50",
    "p99",
    "worst s",
    "never",
    "equal",
    "",
)
LEADING_COLUMNS = 5  # columns that a failed run fills in as well


# ---------------------------------------------------------------- table


def table(results: Results) -> list[list[str]]:
    """Return the column titles and a row for each run and phase; a failed run has one row."""
    rows = [list(COLUMNS)]
    for line in results.runs:
        if "failed" in line:
            rows.append(_failed_row(line))
        else:
            rows.extend(_phase_row(line, name, phase) for name, phase in line["phases"].items())
    return rows


def _leading_cells(line: Line) -> list[str]:
    return [line["scenario"], line["spread"], str(line["seed"]), str(line["members"]), str(line["keys"])]


def _failed_row(line: Line) -> list[str]:
    gaps = ["-"] * (len(COLUMNS) - LEADING_COLUMNS - 1)
    return [*_leading_cells(line), *gaps, line["failed"][:MAX_FAILURE_CHARS]]


def _phase_row(line: Line, name: str, phase: Line) -> list[str]:
    used = phase.get("hollow") or phase.get("real") or {}
    propagation = phase.get("changes", {}).get("last", {})
    return [
        *_leading_cells(line),
        f"{line['links']:g}",
        name,
        _format_number(used["octets"] / 1e3),
        _format_number(used["octets_most"] / 1e3),
        _format_number(used["core"]),
        _format_number(used["core_busiest"]),
        _format_number(propagation.get("p50")),
        _format_number(propagation.get("p99")),
        _format_number(propagation.get("worst")),
        str(propagation.get("never", "-")),
        "yes" if line["equal"]["all"] else f"{line['equal']['kinds']} kinds",
        "saturated" if phase["saturated"] else "",
    ]


def _format_number(number: float | None) -> str:
    return "-" if number is None else format(number, ".3g")


# ---------------------------------------------------------------- fits


def fit_lines(results: Results) -> list[str]:
    """Return a line for each fit, with its intervals and R2, and one for each prediction."""
    return [*_slope_lines(results), *_prediction_lines(results)]


def _slope_lines(results: Results) -> list[str]:
    lines = []
    for spread in dict.fromkeys(line["spread"] for line in results.runs):
        for metric, slope in fit_runs(results.runs, spread).items():
            terms = [
                f"{value:.4g} a {term} ({low:.4g} to {high:.4g})"
                for term, value, low, high in zip(
                    slope.terms, slope.values, slope.low, slope.high, strict=True
                )
            ]
            linearity = "straight" if slope.is_linear else "NOT straight"
            lines.append(
                f"{spread}: idle {metric} a member = {' + '.join(terms)}; {slope.size_count} sizes, "
                f"r2 {slope.r2:.4f}, worst residual {slope.max_residual:.0%}: {linearity}"
            )
    return lines


def _prediction_lines(results: Results) -> list[str]:
    lines = []
    for line in results.runs:
        for metric, prediction in line.get("predicted", {}).items():
            outcome = "not played"
            if "came" in prediction:
                position = "inside" if prediction["inside"] else "OUTSIDE"
                outcome = f"came {prediction['came']:.4g}, {position}"
            lines.append(
                f"{line['scenario']} (seed {line['seed']}): {metric} predicted {prediction['value']:.4g} "
                f"({prediction['low']:.4g} to {prediction['high']:.4g}) before it was played, {outcome}"
            )
    return lines


# ---------------------------------------------------------------- plot


def plot(results: Results, file: Path) -> None:
    """Plot bytes, processor time, and the time until the last member holds a change, by number of members.

    Each pair of a spread and a number of keys has a line, and so does the limit that operators set.
    """
    figure, axes = plt.subplots(1, 3, figsize=(14, 4.2), layout="constrained")
    usable = [line for line in results.runs if is_usable(line)]
    series = sorted({(line["spread"], line["keys"]) for line in usable})
    for number, (spread, keys) in enumerate(series):
        lines = [line for line in usable if (line["spread"], line["keys"]) == (spread, keys)]
        lines.sort(key=lambda line: line["members"])
        label = f"{spread}, {keys:,} keys"
        marker = MARKERS[number % len(MARKERS)]
        _plot_metric(axes[0], lines, "octets", label, marker)
        _plot_metric(axes[1], lines, "core", label, marker)
        _plot_propagation(axes[2], lines, label, marker)
    sizes = sorted({line["members"] for line in usable})
    _finish_axis(axes[0], "control, octets a second a member, idle", MAX_CONTROL_BYTES_PER_S, sizes)
    _finish_axis(axes[1], "control, part of a core, idle", MAX_CONTROL_CORE, sizes)
    _finish_axis(axes[2], "a change held by the last member, p99, s", MAX_PROPAGATION_S, sizes)
    figure.suptitle(
        f"{results.head['experiment']['name']}, revision {results.head['revision']}; measured "
        "points only, nothing extrapolated",
        fontsize=9,
    )
    figure.savefig(file, dpi=110)
    plt.close(figure)


def _plot_metric(axis: Axes, lines: Sequence[Line], metric: str, label: str, marker: str) -> None:
    points = [(line["members"], value) for line in lines if (value := metric_value(line, metric))]
    if points:
        axis.plot(*zip(*points, strict=True), marker=marker, label=label)


def _plot_propagation(axis: Axes, lines: Sequence[Line], label: str, marker: str) -> None:
    p99_by_size = [
        (line["members"], line["phases"]["changes"]["changes"]["last"].get("p99")) for line in lines
    ]
    points = [(members, p99_s) for members, p99_s in p99_by_size if p99_s]
    if points:
        axis.plot(*zip(*points, strict=True), marker=marker, label=label)
    for members in (members for members, p99_s in p99_by_size if not p99_s):
        axis.plot(
            [members], [NEVER_HELD_PLOT_S], marker="x", color="r", label=f"not held at the end: {label}"
        )


def _finish_axis(axis: Axes, title: str, limit: float, sizes: Sequence[int]) -> None:
    axis.axhline(limit, color="k", linestyle="--", linewidth=1)
    axis.set(title=title, xscale="log", yscale="log", xlabel="members")
    axis.set_xticks(sizes, [str(members) for members in sizes], fontsize=7)
    axis.minorticks_off()
    if axis.lines[1:]:
        axis.legend(fontsize=7)
