"""OverrideActor at work in a relay: between the destination set and the module, and beside its requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, Protocol

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.endpoint_snapshot import OperatorMarks
from sageturn.overrides.board import OverrideRegistry
from sageturn.overrides.ops import PREFIX
from sageturn.overrides.options import OverrideOptions
from sageturn.overrides.resolve import Pinned

log = logging.getLogger(__name__)

LOOK_S = 0.5  # the clock may be set at any time, and nothing tells when it is
STATE_S = 2.0
LOUD = frozenset({"refused", "suspended"})
HOSTS_TOLD = 1000  # hosts in the state that other nodes can read; a larger fleet tells its sums only


class Records(Protocol):
    """The store, as far as overrides need it."""

    def keys(self, prefix: str = "") -> list[str]: ...

    def get(self, key: str) -> Any: ...


def unix_ms() -> float:
    return time.time() * 1000.0


class OverrideActor:
    """Takes the list's events in the module's place, and passes them on as the overrides make them.

    ``on_effects`` hears of the hosts that are held, out of service, and to be cleared, when that changes.
    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        options: OverrideOptions,
        store: Records,
        tell_state: Callable[[dict[str, Any]], None],
        on_effects: Callable[[OperatorMarks], None] | None = None,
        now_ms: Callable[[], float] = unix_ms,
    ) -> None:
        settings = balancer_actor.settings
        self.board = OverrideRegistry(options, settings.initial_capacity_ratio, settings.slow_start_ms)
        self._balancer_actor, self._tell_state, self._on_effects = balancer_actor, tell_state, on_effects
        self._now_ms = now_ms
        self._words: list[tuple[str, Any]] = []
        self._lines: list[decision.Endpoint] = []
        self.marks = OperatorMarks()
        self._woken = asyncio.Event()
        self._told_s = 0.0
        # What is over by now is never in force here: it is left out before the first host is told.
        self.board.take([(key, store.get(key)) for key in store.keys(PREFIX)], now_ms())
        self._attend()

    # ------------------------------------------------------------ the list

    async def tell(self, event: decision.Event) -> None:
        """In place of the module's own ``tell``, for the destination set."""
        if isinstance(event, decision.EndpointListEvent) and event.kind != "failed":
            whole = event.kind in ("full", "stale")
            lines = self.board.listed(event.endpoints, whole, self._now_ms())
            event = decision.EndpointListEvent(event.kind, lines)
            self._spread()
        await self._balancer_actor.post_event(event)

    def out(self, host: str) -> bool:
        """For calls that take long to set up: whether the host may no longer be given work."""
        return self.board.resolver.effect(host).out

    # ------------------------------------------------------------ the store

    def changed(self, records: Sequence[Any]) -> None:
        """Called by the store for every change; acted on by the actor."""
        mine = [(r.key, r.value) for r in records if r.key.startswith(PREFIX)]
        if mine:
            self._words += mine
            self._woken.set()

    def set_options(self, options: OverrideOptions, store: Records) -> None:
        """On SIGHUP. Words that were refused may be an operator's now."""
        self._lines = self.board.set_options(options, self._now_ms())
        self._words += [(key, store.get(key)) for key in store.keys(PREFIX)]
        self._woken.set()

    # ------------------------------------------------------------ the actor

    async def run(self) -> None:
        while True:
            await self.step()
            now_ms = self._now_ms()
            due_ms = self.board.next_ms(now_ms)
            wait_s = LOOK_S if due_ms is None else min(LOOK_S, max(0.0, (due_ms - now_ms) / 1000.0))
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._woken.wait()

    async def step(self) -> None:
        """Take what has come, let lapse what is over, and tell the module what that changes."""
        self._woken.clear()
        words, self._words = self._words, []
        try:
            await self._step(words)
        finally:
            self._attend()

    def _attend(self) -> None:
        """Beside the module only while there is a pin: without one no request passes through here."""
        beside = self in self._balancer_actor.observers
        if self.board.resolver.pins and not beside:
            self._balancer_actor.observers.append(self)
        elif beside and not self.board.resolver.pins:
            self._balancer_actor.observers.remove(self)

    async def _step(self, words: list[tuple[str, Any]]) -> None:
        lines, self._lines = self._lines, []
        now_ms = self._now_ms()
        if words:
            lines += self.board.take(words, now_ms)
        lines += self.board.pass_time(now_ms)
        if lines:
            latest = {line.name: line for line in lines}
            await self._balancer_actor.post_event(
                decision.EndpointListEvent("changes", list(latest.values()))
            )
        happened, self.board.happened = self.board.happened, []
        for happening in happened:
            level = logging.WARNING if happening.what in LOUD else logging.INFO
            log.log(level, "%s %s: %s", happening.override, happening.what, happening.told)
        if lines or happened:
            self._spread()
        if happened or now_ms / 1000.0 >= self._told_s + STATE_S or now_ms / 1000.0 < self._told_s:
            self._told_s = now_ms / 1000.0
            self._tell_state(self.state(now_ms))

    def _spread(self) -> None:
        effects = self.board.resolver.effects.items()
        marks = OperatorMarks(
            frozenset(name for name, effect in effects if effect.hold),
            frozenset(name for name, effect in effects if effect.out),
            frozenset(name for name, effect in effects if effect.move_off),
        )
        if marks != self.marks:
            self.marks = marks
            if self._on_effects is not None:
                self._on_effects(marks)

    # ------------------------------------------------------------ requests

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Binds a request to hosts where a pin selects it; the module chooses among them."""
        if not isinstance(event, decision.RequestArrived):
            return
        pinned = self.board.pinned(event.class_name, event.tenant, event.group)
        if pinned is not None:
            bind(event, pinned, self._balancer_actor)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """OverrideActor learn nothing from what passes."""

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """Nor from moves."""

    # ------------------------------------------------------------ for operators

    def state(self, now_ms: float) -> dict[str, Any]:
        board, resolver = self.board, self.board.resolver
        hosts = resolver.hosts
        told: dict[str, Any] = {
            "overrides": {i: board.status(o, now_ms) for i, o in sorted(board.known.items())},
            "words": {i: o.revision for i, o in sorted(board.known.items())},
            "suspended": dict(sorted(resolver.suspended.items())),
            "refused": dict(sorted(board.refused.items())),
            "hosts_listed": len(hosts),
            "floors": [board.options.floors.all, board.options.floors.zone, board.options.floors.pin],
            "longest_s": board.options.longest_s,
        }
        if len(hosts) <= HOSTS_TOLD:
            told["hosts"] = {
                s.name: [s.zone, s.kind, s.cell, s.state, s.share, s.started_at_ms] for s in hosts.values()
            }
        return told


def bind(event: decision.RequestArrived, pinned: Pinned, balancer_actor: BalancerActor) -> None:
    """A strict pin holds on every attempt; a preferred one on the first, where any of its hosts has room."""
    allowed, strict = pinned.strict, pinned.strict is not None
    if pinned.preferred is not None:
        wished = pinned.preferred if allowed is None else pinned.preferred & allowed
        if any(view.available_capacity > 0 for view in balancer_actor.snapshot_endpoints(wished)):
            event.allowed, event.strict = wished, strict
            return
    if strict:
        event.allowed, event.strict = allowed, True
