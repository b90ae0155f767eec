"""What the overrides in force make of the hosts listed.

The rule where several touch one host, the same at every relay whatever order they came in:

- out of service goes before any weight, and its standing connections go if any of them asks for it;
- of several weights the smallest counts;
- it is held if any says so;
- a request goes where all strict pins that select it allow, and in that where a preferred one wishes.

The guard: overrides are taken in the order in which they were set. One that would leave less than the floor
of the capacity listed, in all or in a zone, or for a pinned class, is suspended, unless it was forced. So a
second one that is fine alone, and too much with the first, is the one that waits, at every relay; and when
hosts leave later, the newest wait first. What is suspended comes into force as soon as there is room for it.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision import Endpoint
from sageturn.overrides.model import Override
from sageturn.overrides.ops import SELECTORS, value_of


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Parts of the capacity listed ready that overrides have to leave."""

    all: float = 0.5
    zone: float = 0.34
    pin: float = 0.1  # what a strict pin leaves to the traffic it selects


@dataclass(frozen=True, slots=True)
class Effect:
    """On one host; ``by`` has the ids of all that touch it."""

    out: bool = False
    move_off: bool = False
    factor: float = 1.0
    hold: bool = False
    by: tuple[str, ...] = ()


NONE = Effect()
_NOBODY: dict[str, Override] = {}


@dataclass(frozen=True, slots=True)
class Pinned:
    """Hosts to which a request is bound; empty sets bind to nothing."""

    strict: frozenset[str] | None
    preferred: frozenset[str] | None


Changed = dict[str, Effect]  # the effect on each host before it changed; of two, the earlier is kept


