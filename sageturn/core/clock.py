"""One clock for all that the decision module sees."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds that never goes back.

    Discovery tells starts in Unix time, so the module's clock has to share that zero; deadlines must
    survive a step of the system's clock, so only the start is read from it.
    """

    def __init__(self) -> None:
        self._zero_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        return self._zero_ms + time.monotonic() * 1000.0
