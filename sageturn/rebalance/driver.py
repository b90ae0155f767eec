"""Joins the planner to the relay: events in as they pass, a tick now and then, moves out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.request_registry import RequestRegistry
from sageturn.rebalance.options import DAY_MIN, RebalanceOptions
from sageturn.rebalance.planner import MigrationPlan, RebalancePlanner

log = logging.getLogger(__name__)

STATE_MS = 5000.0  # how often the state is told, at most


class Rebalancer(RebalancePlanner):
    """The planner as the module's companion, and the actor that asks for its moves."""

    def __init__(
        self,
        balancer_actor: BalancerActor,
        request_registry: RequestRegistry,
        options: RebalanceOptions,
        seed: int,
        tell_state: Callable[[dict[str, object]], None],
    ) -> None:
        super().__init__(balancer_actor.settings, options, seed)
        self._balancer_actor, self._request_registry, self._tell_state = (
            balancer_actor,
            request_registry,
            tell_state,
        )
        self._told_ms = 0.0
        self._said: tuple[str, str] = ("", "")
        self._adopt_all()
        balancer_actor.observers.append(self)

    def _adopt_all(self) -> None:
        """It may be turned on while connections stand; what they have told of their loads comes again."""
        now_ms = self._balancer_actor.clock.now_ms()
        for lifecycle in self._request_registry:
            record, ask = lifecycle.record, lifecycle.record.request
            about = ask.class_name, ask.tenant, ask.group
            if lifecycle.is_established:
                self.adopt(now_ms, lifecycle.id, record.endpoint, about, ask.client, record.started_ms)
            elif record.final_response is None:
                self.expect(now_ms, lifecycle.id, about, ask.client)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.options.tick_s)
            try:
                self.step()
            except Exception:
                # A fault in here must cost no client anything: the relay goes on, and moves nobody.
                log.exception("rebalancing failed, and is off from now on")
                self.options = replace(self.options, mode="off")

    def step(self) -> MigrationPlan:
        """One tick: plan, ask for the moves, and tell what was done."""
        now_ms = self._balancer_actor.clock.now_ms()
        minute = int(now_ms // 60000.0) % DAY_MIN
        plan = self.tick(
            now_ms, self._balancer_actor.snapshot_endpoints(), minute, self._request_registry.is_draining
        )
        if plan.phase != "dry-run" and self in self._balancer_actor.observers:
            for move in plan.moves:
                self._balancer_actor.migrate_connection(move.request_id)
        self._say(plan)
        if now_ms >= self._told_ms + STATE_MS:
            self._told_ms = now_ms
            self._tell_state(self.state(plan))
        return plan

    def _say(self, plan: MigrationPlan) -> None:
        """A line for each decision: what goes and why, or why from now on nothing goes."""
        if plan.moves:
            reasons = dict.fromkeys(move.reason for move in plan.moves)
            asked = "would ask" if plan.phase == "dry-run" else "asks"
            log.info("%s %d to come again: %s", asked, len(plan.moves), "; ".join(reasons))
        elif plan.phase != self._said[0] or plan.phase == "held" and plan.why != self._said[1]:
            log.info("%s: %s", plan.phase, plan.why)
        self._said = plan.phase, plan.why
