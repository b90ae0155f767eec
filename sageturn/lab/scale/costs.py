"""Costs of single parts of a relay's control plane by size, measured in one process, mostly without sockets.

Each cost is measured at several sizes and fitted; ``docs/CAPACITY.md`` derives the capacity from the fits.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import msgspec

from sageturn.lab.runner.result_file import Line
from sageturn.lab.scale.fit import fit, fit_exponent
from sageturn.lab.scale.list_calls import list_calls
from sageturn.lab.scale.relay_costs import decisions, flow_record, list_reading
from sageturn.lab.scale.store_costs import operator_command, store_digest, store_log, store_memory

KEY_COUNTS = (1000, 3000, 10_000, 27_000, 60_000, 100_000)
ENDPOINT_COUNTS = (90, 300, 1000, 3000, 10_000)
RELAY_COUNTS = (50, 115, 230, 460, 920)
NAME_LENGTHS = (4, 8, 16, 32)
DISCOVERY_SERVICE_MS = (2.0, 13.0, 46.0, 130.0)
LIST_CALLS_SEED = 33


class CostMeasurement(NamedTuple):
    """Measurement of one cost: the function that measures it at a size, the sizes, and the keys to fit."""

    measure: Callable[[int], msgspec.Struct]
    sizes: tuple[int, ...]
    fitted_keys: tuple[str, ...]


COST_MEASUREMENTS = {
    "store_memory": CostMeasurement(store_memory, KEY_COUNTS, ("octets",)),
    "store_digest": CostMeasurement(store_digest, KEY_COUNTS, ("octets", "write_s", "compare_s")),
    "store_log": CostMeasurement(store_log, KEY_COUNTS, ("octets", "read_s")),
    "operator_command": CostMeasurement(operator_command, KEY_COUNTS[:-1], ("copied_s",)),
    "list_reading": CostMeasurement(list_reading, ENDPOINT_COUNTS, ("octets", "read_s")),
    "decisions": CostMeasurement(decisions, ENDPOINT_COUNTS, ("request_s", "list_s", "change_s")),
    "flow_record": CostMeasurement(flow_record, NAME_LENGTHS, ("octets",)),
}


def run_costs(only: Iterable[str] = ()) -> Iterator[Line]:
    """Yield each measurement's lines: one for each size, then its fits.

    ``only`` has the names of the measurements to run; empty means all.
    """
    chosen = set(only) or {*COST_MEASUREMENTS, "list_calls"}
    for name in COST_MEASUREMENTS:
        if name in chosen:
            yield from _run_measurement(name)
    if "list_calls" in chosen:
        yield from _run_list_calls()


def _run_measurement(name: str) -> Iterator[Line]:
    measurement = COST_MEASUREMENTS[name]
    lines = []
    for size in measurement.sizes:
        lines.append({"part": name, "size": size, **msgspec.to_builtins(measurement.measure(size))})
        yield lines[-1]
    for key in measurement.fitted_keys:
        yield {"part": name, "fit": key, **_fit_sizes(measurement.sizes, [line[key] for line in lines])}


def _run_list_calls() -> Iterator[Line]:
    for lost in (True, False):
        for service_ms in DISCOVERY_SERVICE_MS:
            for relay_count in RELAY_COUNTS:
                yield {
                    "part": "list_calls",
                    "size": relay_count,
                    "service_ms": service_ms,
                    "lost": lost,
                    "simulated": True,
                    **msgspec.to_builtins(list_calls(relay_count, service_ms, lost, LIST_CALLS_SEED)),
                }


def _fit_sizes(sizes: Iterable[int], values: list[float]) -> Line:
    """Fit a straight line and the exponent of a power law to the values at all sizes."""
    numbers = [float(size) for size in sizes]
    line = fit(("1", "n"), [[1.0, size] for size in numbers], values)
    exponent = fit_exponent(numbers, values)
    interval = (exponent.value, exponent.low, exponent.high)
    return {**line.to_json(), "exponent": [round(number, 3) for number in interval]}
