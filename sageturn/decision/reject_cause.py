"""Causes of ending a request without serving it."""

from __future__ import annotations

from enum import StrEnum


class RejectCause(StrEnum):
    """Cause of ending a request without serving it, used in logs and counters only."""

    THROTTLED = "throttled"  # its tenant's bucket is empty, or the tenant is over its quota
    LATE = "late"  # its deadline has passed, or a retry would miss the latency objective
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    QUOTA = "quota"  # the relay holds its quota of all connections
    SETUP_WINDOW = "setup_window"  # the relay's set-up window is full, or paused
    NO_ENDPOINT = "no_endpoint"  # no ready endpoint may be sent the request now
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have been executed, and may not be repeated
