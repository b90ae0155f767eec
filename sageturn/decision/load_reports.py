"""Load reports as servers give them. Pure: what cannot be right is dropped here, and nobody else sees it."""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

# A report's values go by two names: the settings' and those of lines of text.
WORDS = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
FIELDS = frozenset({"active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1"})
# More than any server can be: a thousand times what it can do, an hour piled up, ten million requests.
MOST = {"cpu": 1e3, "x0": 1e3, "x1": 3600.0}
MOST_OTHER = 1e7
TEXT_MOST = 512  # octets of a report in a line of text
PAIRS_MOST = 16
_PAIR = re.compile(r"([a-z0-9_]{1,32})=(-?[0-9]{1,12}(?:\.[0-9]{1,12})?(?:e[+-]?[0-9]{1,2})?)")


def checked(values: Mapping[str, Any] | None, dropped: Counter[str] | None = None) -> dict[str, float]:
    """The values that can be used, by the settings' names; ``dropped`` counts why others cannot."""
    found: dict[str, float] = {}
    for word, value in (values or {}).items():
        name = WORDS.get(word, word)
        why = ""
        if name not in FIELDS:
            why = "unknown"
        elif name in found:
            why = "twice"
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            why = "no number"
        elif not 0.0 <= value <= MOST.get(name, MOST_OTHER):
            why = "absurd"
        if not why:
            found[name] = float(value)
        elif dropped is not None:
            dropped[why] += 1
    return found


def read_report(text: bytes, allowed: Iterable[str], dropped: Counter[str]) -> dict[str, float]:
    """``inflight=7,queue=2,util=0.61``, of which only fields that the settings name are taken."""
    if not text.strip():
        return {}
    if len(text) > TEXT_MOST or text.count(b",") >= PAIRS_MOST:
        dropped["too long"] += 1
        return {}
    values: dict[str, float] = {}
    for pair in text.decode("ascii", "replace").strip().split(","):
        match = _PAIR.fullmatch(pair)
        if match is None or match[1] in values:
            dropped["malformed"] += 1
        else:
            values[match[1]] = float(match[2])
    found, named = checked(values, dropped), {WORDS.get(word, word) for word in allowed}
    dropped["unknown"] += len(found.keys() - named)
    return {name: value for name, value in found.items() if name in named}
