"""Connection counts and loads of this relay, summed per endpoint and per group at an endpoint."""

from __future__ import annotations


class LoadTotals:
    """Number of connections in a set, and the sum of the loads reported for them, in work per second."""

    __slots__ = ("connection_count", "reported_load", "reporting_count")

    def __init__(self) -> None:
        self.connection_count = 0
        self.reported_load = 0.0
        self.reporting_count = 0  # connections that contribute to ``reported_load``

    def change_load(self, load_change: float, reporting_change: int) -> None:
        """Add to the reported load and to the number of reporting connections; both may be negative."""
        self.reported_load += load_change
        self.reporting_count += reporting_change
        if not self.reporting_count:
            self.reported_load = 0.0  # removes the accumulated rounding error


class GroupAllocation(LoadTotals):
    """Totals of one group's connections at one endpoint; the group "" is for connections without a group."""

    __slots__ = ("endpoint", "first_row", "group")

    def __init__(self, endpoint: EndpointTotals, group: str, first_row: int) -> None:
        super().__init__()
        self.endpoint = endpoint
        self.group = group
        self.first_row = first_row  # head of the linked list of its rows in the connection table

    def estimate_load(self, mean_load: float) -> float:
        """Estimate the load in work per second; ``mean_load`` stands in for each load not reported."""
        return self.reported_load + (self.connection_count - self.reporting_count) * mean_load


class EndpointTotals(LoadTotals):
    """Totals of this relay's connections at one endpoint."""

    __slots__ = ("groups", "name")

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.groups: dict[str, GroupAllocation] = {}

    @property
    def group_count(self) -> int:
        """Number of groups at the endpoint; the group "" does not count."""
        return len(self.groups) - ("" in self.groups)

    def estimate_load(self, mean_load: float, group_cost: float) -> float:
        """Estimate the load in work per second; each group adds that of ``group_cost`` mean connections."""
        unreported = self.connection_count - self.reporting_count + group_cost * self.group_count
        return self.reported_load + unreported * mean_load


class AllocationIndex:
    """Index of all allocations by number; a number is reused once its allocation has been discarded."""

    def __init__(self, no_row: int) -> None:
        self.endpoints: dict[str, EndpointTotals] = {}
        self.by_group: dict[str, list[GroupAllocation]] = {}  # the group "" has no entry
        self._no_row = no_row
        self._allocations: list[GroupAllocation | None] = []
        self._numbers: dict[tuple[str, str], int] = {}  # keyed by endpoint and group
        self._free_numbers: list[int] = []

    def __getitem__(self, number: int) -> GroupAllocation:
        allocation = self._allocations[number]
        assert allocation is not None
        return allocation

    def get_or_create_number(self, endpoint: str, group: str) -> int:
        """Return the number of the allocation of ``group`` at ``endpoint``; create it if there is none."""
        number = self._numbers.get((endpoint, group))
        if number is None:
            number = self._numbers[(endpoint, group)] = self._assign_number(self._create(endpoint, group))
        return number

    def discard(self, number: int) -> None:
        """Remove an allocation that has no connections left."""
        allocation = self[number]
        endpoint = allocation.endpoint
        del endpoint.groups[allocation.group]
        if not endpoint.connection_count:
            del self.endpoints[endpoint.name]
        if allocation.group:
            siblings = self.by_group[allocation.group]
            siblings.remove(allocation)
            if not siblings:
                del self.by_group[allocation.group]
        del self._numbers[(endpoint.name, allocation.group)]
        self._allocations[number] = None
        self._free_numbers.append(number)

    def _create(self, endpoint: str, group: str) -> GroupAllocation:
        totals = self.endpoints.get(endpoint)
        if totals is None:
            totals = self.endpoints[endpoint] = EndpointTotals(endpoint)
        allocation = GroupAllocation(totals, group, self._no_row)
        totals.groups[group] = allocation
        if group:
            self.by_group.setdefault(group, []).append(allocation)
        return allocation

    def _assign_number(self, allocation: GroupAllocation) -> int:
        if self._free_numbers:
            number = self._free_numbers.pop()
            self._allocations[number] = allocation
            return number
        number = len(self._allocations)
        self._allocations.append(allocation)
        return number
