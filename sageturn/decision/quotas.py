"""One relay's quotas of the set-ups and connections that all relays together may place on a fleet.

A relay's quota, times the number of relays, stays within what the session store and the endpoints can serve.
The module is pure: it has no clock and does no I/O, and its randomness is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp
from random import Random
from typing import Protocol

from sageturn.decision.jitter import jitter_factor

FLEET_WINDOW_S = 3.0  # time for which the tenants' allowances may be in flight as set-ups of all relays
MIN_WINDOW = 0.25  # smallest window; one below 1 spaces set-ups out by its inverse
MAX_PAUSE_MS = 1500.0  # longest pause between two set-ups while the window is below 1
WINDOW_FULL_RETRY_MS = 100.0  # time in which a set-up in flight is likely to end

QUOTA_UTILIZATION = 0.68  # part of the tenants' quotas that endpoints are given; with more, messages are late
FEW_RELAYS_SLACK = 32.0  # extra quota, divided by the squared relay count: few relays see each other's load
ENDPOINT_QUOTA_RATIO = 1.1  # an endpoint's bound over its share of the quotas
FLEET_SLACK_CONNECTIONS = 2.0  # connections of all relays that an endpoint may hold beyond that bound

COUNT_VARIANCE = 0.12  # variance of endpoints' connection counts relative to even ones
KIND_PRIOR_SETUPS = 8.0  # set-ups at the common mean that are assumed of each kind of machine at first


class SetupWindow:
    """Limit of the set-ups that a relay has in flight, by additive increase and multiplicative decrease.

    The window grows by one with each set-up that is established in time, and halves with each late one.
    """

    def __init__(
        self, allowance_per_s: float, relay_count: int, setup_objective_ms: float, rng: Random
    ) -> None:
        """Create a window of full size.

        Args:
            allowance_per_s: Set-ups per second that all relays together expect.
            relay_count: Relays that share the allowance.
            setup_objective_ms: A set-up that takes longer is late.
            rng: The source of the jitter that spreads the pauses of relays.
        """
        self._max_size = max(1.0, allowance_per_s * FLEET_WINDOW_S / relay_count)
        self.size = self._max_size
        self.in_flight = 0
        self._paused_until_ms = 0.0
        self._setup_objective_ms = setup_objective_ms
        self._rng = rng

    def begin_setup(self) -> None:
        """Count a set-up that is sent as in flight."""
        self.in_flight += 1

    def end_setup(self, now_ms: float, took_ms: float, is_served: bool) -> None:
        """Adapt the window to a set-up that was established (``is_served``) or failed after ``took_ms``."""
        self.in_flight -= 1
        is_late = took_ms > self._setup_objective_ms
        if is_served and not is_late:
            self.size = min(self._max_size, self.size + 1.0)
        elif is_late:
            self.size = max(MIN_WINDOW, self.size / 2.0)
        if self.size < 1.0:
            pause_ms = min(MAX_PAUSE_MS, took_ms * (1.0 / self.size - 1.0))
            self._paused_until_ms = now_ms + pause_ms * jitter_factor(self._rng)

    def wait_ms(self, now_ms: float) -> float:
        """Return 0 if another set-up may start, else the time in ms after which to retry."""
        if now_ms < self._paused_until_ms:
            return self._paused_until_ms - now_ms
        return WINDOW_FULL_RETRY_MS if self.in_flight >= max(1.0, self.size) else 0.0


@dataclass(slots=True)
class EndpointWeights:
    """Weights of an endpoint relative to the other endpoints, updated by ``Fleet``."""

    nominal: float = 1.0  # weight by the list and by operators
    effective: float = 1.0  # nominal weight adjusted by machine kind and slow start
    connection_share: float = 0.0  # share of this relay's connections, by weight and zone


class WeightedEndpoint(Protocol):
    """Attributes of an endpoint that the quotas use."""

    zone: str
    weights: EndpointWeights


@dataclass(slots=True, eq=False)
class QuotaBound:
    """Limit of the connections that one relay may hold at an endpoint. Never changed in place."""

    max_connections: float  # not rounded
    eligible_relays: float  # expected number of relays whose rounded limit allows any connection


@dataclass(slots=True)
class QuotaBounds:
    """Limits of the connections that one relay may hold at all endpoints, and at each in their order."""

    max_connections: float  # not rounded
    by_endpoint: list[QuotaBound]


def quota_bounds(
    endpoints: Sequence[WeightedEndpoint],
    zones: Iterable[str],
    own_zone: str | None,
    per_endpoint: float,
    relay_count: int,
) -> QuotaBounds:
    """Return the limits of the connections that one relay may hold.

    The endpoints of a zone serve its own relays first; what a zone has beyond an even part goes to the relays
    of zones that have less.

    Args:
        endpoints: The ready endpoints.
        zones: All zones from which clients come.
        own_zone: The relay's zone; None if crossing zones costs nothing, and all endpoints are shared evenly.
        per_endpoint: The tenants' quotas per endpoint of mean weight, over all relays.
        relay_count: Relays that share the quotas.
    """
    zone_weights = dict.fromkeys(zones, 0.0)
    for endpoint in endpoints:
        zone_weights[endpoint.zone] = zone_weights.get(endpoint.zone, 0.0) + endpoint.weights.effective
    total_weight = sum(zone_weights.values()) or 1.0
    mean_nominal = sum(endpoint.weights.nominal for endpoint in endpoints) / max(1, len(endpoints)) or 1.0
    per_relay = per_endpoint / relay_count
    few_relays_slack = FEW_RELAYS_SLACK / relay_count**2 * per_relay
    quota = QUOTA_UTILIZATION * per_relay * total_weight / mean_nominal
    slack = few_relays_slack + FLEET_SLACK_CONNECTIONS / relay_count
    if own_zone is not None:
        bounds = _bounds_by_zone(endpoints, zone_weights, own_zone, quota, slack, relay_count)
    else:
        bounds = []
        for endpoint in endpoints:
            bound = ENDPOINT_QUOTA_RATIO * endpoint.weights.effective / total_weight * quota + slack
            bounds.append(QuotaBound(bound, relay_count * min(1.0, bound)))
    return QuotaBounds(quota + few_relays_slack * len(endpoints), bounds)


def _bounds_by_zone(
    endpoints: Sequence[WeightedEndpoint],
    zone_weights: dict[str, float],
    own_zone: str,
    quota: float,
    slack: float,
    relay_count: int,
) -> list[QuotaBound]:
    """Return one relay's bounds at each endpoint if crossing zones has a cost.

    ``quota`` is the relay's quota of all connections; ``slack`` is added to its bound at each endpoint.
    """
    zone_count = max(1, len(zone_weights))
    even_weight = (sum(zone_weights.values()) or 1.0) / zone_count
    deficits = {zone: max(0.0, 1.0 - weight / even_weight) for zone, weight in zone_weights.items()}
    surplus_sum = sum(max(0.0, weight - even_weight) for weight in zone_weights.values()) or 1.0
    bounds = []
    for endpoint in endpoints:
        weight = endpoint.weights.effective
        zone_weight = zone_weights[endpoint.zone]
        zone_surplus = max(0.0, zone_weight - even_weight)
        local = ENDPOINT_QUOTA_RATIO * weight / max(zone_weight, even_weight) * quota + slack
        remote = ENDPOINT_QUOTA_RATIO * zone_surplus / surplus_sum * weight / (zone_weight or 1.0) * quota
        bound = local if endpoint.zone == own_zone else deficits.get(own_zone, 1.0) * remote + slack
        remote_relays = sum(
            min(1.0, deficit * remote + slack) for zone, deficit in deficits.items() if zone != endpoint.zone
        )
        eligible_relays = relay_count / zone_count * (min(1.0, local) + remote_relays)
        bounds.append(QuotaBound(bound, eligible_relays))
    return bounds


def count_confidence(even_count: float) -> float:
    """Return how well a relay's count at an endpoint predicts those of other relays, from 0 to 1.

    Args:
        even_count: Connections that the relay would hold there if they were spread evenly.
    """
    return COUNT_VARIANCE * even_count / (1.0 + COUNT_VARIANCE * even_count)


@dataclass(slots=True)
class RunningMean:
    """Sum and number of values, from which their mean is computed."""

    total: float = 0.0
    count: float = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self.total += value
        self.count += 1.0


class MachineKindSpeeds:
    """Estimates of the speed of each kind of machine by set-up times, as the list does not state it."""

    def __init__(self) -> None:
        self.by_kind: dict[str, float] = {}  # speed relative to the mean
        self._setup_logs_by_kind: dict[str, RunningMean] = {}
        self._all_setup_logs = RunningMean()

    def learn(self, kind: str, log_setup_ms: float) -> None:
        """Update the speed of a kind of machine.

        Args:
            kind: The kind of machine.
            log_setup_ms: The logarithm of a set-up time in milliseconds, at an endpoint of that kind.
        """
        kind_logs = self._setup_logs_by_kind.setdefault(kind, RunningMean())
        kind_logs.add(log_setup_ms)
        self._all_setup_logs.add(log_setup_ms)
        mean = self._all_setup_logs.total / self._all_setup_logs.count
        kind_mean = (kind_logs.total + KIND_PRIOR_SETUPS * mean) / (kind_logs.count + KIND_PRIOR_SETUPS)
        self.by_kind[kind] = exp(mean - kind_mean)


def warm_up_ratio(age_ms: float, slow_start_ms: float, initial_capacity_ratio: float) -> float:
    """Return the part of its weight that an endpoint can serve at that age, from 0 to 1.

    It grows linearly from ``initial_capacity_ratio`` over ``slow_start_ms``.
    """
    if age_ms >= slow_start_ms:
        return 1.0
    return initial_capacity_ratio + (1.0 - initial_capacity_ratio) * max(0.0, age_ms) / slow_start_ms
