"""The metrics of a run, and its time series in the form of a result file."""

from __future__ import annotations

import numpy as np
from hdrh.histogram import HdrHistogram

from sageturn.lab.model.client_event import ClientEvent, late_event
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_result import SimulationResult
from sageturn.lab.runner.result_file import Line

WINDOW_S = 10  # of the metric ``worst_window``
FINAL_WINDOW_S = 10  # over which the imbalance at the end is averaged
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MIN_WEIGHT = 1e-9  # stands in for 0 in a divisor
METRIC_DIGITS = 6
GOAL_WEIGHTS = {"service": 0.5, "worst_window": 0.05, "worst_class": 0.2, "worst_member": 0.25}


def measure(spec: FleetSpec, result: SimulationResult) -> dict[str, float]:
    """Returns the metrics of a run by the keys of the result file: ratios, counts and milliseconds."""
    metrics = _service_metrics(len(spec.classes), result)
    requests = max(1, result.counts[ClientEvent.REQUESTED])
    setups = sum(histogram.get_total_count() for histogram in result.setup_histograms)
    late_setups = sum(result.counts[late_event(class_spec.name)] for class_spec in spec.classes)
    metrics |= {
        "late": late_setups / max(1, setups),
        "refused": result.counts[ClientEvent.REJECTED] / requests,
        "moved": result.total_migrations[-1] / spec.connections,
        "cut": result.counts[ClientEvent.CUT] / spec.connections,
        "ratio": float(np.mean(result.imbalance_ratios[-FINAL_WINDOW_S:])),
        "fallen": float(result.crashed_hosts),
        "split": float(result.counts[ClientEvent.GROUPS_SPLIT]),
        "set_up_p99_ms": float(
            max(histogram.get_value_at_percentile(99.0) for histogram in result.setup_histograms)
        ),
    }
    metrics["goal"] = sum(weight * metrics[name] for name, weight in GOAL_WEIGHTS.items())
    return {name: round(value, METRIC_DIGITS) for name, value in metrics.items()}


def _service_metrics(class_count: int, result: SimulationResult) -> dict[str, float]:
    wanted = np.array(result.wanted)
    served = np.array(result.served)
    ratios = served.sum(axis=0) / np.maximum(wanted.sum(axis=0), MIN_WEIGHT)
    total_wanted = wanted[:, :class_count].sum(axis=1)
    total_served = served[:, :class_count].sum(axis=1)
    window = np.ones(min(WINDOW_S, len(total_wanted)))
    window_ratios = np.convolve(total_served, window, "valid") / np.convolve(total_wanted, window, "valid")
    return {
        "service": float(total_served.sum() / max(total_wanted.sum(), MIN_WEIGHT)),
        "worst_class": float(ratios[:class_count].min()),
        "worst_member": float(ratios[class_count:].min()),
        "worst_window": float(window_ratios.min()),
    }


def encode_series(result: SimulationResult) -> Line:
    """Returns the time series of a run by the keys of the result file, rounded."""
    return {
        "ratio": np.round(result.imbalance_ratios, 4).tolist(),
        "fill": np.round(result.mean_utilizations, 4).tolist(),
        "moved": result.total_migrations,
        "refused": result.total_rejections,
        "wanted": np.round(result.wanted, 1).tolist(),
        "served": np.round(result.served, 1).tolist(),
        "fills": np.round(result.utilizations, 3).tolist(),
        "set_ups": [_encode_histogram(histogram) for histogram in result.setup_histograms],
    }


def _encode_histogram(histogram: HdrHistogram) -> Line:
    percentiles = {
        str(percentile): float(histogram.get_value_at_percentile(percentile)) for percentile in PERCENTILES
    }
    return {"n": histogram.get_total_count(), **percentiles}
