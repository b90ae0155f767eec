"""What may be migrated off an endpoint at once: a whole group, or one connection that has no group."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from sageturn.rebalance.allocations import EndpointTotals, GroupAllocation
from sageturn.rebalance.connection_table import ConnectionRow, ConnectionTable
from sageturn.rebalance.migration_history import MigrationHistory
from sageturn.rebalance.options import RebalanceOptions


class BlockReason(Enum):
    """Why a group or connection is not migrated.

    The names in lower case and the texts appear in the stored state and in explanations to operators.
    """

    TOO_LARGE = "larger than the imbalance, than a burst, or than what hosts have room for"
    KEPT = "holds a class or a member that the operator keeps in place"
    YOUNG = "holds a connection that has not stood for long"
    MOVED_LATELY = "holds a client that was moved lately, or that has no key"
    UNSEEN = "not looked at in this tick"


# These pass with time; when all that is blocked is blocked by others, balance cannot be reached.
TEMPORARY_BLOCK_REASONS = frozenset({BlockReason.YOUNG, BlockReason.MOVED_LATELY, BlockReason.UNSEEN})


@dataclass(frozen=True, slots=True)
class MigrationBatch:
    """Connections of one endpoint and one group that are migrated together."""

    request_ids: tuple[int, ...]
    load: float
    grouped: bool
    is_partial: bool  # the group has more connections at this relay

    @property
    def description(self) -> str:
        """For explanations to the operator."""
        if not self.grouped:
            return "one connection without a group"
        extent = "the smaller part of a group" if self.is_partial else "a whole group"
        return f"{extent}, {len(self.request_ids)} connections"


class InspectionBudget:
    """How many connections may still be looked at: bounds a tick's work, however many there are."""

    def __init__(self, connections: int) -> None:
        self.remaining = connections

    def try_spend(self, connections: int) -> bool:
        """Take so many from the budget; False, and nothing taken, where it has fewer."""
        if self.remaining < connections:
            return False
        self.remaining -= connections
        return True


@dataclass(frozen=True, slots=True)
class EligibilityRules:
    """Which connections may be migrated at one instant."""

    now_ms: float
    options: RebalanceOptions
    history: MigrationHistory
    migrating: set[int]  # request ids that were asked to reconnect already

    def was_migrated_recently(self, connection: ConnectionRow) -> bool:
        """Whether its client was migrated not long ago, or is being migrated."""
        if connection.request_id in self.migrating:
            return True
        return not self.history.may_migrate(connection.client, self.now_ms)

    def block_reason(self, connection: ConnectionRow) -> BlockReason | None:
        """Why a connection may not be migrated; None when it may."""
        if (
            connection.class_name in self.options.keep_classes
            or connection.tenant in self.options.keep_tenants
        ):
            return BlockReason.KEPT
        if self.was_migrated_recently(connection):
            return BlockReason.MOVED_LATELY
        if self.now_ms < connection.established_ms + self.options.least_age_s * 1000.0:
            return BlockReason.YOUNG
        return None


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
        """An endpoint's batches of at most ``max_load`` each, in the order in which they are to go.

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
            yield MigrationBatch(request_ids, load, grouped=True, is_partial=is_partial)

    def _eligible_members(
        self, allocation: GroupAllocation, load: float, max_load: float
    ) -> tuple[int, ...] | BlockReason:
        """All of a group's members at an endpoint, or why they may not be migrated together."""
        if allocation.connection_count > self._max_batch_connections or load > max_load:
            return BlockReason.TOO_LARGE
        if not self._budget.try_spend(allocation.connection_count):
            return BlockReason.UNSEEN
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
                self.block_counts[BlockReason.UNSEEN] += 1
                return
            load = self._connections.load_of(connection.request_id)
            block_reason = self._rules.block_reason(connection)
            if block_reason is None and load > max_load:
                block_reason = BlockReason.TOO_LARGE
            if block_reason is not None:
                self.block_counts[block_reason] += 1
                continue
            yield MigrationBatch((connection.request_id,), load, grouped=False, is_partial=False)

    def _rank(self, allocation: GroupAllocation, mean_load: float) -> tuple[bool, float, str]:
        siblings = self._connections.allocations_by_group[allocation.group]
        largest = max(siblings, key=lambda sibling: (sibling.connection_count, sibling.endpoint.name))
        is_smaller_part = len(siblings) > 1 and largest is not allocation
        mean_member_load = allocation.load(mean_load) / allocation.connection_count
        return not is_smaller_part, -mean_member_load, allocation.group


def evacuation_batches(
    connections: ConnectionTable,
    endpoint: EndpointTotals,
    rules: EligibilityRules,
    max_batch_connections: int,
) -> Iterator[MigrationBatch]:
    """All that may leave an endpoint that is cleared, group by group, the larger groups in parts.

    Clients that were migrated recently stay until that time is over; there is no other reason to stay.
    """
    mean_load = connections.mean_load
    for group in sorted(endpoint.groups):
        allocation = endpoint.groups[group]
        request_ids = [
            connection.request_id
            for connection in connections.members(allocation)
            if not rules.was_migrated_recently(connection)
        ]
        batch_size = max_batch_connections if group else 1
        for start in range(0, len(request_ids), batch_size):
            batch_ids = tuple(request_ids[start : start + batch_size])
            load = allocation.load(mean_load) * len(batch_ids) / allocation.connection_count
            is_partial = len(batch_ids) < allocation.connection_count
            yield MigrationBatch(batch_ids, load, grouped=bool(group), is_partial=is_partial)
