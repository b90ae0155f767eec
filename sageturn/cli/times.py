"""Spans and instants as people write them."""

from __future__ import annotations

import re
from datetime import UTC, datetime

_SPAN = re.compile(r"(?:(\d+)d)?(?:(\d+)h)?(?:(\d+)m)?(?:(\d+)s)?")
_UNITS_MS = (86_400_000, 3_600_000, 60_000, 1_000)


def parse_until(text: str, now_ms: float) -> float:
    """Unix time in milliseconds, of ``2h30m`` from now, or of an instant with a zone (RFC 3339, section 5.6).

    Raises ValueError. An instant without a zone is refused: it means another moment at each desk.
    """
    match = _SPAN.fullmatch(text.strip())
    if match and any(match.groups()):
        span_ms = sum(int(n) * unit for n, unit in zip(match.groups(), _UNITS_MS, strict=True) if n)
        if span_ms <= 0:
            raise ValueError(f"{text!r} is no time to come")
        return now_ms + span_ms
    try:
        instant = datetime.fromisoformat(text.strip())
    except ValueError:
        raise ValueError(f"{text!r} is neither a span such as 2h30m nor an instant") from None
    if instant.tzinfo is None:
        raise ValueError(f"{text!r} has no zone, such as +07:00 or Z")
    until_ms = instant.timestamp() * 1000.0
    if until_ms <= now_ms:
        raise ValueError(f"{text!r} has passed")
    return until_ms


def instant(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def span(ms: float) -> str:
    """``1d 2h``, ``2h 30m``, ``45s``: the two largest units."""
    parts = []
    left = max(0, round(ms))
    for unit, name in zip(_UNITS_MS, "dhms", strict=True):
        if left >= unit:
            parts.append(f"{left // unit}{name}")
            left %= unit
    return " ".join(parts[:2]) or "0s"
