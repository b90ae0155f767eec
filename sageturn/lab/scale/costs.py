"""What single parts of a relay's control cost, by their size: one core, in one process, mostly no sockets.

Each cost is measured at several sizes and fitted; ``docs/CAPACITY.md`` says what follows at the size that is
designed for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from sageturn.lab.scale.fit import fit, fit_exponent
from sageturn.lab.scale.list_calls import list_calls
from sageturn.lab.scale.relay_costs import decisions, flow_record, list_reading
from sageturn.lab.scale.store_costs import operator_command, store_digest, store_log, store_memory

Line = dict[str, Any]

KEYS = (1000, 3000, 10_000, 27_000, 60_000, 100_000)
HOSTS = (90, 300, 1000, 3000, 10_000)
RELAYS = (50, 115, 230, 460, 920)
NAME_LENGTHS = (4, 8, 16, 32)
DISCOVERY_SERVICE_MS = (2.0, 13.0, 46.0, 130.0)
LIST_CALLS_SEED = 33

# name: the measure, its sizes, and which of its fields are fitted
PARTS: dict[str, tuple[Callable[[int], Line], tuple[int, ...], tuple[str, ...]]] = {
    "store_memory": (store_memory, KEYS, ("octets",)),
    "store_digest": (store_digest, KEYS, ("octets", "write_s", "compare_s")),
    "store_log": (store_log, KEYS, ("octets", "read_s")),
    "operator_command": (operator_command, KEYS[:-1], ("copied_s",)),
    "list_reading": (list_reading, HOSTS, ("octets", "read_s")),
    "decisions": (decisions, HOSTS, ("request_s", "list_s", "change_s")),
    "flow_record": (flow_record, NAME_LENGTHS, ("octets",)),
}


def run_costs(only: Iterable[str] = ()) -> Iterator[Line]:
    """A line for each part and size, and after each part its fits. ``only``: parts; all if there are none."""
    chosen = set(only) or {*PARTS, "list_calls"}
    for name in PARTS:
        if name in chosen:
            yield from _run_part(name)
    if "list_calls" in chosen:
        yield from _run_list_calls()


def _run_part(name: str) -> Iterator[Line]:
    measure, sizes, fitted_fields = PARTS[name]
    measured = []
    for size in sizes:
        measured.append({"size": size, **measure(size)})
        yield {"part": name, **measured[-1]}
    for field in fitted_fields:
        yield {"part": name, "fit": field, **_fit_sizes(sizes, [line[field] for line in measured])}


def _run_list_calls() -> Iterator[Line]:
    for lost in (True, False):
        for service_ms in DISCOVERY_SERVICE_MS:
            for relay_count in RELAYS:
                yield {
                    "part": "list_calls",
                    "size": relay_count,
                    "service_ms": service_ms,
                    "lost": lost,
                    "simulated": True,
                    **list_calls(relay_count, service_ms, lost, LIST_CALLS_SEED),
                }


def _fit_sizes(sizes: Iterable[int], values: list[float]) -> Line:
    """A straight line through all sizes, and the exponent with which the values really grow."""
    x = [float(size) for size in sizes]
    line = fit(("1", "n"), [[1.0, size] for size in x], values)
    exponent = fit_exponent(x, values)
    interval = (exponent.value, exponent.low, exponent.high)
    return {**line.to_json(), "exponent": [round(number, 3) for number in interval]}
