"""Gives the memory of ended connections back to the system, and logs the memory budget's figures."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from sageturn.net.memory_budget import MemoryBudget

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 60.0
MIN_RELEASED_BYTES = 2 << 20  # released memory that is worth a walk over the heap


def trim_heap() -> None:
    """Return free memory within the heap to the system, where glibc would keep it.

    Where Python has no ``ctypes``, or the C library no such call, the memory stays with the process.
    """
    try:
        import ctypes  # not needed by a relay whose clients never leave many at a time

        ctypes.CDLL(None).malloc_trim(0)
    except (ImportError, OSError, AttributeError) as error:
        log.debug("heap not trimmed reason=%r", error)


class ConnectionMemoryMonitor:
    """Actor that trims the heap once connections have given memory back, and reports the budget."""

    def __init__(self, budget: MemoryBudget, trim: Callable[[], None] = trim_heap) -> None:
        self._budget = budget
        self._trim = trim

    async def run(self) -> None:
        """Check and report until cancelled, and then report once more."""
        loop = asyncio.get_running_loop()
        next_report_s = loop.time() + REPORT_INTERVAL_S
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self.check()
                if loop.time() >= next_report_s:
                    next_report_s += REPORT_INTERVAL_S
                    self.report()
        finally:
            self.report()

    def check(self) -> None:
        """Trim the heap if enough memory was given back since the last time."""
        if self._budget.take_release(MIN_RELEASED_BYTES):
            self._trim()

    def report(self) -> None:
        """Log one line with the budget's figures."""
        log.info(
            "connection memory used_bytes=%d peak_bytes=%d limit_bytes=%d shed=%d rejected=%d",
            self._budget.used_bytes,
            self._budget.peak_bytes,
            self._budget.limits.max_bytes,
            self._budget.shed_connections,
            self._budget.rejected_connections,
        )
