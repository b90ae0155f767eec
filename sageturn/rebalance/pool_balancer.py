"""Chooses the donors and receivers in each pool of endpoints, and the batches that move between them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sageturn.rebalance.allocations import EndpointTotals
from sageturn.rebalance.batches import BatchFinder, BlockReason, InspectionBudget
from sageturn.rebalance.migration_round import MigrationRound
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import Migration
from sageturn.rebalance.tick_context import TickContext
from sageturn.rebalance.utilization import (
    LOW_SIDE_TOLERANCE_FACTOR,
    EndpointUtilization,
    PoolUtilization,
    is_imbalanced,
)

MAX_INSPECTED_CONNECTIONS = 2000  # maximum connections inspected per tick
# Fraction of the gap between two endpoints' ratios; a larger batch could reverse the order of the two.
MAX_GAP_CLOSED_BY_BATCH = 0.75


@dataclass(frozen=True, slots=True)
class MigrationSelection:
    """Migrations of one tick that improve the balance, and the reasons why there are no more."""

    migrations: tuple[Migration, ...]
    wait_reason: str  # text for operators; empty if nothing has to wait
    block_counts: Counter[BlockReason]


def balance_pools(context: TickContext, pools: Iterable[PoolUtilization]) -> MigrationSelection:
    """Select this tick's migrations; the pool with the fullest endpoint comes first."""
    capacity = context.migration_capacity()
    migration_round = context.start_round(capacity, context.is_dry_run)
    connections = context.tracker.connections
    batch_finder = BatchFinder(
        connections,
        context.eligibility_rules(),
        min(capacity.total, context.options.burst),
        InspectionBudget(MAX_INSPECTED_CONNECTIONS),
    )
    wait_reason = ""
    for pool in sorted(pools, key=lambda pool: -pool.max_ratio):
        balancer = PoolBalancer(
            pool, context.options, context.restrictions.rebalance_excluded, batch_finder, migration_round
        )
        wait_reason = balancer.plan(connections.endpoints) or wait_reason
    migrations = tuple(migration_round.migrations)
    return MigrationSelection(migrations, wait_reason, batch_finder.block_counts)


class PoolBalancer:
    """Planner of one tick's migrations within a pool.

    After each batch the ratios are updated on the assumption that its connections move to the emptiest
    receiver; the actual placement is the balancer's decision.
    """

    def __init__(
        self,
        pool: PoolUtilization,
        options: RebalanceOptions,
        excluded_endpoints: frozenset[str],
        batch_finder: BatchFinder,
        migration_round: MigrationRound,
    ) -> None:
        self._pool = pool
        self._tolerance = options.stop - 1.0
        self._excluded_endpoints = excluded_endpoints
        self._batch_finder = batch_finder
        self._round = migration_round
        self._ratios = {endpoint.name: endpoint.ratio for endpoint in pool.endpoints}
        self._receivers = [endpoint for endpoint in pool.endpoints if self._can_receive(endpoint)]

    def plan(self, totals_by_endpoint: Mapping[str, EndpointTotals]) -> str | None:
        """Add to the round the batches that may be migrated now.

        Args:
            totals_by_endpoint: Totals of this relay's connections, by endpoint.

        Returns:
            A text for operators that says why the next batch waits; None if no batch waits.
        """
        if not is_imbalanced(self._pool, self._tolerance):
            return None
        if not self._receivers:
            return "no emptier host has room"
        min_donor_ratio = self._min_donor_ratio()
        for donor in sorted(self._pool.endpoints, key=lambda endpoint: (-endpoint.ratio, endpoint.name)):
            if donor.ratio <= min_donor_ratio:
                break
            totals = totals_by_endpoint.get(donor.name)
            if totals is None or donor.name in self._excluded_endpoints:
                continue
            wait_reason = self._plan_donor(donor, totals, min_donor_ratio)
            if wait_reason is not None:
                return wait_reason
        return None

    def _plan_donor(
        self, donor: EndpointUtilization, totals: EndpointTotals, min_donor_ratio: float
    ) -> str | None:
        receiver = self._emptiest_receiver()
        for batch in self._batch_finder.find(totals, self._max_batch_load(donor, receiver)):
            if batch.load > self._max_batch_load(donor, receiver):
                continue  # the preceding batches of this tick have reduced the limit
            reason = f"{donor.name} at {donor.ratio:.2f} of the mean: {batch.description}"
            wait_reason = self._round.try_add(batch, reason)
            if wait_reason is not None:
                return wait_reason
            self._ratios[donor.name] -= batch.load / donor.fair_load
            self._ratios[receiver.name] += batch.load / receiver.fair_load
            receiver = self._emptiest_receiver()
            if self._ratios[donor.name] <= min_donor_ratio:
                break
        return None

    def _can_receive(self, endpoint: EndpointUtilization) -> bool:
        return (
            endpoint.ratio < 1.0 and endpoint.capacity > 0 and endpoint.name not in self._excluded_endpoints
        )

    def _min_donor_ratio(self) -> float:
        """Return the ratio over which an endpoint is a donor.

        If the pool is imbalanced only because an endpoint is too empty, all endpoints over the mean are
        donors.
        """
        upper_bound = 1.0 + self._tolerance
        return upper_bound if self._pool.max_ratio > upper_bound else 1.0

    def _emptiest_receiver(self) -> EndpointUtilization:
        return min(self._receivers, key=lambda endpoint: (self._ratios[endpoint.name], endpoint.name))

    def _max_batch_load(self, donor: EndpointUtilization, receiver: EndpointUtilization) -> float:
        """Return the largest load that narrows the gap and leaves the donor not too far under the mean."""
        lower_bound = 1.0 - LOW_SIDE_TOLERANCE_FACTOR * self._tolerance
        gap = self._ratios[donor.name] - self._ratios[receiver.name]
        closing_load = MAX_GAP_CLOSED_BY_BATCH * gap * receiver.fair_load
        return min(closing_load, (self._ratios[donor.name] - lower_bound) * donor.fair_load)
