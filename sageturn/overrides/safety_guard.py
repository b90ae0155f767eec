"""Suspends overrides that would leave less capacity than the safety limits require.

Overrides are admitted in the order in which they were created. One that would leave less than the minimum of
the listed capacity, in total, in a zone, or for a pinned class, is suspended unless it was forced. So of two
that are fine alone but too much together the later one waits, at every relay.
"""

from __future__ import annotations

from sageturn.decision import Endpoint, EndpointStatus
from sageturn.overrides.model import Override
from sageturn.overrides.options import SafetyLimits

TOTAL = ""  # the pool of the whole fleet, beside the pool of each zone
ROUNDING_TOLERANCE = 1e-9  # in shares


def _pools(endpoint: Endpoint) -> tuple[str, ...]:
    """Returns the capacity pools in which an endpoint counts."""
    return (TOTAL, endpoint.zone) if endpoint.zone else (TOTAL,)


class SafetyGuard:
    """Accounts for the capacity of each pool: what ready endpoints offer, and what overrides leave of it."""

    def __init__(self, limits: SafetyLimits) -> None:
        self.limits = limits
        self.suspended: dict[str, str] = {}  # by override id: why, with figures
        self.available: dict[str, float] = {}  # by pool
        self._total: dict[str, float] = {}  # by pool
        self._factors: dict[str, float] = {}  # by endpoint; absent: 1.0

    # ------------------------------------------------------------ endpoints

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Counts an endpoint that was listed."""
        self._count(endpoint, 1)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Stops counting an endpoint that has changed or is gone."""
        self._count(endpoint, -1)

    def forget_factor(self, name: str) -> None:
        """Drops the factor of an endpoint that has left the list."""
        self._factors.pop(name, None)

    def restore_weight(self, endpoint: Endpoint) -> None:
        """Gives an endpoint its full weight back, on which the last override that reduced it has ended."""
        previous = self._factors.pop(endpoint.name, 1.0)
        if endpoint.state == EndpointStatus.READY:
            for pool in _pools(endpoint):
                self.available[pool] += (1.0 - previous) * endpoint.share

    def _count(self, endpoint: Endpoint, sign: int) -> None:
        if endpoint.state != EndpointStatus.READY:
            return
        factor = self._factors.get(endpoint.name, 1.0)
        for pool in _pools(endpoint):
            self._total[pool] = self._total.get(pool, 0.0) + sign * endpoint.share
            self.available[pool] = self.available.get(pool, 0.0) + sign * endpoint.share * factor

    # ------------------------------------------------------------ overrides

    def reset(self) -> None:
        """Forgets all admitted and suspended overrides."""
        self.suspended.clear()
        self._factors.clear()
        self.available = dict(self._total)

    def admit_selected(self, override: Override, endpoints: list[Endpoint]) -> None:
        """Admits or suspends an override with a selector that comes after all that were admitted so far."""
        target_factor = override.payload.target_factor
        reduced = [
            endpoint for endpoint in endpoints if target_factor < self._factors.get(endpoint.name, 1.0)
        ]
        reductions = self._reductions(reduced, target_factor)
        if not override.forced:
            violation = self._violation(reductions)
            if violation is not None:
                self.suspended[override.id] = violation
                return
        for endpoint in reduced:
            self._factors[endpoint.name] = target_factor
        for pool, reduction in reductions.items():
            self.available[pool] -= reduction

    def admit_pin(self, override: Override, endpoints: list[Endpoint]) -> None:
        """Suspends a strict pin whose listed endpoints offer too little."""
        if override.forced:
            return
        available = sum(
            endpoint.share * self._factors.get(endpoint.name, 1.0)
            for endpoint in endpoints
            if endpoint.state == EndpointStatus.READY
        )
        total = self._total.get(TOTAL, 0.0)
        min_ratio = self.limits.min_pin_ratio
        # With none of its endpoints available a strict pin stays in force: its traffic may go nowhere else.
        if available > 0 and available < min_ratio * total - ROUNDING_TOLERANCE:
            self.suspended[override.id] = (
                f"would leave {available:.1f} of {total:.1f} to what it pins, "
                f"under its floor of {min_ratio:.0%}"
            )

    def _reductions(self, endpoints: list[Endpoint], target_factor: float) -> dict[str, float]:
        """Returns by pool the capacity that is lost when these endpoints get the target factor."""
        reductions: dict[str, float] = {}
        for endpoint in endpoints:
            if endpoint.state != EndpointStatus.READY:
                continue
            factor = self._factors.get(endpoint.name, 1.0)
            for pool in _pools(endpoint):
                reductions[pool] = reductions.get(pool, 0.0) + (factor - target_factor) * endpoint.share
        return reductions

    def _violation(self, reductions: dict[str, float]) -> str | None:
        """Returns which limit these reductions would violate first, with figures; None if none.

        A pool that was below its limit before counts too: the override would make it worse.
        """
        for pool, reduction in sorted(reductions.items()):
            total = self._total[pool]
            available = self.available[pool] - reduction
            min_ratio = self.limits.min_zone_ratio if pool else self.limits.min_total_ratio
            if available < min_ratio * total - ROUNDING_TOLERANCE:
                where = f"zone {pool}" if pool else "all"
                figures = f"would leave {max(0.0, available):.1f} of {total:.1f} in {where}"
                return f"{figures}, under its floor of {min_ratio:.0%}"
        return None
