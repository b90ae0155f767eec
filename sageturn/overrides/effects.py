"""Combines the overrides on each endpoint into one effect.

Where several overrides select one endpoint, the effect is the same at every relay in any order:

- out of service takes precedence over any weight; connections are migrated off if any of them asks for it;
- of several weights the smallest applies;
- the endpoint is excluded from rebalancing if any of them holds it.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from sageturn.overrides.model import Override
from sageturn.overrides.operations import OverrideKind
from sageturn.overrides.selection import SelectionIndex


@dataclass(frozen=True, slots=True)
class OverrideEffect:
    """The effect of all overrides on one endpoint; ``override_ids`` has those that select it."""

    out_of_service: bool = False
    migrate_connections: bool = False
    factor: float = 1.0
    rebalance_excluded: bool = False
    override_ids: tuple[str, ...] = ()


NO_EFFECT = OverrideEffect()

# By endpoint, the effect before it changed. Where two changes are merged, the earlier effect is kept.
EffectChanges = dict[str, OverrideEffect]


class EffectTable:
    """Keeps the effects by endpoint, of the endpoints that any override in force selects."""

    def __init__(self, selection: SelectionIndex, suspended_ids: Container[str]) -> None:
        self.by_endpoint: dict[str, OverrideEffect] = {}
        self._selection = selection
        self._suspended_ids = suspended_ids

    def forget(self, name: str) -> None:
        """Drops the effect on an endpoint that has left the list."""
        self.by_endpoint.pop(name, None)

    def refresh(self, names: Iterable[str]) -> EffectChanges:
        """Recomputes the effects on these endpoints; names that are not listed are ignored."""
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
    """Returns the effect of these overrides on an endpoint that all of them select."""
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
