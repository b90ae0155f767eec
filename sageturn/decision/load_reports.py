"""Parsing of endpoints' load reports. Implausible values are dropped."""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

# Names in a text report, mapped to the settings' names.
FIELD_ALIASES = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
UTILIZATION_FIELD = "x0"  # utilization of the endpoint; 1 if it is fully used
QUEUED_WORK_FIELD = "x1"  # queued work in seconds
PROCESSOR_FIELD = "cpu"  # utilization of the processor
FIELDS = frozenset(
    {
        "active",
        "waiting",
        "avg_ms",
        "rps",
        "err_rps",
        UTILIZATION_FIELD,
        QUEUED_WORK_FIELD,
        PROCESSOR_FIELD,
    }
)
MAX_VALUES = {PROCESSOR_FIELD: 1e3, UTILIZATION_FIELD: 1e3, QUEUED_WORK_FIELD: 3600.0}
MAX_OTHER_VALUE = 1e7
MAX_LOAD_US_PER_S = 1e9  # load of one connection that uses a thousand cores
MAX_REPORT_BYTES = 512
MAX_REPORT_PAIRS = 16
_PAIR = re.compile(r"([a-z0-9_]{1,32})=(-?[0-9]{1,12}(?:\.[0-9]{1,12})?(?:e[+-]?[0-9]{1,2})?)")


def is_usable_load(load_us_per_s: float) -> bool:
    """Return True if a connection's load, in microseconds of work per second, is plausible.

    NaN would corrupt every sum that it is added to, for as long as the relay runs.
    """
    return 0.0 <= load_us_per_s <= MAX_LOAD_US_PER_S


def select_usable_values(
    values: Mapping[str, Any] | None, dropped: Counter[str] | None = None
) -> dict[str, float]:
    """Return the usable values of a report, keyed by the settings' names.

    Args:
        values: The report; None if there is none.
        dropped: The counter of dropped values by reason, which is updated; None if they are not counted.
    """
    usable: dict[str, float] = {}
    for raw_name, value in (values or {}).items():
        name = FIELD_ALIASES.get(raw_name, raw_name)
        reason = ""
        if name not in FIELDS:
            reason = "unknown"
        elif name in usable:
            reason = "twice"
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            reason = "no number"
        elif not 0.0 <= value <= MAX_VALUES.get(name, MAX_OTHER_VALUE):
            reason = "absurd"
        if not reason:
            usable[name] = float(value)
        elif dropped is not None:
            dropped[reason] += 1
    return usable


def parse_report(text: bytes, allowed: Iterable[str], dropped: Counter[str]) -> dict[str, float]:
    """Return the usable values of a report such as ``inflight=7,queue=2,util=0.61``. Nothing is raised.

    Args:
        text: The report, from a line or a header.
        allowed: The names of the fields in the settings; other fields are dropped.
        dropped: The counter of dropped parts by reason, which is updated.
    """
    if not text.strip():
        return {}
    if len(text) > MAX_REPORT_BYTES or text.count(b",") >= MAX_REPORT_PAIRS:
        dropped["too long"] += 1
        return {}
    values: dict[str, float] = {}
    for pair in text.decode("ascii", "replace").strip().split(","):
        match = _PAIR.fullmatch(pair)
        if match is None or match[1] in values:
            dropped["malformed"] += 1
        else:
            values[match[1]] = float(match[2])
    usable = select_usable_values(values, dropped)
    allowed_names = {FIELD_ALIASES.get(raw_name, raw_name) for raw_name in allowed}
    dropped["unknown"] += len(usable.keys() - allowed_names)
    return {name: value for name, value in usable.items() if name in allowed_names}
