"""Restores the capacity of endpoints after an override on them ends, no faster than slow start does.

An endpoint that was out of service is presented to the balancer as just started, so that slow start applies
to it. The weight of an endpoint whose weight was reduced grows at the same constant rate as the capacity of
an endpoint in slow start.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sageturn.decision import Endpoint, EndpointStatus
from sageturn.overrides.effects import OverrideEffect

RAMP_STEPS = 24  # weight increases per slow start


@dataclass(frozen=True, slots=True)
class WeightRamp:
    """Linear increase of a weight factor to its target; the rate is the same for all endpoints."""

    start_factor: float
    started_at_ms: float
    target_factor: float


class RecoveryRamps:
    """Recovery ramps of the endpoints that return to service or regain weight, in the relay's time.

    Args:
        initial_capacity_ratio: Capacity of an endpoint at the start of its slow start, from 0 to 1.
        slow_start_ms: Duration of the balancer's slow start.
    """

    def __init__(self, initial_capacity_ratio: float, slow_start_ms: float) -> None:
        self._slow_start_ms = max(1.0, slow_start_ms)
        self._growth_per_ms = (1.0 - initial_capacity_ratio) / self._slow_start_ms
        self._returned_at_ms: dict[str, float] = {}  # return times of endpoints that were out of service
        self._weight_ramps: dict[str, WeightRamp] = {}

    def on_effect_changed(
        self, endpoint: str, previous: OverrideEffect, current: OverrideEffect, now_ms: float
    ) -> None:
        """Start or cancel the endpoint's ramps after the effect of overrides on it has changed."""
        if previous.out_of_service and not current.out_of_service:
            self._returned_at_ms[endpoint] = now_ms
        elif current.out_of_service:
            self._returned_at_ms.pop(endpoint, None)
        factor = self.current_factor(endpoint, previous, now_ms)
        if current.factor > factor and not previous.out_of_service:
            self._weight_ramps[endpoint] = WeightRamp(factor, now_ms, current.factor)
        else:
            self._weight_ramps.pop(endpoint, None)

    def discard(self, endpoint: str) -> None:
        """Cancel the ramps of an endpoint that was removed from the list or has restarted.

        The balancer itself applies slow start to an endpoint that joins or has restarted.
        """
        self._returned_at_ms.pop(endpoint, None)
        self._weight_ramps.pop(endpoint, None)

    def current_factor(self, endpoint: str, effect: OverrideEffect, now_ms: float) -> float:
        """Return the weight factor that applies now; during a ramp it is at most the effect's factor."""
        ramp = self._weight_ramps.get(endpoint)
        if ramp is None:
            return effect.factor
        elapsed_ms = max(0.0, now_ms - ramp.started_at_ms)
        return min(ramp.target_factor, ramp.start_factor + elapsed_ms * self._growth_per_ms)

    def apply(self, endpoint: Endpoint, effect: OverrideEffect, now_ms: float) -> Endpoint:
        """Return the endpoint as presented to the balancer.

        A state other than ready that discovery reports takes precedence over overrides.
        """
        is_drained = effect.out_of_service and endpoint.state == EndpointStatus.READY
        return replace(
            endpoint,
            state=EndpointStatus.DRAINING if is_drained else endpoint.state,
            started_at_ms=max(endpoint.started_at_ms, self._slow_start_began_ms(endpoint.name, now_ms)),
            factor=self.current_factor(endpoint.name, effect, now_ms),
        )

    def _slow_start_began_ms(self, endpoint: str, now_ms: float) -> float:
        """Return the time at which an endpoint returned to service; 0 if not or if its slow start is over."""
        returned_at_ms = self._returned_at_ms.get(endpoint, 0.0)
        if returned_at_ms and now_ms >= returned_at_ms + self._slow_start_ms:
            del self._returned_at_ms[endpoint]
            return 0.0
        return returned_at_ms

    def advance(self, now_ms: float) -> list[str]:
        """Return the endpoints whose weight grows, and drop the ramps that have reached their target."""
        endpoints = list(self._weight_ramps)
        for endpoint in endpoints:
            ramp = self._weight_ramps[endpoint]
            elapsed_ms = now_ms - ramp.started_at_ms
            if ramp.start_factor + elapsed_ms * self._growth_per_ms >= ramp.target_factor:
                del self._weight_ramps[endpoint]
        return endpoints

    def next_step_ms(self, now_ms: float) -> float | None:
        """Return the time at which to raise weights next; None if there is no weight ramp."""
        return now_ms + self._slow_start_ms / RAMP_STEPS if self._weight_ramps else None
