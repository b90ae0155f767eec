"""Connects the planner to the relay: observes the balancer, ticks the planner, carries its plans out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.request_registry import RequestRegistry
from sageturn.rebalance.connection_table import ConnectionLabels
from sageturn.rebalance.options import MINUTES_PER_DAY, RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan, PlanPhase
from sageturn.rebalance.planner import RebalancePlanner

log = logging.getLogger(__name__)

STATE_INTERVAL_MS = 5000.0  # between two publications of the state at least


class Rebalancer(RebalancePlanner):
    """The planner as an observer of the balancer, and the task that asks clients to reconnect.

    The relay creates it, sets ``options`` and ``marks``, and runs ``run`` as a task. ``publish_state`` is
    called with the encoded state.
    """

    def __init__(
        self,
        balancer_actor: BalancerActor,
        request_registry: RequestRegistry,
        options: RebalanceOptions,
        seed: int,
        publish_state: Callable[[dict[str, object]], None],
    ) -> None:
        super().__init__(balancer_actor.settings, options, seed)
        self._balancer_actor = balancer_actor
        self._request_registry = request_registry
        self._publish_state = publish_state
        self._published_ms = 0.0
        self._previous_plan = NO_PLAN
        self._adopt_existing_requests()
        balancer_actor.observers.append(self)

    def _adopt_existing_requests(self) -> None:
        """It may be turned on while there are connections; their loads are known once reported again."""
        now_ms = self._balancer_actor.clock.now_ms()
        for lifecycle in self._request_registry:
            record = lifecycle.record
            request = record.request
            labels = ConnectionLabels(request.class_name, request.tenant, request.group)
            if lifecycle.is_established:
                self.tracker.adopt(
                    now_ms, lifecycle.id, record.endpoint, labels, request.client, record.started_ms
                )
            elif record.final_response is None:
                self.tracker.expect(now_ms, lifecycle.id, labels, request.client)

    async def run(self) -> None:
        """Tick until cancelled. A failure turns rebalancing off and leaves the relay alone."""
        while True:
            await asyncio.sleep(self.options.tick_s)
            try:
                self.step()
            except Exception:
                log.exception("rebalance failed mode=off")
                self.options = replace(self.options, mode="off")

    def step(self) -> MigrationPlan:
        """One tick: plan, ask clients to reconnect, log and publish."""
        now_ms = self._balancer_actor.clock.now_ms()
        minute = int(now_ms // 60000.0) % MINUTES_PER_DAY
        endpoints = self._balancer_actor.snapshot_endpoints()
        plan = self.tick(now_ms, endpoints, minute, self._request_registry.is_draining)
        if plan.phase != PlanPhase.DRY_RUN and self in self._balancer_actor.observers:
            for migration in plan.migrations:
                self._balancer_actor.migrate_connection(migration.request_id)
        self._log_plan(plan)
        if now_ms >= self._published_ms + STATE_INTERVAL_MS:
            self._published_ms = now_ms
            self._publish_state(self.encode_state(plan))
        return plan

    def _log_plan(self, plan: MigrationPlan) -> None:
        """A line for each decision: what is migrated and why, or why from now on nothing is."""
        previous = self._previous_plan
        self._previous_plan = plan
        if plan.migrations:
            reasons = "; ".join(dict.fromkeys(migration.reason for migration in plan.migrations))
            log.info(
                "rebalance migrations phase=%s count=%d reasons=%s",
                plan.phase.value,
                len(plan.migrations),
                reasons,
            )
        elif plan.phase != previous.phase or (
            plan.phase == PlanPhase.HELD and plan.explanation != previous.explanation
        ):
            log.info("rebalance phase changed phase=%s reason=%s", plan.phase.value, plan.explanation)
