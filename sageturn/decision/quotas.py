"""One relay's part of what all relays may ask of a fleet: set-ups and connections.

Pure: no clock, no I/O; chance is passed in. What a relay allows itself here, times the number of relays,
stays inside what the session store and the endpoints bear, whatever the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp
from random import Random
from typing import Protocol

# Set-ups that all relays together have in flight, in seconds of the tenants' allowances: the store that they
# share is behind every one of them, and a relay sees too few of its own to learn what it bears.
FLEET_WINDOW_S = 3.0
MIN_WINDOW = 0.25  # below one, a window makes the time between two set-ups longer by its inverse,
MAX_PAUSE_MS = 1500.0  # up to this
WINDOW_FULL_RETRY_MS = 100.0  # until a set-up in flight is likely to have ended

# Of the connections that the quotas stand for, an endpoint is given this part at most: past it all its
# clients' messages are late. Kinds of machine differ by half in speed, which no list says.
QUOTA_UTILIZATION = 0.68
# With few relays, one sees for itself what an endpoint holds, and is sent more than an even part of the
# clients: so much of the quotas more, over the square of the number of relays. Nothing binds at 6 relays, and
# little is left of it at 20.
FEW_RELAYS_SLACK = 32.0
ENDPOINT_QUOTA_RATIO = 1.1  # times its share of the quotas that an endpoint may be given,
FLEET_SLACK_CONNECTIONS = 2.0  # and so many connections more over all relays

COUNT_VARIANCE = 0.12  # of endpoints' shares of all connections against even ones
KIND_PRIOR_SETUPS = 8.0  # set-ups at the mean of all that a kind of machine counts with before its own


class SetupWindow:
    """How many set-ups a relay may have in flight. Grows by one with each in time, halves with a late one."""

    def __init__(self, allowance_per_s: float, relay_count: int, settle_ms: float, rng: Random) -> None:
        """``allowance_per_s``: set-ups that all relays expect; one that takes over ``settle_ms`` is late."""
        self._max_size = max(1.0, allowance_per_s * FLEET_WINDOW_S / relay_count)
        self.size = self._max_size
        self.in_flight = 0
        self._paused_until_ms = 0.0
        self._settle_ms = settle_ms
        self._rng = rng

    def begin_setup(self) -> None:
        """A set-up was sent."""
        self.in_flight += 1

    def end_setup(self, now_ms: float, took_ms: float, is_served: bool) -> None:
        """A set-up has been established, or has failed."""
        self.in_flight -= 1
        is_late = took_ms > self._settle_ms
        if is_served and not is_late:
            self.size = min(self._max_size, self.size + 1.0)
        elif is_late:
            self.size = max(MIN_WINDOW, self.size / 2.0)
        if self.size < 1.0:
            pause_ms = min(MAX_PAUSE_MS, took_ms * (1.0 / self.size - 1.0))
            self._paused_until_ms = now_ms + pause_ms * (0.75 + 0.5 * self._rng.random())

    def wait_ms(self, now_ms: float) -> float:
        """0 when another may start, else after how long to ask again."""
        if now_ms < self._paused_until_ms:
            return self._paused_until_ms - now_ms
        return WINDOW_FULL_RETRY_MS if self.in_flight >= max(1.0, self.size) else 0.0


class WeightedEndpoint(Protocol):
    """An endpoint as the quotas see it. The weights count against those of the other endpoints."""

    zone: str
    effective_weight: float  # what it can do now
    nominal_weight: float  # what it can do by the list


@dataclass(slots=True)
class QuotaBound:
    """Connections that one relay may hold at an endpoint, not rounded."""

    max_connections: float
    eligible_relays: float  # that may hold one there at all, once each has rounded its own part


def quota_bounds(
    endpoints: Sequence[WeightedEndpoint],
    zones: Iterable[str],
    own_zone: str | None,
    per_endpoint: float,
    relay_count: int,
) -> tuple[float, list[QuotaBound]]:
    """Connections that one relay may hold in all, and at each endpoint. None is rounded.

    ``zones``: all from which clients come. ``per_endpoint``: what the quotas stand for at a mean endpoint. A
    zone's endpoints are first for its own relays; what it has beyond an even part goes to those whose zone
    has less. ``own_zone`` is None where crossing zones costs nothing: then all are shared evenly.
    """
    weights = dict.fromkeys(zones, 0.0)
    for endpoint in endpoints:
        weights[endpoint.zone] = weights.get(endpoint.zone, 0.0) + endpoint.effective_weight
    total_weight = sum(weights.values()) or 1.0
    mean_nominal = sum(endpoint.nominal_weight for endpoint in endpoints) / max(1, len(endpoints)) or 1.0
    per_relay = per_endpoint / relay_count
    few_relays_slack = FEW_RELAYS_SLACK / relay_count**2 * per_relay
    quota = QUOTA_UTILIZATION * per_relay * total_weight / mean_nominal
    slack = few_relays_slack + FLEET_SLACK_CONNECTIONS / relay_count
    if own_zone is not None:
        bounds = _bounds_by_zone(endpoints, weights, own_zone, quota, slack, relay_count)
    else:
        bounds = []
        for endpoint in endpoints:
            bound = ENDPOINT_QUOTA_RATIO * endpoint.effective_weight / total_weight * quota + slack
            bounds.append(QuotaBound(bound, relay_count * min(1.0, bound)))
    return quota + few_relays_slack * len(endpoints), bounds


def _bounds_by_zone(
    endpoints: Sequence[WeightedEndpoint],
    weights: dict[str, float],
    own_zone: str,
    quota: float,
    slack: float,
    relay_count: int,
) -> list[QuotaBound]:
    """Bounds where crossing zones costs. ``weights``: of all zones with clients; ``quota``: of one relay."""
    zone_count = max(1, len(weights))
    even_weight = (sum(weights.values()) or 1.0) / zone_count
    missing = {zone: max(0.0, 1.0 - weight / even_weight) for zone, weight in weights.items()}
    surplus_sum = sum(max(0.0, weight - even_weight) for weight in weights.values()) or 1.0
    bounds = []
    for endpoint in endpoints:
        weight = endpoint.effective_weight
        zone_weight = weights[endpoint.zone]
        zone_surplus = max(0.0, zone_weight - even_weight)
        local = ENDPOINT_QUOTA_RATIO * weight / max(zone_weight, even_weight) * quota + slack
        remote = ENDPOINT_QUOTA_RATIO * zone_surplus / surplus_sum * weight / (zone_weight or 1.0) * quota
        bound = local if endpoint.zone == own_zone else missing.get(own_zone, 1.0) * remote + slack
        remote_relays = sum(
            min(1.0, part * remote + slack) for zone, part in missing.items() if zone != endpoint.zone
        )
        eligible_relays = relay_count / zone_count * (min(1.0, local) + remote_relays)
        bounds.append(QuotaBound(bound, eligible_relays))
    return bounds


def count_confidence(even_count: float) -> float:
    """How far a relay's count at an endpoint shows what the others hold there, from 0 to 1.

    ``even_count``: what it would hold there by an even spread. Half at eight, little at one.
    """
    return COUNT_VARIANCE * even_count / (1.0 + COUNT_VARIANCE * even_count)


@dataclass(slots=True)
class RunningMean:
    """A sum and a count of values."""

    total: float = 0.0
    count: float = 0.0

    def add(self, value: float) -> None:
        """Count one more value."""
        self.total += value
        self.count += 1.0


class MachineKindSpeeds:
    """A list may call a fast and a slow kind of machine the same size; set-ups show which is which."""

    def __init__(self) -> None:
        self.by_kind: dict[str, float] = {}  # against the mean
        self._setup_logs_by_kind: dict[str, RunningMean] = {}
        self._all_setup_logs = RunningMean()

    def learn(self, kind: str, took_log: float) -> None:
        """``took_log``: the logarithm of a set-up's time at an endpoint of that kind."""
        of_kind = self._setup_logs_by_kind.setdefault(kind, RunningMean())
        of_kind.add(took_log)
        self._all_setup_logs.add(took_log)
        mean = self._all_setup_logs.total / self._all_setup_logs.count
        expected = (of_kind.total + KIND_PRIOR_SETUPS * mean) / (of_kind.count + KIND_PRIOR_SETUPS)
        self.by_kind[kind] = exp(mean - expected)


def warm_up_ratio(age_ms: float, slow_start_ms: float, initial_capacity_ratio: float) -> float:
    """Part of its weight that an endpoint can do so long after its start: it gets there evenly."""
    if age_ms >= slow_start_ms:
        return 1.0
    return initial_capacity_ratio + (1.0 - initial_capacity_ratio) * max(0.0, age_ms) / slow_start_ms
