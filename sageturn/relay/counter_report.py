"""Writes the relay's counts to the log: at an interval, and once more as it stops.

The platform gives a relay no port for metrics and no disk, so the log is where they are read.
"""

from __future__ import annotations

import asyncio
import logging

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.request_counters import format_counts

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 60.0


class CounterReporter:
    """An actor that logs all counts at an interval. They are totals: a line that is lost costs nothing."""

    def __init__(self, balancer_actor: BalancerActor) -> None:
        self._balancer_actor = balancer_actor

    async def run(self) -> None:
        """Report at the interval until cancelled, and then a last time."""
        try:
            while True:
                await asyncio.sleep(REPORT_INTERVAL_S)
                self.report()
        finally:
            self.report()

    def report(self) -> None:
        """Write one line with all counts."""
        counters = self._balancer_actor.counters
        log.info(
            "request counters requests=%d established=%d attempts=%d failed_attempts=%s blocked_sends=%s"
            " rejected=%s failed=%s invariant_violations=%s",
            counters.requests,
            counters.established,
            counters.attempts,
            format_counts(counters.failed_attempts),
            format_counts(counters.blocked_sends),
            format_counts(counters.rejected),
            format_counts(counters.failed),
            format_counts(self._balancer_actor.monitor.violations),
        )
