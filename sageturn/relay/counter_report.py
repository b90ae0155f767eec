"""Logs the relay's counters periodically, and once more when the relay stops.

The platform gives a relay neither a port for metrics nor a disk, so operators read the counters in the log.
"""

from __future__ import annotations

import asyncio
import logging

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.request_counters import format_counts

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 60.0


class CounterReporter:
    """Actor that logs all counters periodically. They are totals, so a lost log line loses no count."""

    def __init__(self, balancer_actor: BalancerActor) -> None:
        self._balancer_actor = balancer_actor

    async def run(self) -> None:
        """Log the counters at each interval until cancelled, and then once more."""
        try:
            while True:
                await asyncio.sleep(REPORT_INTERVAL_S)
                self.report()
        finally:
            self.report()

    def report(self) -> None:
        """Log one line with all counters."""
        counters = self._balancer_actor.counters
        log.info(
            "request counters requests=%d established=%d attempts=%d failed_attempts=%s blocked_sends=%s"
            " rejected=%s failed=%s invariant_violations=%s adopted=%d failed_adoptions=%s",
            counters.requests,
            counters.established,
            counters.attempts,
            format_counts(counters.failed_attempts),
            format_counts(counters.blocked_sends),
            format_counts(counters.rejected),
            format_counts(counters.failed),
            format_counts(self._balancer_actor.monitor.violations),
            counters.adopted,
            format_counts(counters.failed_adoptions),
        )
