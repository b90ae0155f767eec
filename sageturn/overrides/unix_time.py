"""Clock for expiries: Unix time is the only clock that relays and commands on different machines share."""

from __future__ import annotations

import time


def unix_time_ms() -> float:
    """Return the system's time in milliseconds of Unix time."""
    return time.time() * 1000.0
