"""Chooses donors and receivers in each pool of endpoints, and the batches that go from one to the other."""

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

MAX_INSPECTED_CONNECTIONS = 2000  # per tick
MAX_GAP_CLOSED_BY_BATCH = 0.75  # of the gap between two endpoints' ratios; more could reverse it


@dataclass(frozen=True, slots=True)
class MigrationSelection:
    """The migrations of a tick for the sake of balance, and why there are no more."""

    migrations: tuple[Migration, ...]
    waiting_for: str  # in words for operators; empty if nothing has to wait
    block_counts: Counter[BlockReason]


def balance_pools(context: TickContext, pools: Iterable[PoolUtilization]) -> MigrationSelection:
    """Selects this tick's migrations, from the pool with the fullest endpoint on."""
    capacity = context.migration_capacity()
    migration_round = context.start_round(capacity, context.is_dry_run)
    connections = context.tracker.connections
    batch_finder = BatchFinder(
        connections,
        context.eligibility_rules(),
        min(capacity.total, context.options.burst),
        InspectionBudget(MAX_INSPECTED_CONNECTIONS),
    )
    waiting_for = ""
    for pool in sorted(pools, key=lambda pool: -pool.max_ratio):
        balancer = PoolBalancer(
            pool, context.options, context.restrictions.rebalance_excluded, batch_finder, migration_round
        )
        waiting_for = balancer.plan(connections.endpoints) or waiting_for
    migrations = tuple(migration_round.migrations)
    return MigrationSelection(migrations, waiting_for, batch_finder.block_counts)


class PoolBalancer:
    """Plans one tick's migrations within a pool.

    The ratios are advanced with each batch as if its connections had arrived at the emptiest receiver; where
    they really go is decided by the balancer.
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

    def plan(self, own_totals: Mapping[str, EndpointTotals]) -> str | None:
        """Adds to the round the batches that may go now.

        Args:
            own_totals: This relay's connections by endpoint.

        Returns:
            What the next batch waits for, in words for operators; None if there is no more to be done.
        """
        if not is_imbalanced(self._pool, self._tolerance):
            return None
        if not self._receivers:
            return "no emptier host has room"
        min_donor_ratio = self._min_donor_ratio()
        for donor in sorted(self._pool.endpoints, key=lambda endpoint: (-endpoint.ratio, endpoint.name)):
            if donor.ratio <= min_donor_ratio:
                break
            totals = own_totals.get(donor.name)
            if totals is None or donor.name in self._excluded_endpoints:
                continue
            waiting_for = self._plan_donor(donor, totals, min_donor_ratio)
            if waiting_for is not None:
                return waiting_for
        return None

    def _plan_donor(
        self, donor: EndpointUtilization, totals: EndpointTotals, min_donor_ratio: float
    ) -> str | None:
        receiver = self._emptiest_receiver()
        for batch in self._batch_finder.find(totals, self._max_batch_load(donor, receiver)):
            if batch.load > self._max_batch_load(donor, receiver):
                continue  # it would have fitted before the other batches of this tick
            reason = f"{donor.name} at {donor.ratio:.2f} of the mean: {batch.description}"
            waiting_for = self._round.try_add(batch, reason)
            if waiting_for is not None:
                return waiting_for
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
        """Returns the ratio above which endpoints give connections away.

        Where an endpoint is too empty, and none too full, all above the mean give a little.
        """
        upper_bound = 1.0 + self._tolerance
        return upper_bound if self._pool.max_ratio > upper_bound else 1.0

    def _emptiest_receiver(self) -> EndpointUtilization:
        return min(self._receivers, key=lambda endpoint: (self._ratios[endpoint.name], endpoint.name))

    def _max_batch_load(self, donor: EndpointUtilization, receiver: EndpointUtilization) -> float:
        """Returns the largest load that brings the two closer and leaves the donor not far under the mean."""
        lower_bound = 1.0 - LOW_SIDE_TOLERANCE_FACTOR * self._tolerance
        gap = self._ratios[donor.name] - self._ratios[receiver.name]
        closing_load = MAX_GAP_CLOSED_BY_BATCH * gap * receiver.fair_load
        return min(closing_load, (self._ratios[donor.name] - lower_bound) * donor.fair_load)
