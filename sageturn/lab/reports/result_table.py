"""The results of rebalancing runs as rows of figures, and their output as a table or as JSON.

Row labels are part of the output, which pages and journals quote, and stay as they are.
"""

from __future__ import annotations

import json
from typing import Any

from rich.console import Console
from rich.table import Table

from sageturn.lab.loopback.loopback_runner import LoopbackResult
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_result import SimulationResult

BALANCED_RATIO = 1.15  # the fullest endpoint's utilization over the mean that counts as balance
FINAL_WINDOW_S = 60  # the end of a run over which the ratio is averaged
TABLE_WIDTH = 150  # characters

Row = dict[str, Any]


def format_percentiles(histogram: Any) -> str:
    """The median and the 99th percentile."""
    median = histogram.get_value_at_percentile(50.0)
    tail = histogram.get_value_at_percentile(99.0)
    return f"{median:.0f}/{tail:.0f}"


def loopback_row(run: LoopbackResult) -> Row:
    """The figures of a run of real relays on loopback."""
    counts = run.observations.counts
    spec = run.spec
    ratios = [sample.imbalance_ratio for sample in run.samples]
    seconds = run.samples[-1].elapsed_s
    worth = sum(c.share * c.priority_weight for c in spec.classes) * spec.connections * seconds
    return {
        **_common_figures(spec, ratios, run.observations.setup_histograms, counts),
        "moves that left some of a group behind": counts["left_behind"],
        "clients moved more than once": counts["moved_again"],
        "refused": counts["busy"],
        "cut off": counts["cut"],
        "unanswered": counts["unanswered"],
        "worth lost waiting": f"{run.observations.weighted_waiting_s / worth:.4%}",
        "fresh host's peak intake, of its bound": f"{run.peak_intake_ratio:.0%}",
        "hosts fallen": run.crashed_hosts,
        "CPU of a relay": f"{sum(run.relay_cpu_s) / len(run.relay_cpu_s) / seconds:.1%}",
    }


def simulated_row(spec: FleetSpec, series: SimulationResult, took_s: float) -> Row:
    """The figures of a simulated run, which took ``took_s`` of real time."""
    counts = series.counts
    return {
        **_common_figures(spec, series.imbalance_ratios, series.setup_histograms, counts),
        "groups moved": counts["groups_moved"],
        "groups split by a move": counts["groups_split"],
        "clients moved more than once": counts["moved_twice"],
        "moved by the module": counts["relieved"],
        "refused": counts["refused"],
        "cut off": counts["cut"],
        "worth lost waiting": f"{series.weighted_waiting_s / series.weighted_wanted_s:.4%}",
        "fresh host's peak intake, of its bound": f"{series.peak_intake_ratio:.0%}",
        "hosts fallen": series.crashed_hosts,
        "took s": round(took_s),
    }


def print_table(title: str, rows: dict[str, Row], as_json: bool) -> None:
    """Print rows as columns side by side, or all of them as one line of JSON."""
    if as_json:
        print(json.dumps({"title": title, "rows": rows}))
        return
    table = Table(title=title)
    table.add_column("")
    for name in rows:
        table.add_column(name)
    for label in next(iter(rows.values())):
        table.add_row(label, *(str(row.get(label, "")) for row in rows.values()))
    Console(width=TABLE_WIDTH).print(table)


def _common_figures(spec: FleetSpec, ratios: list[float], setup_histograms: list[Any], counts: Any) -> Row:
    after_join = [ratio for second, ratio in enumerate(ratios) if second >= spec.join_s]
    balanced_s = next((second for second, ratio in enumerate(after_join) if ratio <= BALANCED_RATIO), None)
    final_ratios = ratios[-FINAL_WINDOW_S:]
    row: Row = {
        "ratio at its worst": round(max(after_join), 2),
        "s to 1.15": balanced_s,
        f"ratio, mean of the last {FINAL_WINDOW_S} s": round(sum(final_ratios) / len(final_ratios), 2),
        "moved": counts["moved"],
        "moves a connection": round(counts["moved"] / spec.connections, 3),
        "guest-checkin moved": counts["checkin_moved"],
    }
    for class_spec, histogram in zip(spec.classes, setup_histograms, strict=True):
        late_ratio = counts[f"late_{class_spec.name}"] / max(1, histogram.get_total_count())
        label = f"{class_spec.name} p50/p99 ms (aim {class_spec.latency_objective_ms:.0f})"
        row[label] = f"{format_percentiles(histogram)}, {late_ratio:.2%} late"
    return row
