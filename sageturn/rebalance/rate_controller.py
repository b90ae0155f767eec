"""Limits migrations by a token bucket whose rate rises in steps and is halved by an overload signal."""

from __future__ import annotations

from random import Random

from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.overload_signals import STOP_SIGNALS, OverloadSignal

# The divisors give rates as fractions of the maximum rate.
INITIAL_RATE_DIVISOR = 8.0  # upper bound of the rate at the start and after each stop
RATE_STEP_DIVISOR = 16.0  # amount of one raise
RATE_STEP_INTERVAL_MS = 5000.0  # minimum time between two raises
RATE_CUT_INTERVAL_MS = 5000.0  # minimum time between two cuts, so that the first can take effect
SETTLING_TIME_MS = 20000.0  # pause in migrations at the start and after a stop signal
MIN_RATE_DIVISOR = 64.0  # lower bound: a cut at or under this rate stops migrations


class MigrationRateController:
    """Token bucket: in any ``t`` seconds it grants at most ``burst`` plus ``t`` times the maximum rate.

    Migrations by others (the balancer, a drain) are never delayed, only charged: the token count may become
    negative.
    """

    def __init__(self, options: RebalanceOptions, relay_count: int, random: Random) -> None:
        self.options = options
        self._relay_count = relay_count
        self._random = random
        self.rate = 0.0  # migrations per second
        self.tokens = 0.0
        self.stopped_until_ms: float | None = None  # None before the first update
        self.last_signal: OverloadSignal | None = None  # None after the rate was raised
        self._updated_ms = 0.0
        self._raised_ms = 0.0
        self._cut_ms = 0.0

    def max_rate(self, connection_count: int) -> float:
        """Return the maximum rate in migrations per second, for a relay with this number of connections."""
        max_rate = self.options.part_per_min * connection_count / 60.0
        if self.options.fleet_per_s > 0:
            max_rate = min(max_rate, self.options.fleet_per_s / self._relay_count)
        return max_rate

    def is_stopped(self, now_ms: float) -> bool:
        """Return True if nothing may be migrated: in the settling time, or while the rate is 0."""
        return self.stopped_until_ms is None or now_ms < self.stopped_until_ms or not self.rate

    @property
    def stop_reason(self) -> str:
        """Text that explains to operators why migrations are stopped."""
        signal = self.last_signal
        return f"{signal.value}: {signal.explanation}" if signal else "settling after a start"

    def update(
        self, now_ms: float, connection_count: int, signals: list[OverloadSignal], no_slow_returns: bool
    ) -> None:
        """Refill the bucket and adjust the rate. To be called once a tick.

        Args:
            now_ms: The relay's time.
            connection_count: This relay's established connections.
            signals: The overload signals that hold, in their order of precedence.
            no_slow_returns: True if no migrated client's set-up has exceeded its class's latency objective
                since the last tick.
        """
        stopped_until_ms = self.stopped_until_ms
        if stopped_until_ms is None:
            stopped_until_ms = self._stop(now_ms)
        max_rate = self.max_rate(connection_count)
        if now_ms >= stopped_until_ms:
            elapsed_ms = now_ms - max(self._updated_ms, stopped_until_ms)
            self._refill(now_ms, elapsed_ms, max_rate, may_start=not signals)
        self._updated_ms = now_ms
        stop_signals = [signal for signal in signals if signal in STOP_SIGNALS]
        if stop_signals:
            self.last_signal = stop_signals[0]
            self._stop(now_ms)
        elif signals:
            self.last_signal = signals[0]
            if now_ms >= self._cut_ms + RATE_CUT_INTERVAL_MS:
                self._cut_rate(now_ms, max_rate)
        elif no_slow_returns and now_ms >= max(self._raised_ms, self._cut_ms) + RATE_STEP_INTERVAL_MS:
            self._raise_rate(now_ms, min(max_rate, self.rate + max_rate / RATE_STEP_DIVISOR))

    def try_acquire(self, migration_count: int) -> bool:
        """Take one token per migration. Return False, and take none, if there are too few."""
        if self.tokens < migration_count:
            return False
        self.tokens -= migration_count
        return True

    def charge(self, migration_count: int) -> None:
        """Take one token per migration by others, even if the token count becomes negative.

        The debt is limited to one burst; a larger one would block migrations long after its cause is over.
        """
        self.tokens = max(-float(self.options.burst), self.tokens - migration_count)

    def _refill(self, now_ms: float, elapsed_ms: float, max_rate: float, may_start: bool) -> None:
        if not self.rate and may_start:
            # The random factor keeps relays that an outage has stopped together from resuming together.
            initial_rate = max_rate / INITIAL_RATE_DIVISOR * (0.5 + 0.5 * self._random.random())
            self._raise_rate(now_ms, initial_rate)
        self.rate = min(self.rate, max_rate)
        self.tokens = min(float(self.options.burst), self.tokens + self.rate * elapsed_ms / 1000.0)

    def _raise_rate(self, now_ms: float, rate: float) -> None:
        self.rate = rate
        self._raised_ms = now_ms
        self.last_signal = None

    def _cut_rate(self, now_ms: float, max_rate: float) -> None:
        self._cut_ms = now_ms
        self._raised_ms = now_ms
        self.rate = self.rate / 2.0 if self.rate > max_rate / MIN_RATE_DIVISOR else 0.0
        self.tokens = min(self.tokens, self.tokens / 2.0)

    def _stop(self, now_ms: float) -> float:
        """Stop migrations for the settling time. Return the time at which it ends."""
        self.rate = 0.0
        self.tokens = min(0.0, self.tokens)
        self.stopped_until_ms = now_ms + SETTLING_TIME_MS
        return self.stopped_until_ms
