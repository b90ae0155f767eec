"""Resolves the overrides in force against the listed endpoints.

``selection`` finds which override selects which endpoint, ``effects`` combines the overrides on an endpoint,
``sticky_routing`` combines the pins on a request, and ``safety_guard`` suspends overrides that would leave
too little capacity. If the list loses endpoints afterwards, the newest overrides are suspended first. A
suspended override resumes as soon as the limits permit it.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable

from sageturn.decision import Endpoint, EndpointStatus
from sageturn.overrides.effects import NO_EFFECT, EffectChanges, EffectTable, OverrideEffect
from sageturn.overrides.model import AdmissionRank, Override
from sageturn.overrides.operations import OverrideKind
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.safety_guard import SafetyGuard
from sageturn.overrides.selection import SelectionIndex
from sageturn.overrides.sticky_routing import StickyRoute, combine_pins


class OverrideResolver:
    """Effects of the overrides in force on the listed endpoints, updated incrementally.

    Every update returns the endpoints on which the effect has changed, each with its previous effect.
    """

    def __init__(self, safety_limits: SafetyLimits) -> None:
        self.overrides: dict[str, Override] = {}  # overrides in force or suspended, by id
        self.pins: dict[str, Override] = {}
        self.guard = SafetyGuard(safety_limits)
        self._selection = SelectionIndex()
        self._effects = EffectTable(self._selection, self.guard.suspended)
        self._admission_order: list[AdmissionRank] = []

    # ------------------------------------------------------------ queries

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Listed endpoints by name, as discovery reports them."""
        return self._selection.endpoints

    @property
    def suspended(self) -> dict[str, str]:
        """Reasons why the safety limits suspend overrides, by override id."""
        return self.guard.suspended

    @property
    def effects(self) -> dict[str, OverrideEffect]:
        """Effects by endpoint name, for the endpoints that any override in force selects."""
        return self._effects.by_endpoint

    def effect(self, endpoint: str) -> OverrideEffect:
        """Return the effect of all overrides on an endpoint; an unlisted one has no effect."""
        return self._effects.by_endpoint.get(endpoint, NO_EFFECT)

    def matching_endpoints(self, override: Override) -> list[str]:
        """Return the names of the listed endpoints that an override applies to; without any it is dormant."""
        return [endpoint.name for endpoint in self._listed_targets(override)]

    def next_expiry_ms(self) -> float | None:
        """Return the Unix time in milliseconds of the next expiry; None if there is no override."""
        return min((override.expires_at_ms for override in self.overrides.values()), default=None)

    def sticky_route(self, class_name: str, tenant: str, group: str) -> StickyRoute | None:
        """Return the endpoints to which pins bind a request; None if no pin selects it."""
        return combine_pins(
            override.payload
            for override_id, override in self.pins.items()
            if override_id not in self.suspended
            and override.payload.matches_request(class_name, tenant, group)
        )

    # ------------------------------------------------------------ updates

    def add(self, override: Override) -> EffectChanges:
        """Add an override, or replace it by its new version."""
        changes = self.remove(override.id)
        self.overrides[override.id] = override
        is_newest = not self._admission_order or override.admission_rank >= self._admission_order[-1]
        insort(self._admission_order, override.admission_rank)
        if override.payload.kind is OverrideKind.PIN:
            self.pins[override.id] = override
        else:
            self._selection.add_override(override)
        if is_newest and not self.suspended:
            self._admit(override)
        elif override.payload.reduces_capacity:
            changes = self.reevaluate() | changes
        return self._effects.refresh(self._selection.names_selected_by(override)) | changes

    def remove(self, override_id: str) -> EffectChanges:
        """Remove an override that has expired or was revoked."""
        override = self.overrides.pop(override_id, None)
        if override is None:
            return {}
        self._admission_order.remove(override.admission_rank)
        self.pins.pop(override_id, None)
        self._selection.remove_override(override)
        was_suspended = self.suspended.pop(override_id, None) is not None
        selected = self._selection.names_selected_by(override)
        if not was_suspended and override.payload.reduces_capacity:
            # The guard charged another override that reduces the same endpoints only for the capacity that
            # this one had left. It must be admitted again with its full reduction.
            if self.suspended or any(self._selection.reducing_overrides_on(name) for name in selected):
                return self._effects.refresh(selected) | self.reevaluate()
            # No other override is affected: only the endpoints that this one selected regain capacity.
            for name in selected:
                self.guard.restore_weight(self.endpoints[name])
        return self._effects.refresh(selected)

    def apply_endpoint_list(self, endpoints: Iterable[Endpoint], is_full: bool) -> EffectChanges:
        """Apply a full endpoint list, or the endpoints that have changed."""
        updates = list(endpoints)
        if is_full:
            listed = {endpoint.name for endpoint in updates}
            updates += [
                Endpoint(name, EndpointStatus.REMOVED) for name in self.endpoints if name not in listed
            ]
        for endpoint in updates:
            self._update_endpoint(endpoint)
        present = {endpoint.name for endpoint in updates} & self.endpoints.keys()
        if len(present) > len(self.overrides):
            # Few endpoints are selected by an override, so refreshing only those is faster.
            present &= self._all_selected_names() | self.effects.keys()
        changes = self._effects.refresh(present)
        if any(override.payload.reduces_capacity for override in self.overrides.values()):
            changes = self.reevaluate() | changes  # the update may cause or end a violation of the limits
        return changes

    def reevaluate(self) -> EffectChanges:
        """Admit all overrides again, oldest first, and refresh the effects of those suspended or resumed."""
        suspended_before = dict(self.suspended)
        self.guard.reset()
        for rank in self._admission_order:
            self._admit(self.overrides[rank.override_id])
        toggled = suspended_before.keys() ^ self.suspended.keys()
        names = [
            name
            for override_id in toggled
            if override_id in self.overrides
            for name in self._selection.names_selected_by(self.overrides[override_id])
        ]
        return self._effects.refresh(names)

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        previous = self._selection.remove_endpoint(endpoint.name)
        if previous is not None:
            self.guard.remove_endpoint(previous)
        if endpoint.state == EndpointStatus.REMOVED:
            self._effects.discard(endpoint.name)
            self.guard.discard_factor(endpoint.name)
        else:
            self._selection.add_endpoint(endpoint)
            self.guard.add_endpoint(endpoint)

    def _admit(self, override: Override) -> None:
        """Let the guard admit or suspend an override; overrides are passed in order of admission rank."""
        payload = override.payload
        if not payload.reduces_capacity:
            return
        targets = self._listed_targets(override)
        if payload.kind is OverrideKind.PIN:
            self.guard.admit_pin(override, targets)
        else:
            self.guard.admit_selected(override, targets)

    def _listed_targets(self, override: Override) -> list[Endpoint]:
        """Return the listed endpoints that a pin names or a selector matches."""
        if override.payload.kind is OverrideKind.PIN:
            return self._selection.endpoints_named(override.payload.endpoints)
        return self._selection.endpoints_selected_by(override)

    def _all_selected_names(self) -> set[str]:
        return {
            name
            for override in self.overrides.values()
            for name in self._selection.names_selected_by(override)
        }
