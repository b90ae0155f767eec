"""The token bucket that bounds how many bytes a replica sends per second."""

from __future__ import annotations

MAX_DEBT_S = 4.0  # seconds of the rate that urgent messages may overdraw


class ByteBudget:
    """Token bucket, as in RFC 2697, that bounds the bytes sent by all sessions of a replica together.

    Urgent messages may overdraw it by ``debt`` bytes; all others then wait until the debt is repaid.
    At most ``rate * t + burst + debt`` bytes, plus one chunk, are consumed in any ``t`` seconds.
    Times are monotonic seconds that the caller passes in.
    """

    def __init__(self, rate: float, now: float) -> None:
        """Create a full bucket; ``rate`` is bytes per second."""
        self.rate = rate
        self.burst = rate
        self.debt = MAX_DEBT_S * rate
        self.consumed_bytes = 0
        self._available = self.burst
        self._refilled_at = now

    def available_bytes(self, now: float, urgent: bool = False) -> float:
        """Return the bytes that may be sent now; negative while the bucket is overdrawn."""
        refill = (now - self._refilled_at) * self.rate
        self._available = min(self.burst, self._available + refill)
        self._refilled_at = now
        return self._available + self.debt if urgent else self._available

    def consume(self, now: float, size: int) -> None:
        """Account for ``size`` bytes sent, which may exceed the budget."""
        self.available_bytes(now)
        self._available -= size
        self.consumed_bytes += size

    def available_at(self, now: float, size: float, urgent: bool = False) -> float:
        """Return when ``size`` bytes are available; ``size`` must not exceed the burst."""
        missing = max(0.0, size - self.available_bytes(now, urgent))
        return now + missing / self.rate
