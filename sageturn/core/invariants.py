"""Invariants that are checked while the relay runs: violations are counted and logged, and most prevented.

Each is checked by a guard next to the state that it concerns; ``docs/design/invariants.md`` lists the guards.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum

log = logging.getLogger(__name__)


class Invariant(StrEnum):
    """Rules that must always hold. The values appear in logs."""

    SINGLE_ATTEMPT = "single_attempt"  # a request has at most one attempt in flight
    ATTEMPT_LIMIT = "attempt_limit"  # a request has no more attempts than the settings allow
    REPEATABLE = "repeatable"  # a request that may have been executed is repeated only if that is harmless
    RESPONSE_IN_TIME = "response_in_time"  # the final response is sent before the client counts it as lost
    ANSWERED = "answered"  # a connected client is answered before its connection is closed
    SLOW_START_PERMIT = "slow_start_permit"  # an endpoint in slow start is sent attempts only with a permit


class InvariantMonitor:
    """Counter of violations since the start. Any violation means that the relay itself has a fault."""

    def __init__(self) -> None:
        self.violations: Counter[str] = Counter()  # number of violations by ``Invariant``

    def report_violation(self, invariant: Invariant, log_id: str, detail: str) -> None:
        """Count and log one violation. ``log_id`` is the id of the request in log lines."""
        self.violations[invariant] += 1
        log.error("invariant violated invariant=%s request=%s detail=%r", invariant.value, log_id, detail)
