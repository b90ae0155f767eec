"""Connects the planner to the relay: observes the balancer, runs the planner's ticks, executes its plans."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.request_registry import RequestRegistry
from sageturn.rebalance.connection_table import ConnectionLabels
from sageturn.rebalance.options import MINUTES_PER_DAY, RebalanceMode, RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan, PlanPhase
from sageturn.rebalance.planner import RebalancePlanner

log = logging.getLogger(__name__)

STATE_INTERVAL_MS = 5000.0  # minimum time between two publications of the state
MS_PER_MINUTE = 60000.0


class Rebalancer(RebalancePlanner):
    """Planner that runs in a relay: it observes the relay's balancer and asks clients to reconnect.

    The constructor registers it as an observer of the balancer. The relay sets ``options`` and
    ``restrictions``, and runs ``run`` as a task. ``publish_state`` is called with the encoded state.
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
        """Track the requests that the relay already has; their loads count once they are reported again."""
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
                self.tracker.track_pending_request(now_ms, lifecycle.id, labels, request.client)

    async def run(self) -> None:
        """Run ticks until cancelled. A failed tick turns rebalancing off; the relay continues without it."""
        while True:
            await asyncio.sleep(self.options.tick_s)
            try:
                self.step()
            except Exception:
                log.exception("rebalance failed mode=%s", RebalanceMode.OFF)
                self.options = replace(self.options, mode=RebalanceMode.OFF)

    def step(self) -> MigrationPlan:
        """Run one tick: plan, ask clients to reconnect, log, publish the state. Return the plan.

        No client is asked if the balancer has removed this observer, which it does after a failure: the
        planner's view is then out of date.
        """
        now_ms = self._balancer_actor.clock.now_ms()
        minute = int(now_ms // MS_PER_MINUTE) % MINUTES_PER_DAY
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
        """Log the tick's migrations and their reasons, or else a change of phase and its reason."""
        previous = self._previous_plan
        self._previous_plan = plan
        if plan.migrations:
            reasons = "; ".join(dict.fromkeys(migration.reason for migration in plan.migrations))
            request_ids = ",".join(str(migration.request_id) for migration in plan.migrations)
            log.info(
                "rebalance migrations phase=%s count=%d requests=%s reasons=%s",
                plan.phase.value,
                len(plan.migrations),
                request_ids,
                reasons,
            )
        elif plan.phase != previous.phase or (
            plan.phase == PlanPhase.HELD and plan.explanation != previous.explanation
        ):
            log.info("rebalance phase changed phase=%s reason=%s", plan.phase.value, plan.explanation)
