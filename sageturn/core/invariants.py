"""Invariants that are checked while the relay runs: violations are counted and logged, and most prevented.

Each is checked by a guard beside the state that it is about; ``docs/design/invariants.md`` lists the guards.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Invariant(StrEnum):
    """Names the rules that hold whatever happens. The values appear in logs."""

    SINGLE_ATTEMPT = "single_attempt"  # a request has one attempt in flight at most
    ATTEMPT_LIMIT = "attempt_limit"  # it has no more attempts than the settings allow
    REPEATABLE = "repeatable"  # what may have been executed is repeated only where that is harmless
    RESPONSE_IN_TIME = "response_in_time"  # the final response comes before it is worth nothing
    ANSWERED = "answered"  # no client that is still there is closed without an answer
    SLOW_START_PERMIT = "slow_start_permit"  # an endpoint in slow start is sent no attempt without a permit


class InvariantMonitor:
    """Counts violations since the start. A relay whose counts are not all 0 has a fault of its own."""

    def __init__(self) -> None:
        self.violations: Counter[str] = Counter()  # by ``Invariant``

    def report_violation(self, invariant: Invariant, log_id: str, detail: str) -> None:
        """Count and log one violation. ``log_id`` is the id by which the log names the request."""
        self.violations[invariant] += 1
        log.error("invariant violated invariant=%s request=%s detail=%r", invariant.value, log_id, detail)
