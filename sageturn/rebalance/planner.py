"""Decides which clients are asked to reconnect. The balancer decides where they are placed.

The module does no I/O and reads no clock. Its input is the balancer's events and actions, and snapshots of
the endpoints at each tick. Its output is a plan; the same input and seed give the same plans.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointRestrictions, EndpointSnapshot
from sageturn.rebalance.batches import TEMPORARY_BLOCK_REASONS, BlockReason, describe_blocks
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.evacuation import plan_evacuation
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.fleet_utilization import FleetUtilization
from sageturn.rebalance.migration_counts import MigrationCount
from sageturn.rebalance.migration_history import MigrationHistory
from sageturn.rebalance.options import RebalanceMode, RebalanceOptions
from sageturn.rebalance.overload_detector import OverloadDetector
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan, PlanPhase, empty_plan
from sageturn.rebalance.pool_balancer import balance_pools
from sageturn.rebalance.rate_controller import MigrationRateController
from sageturn.rebalance.request_hints import hint_recent_migration
from sageturn.rebalance.state import RebalanceState, encode_state
from sageturn.rebalance.tick_context import TickContext

UNREACHABLE_PAUSE_MS = 30000.0  # time in which the conditions that block every batch may change
USELESS_PAUSE_MS = 60000.0  # pause after too many migrations that were not useful


class RebalancePlanner:
    """Planner of migrations, which observes the balancer between its ticks.

    It is a ``BalancerObserver``: the balancer's actor calls ``before_event``, ``after_event`` and
    ``on_migrated_by_others``.
    """

    def __init__(self, settings: decision.Settings, options: RebalanceOptions, seed: int) -> None:
        self.settings = settings
        self.tracker = EventTracker(settings, options)
        self.rate_controller = MigrationRateController(options, settings.relay_count, Random(seed))
        self.fleet = FleetUtilization(settings)
        self.restrictions = EndpointRestrictions()
        self.block_counts: Counter[BlockReason] = Counter()  # counts of the last tick that sought batches
        self._options = options
        self._is_balancing = False
        self._slow_returns = 0  # value of ``RETURNED_SLOWLY`` at the last tick
        self._paused_until_ms = 0.0
        self._pause_plan = NO_PLAN

    @property
    def options(self) -> RebalanceOptions:
        """Operator's settings; new ones apply from the next tick on."""
        return self._options

    @options.setter
    def options(self, options: RebalanceOptions) -> None:
        self._options = options
        self.tracker.set_options(options)
        self.rate_controller.options = options
        self._paused_until_ms = 0.0  # new settings may allow what was blocked

    @property
    def connections(self) -> ConnectionTable:
        """Table of this relay's connections."""
        return self.tracker.connections

    @property
    def history(self) -> MigrationHistory:
        """Record of the clients that were migrated."""
        return self.tracker.history

    @property
    def overload_detector(self) -> OverloadDetector:
        """Detector of the signals that slow down or stop migration."""
        return self.tracker.overload_detector

    @property
    def counts(self) -> Counter[str]:
        """Counts since the start, by the names in the stored state (``MigrationCount``)."""
        return self.tracker.counts

    # ------------------------------------------------------------ BalancerObserver

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Add to a request that its client was migrated recently, so that the balancer considers it."""
        if isinstance(event, decision.RequestArrived) and len(self.history):
            hint_recent_migration(event, self.tracker, self.restrictions.rebalance_excluded)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """Track an event that the balancer has handled, and the actions that resulted from it."""
        self.tracker.on_event(now_ms, event)
        for action in actions:
            match action:
                case decision.RejectRequest(request_id) | decision.FailRequest(request_id):
                    self.tracker.on_request_rejected(now_ms, request_id)
                case decision.MigrateConnection(request_id):
                    self.on_migrated_by_others(now_ms, request_id)

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """Charge the token bucket for a migration by the balancer or a drain, which is never delayed."""
        if request_id not in self.tracker.migrating_request_ids:
            self.counts[MigrationCount.BY_OTHERS] += 1
            self.rate_controller.charge(1)
            self.tracker.begin_migration(now_ms, request_id, by_planner=False)

    # ------------------------------------------------------------ a tick

    def tick(
        self, now_ms: float, endpoints: Sequence[EndpointSnapshot], minute: int, stopping: bool = False
    ) -> MigrationPlan:
        """Decide which connections are migrated now.

        Args:
            now_ms: The relay's time.
            endpoints: Snapshots of all endpoints.
            minute: The minute of the UTC day, for quiet hours.
            stopping: True if the relay shuts down and migrates all clients itself.
        """
        self._update_rate(now_ms, endpoints)
        if self.fleet.update(self.connections, endpoints):
            # Clients reconnect through a relay of their zone: all through this one if it is the only one.
            self.overload_detector.set_expected_return_ratio(1.0 / self.fleet.relays_per_zone)
        self.tracker.utilization_ratios = self.fleet.ratios_by_endpoint()
        if stopping:
            return empty_plan(PlanPhase.STOPPING, "the relay leaves and moves everyone itself")
        context = TickContext(
            now_ms, endpoints, self._options, self.restrictions, self.tracker, self.rate_controller
        )
        evacuation = plan_evacuation(context)
        if evacuation is not None:
            return evacuation
        return self._plan_without_migrations(now_ms, minute) or self._plan_balancing(context)

    def _update_rate(self, now_ms: float, endpoints: Sequence[EndpointSnapshot]) -> None:
        self.tracker.expire_in_flight(now_ms)
        signals = self.overload_detector.evaluate(
            now_ms, self.connections, endpoints, self.restrictions.out_of_service
        )
        slow_returns = self.counts[MigrationCount.RETURNED_SLOWLY]
        no_slow_returns = slow_returns == self._slow_returns
        self._slow_returns = slow_returns
        self.rate_controller.update(now_ms, len(self.connections), signals, no_slow_returns)

    def _plan_without_migrations(self, now_ms: float, minute: int) -> MigrationPlan | None:
        """Return an empty plan that explains why balancing is not due now; None if it is due."""
        if self._options.mode == RebalanceMode.OFF:
            return empty_plan(PlanPhase.OFF, "turned off")
        if self._options.is_quiet_at(minute):
            return empty_plan(PlanPhase.QUIET, "quiet hours")
        if not self._update_is_balancing():
            return empty_plan(PlanPhase.BALANCED, self.fleet.description)
        if self.rate_controller.is_stopped(now_ms):
            return empty_plan(PlanPhase.HELD, self.rate_controller.stop_reason)
        if now_ms < self._paused_until_ms:
            return self._pause_plan
        if self.tracker.migration_score.is_too_low:
            self.tracker.migration_score.reset_after_pause()
            plan = empty_plan(PlanPhase.USELESS, "moved clients land where it is as full")
            return self._pause(now_ms + USELESS_PAUSE_MS, plan)
        return None

    def _plan_balancing(self, context: TickContext) -> MigrationPlan:
        selection = balance_pools(context, self.fleet.pools)
        self.block_counts = selection.block_counts
        if selection.migrations:
            phase = PlanPhase.DRY_RUN if context.is_dry_run else PlanPhase.BALANCING
            return MigrationPlan(selection.migrations, phase, self.fleet.description)
        if selection.wait_reason:
            return empty_plan(PlanPhase.WAITING, selection.wait_reason)
        if TEMPORARY_BLOCK_REASONS.isdisjoint(self.block_counts):
            explanation = f"{self.fleet.description}: {describe_blocks(self.block_counts)}"
            plan = empty_plan(PlanPhase.UNREACHABLE, explanation)
            return self._pause(context.now_ms + UNREACHABLE_PAUSE_MS, plan)
        return empty_plan(PlanPhase.WAITING, describe_blocks(self.block_counts))

    def _update_is_balancing(self) -> bool:
        """Start balancing over one threshold and stop under a lower one, so that noise does not toggle it."""
        bound = self._options.stop if self._is_balancing else self._options.start
        self._is_balancing = self.fleet.is_imbalanced(bound - 1.0)
        return self._is_balancing

    def _pause(self, until_ms: float, plan: MigrationPlan) -> MigrationPlan:
        """Start a pause, in which each tick that would balance returns this plan. Return the plan."""
        self._paused_until_ms = until_ms
        self._pause_plan = plan
        return plan

    # ------------------------------------------------------------ for operators

    def state(self, plan: MigrationPlan) -> RebalanceState:
        """Return the planner's state after a tick with this plan."""
        return RebalanceState(
            mode=self._options.mode,
            phase=plan.phase,
            explanation=plan.explanation,
            max_ratio=self.fleet.max_ratio,
            min_ratio=self.fleet.min_ratio,
            confidence=self.fleet.confidence,
            rate_per_s=self.rate_controller.rate,
            max_rate_per_s=self.rate_controller.max_rate(len(self.connections)),
            tokens=self.rate_controller.tokens,
            in_flight_count=self.history.in_flight_count,
            remembered_clients=len(self.history),
            migration_score=self.tracker.migration_score.value,
            counts=self.counts,
            signal_counts=self.overload_detector.signal_counts,
            block_counts=self.block_counts,
        )

    def encode_state(self, plan: MigrationPlan) -> dict[str, object]:
        """Return the state after a tick with this plan, as it is stored in ``state/NODE/rebalance``."""
        return encode_state(self.state(plan))
