"""Reads overrides from a store: the operations, and the state that each relay reports."""

from __future__ import annotations

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.decision import Endpoint
from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.model import Override, fold_operations
from sageturn.overrides.operations import KEY_PREFIX, OverrideOperation
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.relay_state import RelayOverrideState, decode_relay_state
from sageturn.overrides.resolver import OverrideResolver
from sageturn.overrides.signing import parse_operation
from sageturn.overrides.status import OverrideStatus
from sageturn.store.records import STATE_PREFIX
from sageturn.store.store import Store

STATE_NAME = "overrides"  # last part of the key of the state record with a relay's overrides
EXPIRES_SOON_MS = 15 * 60_000.0  # remaining time under which an override is shown as about to end
EXPIRES_SOON_STATUS = "about to end"
UNKNOWN_STATUS = "unknown"  # status at a relay that does not report the override yet
NO_RELAY_STATUS = "no relay tells"  # status while no relay reports its overrides


def read_relay_states(store: Store) -> dict[str, RelayOverrideState]:
    """Return the state that each relay reports of its overrides, keyed by the relay's node name."""
    states = {}
    for key in store.keys(STATE_PREFIX):
        node, _, name = key.removeprefix(STATE_PREFIX).partition("/")
        if name == STATE_NAME:
            states[node] = decode_relay_state(store.get(key))
    return states


def _read_operations(store: Store) -> dict[str, list[OverrideOperation]]:
    """Return the store's operations by override id. Only relays verify their signatures."""
    operations: dict[str, list[OverrideOperation]] = {}
    for key in store.keys(KEY_PREFIX):
        try:
            operation = parse_operation(key, store.get(key), None)
        except InvalidOperationError:
            continue  # relays report its rejection in their state
        operations.setdefault(operation.override_id, []).append(operation)
    return operations


class OverrideView:
    """All overrides at one instant, read from one copy of the store.

    ``now_ms`` is that instant, in milliseconds of Unix time.
    """

    def __init__(self, store: Store, now_ms: float) -> None:
        self.now_ms = now_ms
        self.operations = _read_operations(store)
        self.states = read_relay_states(store)
        self.rejected_records = {
            key: reason for state in self.states.values() for key, reason in state.rejected_records.items()
        }
        self.overrides = self._fold_accepted()

    def _fold_accepted(self) -> dict[str, Override]:
        durations_s = [state.max_duration_s for state in self.states.values()]
        max_duration_ms = max(durations_s, default=float("inf")) * 1000.0
        overrides = {}
        for override_id, operations in self.operations.items():
            accepted = [operation for operation in operations if operation.key not in self.rejected_records]
            override = fold_operations(accepted, max_duration_ms)
            if override is not None:
                overrides[override_id] = override
        return overrides

    def get_override(self, override_id: str) -> Override:
        """Return the override with this id; end the command if there is none."""
        if override_id not in self.overrides:
            fail(ExitCode.NOT_FOUND, f"{override_id}: there is no such override")
        return self.overrides[override_id]

    def endpoints(self) -> dict[str, Endpoint]:
        """Return all endpoints that any relay reports, by name."""
        return {
            name: endpoint for state in self.states.values() for name, endpoint in state.endpoints.items()
        }

    def shortest_max_duration_ms(self) -> float:
        """Return the longest duration that all relays accept; infinite if no relay reports one."""
        durations_s = [state.max_duration_s for state in self.states.values()]
        return min(durations_s, default=float("inf")) * 1000.0

    def status_by_relay(self, override: Override) -> dict[str, str]:
        """Return the status that each relay reports of an override, keyed by the relay's node name."""
        return {node: state.statuses.get(override.id, UNKNOWN_STATUS) for node, state in self.states.items()}

    def has_expired(self, override: Override) -> bool:
        """Return whether an override has ended by its expiry and not by a revocation."""
        return not override.is_revoked and override.has_expired(self.now_ms)

    def status(self, override: Override) -> str:
        """Return the status that all relays report, or that of each relay if they differ."""
        if override.is_revoked:
            return OverrideStatus.REVOKED.value
        if self.has_expired(override):
            return OverrideStatus.EXPIRED.value
        by_relay = self.status_by_relay(override)
        distinct_statuses = set(by_relay.values())
        if not distinct_statuses:
            return NO_RELAY_STATUS
        if len(distinct_statuses) > 1:
            return ", ".join(f"{node}: {status}" for node, status in sorted(by_relay.items()))
        status = distinct_statuses.pop()
        expires_soon = override.expires_at_ms - self.now_ms < EXPIRES_SOON_MS
        return EXPIRES_SOON_STATUS if status == OverrideStatus.IN_FORCE and expires_soon else status

    def make_resolver(self) -> OverrideResolver:
        """Return a resolver with the overrides in force, and with the safety limits of the first relay."""
        limits = [state.safety_limits for state in self.states.values()]
        resolver = OverrideResolver(limits[0] if limits else SafetyLimits())
        resolver.apply_endpoint_list(self.endpoints().values(), is_full=True)
        for override in sorted(self.overrides.values(), key=lambda override: override.admission_rank):
            if not override.is_revoked and not override.has_expired(self.now_ms):
                resolver.add(override)
        return resolver
