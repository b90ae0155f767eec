"""Decisions about single endpoints: concurrency limit, ejection, weight, quota and slow start."""

from __future__ import annotations

from random import Random

from sageturn.decision import quotas
from sageturn.decision.endpoint_table import EndpointTable
from sageturn.decision.events import AttemptStatus
from sageturn.decision.fleet_size import FleetSize
from sageturn.decision.health_checks import HealthCheckScheduler
from sageturn.decision.rejection_streak import RejectionStreak
from sageturn.decision.settings import Settings
from sageturn.decision.state import EndpointState

INITIAL_CONCURRENCY_LIMIT = 8  # attempts in flight at one endpoint
MAX_CONCURRENCY_LIMIT = 32  # higher limits after a long idle time would make the in-flight ratio meaningless
MAX_UNUSED_ENDPOINTS = 2  # largest number of endpoints without own connections in the in-flight ratio
SCARCE_IN_FLIGHT_RATIO = 0.25  # lowest in-flight ratio at which endpoints are scarce and tenants throttled
FAILURES_TO_EJECT = 3  # consecutive failures
CONNECT_FAILURE_WEIGHT = 2  # failures that a failed connect counts as
EJECTION_MS = 1500.0
MAX_EJECTION_RATIO = 0.34  # largest part of the endpoints listed ready that is ejected at once

# Statuses of attempts that ended before they were established: those that halve the concurrency limit, and
# those that count towards ejection.
LIMIT_HALVING_STATUSES = (
    AttemptStatus.FULL,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
)
FAILURE_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
)


