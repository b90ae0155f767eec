"""Metrics of a run, and its time series in the form of a result file."""

from __future__ import annotations

import numpy as np
from hdrh.histogram import HdrHistogram

from sageturn.lab.model.client_event import ClientEvent, late_setup_key
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_result import SimulationResult
from sageturn.lab.runner.result_file import Line

WORST_WINDOW_S = 10  # length of the window of the metric ``worst_window``
FINAL_WINDOW_S = 10  # end of the run over which ``ratio`` is averaged
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MIN_DIVISOR = 1e-9  # lower bound on divisors that may be 0
METRIC_DIGITS = 6
GOAL_WEIGHTS = {"service": 0.5, "worst_window": 0.05, "worst_class": 0.2, "worst_member": 0.25}


def measure(spec: FleetSpec, result: SimulationResult) -> dict[str, float]:
    """Return the metrics of a run by the keys of the result file: ratios, counts and milliseconds."""
    metrics = _service_metrics(len(spec.classes), result)
    requests = max(1, result.counts[ClientEvent.REQUESTED])
    setups = sum(histogram.get_total_count() for histogram in result.setup_histograms)
    late_setups = sum(result.counts[late_setup_key(class_spec.name)] for class_spec in spec.classes)
    metrics |= {
        "late": late_setups / max(1, setups),
        "refused": result.counts[ClientEvent.REJECTED] / requests,
        "moved": result.total_migrations[-1] / spec.connections,
        "cut": result.counts[ClientEvent.CUT] / spec.connections,
        "ratio": float(np.mean(result.imbalance_ratios[-FINAL_WINDOW_S:])),
        "fallen": float(result.crashed_endpoints),
        "split": float(result.counts[ClientEvent.GROUPS_SPLIT]),
        "set_up_p99_ms": float(
            max(histogram.get_value_at_percentile(99.0) for histogram in result.setup_histograms)
        ),
    }
    metrics["goal"] = sum(weight * metrics[name] for name, weight in GOAL_WEIGHTS.items())
    return {name: round(value, METRIC_DIGITS) for name, value in metrics.items()}


def _service_metrics(class_count: int, result: SimulationResult) -> dict[str, float]:
    requested = np.array(result.requested)
    served = np.array(result.served)
    ratios = served.sum(axis=0) / np.maximum(requested.sum(axis=0), MIN_DIVISOR)
    total_requested = requested[:, :class_count].sum(axis=1)
    total_served = served[:, :class_count].sum(axis=1)
    window = np.ones(min(WORST_WINDOW_S, len(total_requested)))
    window_ratios = np.convolve(total_served, window, "valid") / np.convolve(total_requested, window, "valid")
    return {
        "service": float(total_served.sum() / max(total_requested.sum(), MIN_DIVISOR)),
        "worst_class": float(ratios[:class_count].min()),
        "worst_member": float(ratios[class_count:].min()),
        "worst_window": float(window_ratios.min()),
    }


def encode_series(result: SimulationResult) -> Line:
    """Return the time series of a run by the keys of the result file, rounded."""
    return {
        "ratio": np.round(result.imbalance_ratios, 4).tolist(),
        "fill": np.round(result.mean_utilizations, 4).tolist(),
        "moved": result.total_migrations,
        "refused": result.total_rejections,
        "wanted": np.round(result.requested, 1).tolist(),
        "served": np.round(result.served, 1).tolist(),
        "fills": np.round(result.utilizations, 3).tolist(),
        "set_ups": [_encode_histogram(histogram) for histogram in result.setup_histograms],
    }


def _encode_histogram(histogram: HdrHistogram) -> Line:
    percentiles = {
        str(percentile): float(histogram.get_value_at_percentile(percentile)) for percentile in PERCENTILES
    }
    return {"n": histogram.get_total_count(), **percentiles}
