"""The clock of expiries: relays and commands on different machines share only the system's time."""

from __future__ import annotations

import time


def unix_time_ms() -> float:
    """Returns the system's time in milliseconds of Unix time."""
    return time.time() * 1000.0
