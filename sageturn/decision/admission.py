"""Admission: throttling of tenants by load, and the set-ups that this relay may start."""

from __future__ import annotations

from random import Random

from sageturn.decision import quotas
from sageturn.decision.fleet import SCARCE_DEPTH, Fleet
from sageturn.decision.reject_cause import RejectCause
from sageturn.decision.settings import Settings
from sageturn.decision.token_bucket import TokenBucket

CURVE_STEPS = 64  # entries of the throttling curve's table
MAX_REFILL_SHARES = 4.0  # refill at depth 0 of the falling curve, in fair shares of the tenants' allowances
BURST_S = 2.0  # a bucket holds a tenant's fair share of this time
MIN_BURST_TOKENS = 2.0  # smallest size of a bucket, so that a client can open two connections at once
TENANT_QUOTA_RATIO = 1.2  # a tenant's connections over its quota at one relay; above it, it is throttled
QUOTA_RETRY_AFTER_MS = 1000.0  # while the relay holds its quota of connections
DEFAULT_BUCKET = ""  # shared by the tenants that the settings do not name


class AdmissionControl:
    """Admits requests by a token bucket for each tenant, which refills more slowly under load."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet) -> None:
        self._fleet = fleet
        self._max_retry_after_ms = settings.max_retry_after_ms
        relay_count = settings.relay_count
        tenants = settings.tenants
        allowance_per_s = settings.total_allowance_per_s()
        # One tenant's equal part of all allowances, at one relay.
        fair_per_ms = allowance_per_s / max(1, len(tenants)) / relay_count / 1000.0
        self._refill_per_ms = [float("inf")] * (CURVE_STEPS + 1)  # by depth, in steps of 1 / CURVE_STEPS
        for step in range(CURVE_STEPS + 1):
            depth = step / CURVE_STEPS
            if depth >= SCARCE_DEPTH:
                room_ratio = (1.0 - depth) / (1.0 - SCARCE_DEPTH)
                self._refill_per_ms[step] = fair_per_ms * MAX_REFILL_SHARES * room_ratio
        self._burst = max(MIN_BURST_TOKENS, fair_per_ms * 1000.0 * BURST_S)
        self.buckets = {tenant.name: TokenBucket(self._burst) for tenant in tenants}
        self.buckets.setdefault(DEFAULT_BUCKET, TokenBucket(self._burst))
        self._max_connections = {
            tenant.name: tenant.quota_connections * TENANT_QUOTA_RATIO / relay_count for tenant in tenants
        }
        setup_objective_ms = min(request_class.latency_objective_ms for request_class in settings.classes)
        self.setup_window = quotas.SetupWindow(allowance_per_s, relay_count, setup_objective_ms, rng)

    def take_token(self, now_ms: float, tenant: str) -> float:
        """Take a token of the tenant. Returns 0 if there was one, else the time in ms until there is one."""
        refill_per_ms = self._refill_per_ms[int(self._fleet.depth() * CURVE_STEPS)]
        bucket = self.buckets.get(tenant) or self.buckets[DEFAULT_BUCKET]
        bucket.refill(now_ms, refill_per_ms, self._burst)
        # Tokens count set-ups, but connections that a flooding tenant already holds load the endpoints.
        max_connections = self._max_connections.get(tenant, 0.0)
        if refill_per_ms != float("inf") and 0 < max_connections < self._fleet.tenant_counts[tenant]:
            bucket.tokens = 0.0
        if bucket.try_take():
            return 0.0
        return bucket.wait_ms(refill_per_ms) if refill_per_ms > 0 else self._max_retry_after_ms

    def setup_wait_ms(self, now_ms: float) -> float:
        """Return 0 if another set-up may start, else the time after which to retry."""
        if self._fleet.is_at_quota():
            return QUOTA_RETRY_AFTER_MS
        return self.setup_window.wait_ms(now_ms)

    def setup_wait_cause(self, wait_ms: float) -> RejectCause:
        """Return why ``setup_wait_ms`` returned this time, which is not 0."""
        return RejectCause.QUOTA if wait_ms == QUOTA_RETRY_AFTER_MS else RejectCause.SETUP_WINDOW
