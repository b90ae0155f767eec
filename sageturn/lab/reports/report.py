"""Reports of results as a self-contained HTML page or as Markdown."""

from __future__ import annotations

import html
import io
from base64 import b64encode
from collections.abc import Callable
from itertools import combinations

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from sageturn.lab.errors import NoCommonRunsError
from sageturn.lab.model.fleet_spec import CLASSES, TENANT_SHARES
from sageturn.lab.reports.compare import Difference, compare
from sageturn.lab.runner.result_file import Line, Results

REPORTED_METRICS = (
    "goal",
    "service",
    "worst_class",
    "worst_member",
    "worst_window",
    "late",
    "refused",
    "moved",
    "cut",
    "ratio",
)
COMPARED_METRICS = ("goal", "service", "late", "refused", "moved")
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.good{color:#17692f}.bad{color:#a3241c}"""


def table(results: Results) -> list[list[str]]:
    """Return a row for each scenario and variant, with means over the seeds."""
    rows = [["scenario", "variant", "seeds", *REPORTED_METRICS]]
    ordered = sorted(results.runs, key=_run_order(results))
    keys = dict.fromkeys((run["scenario"], run["variant"]) for run in ordered)
    for scenario, variant in keys:
        runs = [run for run in results.runs if (run["scenario"], run["variant"]) == (scenario, variant)]
        means = [float(np.mean([run["metrics"][name] for run in runs])) for name in REPORTED_METRICS]
        rows.append([scenario, variant, str(len(runs)), *(f"{value:.3f}" for value in means)])
    return rows


def _run_order(results: Results) -> Callable[[Line], tuple[int, int, int]]:
    experiment = results.head["experiment"]
    scenarios = [scenario["name"] for scenario in experiment["scenarios"]]
    variants = [variant["name"] for variant in experiment["variants"]]
    return lambda run: (scenarios.index(run["scenario"]), variants.index(run["variant"]), run["seed"])


def differences(results: Results) -> list[list[str]]:
    """Return a row for each difference in a metric between two variants that have common runs."""
    variants = list(dict.fromkeys(variant["name"] for variant in results.head["experiment"]["variants"]))
    rows = [["metric", "from", "to", "scenario", "pairs", "difference", "95% interval", "settled"]]
    for first, second in combinations(variants, 2):
        for metric in COMPARED_METRICS:
            try:
                found = compare(results, first, second, metric, by_scenario=metric == "goal")
            except NoCommonRunsError:
                continue
            rows += [_difference_row(difference, first, second) for difference in found]
    return rows


def _difference_row(difference: Difference, first: str, second: str) -> list[str]:
    if difference.is_significant:
        settled = "yes"
    else:
        settled = f"no: {difference.needed_pairs:g} pairs would" if difference.mean else "no"
    return [
        difference.metric,
        first,
        second,
        difference.scenario or "all",
        str(difference.pairs),
        f"{difference.mean:+.4f}",
        f"{difference.low:+.4f} to {difference.high:+.4f}",
        settled,
    ]


def markdown(results: Results) -> str:
    """Return the report as Markdown."""
    head = results.head
    parts = [
        f"# {head['experiment']['name']}",
        "",
        head["experiment"].get("why", ""),
        "",
        _describe_origin(head),
        "",
    ]
    for title, rows in (("Means", table(results)), ("Differences", differences(results))):
        if len(rows) > 1:
            parts += [f"## {title}", "", *_markdown_table(rows), ""]
    return "\n".join(parts)


def _describe_origin(head: Line) -> str:
    libraries = ", ".join(f"{name} {text}" for name, text in head["libraries"].items())
    return f"Made by revision {head['revision']}, Python {head['python']}, {libraries}."


def _markdown_table(rows: list[list[str]]) -> list[str]:
    lines = ["| " + " | ".join(row) + " |" for row in rows]
    return [lines[0], "|" + " --- |" * len(rows[0]), *lines[1:]]


def page(results: Results) -> str:
    """Return the report as one HTML page, with the plots embedded."""
    head = results.head
    name = html.escape(head["experiment"]["name"])
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>",
        f"<h1>{name}</h1><p>{html.escape(head['experiment'].get('why', ''))}</p>",
        f"<p>{html.escape(_describe_origin(head))}</p>",
    ]
    for title, rows in (("Means over the seeds", table(results)), ("Differences", differences(results))):
        if len(rows) > 1:
            parts.append(f"<h2>{title}</h2>{_html_table(rows)}")
    for scenario in head["experiment"]["scenarios"]:
        runs = [run for run in results.runs if run["scenario"] == scenario["name"]]
        if runs:
            parts.append(f"<h2>{html.escape(scenario['name'])}</h2>")
            parts += [_encode_image(figure) for figure in plots(scenario, runs)]
    return "\n".join(parts) + "</html>\n"


