"""Counters of the outcomes of requests and attempts since the start, for the log's periodic line."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from sageturn.core.messages import FinalResponse


class SendBlock(StrEnum):
    """Reasons for not writing an attempt that the balancer has placed."""

    CLIENT_DISCONNECTED = "client_gone"
    SHUTDOWN = "shutdown"
    KEY_EXPIRED = "key_expired"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_WITHDRAWN = "endpoint_withdrawn"
    INVARIANT = "invariant"
    SLOW_START = "slow_start"


@dataclass(slots=True)
class RequestCounters:
    """Counters of outcomes in one relay. Keys are the values that the log lines show."""

    requests: int = 0
    established: int = 0
    adopted: int = 0  # established connections that an earlier process of the relay had established
    attempts: int = 0
    failed_attempts: Counter[str] = field(default_factory=Counter)  # number by close reason
    blocked_sends: Counter[str] = field(default_factory=Counter)  # number by ``SendBlock``
    rejected: Counter[str] = field(default_factory=Counter)  # number by cause
    failed: Counter[str] = field(default_factory=Counter)  # number by cause
    failed_adoptions: Counter[str] = field(default_factory=Counter)  # number by the last close reason

    def count_response(self, response: FinalResponse) -> None:
        """Count a final response, i.e. a request that is not served."""
        (self.rejected if response.rejected else self.failed)[response.cause] += 1


def format_counts(counts: Counter[str]) -> str:
    """Return ``name:count`` pairs in the order of the names; ``-`` for none."""
    return ",".join(f"{name}:{counts[name]}" for name in sorted(counts)) or "-"
