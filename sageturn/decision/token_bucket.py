"""Token bucket whose rate and capacity the caller sets at each refill."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Counter of tokens. Times are milliseconds of one clock, rates are tokens per millisecond."""

    tokens: float
    updated_ms: float = 0.0

    def refill(self, now_ms: float, refill_per_ms: float, capacity: float) -> None:
        """Add the tokens since the last refill, up to ``capacity``; an infinite rate fills the bucket."""
        if refill_per_ms == float("inf"):
            self.tokens = capacity
        else:
            self.tokens = min(capacity, self.tokens + refill_per_ms * (now_ms - self.updated_ms))
        self.updated_ms = now_ms

    def try_take(self) -> bool:
        """Take one token if there is a whole one. Return True if it was taken."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, refill_per_ms: float) -> float:
        """Return the time until there is a whole token, at a rate above 0."""
        return (1.0 - self.tokens) / refill_per_ms
