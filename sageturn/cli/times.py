"""Parses and formats durations and instants as operators write and read them."""

from __future__ import annotations

import re
from datetime import UTC, datetime

_DURATION = re.compile(r"(?:(\d+)d)?(?:(\d+)h)?(?:(\d+)m)?(?:(\d+)s)?")
_UNIT_NAMES = "dhms"
_UNITS_MS = (86_400_000, 3_600_000, 60_000, 1_000)
_MAX_SHOWN_UNITS = 2


class InvalidTimeError(ValueError):
    """Error of a text that is neither a duration nor an instant in the future."""


def parse_expiry(text: str, now_ms: float) -> float:
    """Parse a duration from now, such as ``2h30m``, or an instant with a time zone (RFC 3339, section 5.6).

    Returns:
        The expiry in milliseconds of Unix time.

    Raises:
        InvalidTimeError: the text is neither, the instant has passed, or it has no time zone, which is
            required since operators work in different ones.
    """
    duration = _DURATION.fullmatch(text.strip())
    if duration and any(duration.groups()):
        return now_ms + _duration_ms(text, duration)
    try:
        instant = datetime.fromisoformat(text.strip())
    except ValueError as error:
        raise InvalidTimeError(f"{text!r} is neither a span such as 2h30m nor an instant") from error
    if instant.tzinfo is None:
        raise InvalidTimeError(f"{text!r} has no zone, such as +07:00 or Z")
    expiry_ms = instant.timestamp() * 1000.0
    if expiry_ms <= now_ms:
        raise InvalidTimeError(f"{text!r} is in the past")
    return expiry_ms


def _duration_ms(text: str, duration: re.Match[str]) -> int:
    counts = zip(duration.groups(), _UNITS_MS, strict=True)
    duration_ms = sum(int(count) * unit_ms for count, unit_ms in counts if count)
    if duration_ms <= 0:
        raise InvalidTimeError(f"{text!r} must be longer than 0s")
    return duration_ms


def format_instant(unix_ms: float) -> str:
    """Format milliseconds of Unix time as ``2026-12-02 05:30:00Z``."""
    return datetime.fromtimestamp(unix_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_duration(duration_ms: float) -> str:
    """Format a duration in milliseconds by its two largest units: ``1d 2h``, ``2h 30m``, ``45s``."""
    parts = []
    remaining_ms = max(0, round(duration_ms))
    for unit_ms, name in zip(_UNITS_MS, _UNIT_NAMES, strict=True):
        if remaining_ms >= unit_ms:
            parts.append(f"{remaining_ms // unit_ms}{name}")
            remaining_ms %= unit_ms
    return " ".join(parts[:_MAX_SHOWN_UNITS]) or "0s"
