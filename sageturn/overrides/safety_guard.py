"""Suspends overrides that would leave less capacity than the safety limits require.

Overrides are admitted in order of creation. An override that would leave less than the minimum ratio of the
ready capacity, in total, in a zone, or for the requests of a strict pin, is suspended unless it was forced.
If two overrides violate a limit only together, every relay therefore suspends the later one.
"""

from __future__ import annotations

from sageturn.decision import Endpoint, EndpointStatus
from sageturn.overrides.model import Override
from sageturn.overrides.options import SafetyLimits

TOTAL_POOL = ""  # pool of the whole fleet; the other pools are the zones
ROUNDING_TOLERANCE = 1e-9  # slack of limit checks, in units of ``Endpoint.weight``


def _pools(endpoint: Endpoint) -> tuple[str, ...]:
    """Return the capacity pools to which an endpoint belongs."""
    return (TOTAL_POOL, endpoint.zone) if endpoint.zone else (TOTAL_POOL,)


class SafetyGuard:
    """Account of each pool's capacity: the total of its ready endpoints, and the part left by overrides."""

    def __init__(self, limits: SafetyLimits) -> None:
        self.limits = limits
        self.suspended: dict[str, str] = {}  # reasons with figures, by override id
        self.available: dict[str, float] = {}  # capacity left by overrides, by pool
        self._total: dict[str, float] = {}  # capacity without overrides, by pool
        self._factors: dict[str, float] = {}  # weight factors by endpoint; 1.0 if absent

    # ------------------------------------------------------------ endpoints

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Add the capacity of a listed endpoint."""
        self._update_capacity(endpoint, 1)

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Subtract the capacity of an endpoint that has changed or was removed from the list."""
        self._update_capacity(endpoint, -1)

    def discard_factor(self, name: str) -> None:
        """Drop the factor of an endpoint that was removed from the list."""
        self._factors.pop(name, None)

    def restore_weight(self, endpoint: Endpoint) -> None:
        """Restore the full weight of an endpoint after the last override that reduced it has ended."""
        previous = self._factors.pop(endpoint.name, 1.0)
        if endpoint.state == EndpointStatus.READY:
            for pool in _pools(endpoint):
                self.available[pool] += (1.0 - previous) * endpoint.weight

    def _update_capacity(self, endpoint: Endpoint, sign: int) -> None:
        if endpoint.state != EndpointStatus.READY:
            return
        factor = self._factors.get(endpoint.name, 1.0)
        for pool in _pools(endpoint):
            self._total[pool] = self._total.get(pool, 0.0) + sign * endpoint.weight
            self.available[pool] = self.available.get(pool, 0.0) + sign * endpoint.weight * factor

    # ------------------------------------------------------------ overrides

    def reset(self) -> None:
        """Clear all admitted and suspended overrides."""
        self.suspended.clear()
        self._factors.clear()
        self.available = dict(self._total)

    def admit_selected(self, override: Override, endpoints: list[Endpoint]) -> None:
        """Admit or suspend an override with a selector; the caller passes overrides in admission order."""
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
        """Suspend a strict pin whose listed endpoints have too little capacity."""
        if override.forced:
            return
        available = sum(
            endpoint.weight * self._factors.get(endpoint.name, 1.0)
            for endpoint in endpoints
            if endpoint.state == EndpointStatus.READY
        )
        total = self._total.get(TOTAL_POOL, 0.0)
        min_ratio = self.limits.min_pin_ratio
        # A strict pin without any available endpoint stays in force: its requests may use no other endpoint.
        if available > 0 and available < min_ratio * total - ROUNDING_TOLERANCE:
            self.suspended[override.id] = (
                f"would leave {available:.1f} of {total:.1f} to what it pins, "
                f"under its floor of {min_ratio:.0%}"
            )

    def _reductions(self, endpoints: list[Endpoint], target_factor: float) -> dict[str, float]:
        """Return the capacity, by pool, that setting the target factor on these endpoints removes."""
        reductions: dict[str, float] = {}
        for endpoint in endpoints:
            if endpoint.state != EndpointStatus.READY:
                continue
            factor = self._factors.get(endpoint.name, 1.0)
            for pool in _pools(endpoint):
                reductions[pool] = reductions.get(pool, 0.0) + (factor - target_factor) * endpoint.weight
        return reductions

    def _violation(self, reductions: dict[str, float]) -> str | None:
        """Return the reason, with figures, if these reductions would violate a limit; None if they would not.

        The reason is that of the first pool by name. A pool that is already under its limit counts as a
        violation too, since the override would reduce it further.
        """
        for pool, reduction in sorted(reductions.items()):
            total = self._total[pool]
            available = self.available[pool] - reduction
            min_ratio = self.limits.min_zone_ratio if pool else self.limits.min_total_ratio
            if available < min_ratio * total - ROUNDING_TOLERANCE:
                scope = f"zone {pool}" if pool else "all"
                figures = f"would leave {max(0.0, available):.1f} of {total:.1f} in {scope}"
                return f"{figures}, under its floor of {min_ratio:.0%}"
        return None
