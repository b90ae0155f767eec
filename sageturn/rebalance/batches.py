"""Finds what may be migrated off an endpoint at once: a whole group, or one connection without a group."""

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
    """Why a group or connection is not migrated; the values are those of the stored state."""

    TOO_LARGE = "too_large"
    EXCLUDED = "kept"
    TOO_YOUNG = "young"
    RECENTLY_MIGRATED = "moved_lately"
    NOT_INSPECTED = "unseen"

    @property
    def explanation(self) -> str:
        """The reason in words, for operators."""
        return _BLOCK_EXPLANATIONS[self]


_BLOCK_EXPLANATIONS = {
    BlockReason.TOO_LARGE: "larger than the imbalance, than a burst, or than what hosts have room for",
    BlockReason.EXCLUDED: "holds a class or a member that the operator keeps in place",
    BlockReason.TOO_YOUNG: "holds a connection that has not stood for long",
    BlockReason.RECENTLY_MIGRATED: "holds a client that was moved lately, or that has no key",
    BlockReason.NOT_INSPECTED: "not looked at in this tick",
}

# Reasons that pass with time. Where no block has one of them, balance cannot be reached.
TEMPORARY_BLOCK_REASONS = frozenset(
    {BlockReason.TOO_YOUNG, BlockReason.RECENTLY_MIGRATED, BlockReason.NOT_INSPECTED}
)


def describe_blocks(block_counts: Counter[BlockReason]) -> str:
    """Returns what is blocked and why, for operators."""
    descriptions = (f"{count} {reason.explanation}" for reason, count in block_counts.most_common())
    return "; ".join(descriptions) or "no host has room for more"


@dataclass(frozen=True, slots=True)
class MigrationBatch:
    """Connections of one endpoint and one group that are migrated together."""

    request_ids: tuple[int, ...]
    load: float
    is_grouped: bool
    is_partial: bool  # the group has more connections at this relay

    @property
    def description(self) -> str:
        """The batch in a few words, for operators."""
        if not self.is_grouped:
            return "one connection without a group"
        extent = "the smaller part of a group" if self.is_partial else "a whole group"
        return f"{extent}, {len(self.request_ids)} connections"


class InspectionBudget:
    """Bounds how many connections are inspected in a tick, however many there are."""

    def __init__(self, connections: int) -> None:
        self.remaining = connections

    def try_spend(self, connections: int) -> bool:
        """Takes so many connections from the budget. Returns False, and takes none, if it has fewer."""
        if self.remaining < connections:
            return False
        self.remaining -= connections
        return True


@dataclass(frozen=True, slots=True)
class EligibilityRules:
    """Decides which connections may be migrated at one instant."""

    now_ms: float
    options: RebalanceOptions
    history: MigrationHistory
    migrating: set[int]  # request ids that were asked to reconnect already

    def was_migrated_recently(self, connection: ConnectionRow) -> bool:
        """Whether the connection's client was migrated recently, or is being migrated."""
        if connection.request_id in self.migrating:
            return True
        return not self.history.may_migrate(connection.client, self.now_ms)

    def block_reason(self, connection: ConnectionRow) -> BlockReason | None:
        """Returns why a connection may not be migrated; None if it may."""
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
    """Orders the groups of an endpoint; the lowest rank goes first."""

    is_largest_part: bool
    negative_member_load: float  # heavy connections first
    group: str


class BatchFinder:
    """Finds batches for one tick, and counts in ``block_counts`` what is blocked and why."""

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
        """Yields an endpoint's batches of at most ``max_load`` each, in the order in which they are to go.

        First the smaller parts of groups that are spread over endpoints, since each endpoint pays a group's
        cost; then whole groups, those with the heaviest connections first, so that few clients are
        disturbed; last the connections without a group.
        """
        mean_load = self._connections.mean_load
        yield from self._group_batches(endpoint, max_load, mean_load)
        ungrouped = endpoint.groups.get("")
        if ungrouped is not None:
            yield from self._single_batches(ungrouped, max_load)

    def _group_batches(
        self, endpoint: EndpointTotals, max_load: float, mean_load: float
    ) -> Iterator[MigrationBatch]:
        groups = [allocation for allocation in endpoint.groups.values() if allocation.group]
        for allocation in sorted(groups, key=lambda allocation: self._rank(allocation, mean_load)):
            load = allocation.load(mean_load)
            request_ids = self._eligible_members(allocation, load, max_load)
            if isinstance(request_ids, BlockReason):
                self.block_counts[request_ids] += 1
                continue
            is_partial = len(self._connections.allocations_by_group[allocation.group]) > 1
            yield MigrationBatch(request_ids, load, is_grouped=True, is_partial=is_partial)

    def _eligible_members(
        self, allocation: GroupAllocation, load: float, max_load: float
    ) -> tuple[int, ...] | BlockReason:
        """Returns all of a group's members at an endpoint, or why they may not be migrated together."""
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

    def _single_batches(self, ungrouped: GroupAllocation, max_load: float) -> Iterator[MigrationBatch]:
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
        mean_member_load = allocation.load(mean_load) / allocation.connection_count
        return _BatchRank(not is_smaller_part, -mean_member_load, allocation.group)
