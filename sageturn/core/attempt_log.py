"""Logs failed attempts, so that the log explains the retry or the final response that follows."""

from __future__ import annotations

import logging

from sageturn.core.close_reason import CloseReason, may_have_been_executed

log = logging.getLogger(__name__)


def log_failed_attempt(
    log_id: str, attempt: int, endpoint: str, close_reason: CloseReason, duration_ms: float
) -> None:
    """Log one failed attempt.

    Args:
        log_id: id of the request in log lines.
        attempt: index of the attempt, counted from 0; the log counts from 1.
        endpoint: name of the endpoint.
        close_reason: reason for the failure.
        duration_ms: duration of the attempt.
    """
    log.info(
        "attempt failed request=%s attempt=%d endpoint=%s reason=%s duration_s=%.3f may_have_run=%s",
        log_id,
        attempt + 1,
        endpoint,
        close_reason.name.lower(),
        duration_ms / 1000.0,
        str(may_have_been_executed(close_reason)).lower(),
    )