def _html_table(rows: list[list[str]]) -> str:
    def cells(row: list[str], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in row) + "</tr>"

    return "<table>" + cells(rows[0], "th") + "".join(cells(row, "td") for row in rows[1:]) + "</table>"


def _encode_image(figure: Figure) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=80)
    plt.close(figure)
    return f'<img alt="" src="data:image/png;base64,{b64encode(out.getvalue()).decode()}">'


# ---------------------------------------------------------------- plots


def plots(scenario: Line, runs: list[Line]) -> list[Figure]:
    """Make the figures of one scenario: each variant's run with the lowest seed, with the faults marked."""
    seed = min(run["seed"] for run in runs)
    first_runs = [run for run in runs if run["seed"] == seed]
    return [
        _plot_series(scenario, first_runs),
        _plot_classes_and_tenants(first_runs),
        _plot_utilizations(scenario, first_runs),
    ]


def _mark_faults(axis: Axes, scenario: Line) -> None:
    for fault in scenario.get("troubles", []):
        start_s = fault["start_s"]
        axis.axvspan(start_s, start_s + fault["length_s"], color="0.9", zorder=0)
        axis.text(start_s, 1.0, fault["kind"], transform=axis.get_xaxis_transform(), fontsize=7, va="bottom")


def _plot_series(scenario: Line, runs: list[Line]) -> Figure:
    figure, axes = plt.subplots(2, 2, figsize=(12, 6), layout="constrained")
    classes = len(runs[0]["series"]["set_ups"])
    for run in runs:
        series = run["series"]
        requested, served = np.array(series["wanted"]), np.array(series["served"])
        served_ratio = served[:, :classes].sum(axis=1) / np.maximum(requested[:, :classes].sum(axis=1), 1e-9)
        seconds = np.arange(1, len(served_ratio) + 1)
        axes[0, 0].plot(seconds, served_ratio, label=run["variant"])
        axes[0, 1].plot(seconds, series["ratio"], label=run["variant"])
        axes[1, 0].plot(seconds, np.diff(series["moved"], prepend=0), label=run["variant"])
        axes[1, 1].plot(seconds, np.diff(series["refused"], prepend=0), label=run["variant"])
    titles = ("service", "fullest host over the mean", "moves a second", "fail-fast answers a second")
    for axis, title in zip(axes.flat, titles, strict=True):
        axis.set_title(title)
        axis.set_xlabel("s")
        _mark_faults(axis, scenario)
    axes[0, 0].set_ylim(0, 1.02)
    axes[0, 0].legend()
    return figure


def _plot_classes_and_tenants(runs: list[Line]) -> Figure:
    names = [class_spec.name for class_spec in CLASSES] + list(TENANT_SHARES)
    figure, axes = plt.subplots(1, 2, figsize=(12, 3.2), layout="constrained", width_ratios=(3, 2))
    width = 0.8 / len(runs)
    for index, run in enumerate(runs):
        requested, served = np.array(run["series"]["wanted"]), np.array(run["series"]["served"])
        served_ratio = served.sum(axis=0) / np.maximum(requested.sum(axis=0), 1e-9)
        axes[0].bar(np.arange(len(names)) + index * width, served_ratio, width, label=run["variant"])
        p99 = [setups["99.0"] for setups in run["series"]["set_ups"]]
        axes[1].bar(np.arange(len(CLASSES)) + index * width, p99, width)
    axes[0].set_xticks(np.arange(len(names)) + 0.4 - width / 2, names, rotation=35, ha="right", fontsize=8)
    axes[0].set_title("service by class and by member")
    axes[0].set_ylim(0, 1.02)
    axes[0].legend()
    for index, class_spec in enumerate(CLASSES):
        axes[1].hlines(class_spec.latency_objective_ms, index - 0.1, index + 0.9, color="k")
    positions = np.arange(len(CLASSES)) + 0.3
    axes[1].set_xticks(positions, names[: len(CLASSES)], rotation=35, ha="right", fontsize=8)
    axes[1].set_title("set-ups, p99 in ms, and the aim")
    axes[1].set_yscale("log")
    return figure


def _plot_utilizations(scenario: Line, runs: list[Line]) -> Figure:
    figure, axes = plt.subplots(1, len(runs), figsize=(12, 3), layout="constrained", squeeze=False)
    for axis, run in zip(axes[0], runs, strict=True):
        utilizations = np.array(run["series"]["fills"]).T
        present = np.ma.masked_less(utilizations, 0.0)
        extent = (0, scenario["seconds"], 0, len(utilizations))
        image = axis.imshow(present, aspect="auto", origin="lower", vmin=0.0, vmax=1.2, extent=extent)
        axis.set_title(f"fill by host: {run['variant']}")
        axis.set_xlabel("s")
    figure.colorbar(image, ax=axes[0].tolist())
    return figure
