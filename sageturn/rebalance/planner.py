"""Decides which clients are asked to reconnect. Where they land is decided by the balancer.

No I/O and no clock: the balancer's own events and actions are passed in, and at each tick the endpoints as
the balancer sees them. The result is a plan; the same input gives the same plan.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointSnapshot, OperatorMarks
from sageturn.rebalance.batches import (
    TEMPORARY_BLOCK_REASONS,
    BatchFinder,
    BlockReason,
    EligibilityRules,
    InspectionBudget,
    evacuation_batches,
)
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.migration_history import MigrationHistory, client_hash
from sageturn.rebalance.migration_round import MigrationCapacity, MigrationRound
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.overload_detector import OverloadDetector
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan, PlanPhase
from sageturn.rebalance.pool_balancer import PoolBalancer, is_imbalanced
from sageturn.rebalance.rate_controller import MigrationRateController
from sageturn.rebalance.state import RebalanceState, encode_state
from sageturn.rebalance.utilization import PoolUtilization, estimate_utilization, max_ratio, min_ratio

MAX_INSPECTED_CONNECTIONS = 2000  # per tick
UNREACHABLE_PAUSE_MS = 30000.0  # what can't be balanced now is looked at again after this
USELESS_PAUSE_MS = 60000.0
BALANCER_EXEMPTION_MS = 60000.0  # so long the balancer does not migrate a client again that the planner has


class RebalancePlanner:
    """Plans migrations at each tick, from what it observes of the balancer in between.

    It is a ``BalancerObserver``: the balancer's actor calls ``before_event``, ``after_event`` and
    ``on_migrated_by_others``.
    """

    def __init__(self, settings: decision.Settings, options: RebalanceOptions, seed: int) -> None:
        self.settings = settings
        self.tracker = EventTracker(settings, options)
        self.rate_controller = MigrationRateController(options, settings.relay_count, Random(seed))
        self.marks = OperatorMarks()
        self.block_counts: Counter[BlockReason] = Counter()
        self._options = options
        self._pools: list[PoolUtilization] = []
        self._zones: set[str] = set()
        self._is_balancing = False
        self._late_returns = 0  # as of the last tick
        self._paused_until_ms = 0.0
        self._pause_plan = NO_PLAN

    @property
    def options(self) -> RebalanceOptions:
        """The operator's settings; new ones apply from the next tick on."""
        return self._options

    @options.setter
    def options(self, options: RebalanceOptions) -> None:
        self._options = options
        self.tracker.set_options(options)
        self.rate_controller.options = options
        self._paused_until_ms = 0.0  # what could not be done may be possible now

    @property
    def connections(self) -> ConnectionTable:
        """This relay's connections."""
        return self.tracker.connections

    @property
    def history(self) -> MigrationHistory:
        """Who was migrated."""
        return self.tracker.history

    @property
    def overload_detector(self) -> OverloadDetector:
        """What speaks against migrating."""
        return self.tracker.overload_detector

    @property
    def counts(self) -> Counter[str]:
        """What was done since the start, by the names in the stored state."""
        return self.tracker.counts

    # ------------------------------------------------------------ events

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Tell the balancer, in the request itself, that its client was migrated recently."""
        if not isinstance(event, decision.RequestArrived) or not len(self.history):
            return
        client = client_hash(event.client)
        migration = self.history.last_migration(client)
        if migration is None or not migration.by_planner:
            return
        event.migration_exempt_until_ms = min(
            migration.excluded_until_ms, migration.migrated_ms + BALANCER_EXEMPTION_MS
        )
        if self.history.is_in_flight(client):
            event.migrated_from = migration.source_endpoint
            if self.marks.rebalance_excluded and event.allowed is None:
                event.allowed = frozenset(self.tracker.ratios.keys() - self.marks.rebalance_excluded)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """Take note of an event that the balancer has handled, and of what it has decided."""
        self.tracker.on_event(now_ms, event)
        for action in actions:
            match action:
                case decision.RejectRequest(request_id) | decision.FailRequest(request_id):
                    self.tracker.on_request_rejected(now_ms, request_id)
                case decision.MigrateConnection(request_id):
                    self.on_migrated_by_others(now_ms, request_id)

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """The balancer or a drain migrates a connection: never delayed, but charged to the same budget."""
        if request_id not in self.tracker.migrating:
            self.counts["by_others"] += 1
            self.rate_controller.charge(1)
            self.tracker.begin_migration(now_ms, request_id, by_planner=False)

    # ------------------------------------------------------------ a tick

    def tick(
        self, now_ms: float, endpoints: Sequence[EndpointSnapshot], minute: int, stopping: bool = False
    ) -> MigrationPlan:
        """Decide what is migrated now.

        ``minute``: of the UTC day; ``stopping``: the relay itself shuts down, and migrates everyone.
        """
        self._update_rate(now_ms, endpoints)
        self._update_utilization(endpoints)
        if stopping:
            return MigrationPlan((), PlanPhase.STOPPING, "the relay leaves and moves everyone itself")
        clearing = self._plan_clearing(now_ms, endpoints)
        if clearing is not None:
            return clearing
        return self._plan_nothing(now_ms, minute) or self._plan_balancing(now_ms, endpoints)

    def _update_rate(self, now_ms: float, endpoints: Sequence[EndpointSnapshot]) -> None:
        self.tracker.expire_in_flight(now_ms)
        signals = self.overload_detector.evaluate(
            now_ms, self.connections, endpoints, self.marks.out_of_service
        )
        late_returns = self.counts["back_late"]
        doing_well = late_returns == self._late_returns
        self._late_returns = late_returns
        self.rate_controller.update(now_ms, len(self.connections), signals, doing_well)

    def _update_utilization(self, endpoints: Sequence[EndpointSnapshot]) -> None:
        relay_count = self.settings.relay_count
        zones = {endpoint.zone for endpoint in endpoints if endpoint.ready}
        relays_per_zone = max(1.0, relay_count / max(1, len(zones)))
        by_zone = self.settings.cross_zone_cost > 0 and len(zones) > 1
        if zones != self._zones:
            # Clients return through their zone's relays: a relay that is alone there sees all of them again.
            self._zones = zones
            self.overload_detector.set_expected_return_ratio(1.0 / relays_per_zone)
        relays_per_pool = relays_per_zone if by_zone else float(relay_count)
        self._pools = estimate_utilization(
            self.connections, endpoints, relays_per_pool, by_zone, self.settings.groups
        )
        self.tracker.ratios = {
            endpoint.name: endpoint.ratio for pool in self._pools for endpoint in pool.endpoints
        }

    def _plan_clearing(self, now_ms: float, endpoints: Sequence[EndpointSnapshot]) -> MigrationPlan | None:
        """Empty endpoints that an operator clears: in whatever mode, at the same rate as any migration."""
        own_totals = self.connections.endpoints
        cleared = [own_totals[name] for name in sorted(self.marks.evacuating) if name in own_totals]
        if not cleared or self.rate_controller.is_stopped(now_ms):
            return None
        capacity = MigrationCapacity.of(endpoints, self.history.in_flight_count)
        max_batch_connections = max(1, min(capacity.total, self._options.burst))
        migration_round = self._new_round(now_ms, capacity, dry_run=False)
        rules = self._eligibility_rules(now_ms)
        for endpoint in cleared:
            reason = f"{endpoint.name} is cleared by an operator"
            for batch in evacuation_batches(self.connections, endpoint, rules, max_batch_connections):
                if migration_round.try_add(batch, reason) is not None:
                    break
        if not migration_round.migrations:
            return None
        remaining = sum(endpoint.connection_count for endpoint in cleared)
        migrations = tuple(migration_round.migrations)
        return MigrationPlan(migrations, PlanPhase.CLEARING, f"{remaining} still there")

    def _plan_nothing(self, now_ms: float, minute: int) -> MigrationPlan | None:
        """A plan without migrations, where there is a reason for one."""
        if self._options.mode == "off":
            return MigrationPlan((), PlanPhase.OFF, "turned off")
        if self._options.is_quiet_at(minute):
            return MigrationPlan((), PlanPhase.QUIET, "quiet hours")
        if not self._update_is_balancing():
            return MigrationPlan((), PlanPhase.BALANCED, self._describe_ratios())
        if self.rate_controller.is_stopped(now_ms):
            return MigrationPlan((), PlanPhase.HELD, self._describe_stop())
        if now_ms < self._paused_until_ms:
            return self._pause_plan
        if self.tracker.landing_score.is_too_low:
            self.tracker.landing_score.resume()
            explanation = "moved clients land where it is as full"
            return self._pause(now_ms + USELESS_PAUSE_MS, PlanPhase.USELESS, explanation)
        return None

    def _plan_balancing(self, now_ms: float, endpoints: Sequence[EndpointSnapshot]) -> MigrationPlan:
        dry_run = self._options.mode != "on"
        capacity = MigrationCapacity.of(endpoints, self.history.in_flight_count)
        migration_round = self._new_round(now_ms, capacity, dry_run)
        batch_finder = BatchFinder(
            self.connections,
            self._eligibility_rules(now_ms),
            min(capacity.total, self._options.burst),
            InspectionBudget(MAX_INSPECTED_CONNECTIONS),
        )
        self.block_counts = batch_finder.block_counts
        waiting_for = ""
        for pool in sorted(self._pools, key=lambda pool: -pool.max_ratio):
            balancer = PoolBalancer(
                pool, self._options, self.marks.rebalance_excluded, batch_finder, migration_round
            )
            waiting_for = balancer.plan(self.connections.endpoints) or waiting_for
        if migration_round.migrations:
            phase = PlanPhase.DRY_RUN if dry_run else PlanPhase.BALANCING
            return MigrationPlan(tuple(migration_round.migrations), phase, self._describe_ratios())
        if waiting_for:
            return MigrationPlan((), PlanPhase.WAITING, waiting_for)
        if TEMPORARY_BLOCK_REASONS.isdisjoint(self.block_counts):
            explanation = f"{self._describe_ratios()}: {self._describe_blocks()}"
            return self._pause(now_ms + UNREACHABLE_PAUSE_MS, PlanPhase.UNREACHABLE, explanation)
        return MigrationPlan((), PlanPhase.WAITING, self._describe_blocks())

    def _update_is_balancing(self) -> bool:
        """Start above one bound and stop under a lower one, or chance would turn it on and off."""
        bound = self._options.stop if self._is_balancing else self._options.start
        self._is_balancing = any(is_imbalanced(pool, bound - 1.0) for pool in self._pools)
        return self._is_balancing

    def _pause(self, until_ms: float, phase: PlanPhase, explanation: str) -> MigrationPlan:
        self._paused_until_ms = until_ms
        self._pause_plan = MigrationPlan((), phase, explanation)
        return self._pause_plan

    def _new_round(self, now_ms: float, capacity: MigrationCapacity, dry_run: bool) -> MigrationRound:
        return MigrationRound(self.tracker, self.rate_controller, now_ms, capacity.available, dry_run)

    def _eligibility_rules(self, now_ms: float) -> EligibilityRules:
        return EligibilityRules(now_ms, self._options, self.history, self.tracker.migrating)

    # ------------------------------------------------------------ for operators

    def state(self, plan: MigrationPlan) -> RebalanceState:
        """The planner's state after a tick with this plan."""
        controller = self.rate_controller
        return RebalanceState(
            mode=self._options.mode,
            phase=plan.phase,
            explanation=plan.explanation,
            max_ratio=max_ratio(self._pools),
            min_ratio=min_ratio(self._pools),
            confidence=max((pool.confidence for pool in self._pools), default=0.0),
            rate_per_s=controller.rate,
            max_rate_per_s=controller.max_rate(len(self.connections)),
            tokens=controller.tokens,
            in_flight_count=self.history.in_flight_count,
            remembered_clients=len(self.history),
            landing_score=self.tracker.landing_score.value,
            counts=self.counts,
            signal_counts=self.overload_detector.seen,
            block_counts=self.block_counts,
        )

    def encode_state(self, plan: MigrationPlan) -> dict[str, object]:
        """The state after a tick with this plan, as it is stored in ``state/NODE/rebalance``."""
        return encode_state(self.state(plan))

    def _describe_ratios(self) -> str:
        return f"fullest {max_ratio(self._pools):.2f} and emptiest {min_ratio(self._pools):.2f} of the mean"

    def _describe_stop(self) -> str:
        signal = self.rate_controller.last_signal
        return f"{signal.name.lower()}: {signal.value}" if signal else "settling after a start"

    def _describe_blocks(self) -> str:
        descriptions = (f"{count} {reason.value}" for reason, count in self.block_counts.most_common())
        return "; ".join(descriptions) or "no host has room for more"
