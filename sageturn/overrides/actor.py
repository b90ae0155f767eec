"""Applies a relay's overrides to the endpoint list before the balancer gets it, and to its requests."""

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

MAX_STEP_INTERVAL_S = 0.5  # until a change of the system's clock, which no event reports, is noticed
STATE_REPORT_INTERVAL_S = 2.0
FULL_LIST_KINDS = frozenset({decision.ListEventKind.FULL, decision.ListEventKind.STALE})
WARNING_ACTIONS = frozenset({AuditAction.REJECTED, AuditAction.SUSPENDED})


class RecordStore(Protocol):
    """The part of the store that overrides read."""

    def keys(self, prefix: str = "") -> list[str]:
        """Returns all keys that begin with the prefix."""

    def get(self, key: str) -> object:
        """Returns the value under a key, as decoded from JSON; None if there is none."""


def _read_records(store: RecordStore) -> list[OverrideRecord]:
    return [OverrideRecord(key, store.get(key)) for key in store.keys(KEY_PREFIX)]


class OverrideActor:
    """Receives the endpoint list's events in the balancer's place, and forwards them with overrides applied.

    Args:
        balancer_actor: Where endpoint list events are forwarded to, and whose requests are pinned.
        options: The operators and limits in force; ``set_options`` replaces them.
        store: Holds the operations; its owner calls ``on_store_change``.
        report_state: Receives the relay's state record.
        on_restrictions_changed: Is called when the endpoints change that are excluded from rebalancing, out
            of service, or being evacuated.
        now_ms: The system's clock, in milliseconds of Unix time.
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
        self._pending_endpoints: set[str] = set()  # changed by a reload since the last step
        self._wake_up = asyncio.Event()
        self._state_reported_s = 0.0
        # Applied before the first endpoint is listed: what has expired by now never takes effect here.
        self.registry.apply_records(_read_records(store), now_ms())
        self._update_observer()

    # ------------------------------------------------------------ endpoint list

    async def post_event(self, event: decision.Event) -> None:
        """Posts an event of the endpoint registry to the balancer, endpoint lists with overrides applied."""
        if isinstance(event, decision.EndpointListEvent) and event.kind != decision.ListEventKind.FAILED:
            is_full = event.kind in FULL_LIST_KINDS
            endpoints = self.registry.apply_endpoint_list(event.endpoints, is_full, self._read_clock())
            event = decision.EndpointListEvent(event.kind, endpoints)
            self._update_restrictions()
        await self._balancer_actor.post_event(event)

    def _read_clock(self) -> float:
        """Returns milliseconds of Unix time, of which no more have passed than by the relay's own time.

        A clock that is set forward must end no override before its time, which would be for good.
        """
        wall_clock_shift_ms = self._balancer_actor.clock.read_wall_clock()
        self.registry.wall_clock_shift_ms = min(0.0, wall_clock_shift_ms)
        return self._now_ms() - max(0.0, wall_clock_shift_ms)

    def is_out_of_service(self, endpoint: str) -> bool:
        """Whether overrides take an endpoint out of service; asked again before a slow set-up goes on."""
        return self.registry.resolver.effect(endpoint).out_of_service

    # ------------------------------------------------------------ store

    def on_store_change(self, records: Sequence[StoreRecord]) -> None:
        """Queues a change of the store for the next step; the store calls it for every change."""
        changed = [
            OverrideRecord(record.key, record.value)
            for record in records
            if record.key.startswith(KEY_PREFIX)
        ]
        if changed:
            self._pending_records += changed
            self._wake_up.set()

    def set_options(self, options: OverrideOptions, store: RecordStore) -> None:
        """Applies the options of a reload, and all records anew: their operators may be known now."""
        changed = self.registry.set_options(options, self._read_clock())
        self._pending_endpoints.update(endpoint.name for endpoint in changed)
        self._pending_records += _read_records(store)
        self._wake_up.set()

    # ------------------------------------------------------------ actor

    async def run(self) -> None:
        """Steps whenever the store changes, an expiry passes, or a ramp has its next step. Never returns."""
        while True:
            await self.step()
            now_ms = self._read_clock()
            next_change_ms = self.registry.next_change_ms(now_ms)
            wait_s = MAX_STEP_INTERVAL_S
            if next_change_ms is not None:
                wait_s = min(MAX_STEP_INTERVAL_S, max(0.0, (next_change_ms - now_ms) / 1000.0))
            await wait_for_event(self._wake_up, wait_s)

    async def step(self) -> None:
        """Applies pending changes, expires what is over, and posts to the balancer what that changes."""
        self._wake_up.clear()
        records = self._pending_records
        self._pending_records = []
        try:
            await self._apply_pending(records)
        finally:
            self._update_observer()

    def _update_observer(self) -> None:
        """Observes the balancer only while there is a pin: without one no request is looked at here."""
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
        audit_events = self.registry.audit.take()
        _log_audit_events(audit_events)
        if endpoints or audit_events:
            self._update_restrictions()
        if audit_events or self._is_report_due(now_ms / 1000.0):
            self._state_reported_s = now_ms / 1000.0
            self._report_state(encode_relay_state(self.registry, now_ms))

    def _take_pending_endpoints(self, now_ms: float) -> list[decision.Endpoint]:
        """Returns the endpoints that a reload changed as they are now, and forgets them.

        Some may have been listed anew, or left the list, since the reload.
        """
        names = sorted(self._pending_endpoints & self.registry.resolver.endpoints.keys())
        self._pending_endpoints = set()
        return [self.registry.effective_endpoint(name, now_ms) for name in names]

    def _is_report_due(self, now_s: float) -> bool:
        """Whether the report interval has passed, or the clock was set back."""
        return now_s >= self._state_reported_s + STATE_REPORT_INTERVAL_S or now_s < self._state_reported_s

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
        """Binds a request that a pin selects to the pin's endpoints."""
        if not isinstance(event, decision.RequestArrived):
            return
        route = self.registry.resolver.sticky_route(event.class_name, event.tenant, event.group)
        if route is not None:
            apply_sticky_route(event, route, self._balancer_actor)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """Does nothing: overrides do not depend on the balancer's decisions."""

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """Does nothing: overrides do not depend on migrations."""


def _log_audit_events(events: Sequence[AuditEvent]) -> None:
    for event in events:
        level = logging.WARNING if event.action in WARNING_ACTIONS else logging.INFO
        log.log(level, "override %s id=%s detail=%r", event.action.value, event.override_id, event.detail)
