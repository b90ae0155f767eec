"""Applies a relay's overrides to its requests, and to the endpoint list before the balancer receives it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.endpoint_snapshot import EndpointRestrictions
from sageturn.core.tasks import wait_for_event
from sageturn.overrides.audit import AuditAction, AuditEvent
from sageturn.overrides.operation_log import OverrideRecord
from sageturn.overrides.operations import KEY_PREFIX
from sageturn.overrides.options import OverrideOptions
from sageturn.overrides.registry import OverrideRegistry
from sageturn.overrides.relay_state import encode_relay_state
from sageturn.overrides.sticky_routing import apply_sticky_route
from sageturn.overrides.unix_time import unix_time_ms
from sageturn.store.records import StoreRecord

log = logging.getLogger(__name__)

# Bounds the delay until a step of the system's clock is noticed: no event reports one.
MAX_STEP_INTERVAL_S = 0.5
STATE_REPORT_INTERVAL_S = 2.0
FULL_LIST_KINDS = frozenset({decision.ListEventKind.FULL, decision.ListEventKind.STALE})
WARNING_ACTIONS = frozenset({AuditAction.REJECTED, AuditAction.SUSPENDED})


class RecordStore(Protocol):
    """Read access to the store's records."""

    def keys(self, prefix: str = "") -> list[str]:
        """Return all keys that begin with the prefix."""

    def get(self, key: str) -> object:
        """Return the value under a key, as decoded from JSON; None if there is none."""


def _read_records(store: RecordStore) -> list[OverrideRecord]:
    return [OverrideRecord(key, store.get(key)) for key in store.keys(KEY_PREFIX)]


