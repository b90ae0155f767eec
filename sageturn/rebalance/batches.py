"""Finds the batches that may be migrated off an endpoint: whole groups, and single ungrouped connections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from sageturn.rebalance.allocations import EndpointTotals, GroupAllocation
from sageturn.rebalance.connection_table import ConnectionRow, ConnectionTable
from sageturn.rebalance.migration_history import MigrationHistory
from sageturn.rebalance.options import RebalanceOptions


class BlockReason(StrEnum):
    """Reason why a group or connection is not migrated; the values appear in the stored state."""

    TOO_LARGE = "too_large"
    EXCLUDED = "kept"
    TOO_YOUNG = "young"
    RECENTLY_MIGRATED = "moved_lately"
    NOT_INSPECTED = "unseen"

    @property
    def explanation(self) -> str:
        """Text that explains the reason to operators."""
        return _BLOCK_EXPLANATIONS[self]


_BLOCK_EXPLANATIONS = {
    BlockReason.TOO_LARGE: "larger than the imbalance, than a burst, or than what hosts have room for",
    BlockReason.EXCLUDED: "holds a class or a member that the operator keeps in place",
    BlockReason.TOO_YOUNG: "holds a connection that has not stood for long",
    BlockReason.RECENTLY_MIGRATED: "holds a client that was moved lately, or that has no key",
    BlockReason.NOT_INSPECTED: "not looked at in this tick",
}

# These reasons expire with time. If every block has another reason, the fleet cannot be balanced further.
TEMPORARY_BLOCK_REASONS = frozenset(
    {BlockReason.TOO_YOUNG, BlockReason.RECENTLY_MIGRATED, BlockReason.NOT_INSPECTED}
)


def describe_blocks(block_counts: Counter[BlockReason]) -> str:
    """Return a text for operators: how many groups and connections are blocked, and why."""
    descriptions = (f"{count} {reason.explanation}" for reason, count in block_counts.most_common())
    return "; ".join(descriptions) or "no host has room for more"


@dataclass(frozen=True, slots=True)
class MigrationBatch:
    """Connections of one group at one endpoint, or a single ungrouped one, that are migrated together."""

    request_ids: tuple[int, ...]
    load: float
    is_grouped: bool
    is_partial: bool  # True if the group has further connections at this relay

    @property
    def description(self) -> str:
        """Short text that describes the batch to operators."""
        if not self.is_grouped:
            return "one connection without a group"
        extent = "the smaller part of a group" if self.is_partial else "a whole group"
        return f"{extent}, {len(self.request_ids)} connections"


class InspectionBudget:
    """Bound on the number of connections inspected in a tick, which limits the cost of a tick."""

    def __init__(self, connection_count: int) -> None:
        self.remaining = connection_count

    def try_spend(self, connection_count: int) -> bool:
        """Deduct a number of connections from the budget. Return False, and deduct none, if fewer remain."""
        if self.remaining < connection_count:
            return False
        self.remaining -= connection_count
        return True


@dataclass(frozen=True, slots=True)
class EligibilityRules:
    """Rules that decide which connections may be migrated at a given time."""

    now_ms: float
    options: RebalanceOptions
    history: MigrationHistory
    migrating_request_ids: set[int]  # requests whose clients have already been asked to reconnect

    def was_migrated_recently(self, connection: ConnectionRow) -> bool:
        """Return True if the connection's client is being migrated, or may not be migrated again yet.

        This includes clients without a key, whose last migration is unknown.
        """
        if connection.request_id in self.migrating_request_ids:
            return True
        return not self.history.may_migrate(connection.client_hash, self.now_ms)

    def block_reason(self, connection: ConnectionRow) -> BlockReason | None:
        """Return why a connection may not be migrated; None if it may."""
        if (
            connection.class_name in self.options.keep_classes
            or connection.tenant in self.options.keep_tenants
        ):
            return BlockReason.EXCLUDED
        if self.was_migrated_recently(connection):
            return BlockReason.RECENTLY_MIGRATED
        if self.now_ms < connection.established_ms + self.options.least_age_s * 1000.0:
            return BlockReason.TOO_YOUNG
        return None


class _BatchRank(NamedTuple):
    """Sort key of an endpoint's groups; the group with the lowest rank is migrated first."""

    is_largest_part: bool  # True also for a group that is at one endpoint only
    negative_member_load: float  # negated, so that heavy connections sort first
    group: str


