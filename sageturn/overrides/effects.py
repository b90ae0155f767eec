"""Combines the overrides on each endpoint into one effect.

Every relay combines several overrides on one endpoint in the same way, whatever their order:

- Out of service takes precedence over any weight. Connections are migrated off the endpoint if any of the
  overrides requests it.
- The smallest of several weight factors applies.
- The endpoint is excluded from rebalancing if any of the overrides is a hold.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from sageturn.overrides.model import Override
from sageturn.overrides.operations import OverrideKind
from sageturn.overrides.selection import SelectionIndex


@dataclass(frozen=True, slots=True)
class OverrideEffect:
    """Combined effect of all overrides in force on one endpoint, whose ids are ``override_ids``."""

    out_of_service: bool = False
    migrate_connections: bool = False
    factor: float = 1.0
    rebalance_excluded: bool = False
    override_ids: tuple[str, ...] = ()


NO_EFFECT = OverrideEffect()

# Effects before a change, by endpoint name. Merging two changes keeps the earlier effect.
EffectChanges = dict[str, OverrideEffect]


class EffectTable:
    """Table of the effects by endpoint name, for the endpoints that any override in force selects."""

    def __init__(self, selection: SelectionIndex, suspended_ids: Container[str]) -> None:
        self.by_endpoint: dict[str, OverrideEffect] = {}
        self._selection = selection
        self._suspended_ids = suspended_ids

    def discard(self, name: str) -> None:
        """Drop the effect on an endpoint that was removed from the list."""
        self.by_endpoint.pop(name, None)

    def refresh(self, names: Iterable[str]) -> EffectChanges:
        """Recompute the effects on these endpoints, and return the changes; unlisted names are ignored."""
        changes: EffectChanges = {}
        if not self._selection.has_overrides and not self.by_endpoint:
            return changes
        for name in names:
            if name not in self._selection.endpoints:
                continue
            previous = self.by_endpoint.get(name, NO_EFFECT)
            effect = self._compute(name)
            if effect != previous:
                changes[name] = previous
            if effect is NO_EFFECT:
                self.by_endpoint.pop(name, None)
            else:
                self.by_endpoint[name] = effect
        return changes

    def _compute(self, name: str) -> OverrideEffect:
        overrides = [
            override
            for override in self._selection.overrides_on(name)
            if override.id not in self._suspended_ids
        ]
        return combine_overrides(overrides) if overrides else NO_EFFECT


def combine_overrides(overrides: Iterable[Override]) -> OverrideEffect:
    """Return the combined effect of overrides that all select the same endpoint."""
    out_of_service = False
    migrate_connections = False
    rebalance_excluded = False
    factor: float | None = None
    override_ids = []
    for override in overrides:
        payload = override.payload
        override_ids.append(override.id)
        if payload.kind is OverrideKind.OUT_OF_SERVICE:
            out_of_service = True
            migrate_connections = migrate_connections or payload.migrate_connections
        elif payload.kind is OverrideKind.WEIGHT:
            factor = payload.factor if factor is None else min(factor, payload.factor)
        else:
            rebalance_excluded = True
    return OverrideEffect(
        out_of_service,
        migrate_connections,
        1.0 if factor is None else factor,
        rebalance_excluded,
        tuple(sorted(override_ids)),
    )