class Fleet(EndpointTable):
    """Endpoint table with the decisions about single endpoints."""

    def __init__(self, settings: Settings, rng: Random, health_checks: HealthCheckScheduler) -> None:
        super().__init__(settings, rng, INITIAL_CONCURRENCY_LIMIT)
        self.health_checks = health_checks
        self.machine_speeds = quotas.MachineKindSpeeds()
        self.size = FleetSize()
        self.rejection_streak = RejectionStreak()
        self.total_weight = 1.0  # sum of the ready endpoints' effective weights
        self.mean_nominal_weight = 1.0
        self.warm_weight_ratio = 1.0  # part of the total weight that is not in slow start
        self.quota_connections = sum(tenant.quota_connections for tenant in settings.tenants)
        self.max_connections = float("inf")  # limit of own connections by the quotas, not rounded
        self.rounding_offset = self.slow_start.rounding_offset(0)

    def rebuild(self) -> None:
        """Rebuild the lists and sums after a change of the endpoint list or of the ejected endpoints."""
        self.size.record_list(self.endpoints.values())
        super().rebuild()

    def quota_per_endpoint(self) -> float:
        """Return the tenants' quotas divided by the fleet's size: connections of all relays per endpoint."""
        return self.quota_connections / self.first_listed_count / self.size.growth_ratio

    def sharing_relays(self) -> float:
        """Return the number of relays that share an endpoint's capacity, at most its quota of connections."""
        if not self.quota_connections or not self.first_listed_count:
            return self.settings.relay_count
        return min(self.settings.relay_count, max(1.0, self.quota_per_endpoint()))

    def is_at_quota(self) -> bool:
        """Return True if another connection would exceed this relay's quota and may not do so now."""
        # Connections on draining endpoints do not count, so that their clients can be placed elsewhere.
        is_exceeded = self.totals.open_count + 1 > self.max_connections + self.rounding_offset
        return is_exceeded and not self.may_exceed_quota()

    def may_exceed_quota(self) -> bool:
        """Return True if the next request may exceed this relay's quota, after many rejections in a row."""
        return self.rejection_streak.is_limit_reached(self.now_ms)

    def measures_delay(self) -> bool:
        """Return True if connections or recent load reports show how long messages take."""
        return self.settings.reports_delay or self.health_checks.has_recent_reports(self.now_ms)

    def in_flight_ratio(self) -> float:
        """Return attempts in flight over concurrency limits at the ready endpoints; 1 if none is ready."""
        unused_limits = min(self.totals.unused_limits, MAX_UNUSED_ENDPOINTS * INITIAL_CONCURRENCY_LIMIT)
        limits = self.totals.limits + unused_limits
        return min(1.0, self.totals.in_flight / limits) if limits else 1.0

    def is_scarce(self) -> bool:
        """Return True if endpoints have little headroom for new connections."""
        return self.in_flight_ratio() >= SCARCE_IN_FLIGHT_RATIO

    def set_concurrency_limit(self, endpoint: EndpointState, limit: int) -> None:
        """Set the endpoint's concurrency limit, within bounds."""
        endpoint.connections.concurrency_limit = max(1, min(MAX_CONCURRENCY_LIMIT, limit))
        self.update_totals(endpoint)

    def record_establishment(self, endpoint: EndpointState, is_in_time: bool) -> None:
        """Record an established attempt; one that met its objective raises the concurrency limit by one."""
        connections = endpoint.connections
        self.set_concurrency_limit(endpoint, connections.concurrency_limit + is_in_time)
        connections.is_untried = False
        endpoint.outlier.consecutive_failures = 0

    def record_setup_end(self, endpoint: EndpointState, status: str) -> None:
        """Record that an attempt ended with this status before it was established.

        Success raises the concurrency limit by one, and ``LIMIT_HALVING_STATUSES`` halve it.
        ``FAILURE_STATUSES`` count towards ejection.
        """
        limit = endpoint.connections.concurrency_limit
        if status == AttemptStatus.OK:
            self.set_concurrency_limit(endpoint, limit + 1)
            endpoint.outlier.consecutive_failures = 0
        elif status in LIMIT_HALVING_STATUSES:
            self.set_concurrency_limit(endpoint, limit // 2)
        if status in FAILURE_STATUSES:
            is_connect_failure = status == AttemptStatus.CONNECT_FAILED
            self.record_failure(endpoint, CONNECT_FAILURE_WEIGHT if is_connect_failure else 1)

    def record_failure(self, endpoint: EndpointState, weight: int) -> None:
        """Count failures, and eject the endpoint after consecutive ones unless too many are ejected."""
        endpoint.outlier.consecutive_failures += weight
        if endpoint.ready and endpoint.outlier.consecutive_failures >= FAILURES_TO_EJECT:
            listed_count = len(self.ready) + len(self.ejected)
            if len(self.ejected) + 1 <= listed_count * MAX_EJECTION_RATIO:
                endpoint.outlier.ejected_until_ms = self.now_ms + EJECTION_MS
                self.rebuild()

    def readmit_ejected(self, now_ms: float) -> None:
        """Readmit endpoints whose ejection is over, one attempt at a time; the next failure ejects again."""
        for endpoint in self.ejected:  # rebuild() replaces the list
            outlier = endpoint.outlier
            if outlier.ejected_until_ms is not None and now_ms >= outlier.ejected_until_ms:
                outlier.ejected_until_ms = None
                outlier.consecutive_failures = FAILURES_TO_EJECT - 1
                endpoint.connections.concurrency_limit = 1
                self.rebuild()

    def update_weights(self) -> None:
        """Set the weights, shares of our connections and quotas of the ready endpoints."""
        slow_start_ms = self.settings.slow_start_ms
        initial_ratio = self.settings.initial_capacity_ratio
        speeds = self.machine_speeds.by_kind
        for endpoint in self.ready:
            weights = endpoint.weights
            weights.effective = weights.nominal * speeds.get(endpoint.kind, 1.0)
            age_ms = endpoint.age_ms(self.now_ms)
            if age_ms < slow_start_ms:
                weights.effective *= quotas.warm_up_ratio(age_ms, slow_start_ms, initial_ratio)
        self._update_weight_totals()
        self._update_connection_shares()
        self._update_quotas()

    def _update_weight_totals(self) -> None:
        self.total_weight = sum(endpoint.weights.effective for endpoint in self.ready) or 1.0
        warm_weight = sum(endpoint.weights.effective for endpoint in self.ready if not endpoint.slow_start)
        self.warm_weight_ratio = warm_weight / self.total_weight
        nominal_weight = sum(endpoint.weights.nominal for endpoint in self.ready)
        self.mean_nominal_weight = nominal_weight / max(1, len(self.ready))

    def _update_connection_shares(self) -> None:
        """Set the connection shares; local endpoints serve their zone's relays, sized for one relay down."""
        for endpoint in self.ready:
            endpoint.weights.connection_share = endpoint.weights.effective / self.total_weight
        relay_count = self.settings.relay_count
        zone_count = len({endpoint.zone for endpoint in self.ready}) or 1
        zone_share = min(1.0, max(1.0, relay_count / zone_count) / max(1, relay_count - 1))
        local_weight = sum(endpoint.weights.effective for endpoint in self.local)
        bound = max(local_weight, self.total_weight * zone_share)
        for endpoint in self.local:
            endpoint.weights.connection_share = endpoint.weights.effective / bound

    def _update_quotas(self) -> None:
        relay_count = self.settings.relay_count
        if not self.quota_connections or not self.first_listed_count or self.measures_delay():
            self.max_connections = float("inf")
            unlimited = quotas.QuotaBound(self.max_connections, relay_count)
            for endpoint in self.ready:
                endpoint.quota = unlimited
            return
        bounds = quotas.quota_bounds(
            self.ready, self.zones, self.own_zone, self.quota_per_endpoint(), relay_count
        )
        self.max_connections = bounds.max_connections
        for endpoint, bound in zip(self.ready, bounds.by_endpoint, strict=True):
            endpoint.quota = bound

    def check_slow_start_permit(self, now_ms: float, endpoint: EndpointState) -> bool:
        """Return True if slow start permits an attempt at the endpoint now. End a slow start that is over."""
        age_ms = endpoint.age_ms(now_ms)
        if endpoint.slow_start is None or age_ms >= self.settings.slow_start_ms:
            endpoint.slow_start = None
            return True
        return self.slow_start.has_permit(
            endpoint.slow_start, age_ms, self._warm_connections(endpoint), endpoint.quota.eligible_relays
        )

    def take_slow_start_permit(self, now_ms: float, name: str) -> bool:
        """Take a permit for an attempt that ``Placement`` did not choose; return False if there is none now.

        An endpoint that is unknown, or not in slow start, needs no permit.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return True
        is_permitted = self.check_slow_start_permit(now_ms, endpoint)
        if is_permitted and endpoint.slow_start is not None:
            self.slow_start.take_permit(endpoint.slow_start)
        return is_permitted

    def _warm_connections(self, endpoint: EndpointState) -> float:
        """Return the connections of all relays that an endpoint in slow start holds once it is warm.

        It is estimated from the quotas, which cover the whole fleet, else from this relay's connections.
        """
        nominal_weight = endpoint.weights.nominal
        if self.quota_connections:
            fleet_weight = self.size.nominal_weight or nominal_weight or 1.0
            return self.quota_connections * nominal_weight / fleet_weight
        listed_count = max(1, len(self.ready) + len(self.ejected))
        fleet_open_count = self.open_count * self.settings.relay_count
        mean_weight = self.mean_nominal_weight or nominal_weight
        return fleet_open_count / listed_count * nominal_weight / mean_weight