class OverrideResolver:
    """Kept up change by change. Each call returns the hosts on which the effect has changed."""

    def __init__(self, floors: SafetyLimits) -> None:
        self.floors = floors
        self.hosts: dict[str, Endpoint] = {}
        self.overrides: dict[str, Override] = {}
        self.suspended: dict[str, str] = {}  # by id: why, with figures
        self.effects: dict[str, Effect] = {}  # of the hosts that any override touches
        self._order: list[tuple[float, str]] = []
        # By selector, so that a host's own are found without a look at all of them.
        self._covering: dict[tuple[str, str], dict[str, Override]] = {}
        self._hosts_by: dict[tuple[str, str], dict[str, Endpoint]] = {}
        self.pins: dict[str, Override] = {}
        self._keys: dict[str, tuple[tuple[str, str], ...]] = {}  # a host's, under all selectors
        # What the guard has let through: each host's factor, and the capacity left by zone and in all.
        self._factors: dict[str, float] = {}
        self._left: dict[str, float] = {}
        self._total: dict[str, float] = {}

    # ------------------------------------------------------------ reading

    def effect(self, host: str) -> Effect:
        return self.effects.get(host, NONE)

    def matches(self, override: Override) -> list[str]:
        """Listed hosts that it is about; with none it is dormant."""
        body = override.body
        if body.kind == "pin":
            return [name for name in body.hosts if name in self.hosts]
        return [endpoint.name for endpoint in self._covered(override)]

    def next_lapse_ms(self) -> float | None:
        return min((o.until_ms for o in self.overrides.values()), default=None)

    def pinned(self, class_name: str, tenant: str, group: str) -> Pinned | None:
        """None when no pin selects it."""
        strict: frozenset[str] | None = None
        preferred: frozenset[str] | None = None
        for override_id, override in self.pins.items():
            body = override.body
            if override_id in self.suspended or (body.class_name and body.class_name != class_name):
                continue
            if (body.tenant and body.tenant != tenant) or not group.startswith(body.group_prefix):
                continue
            hosts = frozenset(body.hosts)
            if body.strict:
                strict = hosts if strict is None else strict & hosts
            else:
                preferred = hosts if preferred is None else preferred & hosts
        if strict is None and preferred is None:
            return None
        return Pinned(strict, preferred)

    # ------------------------------------------------------------ changes

    def put(self, override: Override) -> Changed:
        """One that is in force from now on, or has changed."""
        changed = self.drop(override.id)
        self.overrides[override.id] = override
        newest = not self._order or override.order >= self._order[-1]
        insort(self._order, override.order)
        selector = override.body.selector
        if override.body.kind == "pin":
            self.pins[override.id] = override
        elif selector is not None:
            self._covering.setdefault((selector.what, selector.value), {})[override.id] = override
        if newest and not self.suspended:
            self._weigh(override)
        elif self._takes(override):
            changed = self.weigh_all() | changed
        return self._see(s.name for s in self._covered(override)) | changed

    def drop(self, override_id: str) -> Changed:
        """One that has lapsed or was revoked."""
        override = self.overrides.pop(override_id, None)
        if override is None:
            return {}
        self._order.remove(override.order)
        self.pins.pop(override_id, None)
        was_suspended = self.suspended.pop(override_id, None) is not None
        selector = override.body.selector
        if selector is not None:
            mine = self._covering[(selector.what, selector.value)]
            del mine[override_id]
            if not mine:
                del self._covering[(selector.what, selector.value)]
        covered = [s.name for s in self._covered(override)]
        if not was_suspended and self._takes(override):
            if self.suspended:
                return self._see(covered) | self.weigh_all()
            self._give_back(covered)
        return self._see(covered)

    def listed(self, endpoints: Iterable[Endpoint], whole: bool) -> Changed:
        """Word of the list: all of it, or what has changed."""
        endpoints = list(endpoints)
        if whole:
            named = {s.name for s in endpoints}
            endpoints += [Endpoint(name, "gone") for name in self.hosts if name not in named]
        touched = set()
        for endpoint in endpoints:
            old = self.hosts.pop(endpoint.name, None)
            if old is not None:
                for key in self._keys.pop(endpoint.name):
                    del self._hosts_by[key][endpoint.name]
                self._count(old, -1)
            if endpoint.state == "gone":
                self.effects.pop(endpoint.name, None)
                self._factors.pop(endpoint.name, None)
            else:
                self.hosts[endpoint.name] = endpoint
                keys = self._keys[endpoint.name] = tuple((w, value_of(endpoint, w)) for w in SELECTORS)
                for key in keys:
                    self._hosts_by.setdefault(key, {})[endpoint.name] = endpoint
                self._count(endpoint, 1)
            touched.add(endpoint.name)
        here = touched & self.hosts.keys()
        if len(here) > len(self.overrides):
            # Most hosts are touched by no override: it is quicker to go by these.
            here &= {s.name for o in self.overrides.values() for s in self._covered(o)} | self.effects.keys()
        changed = self._see(here)
        if any(self._takes(o) for o in self.overrides.values()):
            changed = self.weigh_all() | changed  # the floors may hold no longer, or hold again
        return changed

    def _count(self, endpoint: Endpoint, by: int) -> None:
        if endpoint.state != "ready":
            return
        for zone in ("", endpoint.zone) if endpoint.zone else ("",):
            self._total[zone] = self._total.get(zone, 0.0) + by * endpoint.share
            left = by * endpoint.share * self._factors.get(endpoint.name, 1.0)
            self._left[zone] = self._left.get(zone, 0.0) + left

    # ------------------------------------------------------------ effects

    def _covered(self, override: Override) -> list[Endpoint]:
        selector, start_ms = override.body.selector, override.body.this_start_ms
        if selector is None:
            return []
        found = self._hosts_by.get((selector.what, selector.value), {}).values()
        return [s for s in found if not start_ms or s.started_at_ms == start_ms]

    def _see(self, names: Iterable[str]) -> Changed:
        """Work out the effect on these hosts anew."""
        changed: Changed = {}
        if not self._covering and not self.effects:
            return changed
        for name in names:
            endpoint = self.hosts.get(name)
            if endpoint is None:
                continue
            effect = self._effect_on(endpoint)
            if effect != self.effects.get(name, NONE):
                changed[name] = self.effects.get(name, NONE)
            if effect is NONE:
                self.effects.pop(name, None)
            else:
                self.effects[name] = effect
        return changed

    def _effect_on(self, endpoint: Endpoint) -> Effect:
        out = move_off = hold = False
        factor: float | None = None
        by = []
        for key in self._keys[endpoint.name]:
            for override_id, override in self._covering.get(key, _NOBODY).items():
                body = override.body
                if override_id in self.suspended:
                    continue
                if body.this_start_ms and body.this_start_ms != endpoint.started_at_ms:
                    continue
                by.append(override_id)
                if body.kind == "out":
                    out, move_off = True, move_off or body.move_off
                elif body.kind == "weight":
                    factor = body.factor if factor is None else min(factor, body.factor)
                else:
                    hold = True
        if not by:
            return NONE
        return Effect(out, move_off, 1.0 if factor is None else factor, hold, tuple(sorted(by)))

    # ------------------------------------------------------------ the guard

    @staticmethod
    def _takes(override: Override) -> bool:
        """Whether it takes capacity from anyone."""
        body = override.body
        return body.kind == "out" or (body.kind == "weight" and body.factor < 1.0) or body.strict

    def weigh_all(self) -> Changed:
        """Weigh all of them in their order, and see anew those whose suspension has changed."""
        before = dict(self.suspended)
        self.suspended.clear()
        self._factors.clear()
        self._left = dict(self._total)
        for _, override_id in self._order:
            self._weigh(self.overrides[override_id])
        turned = before.keys() ^ self.suspended.keys()
        hosts = [s.name for i in turned if i in self.overrides for s in self._covered(self.overrides[i])]
        return self._see(hosts)

    def _weigh(self, override: Override) -> None:
        """Let it through, or suspend it; it is the last in order of those weighed so far."""
        if not self._takes(override):
            return
        body = override.body
        if body.kind == "pin":
            if not override.forced:
                self._weigh_pin(override)
            return
        to = 0.0 if body.kind == "out" else body.factor
        taken: dict[str, float] = {}
        lowered = []
        for endpoint in self._covered(override):
            has = self._factors.get(endpoint.name, 1.0)
            if to < has:
                lowered.append(endpoint.name)
                if endpoint.state == "ready":
                    for zone in ("", endpoint.zone) if endpoint.zone else ("",):
                        taken[zone] = taken.get(zone, 0.0) + (has - to) * endpoint.share
        for zone, part in sorted(taken.items()):
            total, left = self._total[zone], self._left[zone] - part
            floor = self.floors.zone if zone else self.floors.all
            # What was under the floor before is not this one's doing alone, but it would make it worse.
            if not override.forced and left < floor * total - 1e-9:
                where = f"zone {zone}" if zone else "all"
                figures = f"would leave {max(0.0, left):.1f} of {total:.1f} in {where}"
                self.suspended[override.id] = f"{figures}, under its floor of {floor:.0%}"
                return
        for name in lowered:
            self._factors[name] = to
        for zone, part in taken.items():
            self._left[zone] -= part

    def _weigh_pin(self, override: Override) -> None:
        hosts = [self.hosts[name] for name in override.body.hosts if name in self.hosts]
        left = sum(s.share * self._factors.get(s.name, 1.0) for s in hosts if s.state == "ready")
        total = self._total.get("", 0.0)
        # With none of its hosts there a strict pin is kept to its word: it was said to go nowhere else.
        if left > 0 and left < self.floors.pin * total - 1e-9:
            self.suspended[override.id] = (
                f"would leave {left:.1f} of {total:.1f} to what it pins, "
                f"under its floor of {self.floors.pin:.0%}"
            )

    def _give_back(self, names: Iterable[str]) -> None:
        """One was taken off and none is suspended: only its own hosts have more left now."""
        for name in names:
            endpoint, had = self.hosts[name], self._factors.pop(name, 1.0)
            has = 1.0
            for key in self._keys[name]:
                for override in self._covering.get(key, _NOBODY).values():
                    start_ms = override.body.this_start_ms
                    if self._takes(override) and (not start_ms or start_ms == endpoint.started_at_ms):
                        has = min(has, 0.0 if override.body.kind == "out" else override.body.factor)
            if has < 1.0:
                self._factors[name] = has
            if endpoint.state == "ready":
                for zone in ("", endpoint.zone) if endpoint.zone else ("",):
                    self._left[zone] += (has - had) * endpoint.share