class BatchFinder:
    """Finder of one tick's batches; ``block_counts`` counts the blocked groups and connections by reason."""

    def __init__(
        self,
        connections: ConnectionTable,
        rules: EligibilityRules,
        max_batch_connections: int,
        budget: InspectionBudget,
    ) -> None:
        self.block_counts: Counter[BlockReason] = Counter()
        self._connections = connections
        self._rules = rules
        self._max_batch_connections = max_batch_connections
        self._budget = budget

    def find(self, endpoint: EndpointTotals, max_load: float) -> Iterator[MigrationBatch]:
        """Yield an endpoint's batches of at most ``max_load`` each, in the order of their migration.

        The smaller parts of groups that are spread over several endpoints come first, because a group costs
        extra load at every endpoint where it has connections. Whole groups follow, those with the heaviest
        connections first, so that few clients are disturbed. Connections without a group come last.
        """
        mean_load = self._connections.mean_load
        yield from self._find_group_batches(endpoint, max_load, mean_load)
        ungrouped = endpoint.groups.get("")
        if ungrouped is not None:
            yield from self._find_single_batches(ungrouped, max_load)

    def _find_group_batches(
        self, endpoint: EndpointTotals, max_load: float, mean_load: float
    ) -> Iterator[MigrationBatch]:
        groups = [allocation for allocation in endpoint.groups.values() if allocation.group]
        for allocation in sorted(groups, key=lambda allocation: self._rank(allocation, mean_load)):
            load = allocation.estimate_load(mean_load)
            request_ids = self._collect_eligible_members(allocation, load, max_load)
            if isinstance(request_ids, BlockReason):
                self.block_counts[request_ids] += 1
                continue
            is_partial = len(self._connections.allocations_by_group[allocation.group]) > 1
            yield MigrationBatch(request_ids, load, is_grouped=True, is_partial=is_partial)

    def _collect_eligible_members(
        self, allocation: GroupAllocation, load: float, max_load: float
    ) -> tuple[int, ...] | BlockReason:
        """Return the request ids of a group's members at an endpoint, or why they may not be migrated."""
        if allocation.connection_count > self._max_batch_connections or load > max_load:
            return BlockReason.TOO_LARGE
        if not self._budget.try_spend(allocation.connection_count):
            return BlockReason.NOT_INSPECTED
        request_ids = []
        for connection in self._connections.members(allocation):
            block_reason = self._rules.block_reason(connection)
            if block_reason is not None:
                return block_reason
            request_ids.append(connection.request_id)
        return tuple(request_ids)

    def _find_single_batches(self, ungrouped: GroupAllocation, max_load: float) -> Iterator[MigrationBatch]:
        for connection in list(self._connections.members(ungrouped)):
            if not self._budget.try_spend(1):
                self.block_counts[BlockReason.NOT_INSPECTED] += 1
                return
            load = self._connections.load_of(connection.request_id)
            block_reason = self._rules.block_reason(connection)
            if block_reason is None and load > max_load:
                block_reason = BlockReason.TOO_LARGE
            if block_reason is not None:
                self.block_counts[block_reason] += 1
                continue
            yield MigrationBatch((connection.request_id,), load, is_grouped=False, is_partial=False)

    def _rank(self, allocation: GroupAllocation, mean_load: float) -> _BatchRank:
        siblings = self._connections.allocations_by_group[allocation.group]
        largest = max(siblings, key=lambda sibling: (sibling.connection_count, sibling.endpoint.name))
        is_smaller_part = len(siblings) > 1 and largest is not allocation
        mean_member_load = allocation.estimate_load(mean_load) / allocation.connection_count
        return _BatchRank(not is_smaller_part, -mean_member_load, allocation.group)
