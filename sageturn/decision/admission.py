"""Admission control: throttles tenants under load, and limits the set-ups that this relay starts."""

from __future__ import annotations

from random import Random

from sageturn.decision import quotas
from sageturn.decision.fleet import SCARCE_IN_FLIGHT_RATIO, Fleet
from sageturn.decision.reject_cause import RejectCause
from sageturn.decision.settings import Settings
from sageturn.decision.token_bucket import TokenBucket

REFILL_TABLE_STEPS = 64  # steps of the table of refill rates by in-flight ratio
MAX_REFILL_RATIO = 4.0  # refill rate over the tenant's fair share where throttling begins
BURST_S = 2.0  # time for which a full bucket holds the tenant's fair share
MIN_BURST_TOKENS = 2.0  # smallest bucket, so that a client can open two connections at once
TENANT_QUOTA_RATIO = 1.2  # connections of a tenant over its quota at one relay, above which it is throttled
QUOTA_RETRY_AFTER_MS = 1000.0  # retry time while the relay holds its quota of connections
DEFAULT_BUCKET = ""  # shared by the tenants that the settings do not name


class AdmissionControl:
    """Admission of requests by one token bucket per tenant, which refills more slowly under load."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet) -> None:
        self._fleet = fleet
        self._max_retry_after_ms = settings.max_retry_after_ms
        relay_count = settings.relay_count
        tenants = settings.tenants
        allowance_per_s = settings.total_allowance_per_s()
        # Fair share: one tenant's equal part of all allowances, at one relay.
        fair_per_ms = allowance_per_s / max(1, len(tenants)) / relay_count / 1000.0
        # Unlimited below SCARCE_IN_FLIGHT_RATIO; from there it falls linearly to 0 at a ratio of 1.
        self._refill_per_ms = [float("inf")] * (REFILL_TABLE_STEPS + 1)
        for step in range(REFILL_TABLE_STEPS + 1):
            in_flight_ratio = step / REFILL_TABLE_STEPS
            if in_flight_ratio >= SCARCE_IN_FLIGHT_RATIO:
                headroom_ratio = (1.0 - in_flight_ratio) / (1.0 - SCARCE_IN_FLIGHT_RATIO)
                self._refill_per_ms[step] = fair_per_ms * MAX_REFILL_RATIO * headroom_ratio
        self._burst = max(MIN_BURST_TOKENS, fair_per_ms * 1000.0 * BURST_S)
        self.buckets = {tenant.name: TokenBucket(self._burst) for tenant in tenants}
        self.buckets.setdefault(DEFAULT_BUCKET, TokenBucket(self._burst))
        self._max_connections = {
            tenant.name: tenant.quota_connections * TENANT_QUOTA_RATIO / relay_count for tenant in tenants
        }
        setup_objective_ms = min(request_class.latency_objective_ms for request_class in settings.classes)
        self.setup_window = quotas.SetupWindow(allowance_per_s, relay_count, setup_objective_ms, rng)

    def take_token(self, now_ms: float, tenant: str) -> float:
        """Take a token of the tenant. Return 0 if there was one, else the time in ms until there is one."""
        refill_per_ms = self._refill_per_ms[int(self._fleet.in_flight_ratio() * REFILL_TABLE_STEPS)]
        bucket = self.buckets.get(tenant) or self.buckets[DEFAULT_BUCKET]
        bucket.refill(now_ms, refill_per_ms, self._burst)
        # Tokens limit set-ups only; a flooding tenant's open connections load the endpoints as well.
        max_connections = self._max_connections.get(tenant, 0.0)
        if refill_per_ms != float("inf") and 0 < max_connections < self._fleet.tenant_counts[tenant]:
            bucket.tokens = 0.0
        if bucket.try_take():
            return 0.0
        return bucket.wait_ms(refill_per_ms) if refill_per_ms > 0 else self._max_retry_after_ms

    def setup_wait_ms(self, now_ms: float) -> float:
        """Return 0 if another set-up may start, else the time in ms after which to retry."""
        if self._fleet.is_at_quota():
            return QUOTA_RETRY_AFTER_MS
        return self.setup_window.wait_ms(now_ms)

    def setup_wait_cause(self, wait_ms: float) -> RejectCause:
        """Return the cause of a wait that ``setup_wait_ms`` returned; ``wait_ms`` must not be 0."""
        return RejectCause.QUOTA if wait_ms == QUOTA_RETRY_AFTER_MS else RejectCause.SETUP_WINDOW
