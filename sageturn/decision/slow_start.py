"""Rate limit of the attempts that all relays together send to an endpoint in slow start.

The settings allow an endpoint that has just started N attempts per window: a multiple of the rate that fills
it evenly over its warm-up, scaled by the part of its capacity that it has by then. Up to ``2 * sqrt(N) + 2``
further attempts are tolerated as random variation. Only the sum over all relays counts, so the budget is
issued as permits for one attempt, each of which belongs to one relay. Relays know the endpoint's start, the
settings and their own numbers, so they agree on the owner of each permit without communicating.

A permit that is not taken in time expires, because otherwise the permits of all relays would accumulate until
a burst takes them in one window. The tolerance covers the time for which permits stay valid.

The module is pure: it has no clock and does no I/O, and its randomness is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import gcd, sqrt
from random import Random

from sageturn.decision.quotas import warm_up_ratio
from sageturn.decision.settings import Settings

GOLDEN_RATIO = 0.6180339887498949  # the fractional parts of its multiples are spread evenly
ROUNDING_MARGIN = 2.0  # attempts per window kept unissued, as permits are whole and sizes are estimated
MAX_STEP_MS = 500.0  # longest step in which the rate of permits is taken as constant
RANDOM_PERMIT_DEVIATIONS = 3.0  # margin in standard deviations if relays do not know their numbers
MIN_VALIDITY_WINDOWS = 0.25  # a permit is valid for at least this part of a window


def max_attempts_per_window(budget: float) -> float:
    """Return the attempts that an endpoint tolerates in a window for which the settings allow ``budget``."""
    return budget + 2.0 * sqrt(budget) + 2.0


@dataclass(slots=True)
class PermitCount:
    """Counter of the permits that one relay was issued for one start of an endpoint."""

    counted_age_ms: float  # age of the endpoint up to which permits are counted
    issued: float  # includes the fraction of the next one
    spent: int = 0  # permits that were taken by an attempt or have expired


@dataclass(slots=True)
class SlowStartState:
    """State of one start of an endpoint at one relay."""

    first_seen_age_ms: float  # age of the endpoint when the relay was notified of it
    rounding_offset: float  # offset from 0 to 1 that rounds the relay's part of the endpoint's capacity
    permits: PermitCount | None = None  # None until the first one is asked for


@dataclass(slots=True)
class PermitRate:
    """Rate and validity of the permits of one relay at one moment."""

    per_ms: float
    validity_ms: float  # time until a permit that is not taken expires


class SlowStartBudget:
    """Issuer of one relay's permits for endpoints in slow start, by its index among the relays."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Create the budget of relay ``settings.index``; without a valid index ``rng`` replaces it."""
        self.overdrawn_permits = 0  # attempts that were sent without a permit, which is a fault
        self._rng = rng
        self._overload_multiple = settings.cold_overload_multiple
        self._window_ms = max(1.0, settings.cold_overload_window_ms)
        self._slow_start_ms = max(1.0, settings.slow_start_ms)
        self._initial_capacity_ratio = settings.initial_capacity_ratio
        self._relay_count = settings.relay_count
        is_numbered = settings.index is not None and settings.index < settings.relay_count
        self._index = settings.index if is_numbered else None
        # Mean time between two requests at one relay.
        request_gap_ms = 1000.0 * settings.relay_count / settings.total_allowance_per_s()
        # The longer permits are valid, the fewer expire, but the fewer can be issued.
        self._target_validity_ms = sqrt(request_gap_ms * self._window_ms)
        # A large stride spreads neighbouring relays, and the relays of one zone, as evenly as all relays.
        self._stride = max(1, round(self._relay_count * GOLDEN_RATIO))
        while gcd(self._stride, self._relay_count) > 1:
            self._stride += 1

    def rounding_offset(self, key: int) -> float:
        """Return the offset, from 0 to 1, that rounds this relay's part of what all relays share.

        The offsets of all relays are evenly spread, so that their rounded parts add up to the whole.

        Args:
            key: Identifies what is shared, such as the hash of an endpoint's name.
        """
        if self._index is None:
            return self._rng.random()
        return ((self._index * self._stride + key) % self._relay_count + 0.5) / self._relay_count

    def _permit_rate(self, age_ms: float, warm_connections: float, eligible_relays: float) -> PermitRate:
        """Return the rate at the endpoint's age; the other arguments are as in ``has_permit``."""
        warm_up = warm_up_ratio(age_ms, self._slow_start_ms, self._initial_capacity_ratio)
        warm_connections = max(1.0, warm_connections)
        budget = self._overload_multiple * warm_connections * warm_up * self._window_ms / self._slow_start_ms
        margin = ROUNDING_MARGIN
        if self._index is None:
            margin += RANDOM_PERMIT_DEVIATIONS * sqrt(min(budget, eligible_relays / 4.0))
        attempts = max(1.0, max_attempts_per_window(budget) - margin)
        # The tolerance beyond the budget is used for the validity first, and only then for a higher rate.
        max_validity_ms = max(MIN_VALIDITY_WINDOWS, attempts / budget - 1.0) * self._window_ms
        validity_ms = min(self._target_validity_ms, max_validity_ms)
        per_ms = attempts / (self._window_ms + validity_ms) / max(1.0, eligible_relays)
        return PermitRate(per_ms, validity_ms)

    def _issue_permits(
        self, permits: PermitCount, age_ms: float, warm_connections: float, eligible_relays: float
    ) -> None:
        """Issue permits up to ``age_ms``, in steps: a relay that seldom asks gets as many as others."""
        while permits.counted_age_ms < age_ms:
            step_ms = min(MAX_STEP_MS, age_ms - permits.counted_age_ms)
            middle_ms = permits.counted_age_ms + step_ms / 2.0
            rate = self._permit_rate(middle_ms, warm_connections, eligible_relays)
            permits.issued += rate.per_ms * step_ms
            permits.counted_age_ms += step_ms

    def has_permit(
        self, start: SlowStartState, age_ms: float, warm_connections: float, eligible_relays: float
    ) -> bool:
        """Return True if this relay may send the endpoint an attempt now.

        Args:
            start: The endpoint's start.
            age_ms: The endpoint's age now.
            warm_connections: Connections of all relays that the endpoint holds once it is warm.
            eligible_relays: Relays that share the permits. If the endpoint can hold fewer connections than
                there are relays, the permits of those that may not place one there would be wasted.
        """
        if start.permits is None:
            start.permits = self._first_permits(start, warm_connections, eligible_relays)
        permits = start.permits
        self._issue_permits(permits, age_ms, warm_connections, eligible_relays)
        rate = self._permit_rate(age_ms, warm_connections, eligible_relays)
        permits.spent = max(permits.spent, int(permits.issued - rate.per_ms * rate.validity_ms))
        return int(permits.issued) > permits.spent

    def _first_permits(
        self, start: SlowStartState, warm_connections: float, eligible_relays: float
    ) -> PermitCount:
        """Return the permits issued until the endpoint was first seen, all of them spent."""
        issued = start.rounding_offset
        if self._index is not None:
            # Spread the first permits of neighbouring offsets over the time in which one permit is issued.
            issued = (1.0 - start.rounding_offset) * self._relay_count * GOLDEN_RATIO % 1.0
        permits = PermitCount(0.0, issued)
        self._issue_permits(permits, max(0.0, start.first_seen_age_ms), warm_connections, eligible_relays)
        # Another relay may have taken the permits issued before this one was notified, and have stopped.
        permits.spent = int(permits.issued)
        return permits

    def take_permit(self, start: SlowStartState) -> None:
        """Spend a permit on an attempt; an attempt for which there is none is counted as overdrawn."""
        permits = start.permits
        if permits is None:
            self.overdrawn_permits += 1
            return
        if int(permits.issued) <= permits.spent:
            self.overdrawn_permits += 1
        permits.spent += 1