class OverrideActor:
    """Actor between the endpoint registry and the balancer that applies overrides to endpoint list events.

    Args:
        balancer_actor: Actor that receives the modified endpoint list events, and whose requests are pinned.
        options: Accepted operators and safety limits; ``set_options`` replaces them.
        store: Store of the operations; its owner calls ``on_store_change``.
        report_state: Callback that receives the relay's state record.
        on_restrictions_changed: Callback for a change of the endpoints that are excluded from rebalancing,
            out of service, or being evacuated.
        now_ms: The system's clock; returns milliseconds of Unix time.
    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        options: OverrideOptions,
        store: RecordStore,
        report_state: Callable[[dict[str, object]], None],
        on_restrictions_changed: Callable[[EndpointRestrictions], None] | None = None,
        now_ms: Callable[[], float] = unix_time_ms,
    ) -> None:
        settings = balancer_actor.settings
        self.registry = OverrideRegistry(options, settings.initial_capacity_ratio, settings.slow_start_ms)
        self.restrictions = EndpointRestrictions()
        self._balancer_actor = balancer_actor
        self._report_state = report_state
        self._on_restrictions_changed = on_restrictions_changed
        self._now_ms = now_ms
        self._pending_records: list[OverrideRecord] = []
        self._pending_endpoint_names: set[str] = set()  # endpoints changed by a reload since the last step
        self._wake_up = asyncio.Event()
        self._state_reported_at_s = 0.0
        # Records are applied before the first endpoint is listed, so that an override that has already
        # expired never takes effect.
        self.registry.apply_records(_read_records(store), now_ms())
        self._update_observer_registration()

    # ------------------------------------------------------------ endpoint list

    async def post_event(self, event: decision.Event) -> None:
        """Post an event of the endpoint registry to the balancer, endpoint lists with overrides applied."""
        if isinstance(event, decision.EndpointListEvent) and event.kind != decision.ListEventKind.FAILED:
            is_full = event.kind in FULL_LIST_KINDS
            endpoints = self.registry.apply_endpoint_list(event.endpoints, is_full, self._read_clock())
            event = decision.EndpointListEvent(event.kind, endpoints)
            self._update_restrictions()
        await self._balancer_actor.post_event(event)

    def _read_clock(self) -> float:
        """Return Unix time in milliseconds, less any lead of the system's clock over the relay's time.

        Without this correction a clock that is set forward would expire overrides early, and setting it
        back would not restore them.
        """
        wall_clock_shift_ms = self._balancer_actor.clock.read_wall_clock()
        self.registry.wall_clock_shift_ms = min(0.0, wall_clock_shift_ms)
        return self._now_ms() - max(0.0, wall_clock_shift_ms)

    def is_out_of_service(self, endpoint: str) -> bool:
        """Return whether overrides take an endpoint out of service.

        An attempt that took long to connect checks this before it sends its request.
        """
        return self.registry.resolver.effect(endpoint).out_of_service

    # ------------------------------------------------------------ store

    def on_store_change(self, records: Sequence[StoreRecord]) -> None:
        """Queue a change of the store for the next step; called for every change of the store."""
        changed = [
            OverrideRecord(record.key, record.value)
            for record in records
            if record.key.startswith(KEY_PREFIX)
        ]
        if changed:
            self._pending_records += changed
            self._wake_up.set()

    def set_options(self, options: OverrideOptions, store: RecordStore) -> None:
        """Apply the options of a reload, and all records again: more operators may be accepted now."""
        changed = self.registry.set_options(options, self._read_clock())
        self._pending_endpoint_names.update(endpoint.name for endpoint in changed)
        self._pending_records += _read_records(store)
        self._wake_up.set()

    # ------------------------------------------------------------ actor

    async def run(self) -> None:
        """Step at every store change, expiry and step of a recovery ramp; never return."""
        while True:
            await self.step()
            now_ms = self._read_clock()
            next_change_ms = self.registry.next_change_ms(now_ms)
            wait_s = MAX_STEP_INTERVAL_S
            if next_change_ms is not None:
                wait_s = min(MAX_STEP_INTERVAL_S, max(0.0, (next_change_ms - now_ms) / 1000.0))
            await wait_for_event(self._wake_up, wait_s)

    async def step(self) -> None:
        """Apply pending changes, expire overrides, and post the changed endpoints to the balancer."""
        self._wake_up.clear()
        records = self._pending_records
        self._pending_records = []
        try:
            await self._apply_pending(records)
        finally:
            self._update_observer_registration()

    def _update_observer_registration(self) -> None:
        """Observe the balancer only while there is a pin, so that requests otherwise cost nothing here."""
        is_observing = self in self._balancer_actor.observers
        has_pins = bool(self.registry.resolver.pins)
        if has_pins and not is_observing:
            self._balancer_actor.observers.append(self)
        elif is_observing and not has_pins:
            self._balancer_actor.observers.remove(self)

    async def _apply_pending(self, records: list[OverrideRecord]) -> None:
        now_ms = self._read_clock()
        endpoints = self._take_pending_endpoints(now_ms)
        if records:
            endpoints += self.registry.apply_records(records, now_ms)
        endpoints += self.registry.advance_time(now_ms)
        if endpoints:
            latest = {endpoint.name: endpoint for endpoint in endpoints}
            event = decision.EndpointListEvent(decision.ListEventKind.CHANGES, list(latest.values()))
            await self._balancer_actor.post_event(event)
        audit_events = self.registry.audit.take_events()
        _log_audit_events(audit_events)
        if endpoints or audit_events:
            self._update_restrictions()
        if audit_events or self._is_report_due(now_ms / 1000.0):
            self._state_reported_at_s = now_ms / 1000.0
            self._report_state(encode_relay_state(self.registry, now_ms))

    def _take_pending_endpoints(self, now_ms: float) -> list[decision.Endpoint]:
        """Return the current state of the endpoints that a reload changed, and clear the pending set.

        Discovery may have updated or removed some of them since the reload.
        """
        names = sorted(self._pending_endpoint_names & self.registry.resolver.endpoints.keys())
        self._pending_endpoint_names = set()
        return [self.registry.effective_endpoint(name, now_ms) for name in names]

    def _is_report_due(self, now_s: float) -> bool:
        """Return whether the report interval has passed or the clock was set back."""
        return (
            now_s >= self._state_reported_at_s + STATE_REPORT_INTERVAL_S or now_s < self._state_reported_at_s
        )

    def _update_restrictions(self) -> None:
        effects = self.registry.resolver.effects.items()
        restrictions = EndpointRestrictions(
            rebalance_excluded=frozenset(name for name, effect in effects if effect.rebalance_excluded),
            out_of_service=frozenset(name for name, effect in effects if effect.out_of_service),
            evacuating=frozenset(name for name, effect in effects if effect.migrate_connections),
        )
        if restrictions != self.restrictions:
            self.restrictions = restrictions
            if self._on_restrictions_changed is not None:
                self._on_restrictions_changed(restrictions)

    # ------------------------------------------------------------ BalancerObserver

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Restrict a request that pins select to the endpoints of these pins."""
        if not isinstance(event, decision.RequestArrived):
            return
        route = self.registry.resolver.sticky_route(event.class_name, event.tenant, event.group)
        if route is not None:
            apply_sticky_route(event, route, self._balancer_actor)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """Do nothing: overrides do not depend on the balancer's decisions."""

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """Do nothing: overrides do not depend on migrations."""


def _log_audit_events(events: Sequence[AuditEvent]) -> None:
    for event in events:
        level = logging.WARNING if event.action in WARNING_ACTIONS else logging.INFO
        log.log(level, "override %s id=%s detail=%r", event.action.value, event.override_id, event.detail)
