"""The one clock of everything that the balancer sees."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds that never goes back.

    Discovery gives start times in Unix time, so the balancer's clock has to share that epoch; deadlines must
    survive a step of the system's clock, so the epoch's offset is read once.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        """Unix time in milliseconds; it never goes back."""
        return self._offset_ms + time.monotonic() * 1000.0
