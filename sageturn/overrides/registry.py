"""Applies all overrides in a relay's store to its endpoints; the caller passes the time."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.decision import Endpoint
from sageturn.overrides.audit import AuditTrail
from sageturn.overrides.effects import EffectChanges
from sageturn.overrides.model import Override, fold_operations
from sageturn.overrides.operation_log import OperationLog, OverrideRecord
from sageturn.overrides.options import OverrideOptions
from sageturn.overrides.recovery_ramp import RecoveryRamps
from sageturn.overrides.resolver import OverrideResolver
from sageturn.overrides.status import OverrideStatus


class OverrideRegistry:
    """Overrides by id, kept up to date with the operations in the store, the endpoint list and the time.

    Times are milliseconds of Unix time, as expiries are. If the clock goes back, an expired override stays
    expired until a later operation extends it.

    Updates return the endpoints that they have changed, as presented to the balancer.
    """

    def __init__(self, options: OverrideOptions, initial_capacity_ratio: float, slow_start_ms: float) -> None:
        self.options = options
        self.audit = AuditTrail()
        self.operation_log = OperationLog(options.operators, self.audit)
        self.resolver = OverrideResolver(options.safety_limits)
        self.recovery_ramps = RecoveryRamps(initial_capacity_ratio, slow_start_ms)
        self.overrides: dict[str, Override] = {}
        self._expired_revisions: dict[str, int] = {}  # revision at which an override expired, by override id
        # Lead of the times passed in over the relay's time, which recovery ramps use; negative if they lag.
        # The owner of the registry sets it.
        self.wall_clock_shift_ms = 0.0

    # ------------------------------------------------------------ operations

    def apply_records(self, records: Iterable[OverrideRecord], now_ms: float) -> list[Endpoint]:
        """Apply records of the store under ``KEY_PREFIX``, and return the changed endpoints."""
        changed_ids = self.operation_log.apply(records)
        return self._apply_changes(self._fold_all(changed_ids, now_ms), now_ms)

    def set_options(self, options: OverrideOptions, now_ms: float) -> list[Endpoint]:
        """Apply new options: operations of removed operators stop counting, and new limits apply at once."""
        self.options = options
        self.resolver.guard.limits = options.safety_limits
        self.operation_log.set_operators(options.operators)
        changes = self._fold_all(self.operation_log.override_ids, now_ms)
        return self._apply_changes(self.resolver.reevaluate() | changes, now_ms)

    def _fold_all(self, override_ids: Iterable[str], now_ms: float) -> EffectChanges:
        changes: EffectChanges = {}
        for override_id in override_ids:
            changes = self._fold(override_id, now_ms) | changes
        return changes

    def _fold(self, override_id: str, now_ms: float) -> EffectChanges:
        """Recompute an override from its operations, and add it to or remove it from the resolver."""
        operations = self.operation_log.operations_on(override_id)
        override = fold_operations(operations, self.options.max_duration_s * 1000.0)
        previous = self.overrides.pop(override_id, None)
        if override is None:
            return self.resolver.remove(override_id)
        self.overrides[override_id] = override
        if override == previous:
            return {}
        self.audit.record_update(previous, override, now_ms)
        if override.is_revoked:
            return self.resolver.remove(override_id)
        if override.has_expired(now_ms):
            return self._expire(override)
        if self._expired_revisions.get(override_id) == override.revision:
            return {}  # the clock was set back; an expired override stays expired
        self._expired_revisions.pop(override_id, None)
        return self.resolver.add(override)

    # ------------------------------------------------------------ time

    def advance_time(self, now_ms: float) -> list[Endpoint]:
        """Expire the overrides whose expiry has passed, and raise the weights in a recovery ramp."""
        changes: EffectChanges = {}
        expired = [override for override in self.resolver.overrides.values() if override.has_expired(now_ms)]
        for override in expired:
            changes = self._expire(override) | changes
            self.audit.record_expiry(override)
        endpoints = self._apply_changes(changes, now_ms)
        changed = {endpoint.name for endpoint in endpoints}
        ramping = [
            name for name in self.recovery_ramps.advance(self._to_relay_ms(now_ms)) if name not in changed
        ]
        return endpoints + [self.effective_endpoint(name, now_ms) for name in ramping]

    def _expire(self, override: Override) -> EffectChanges:
        self._expired_revisions[override.id] = override.revision
        return self.resolver.remove(override.id)

    def next_change_ms(self, now_ms: float) -> float | None:
        """Return the time of the next expiry or step of a recovery ramp; None if there is neither."""
        change_times_ms = (self.resolver.next_expiry_ms(), self.recovery_ramps.next_step_ms(now_ms))
        return min((time_ms for time_ms in change_times_ms if time_ms is not None), default=None)

    # ------------------------------------------------------------ endpoints

    def apply_endpoint_list(self, endpoints: list[Endpoint], is_full: bool, now_ms: float) -> list[Endpoint]:
        """Apply a full endpoint list, or the endpoints that have changed.

        Returns:
            The given endpoints as presented to the balancer, followed by other endpoints on which the update
            has changed the effect of overrides.
        """
        for endpoint in endpoints:
            previous = self.resolver.endpoints.get(endpoint.name)
            if previous is not None and previous.started_at_ms != endpoint.started_at_ms:
                self.recovery_ramps.discard(endpoint.name)
        listed_before = set(self.resolver.endpoints)
        changes = self.resolver.apply_endpoint_list(endpoints, is_full)
        for name in listed_before - self.resolver.endpoints.keys():
            self.recovery_ramps.discard(name)
        # No override has ended on a newly listed endpoint, so it needs no recovery ramp.
        changes_on_previously_listed = {
            name: effect for name, effect in changes.items() if name in listed_before
        }
        self._apply_changes(changes_on_previously_listed, now_ms)
        listed = {endpoint.name for endpoint in endpoints}
        effective = [
            self.effective_endpoint(endpoint.name, now_ms)
            if endpoint.name in self.resolver.endpoints
            else endpoint
            for endpoint in endpoints
        ]
        return effective + [self.effective_endpoint(name, now_ms) for name in changes if name not in listed]

    def effective_endpoint(self, name: str, now_ms: float) -> Endpoint:
        """Return a listed endpoint as presented to the balancer."""
        endpoint = self.resolver.endpoints[name]
        return self.recovery_ramps.apply(endpoint, self.resolver.effect(name), self._to_relay_ms(now_ms))

    def _to_relay_ms(self, now_ms: float) -> float:
        """Convert to the relay's time, which the balancer uses and which ignores system clock steps."""
        return now_ms - self.wall_clock_shift_ms

    def _apply_changes(self, changes: EffectChanges, now_ms: float) -> list[Endpoint]:
        for name, previous in changes.items():
            self.recovery_ramps.on_effect_changed(
                name, previous, self.resolver.effect(name), self._to_relay_ms(now_ms)
            )
        self.audit.record_suspensions(self.resolver.suspended, self.resolver.overrides)
        listed = [name for name in sorted(changes) if name in self.resolver.endpoints]
        return [self.effective_endpoint(name, now_ms) for name in listed]

    # ------------------------------------------------------------ queries

    def status(self, override: Override, now_ms: float) -> OverrideStatus:
        """Return the status of an override that this relay reports."""
        if override.is_revoked:
            return OverrideStatus.REVOKED
        if override.id not in self.resolver.overrides or override.has_expired(now_ms):
            return OverrideStatus.EXPIRED
        if override.id in self.resolver.suspended:
            return OverrideStatus.SUSPENDED
        is_in_force = bool(self.resolver.matching_endpoints(override))
        return OverrideStatus.IN_FORCE if is_in_force else OverrideStatus.DORMANT
