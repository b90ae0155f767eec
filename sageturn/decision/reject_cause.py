"""The causes for which a request is ended without being served."""

from __future__ import annotations

from enum import StrEnum


class RejectCause(StrEnum):
    """The cause for which a request was ended without being served, for logs and counters only."""

    THROTTLED = "throttled"  # its tenant's bucket is empty, or the tenant holds too much
    LATE = "late"  # its deadline has passed, or a retry would miss the latency objective
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    QUOTA = "quota"  # the relay holds its quota of all connections
    SETUP_WINDOW = "setup_window"  # the relay has as many set-ups in flight as it may, or pauses
    NO_ENDPOINT = "no_endpoint"  # no ready endpoint may be sent the request now
    MAY_HAVE_RUN = "may_have_run"  # an attempt may have been executed, and may not be repeated
