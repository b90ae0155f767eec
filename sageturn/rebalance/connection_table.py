"""This relay's established connections by endpoint and group, maintained from the balancer's events.

A connection is a row over several arrays, not an object: at 10,000 connections objects with their numbers
would take three times the memory. The rows of one group at one endpoint form a doubly linked list, so that a
group's members are found without looking at any other connection.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from sageturn.rebalance.allocations import AllocationIndex, EndpointTotals, GroupAllocation, LoadTotals

NO_ROW = -1


class ConnectionLabels(NamedTuple):
    """The class, tenant and group of a request."""

    class_name: str
    tenant: str
    group: str


class ConnectionRow(NamedTuple):
    """A connection as the table returns it."""

    request_id: int
    client: int  # hash of the client's key; 0: it has none
    class_name: str
    tenant: str
    established_ms: float


class ConnectionTable:
    """This relay's connections and the sums over them.

    Loads are in work per second, as endpoints report them.
    """

    def __init__(self) -> None:
        self.totals = LoadTotals()
        self._squared_loads = 0.0  # sum over the reporting connections
        self._allocations = AllocationIndex(NO_ROW)
        self._rows: dict[int, int] = {}  # by request id
        self._free_rows: list[int] = []
        self._start_ms: float | None = None  # what the column of instants counts from; None: no row yet
        self._class_tenant_pairs: list[tuple[str, str]] = []
        self._class_tenant_numbers: dict[tuple[str, str], int] = {}
        # The columns.
        self._ids = array("Q")
        self._clients = array("Q")
        self._established_s = array("f")
        self._loads = array("f")  # 0: not reported
        self._class_tenants = array("L")  # there are few pairs, and many rows
        self._allocation_numbers = array("L")
        self._next_rows = array("l")
        self._previous_rows = array("l")

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._rows

    @property
    def endpoints(self) -> dict[str, EndpointTotals]:
        """The totals of each endpoint that has connections, by name."""
        return self._allocations.endpoints

    @property
    def allocations_by_group(self) -> dict[str, list[GroupAllocation]]:
        """Each group's allocations, one per endpoint where it has connections."""
        return self._allocations.by_group

    @property
    def mean_load(self) -> float:
        """The mean reported load of a connection; 1 where none is reported, so that loads are counts."""
        totals = self.totals
        if totals.reporting_count and totals.reported_load > 0:
            return totals.reported_load / totals.reporting_count
        return 1.0

    @property
    def size_biased_mean_load(self) -> float:
        """The expected load of a connection that is drawn with a chance proportional to its load."""
        reported_load = self.totals.reported_load
        return self._squared_loads / reported_load if reported_load > 0 else 1.0

    # ------------------------------------------------------------ changes

    def add(
        self, established_ms: float, request_id: int, endpoint: str, labels: ConnectionLabels, client: int
    ) -> None:
        """Adds a connection whose load is not known yet; it replaces one with the same id."""
        if request_id in self._rows:
            self.remove(request_id)
        if self._start_ms is None:
            self._start_ms = established_ms
        row = self._allocate_row()
        self._ids[row] = request_id
        self._clients[row] = client
        self._established_s[row] = (established_ms - self._start_ms) / 1000.0
        self._loads[row] = 0.0
        self._class_tenants[row] = self._class_tenant_number(labels)
        number = self._allocations.number_of(endpoint, labels.group)
        self._allocation_numbers[row] = number
        self._link(row, self._allocations[number])
        self._rows[request_id] = row

    def remove(self, request_id: int) -> bool:
        """Removes a connection. Returns whether there was one with this id."""
        row = self._rows.pop(request_id, None)
        if row is None:
            return False
        number = self._allocation_numbers[row]
        allocation = self._allocations[number]
        self._set_row_load(row, allocation, 0.0)
        self._unlink(row, allocation)
        self._free_rows.append(row)
        if not allocation.connection_count:
            self._allocations.discard(number)
        return True

    def set_load(self, request_id: int, load: float) -> None:
        """Records a reported load; connections that are not in the table are ignored."""
        row = self._rows.get(request_id)
        if row is not None:
            allocation = self._allocations[self._allocation_numbers[row]]
            self._set_row_load(row, allocation, max(0.0, load))

    # ------------------------------------------------------------ queries

    def members(self, allocation: GroupAllocation) -> Iterator[ConnectionRow]:
        """Yields the connections of a group at an endpoint, the newest first."""
        row = allocation.first_row
        start_ms = self._start_ms or 0.0
        while row != NO_ROW:
            class_name, tenant = self._class_tenant_pairs[self._class_tenants[row]]
            established_ms = start_ms + self._established_s[row] * 1000.0
            yield ConnectionRow(self._ids[row], self._clients[row], class_name, tenant, established_ms)
            row = self._next_rows[row]

    def load_of(self, request_id: int) -> float:
        """Returns a connection's load, or the mean where it has not been reported."""
        return self._loads[self._rows[request_id]] or self.mean_load

    def endpoint_of(self, request_id: int) -> str:
        """Returns the endpoint of a connection that is in the table."""
        number = self._allocation_numbers[self._rows[request_id]]
        return self._allocations[number].endpoint.name

    def client_of(self, request_id: int) -> int:
        """Returns the hash of a connection's client key; 0 if it has none or is not in the table."""
        row = self._rows.get(request_id)
        return 0 if row is None else self._clients[row]

    # ------------------------------------------------------------ rows

    def _allocate_row(self) -> int:
        if self._free_rows:
            return self._free_rows.pop()
        row = len(self._ids)
        self._ids.append(0)
        self._clients.append(0)
        self._established_s.append(0.0)
        self._loads.append(0.0)
        self._class_tenants.append(0)
        self._allocation_numbers.append(0)
        self._next_rows.append(NO_ROW)
        self._previous_rows.append(NO_ROW)
        return row

    def _class_tenant_number(self, labels: ConnectionLabels) -> int:
        pair = labels.class_name, labels.tenant
        number = self._class_tenant_numbers.get(pair)
        if number is None:
            number = self._class_tenant_numbers[pair] = len(self._class_tenant_pairs)
            self._class_tenant_pairs.append(pair)
        return number

    def _link(self, row: int, allocation: GroupAllocation) -> None:
        """Inserts a row at the head of its allocation's list."""
        following = allocation.first_row
        self._next_rows[row] = following
        self._previous_rows[row] = NO_ROW
        if following != NO_ROW:
            self._previous_rows[following] = row
        allocation.first_row = row
        allocation.connection_count += 1
        allocation.endpoint.connection_count += 1
        self.totals.connection_count += 1

    def _unlink(self, row: int, allocation: GroupAllocation) -> None:
        following = self._next_rows[row]
        previous = self._previous_rows[row]
        if following != NO_ROW:
            self._previous_rows[following] = previous
        if previous != NO_ROW:
            self._next_rows[previous] = following
        else:
            allocation.first_row = following
        allocation.connection_count -= 1
        allocation.endpoint.connection_count -= 1
        self.totals.connection_count -= 1

    def _set_row_load(self, row: int, allocation: GroupAllocation, load: float) -> None:
        old = self._loads[row]
        self._loads[row] = load
        new = self._loads[row]  # as the column rounds it, so that subtracting it later leaves nothing over
        reporting_change = (new > 0) - (old > 0)
        for totals in (allocation, allocation.endpoint, self.totals):
            totals.change_load(new - old, reporting_change)
        if self.totals.reporting_count:
            self._squared_loads = self._squared_loads + new * new - old * old
        else:
            self._squared_loads = 0.0
