"""All overrides that a relay knows of, and what they make of its hosts: pure, told the time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from sageturn.decision import Endpoint
from sageturn.overrides.model import Override, fold
from sageturn.overrides.ops import PREFIX, InvalidOperationError, OverrideOperation, parse_operation
from sageturn.overrides.options import OverrideOptions
from sageturn.overrides.resolve import Changed, OverrideResolver, Pinned
from sageturn.overrides.returns import RecoveryRamps


@dataclass(frozen=True, slots=True)
class Happening:
    """For the log: what became of an override, or of a record that is none."""

    what: str  # set, extended, revoked, lapsed, suspended, resumed, refused
    override: str
    told: str


class OverrideRegistry:
    """Times are milliseconds of Unix time, as the system's clock has them now: expiries are instants of it.

    A clock that is set back does not bring back what has lapsed: that stays lapsed until a later word extends
    it. One that is set forward lets lapse at once what is over by then.

    Calls that change anything return the lines of the hosts that the module has to see anew.
    """

    def __init__(self, options: OverrideOptions, initial_capacity_ratio: float, slow_start_ms: float) -> None:
        self.options = options
        self.resolver = OverrideResolver(options.floors)
        self.returns = RecoveryRamps(initial_capacity_ratio, slow_start_ms)
        self.refused: dict[str, str] = {}  # by key in the store: why
        self.known: dict[str, Override] = {}
        self.happened: list[Happening] = []
        self._ops: dict[str, dict[str, OverrideOperation]] = {}  # by override, then by key
        self._lapsed: dict[str, int] = {}  # by override: its revision when it lapsed
        self._suspended: dict[str, str] = {}

    # ------------------------------------------------------------ words

    def take(self, records: Iterable[tuple[str, Any]], now_ms: float) -> list[Endpoint]:
        """Records of the store that stand under ``PREFIX``."""
        touched = []
        for key, value in records:
            override_id = key.removeprefix(PREFIX).partition("/")[0]
            known = self._ops.get(override_id, {})
            if value is None:  # taken out of the store: its history was cleared away
                if known.pop(key, None) is not None:
                    touched.append(override_id)
            elif key not in known:  # no word is ever changed: a second one under its key is not believed
                op = self._read(key, value, override_id)
                if op is not None:
                    self._ops.setdefault(override_id, {})[key] = op
                    touched.append(override_id)
        return self._turned(self._fold(dict.fromkeys(touched), now_ms), now_ms)

    def _read(self, key: str, value: Any, override_id: str) -> OverrideOperation | None:
        try:
            op = parse_operation(key, value, self.options.operators)
        except InvalidOperationError as error:
            if self.refused.get(key) != str(error):
                self.refused[key] = str(error)
                self._say("refused", override_id, f"{key}: {error}")
            return None
        self.refused.pop(key, None)
        return op

    def set_options(self, options: OverrideOptions, now_ms: float) -> list[Endpoint]:
        """New options: whoever is no operator any more is no longer heard, and all is weighed anew."""
        self.options, self.resolver.floors = options, options.floors
        for override_id, ops in self._ops.items():
            for key in [k for k, op in ops.items() if op.operator not in options.operators]:
                self.refused[key] = f"operator: {ops.pop(key).operator} is not known here"
                self._say("refused", override_id, f"{key}: {self.refused[key]}")
        changed = self._fold(self._ops, now_ms)
        return self._turned(self.resolver.weigh_all() | changed, now_ms)

    def _fold(self, override_ids: Iterable[str], now_ms: float) -> Changed:
        changed: Changed = {}
        for override_id in override_ids:
            changed = self._fold_one(override_id, now_ms) | changed
        return changed

    def _fold_one(self, override_id: str, now_ms: float) -> Changed:
        override = fold(self._ops.get(override_id, {}).values(), self.options.longest_s * 1000.0)
        old = self.known.pop(override_id, None)
        if override is None:
            return self.resolver.drop(override_id)
        self.known[override_id] = override
        if override == old:
            return {}
        self._say_turn(old, override, now_ms)
        if override.revoked:
            return self.resolver.drop(override_id)
        if override.lapsed(now_ms):
            return self._lapse(override)
        if self._lapsed.get(override_id) == override.revision:
            return {}  # the clock was set back: what is over is over
        self._lapsed.pop(override_id, None)
        return self.resolver.put(override)

    def _say_turn(self, old: Override | None, new: Override, now_ms: float) -> None:
        if old is None and (new.revoked or new.lapsed(now_ms)):
            return  # over before this relay heard of it
        if new.revoked:
            if old is not None and not old.revoked:
                self._say("revoked", new.id, f"by {new.revoked_by}")
        elif old is None:
            forced = ", forced" if new.forced else ""
            self._say("set", new.id, f"by {new.set_by} until {new.until_ms:.0f}{forced}: {new.why}")
        elif new.until_ms != old.until_ms:
            self._say("extended", new.id, f"by {new.until_by} until {new.until_ms:.0f}")

    def _say(self, what: str, override: str, told: str) -> None:
        self.happened.append(Happening(what, override, told))

    # ------------------------------------------------------------ time

    def pass_time(self, now_ms: float) -> list[Endpoint]:
        """What has lapsed by now, and hosts whose weight comes back bit by bit."""
        changed: Changed = {}
        for override in [o for o in self.resolver.overrides.values() if o.lapsed(now_ms)]:
            changed = self._lapse(override) | changed
            self._say("lapsed", override.id, f"set by {override.set_by}: {override.why}")
        lines = self._turned(changed, now_ms)
        named = {line.name for line in lines}
        return lines + [self.line(n, now_ms) for n in self.returns.rising(now_ms) if n not in named]

    def _lapse(self, override: Override) -> Changed:
        self._lapsed[override.id] = override.revision
        return self.resolver.drop(override.id)

    def next_ms(self, now_ms: float) -> float | None:
        """The next instant at which anything changes by itself."""
        instants = (self.resolver.next_lapse_ms(), self.returns.next_ms(now_ms))
        return min((t for t in instants if t is not None), default=None)

    # ------------------------------------------------------------ hosts

    def listed(self, endpoints: list[Endpoint], whole: bool, now_ms: float) -> list[Endpoint]:
        """Word of the list as the module is to get it: the same hosts, and others that it has changed."""
        for endpoint in endpoints:
            old = self.resolver.hosts.get(endpoint.name)
            if old is not None and old.started_at_ms != endpoint.started_at_ms:
                self.returns.forget(endpoint.name)
        before = set(self.resolver.hosts)
        changed = self.resolver.listed(endpoints, whole)
        for name in before - self.resolver.hosts.keys():
            self.returns.forget(name)
        # A host that is new on the list has no past here: what it meets is no return.
        self._turned({n: e for n, e in changed.items() if n in before}, now_ms)
        named = {s.name for s in endpoints}
        lines = [self.line(s.name, now_ms) if s.name in self.resolver.hosts else s for s in endpoints]
        return lines + [self.line(name, now_ms) for name in changed if name not in named]

    def line(self, name: str, now_ms: float) -> Endpoint:
        return self.returns.line(self.resolver.hosts[name], self.resolver.effect(name), now_ms)

    def _turned(self, changed: Changed, now_ms: float) -> list[Endpoint]:
        for name, old in changed.items():
            self.returns.turn(name, old, self.resolver.effect(name), now_ms)
        self._tell_suspended()
        return [self.line(name, now_ms) for name in sorted(changed) if name in self.resolver.hosts]

    def _tell_suspended(self) -> None:
        now = self.resolver.suspended
        for override_id in now.keys() - self._suspended.keys():
            self._say("suspended", override_id, now[override_id])
        for override_id in self._suspended.keys() - now.keys():
            if override_id in self.resolver.overrides:
                self._say("resumed", override_id, "there is room for it again")
        self._suspended = dict(now)

    # ------------------------------------------------------------ asking

    def pinned(self, class_name: str, tenant: str, group: str) -> Pinned | None:
        return self.resolver.pinned(class_name, tenant, group)

    def status(self, override: Override, now_ms: float) -> str:
        """in force, dormant, suspended, lapsed or revoked."""
        if override.revoked:
            return "revoked"
        if override.id not in self.resolver.overrides or override.lapsed(now_ms):
            return "lapsed"
        if override.id in self.resolver.suspended:
            return "suspended"
        return "in force" if self.resolver.matches(override) else "dormant"

    def history(self, override_id: str) -> list[OverrideOperation]:
        return sorted(self._ops.get(override_id, {}).values(), key=lambda op: op.order)
