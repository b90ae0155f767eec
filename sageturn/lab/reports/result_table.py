"""Results of rebalancing runs as rows of figures, and their output as a table or as JSON.

Row labels are a stable part of the output: recorded results and documentation quote them.
"""

from __future__ import annotations

import json
from collections import Counter

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from sageturn.lab.loopback.loopback_runner import LoopbackResult
from sageturn.lab.model.client_event import ClientEvent, late_setup_key
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_result import SimulationResult

BALANCED_RATIO = 1.15  # upper bound on the highest utilization over the mean in a balanced fleet
FINAL_WINDOW_S = 60  # end of a run over which the ratio is averaged
TABLE_WIDTH = 150  # characters

Row = dict[str, object]  # figures by their labels


def format_percentiles(histogram: HdrHistogram) -> str:
    """Return the median and the 99th percentile as text."""
    median = histogram.get_value_at_percentile(50.0)
    tail = histogram.get_value_at_percentile(99.0)
    return f"{median:.0f}/{tail:.0f}"


def loopback_row(run: LoopbackResult) -> Row:
    """Return the figures of a run of real relays on loopback."""
    counts = run.observations.counts
    spec = run.spec
    ratios = [sample.imbalance_ratio for sample in run.samples]
    seconds = run.samples[-1].elapsed_s
    mean_weight = sum(class_spec.share * class_spec.priority_weight for class_spec in spec.classes)
    weighted_requested_s = mean_weight * spec.connections * seconds
    return {
        **_common_figures(spec, ratios, run.observations.setup_histograms, counts),
        "moves that left some of a group behind": counts[ClientEvent.LEFT_BEHIND],
        "clients moved more than once": counts[ClientEvent.MIGRATED_REPEATEDLY],
        "refused": counts[ClientEvent.BUSY],
        "cut off": counts[ClientEvent.CUT],
        "unanswered": counts[ClientEvent.UNANSWERED],
        "worth lost waiting": f"{run.observations.weighted_waiting_s / weighted_requested_s:.4%}",
        "fresh host's peak intake, of its bound": f"{run.peak_intake_ratio:.0%}",
        "hosts fallen": run.crashed_endpoints,
        "CPU of a relay": f"{sum(run.relay_cpu_s) / len(run.relay_cpu_s) / seconds:.1%}",
    }


def simulated_row(spec: FleetSpec, series: SimulationResult, took_s: float) -> Row:
    """Return the figures of a simulated run, which took ``took_s`` seconds of real time."""
    counts = series.counts
    return {
        **_common_figures(spec, series.imbalance_ratios, series.setup_histograms, counts),
        "groups moved": counts[ClientEvent.GROUPS_MIGRATED],
        "groups split by a move": counts[ClientEvent.GROUPS_SPLIT],
        "clients moved more than once": counts[ClientEvent.MIGRATED_AGAIN],
        "moved by the module": counts[ClientEvent.MIGRATED_BY_BALANCER],
        "refused": counts[ClientEvent.REJECTED],
        "cut off": counts[ClientEvent.CUT],
        "worth lost waiting": f"{series.weighted_waiting_s / series.weighted_requested_s:.4%}",
        "fresh host's peak intake, of its bound": f"{series.peak_intake_ratio:.0%}",
        "hosts fallen": series.crashed_endpoints,
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


def _common_figures(
    spec: FleetSpec, ratios: list[float], setup_histograms: list[HdrHistogram], counts: Counter[str]
) -> Row:
    after_join = [ratio for second, ratio in enumerate(ratios) if second >= spec.join_s]
    balanced_s = next((second for second, ratio in enumerate(after_join) if ratio <= BALANCED_RATIO), None)
    final_ratios = ratios[-FINAL_WINDOW_S:]
    row: Row = {
        "ratio at its worst": round(max(after_join), 2),
        "s to 1.15": balanced_s,
        f"ratio, mean of the last {FINAL_WINDOW_S} s": round(sum(final_ratios) / len(final_ratios), 2),
        "moved": counts[ClientEvent.MIGRATED],
        "moves a connection": round(counts[ClientEvent.MIGRATED] / spec.connections, 3),
        "guest-checkin moved": counts[ClientEvent.CHECK_IN_MIGRATED],
    }
    for class_spec, histogram in zip(spec.classes, setup_histograms, strict=True):
        late_ratio = counts[late_setup_key(class_spec.name)] / max(1, histogram.get_total_count())
        label = f"{class_spec.name} p50/p99 ms (aim {class_spec.latency_objective_ms:.0f})"
        row[label] = f"{format_percentiles(histogram)}, {late_ratio:.2%} late"
    return row
