"""This relay's established connections by endpoint and group, maintained from the balancer's events.

The table is columnar: a connection is a row index into several arrays. With 10,000 connections, one object
per connection would take three times the memory. The rows of one group at one endpoint form a doubly linked
list, so that a group's members are found without scanning other connections.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from sageturn.rebalance.allocations import AllocationIndex, EndpointTotals, GroupAllocation, LoadTotals

NO_ROW = -1


class ConnectionLabels(NamedTuple):
    """Class, tenant and group of a request."""

    class_name: str
    tenant: str
    group: str


class ConnectionRow(NamedTuple):
    """Copy of one row of the table."""

    request_id: int
    client_hash: int  # hash of the client's key; 0 if the client has none
    class_name: str
    tenant: str
    established_ms: float


class ConnectionTable:
    """Table of this relay's connections, with totals per endpoint and group.

    Loads are in work per second, as reported by the endpoints.
    """

    def __init__(self) -> None:
        self.totals = LoadTotals()
        self._squared_loads = 0.0  # sum of the squared loads of the reporting connections
        self._allocations = AllocationIndex(NO_ROW)
        self._rows: dict[int, int] = {}  # row of each request id
        self._free_rows: list[int] = []
        self._time_origin_ms: float | None = None  # origin of ``_established_s``; None before the first row
        self._class_tenant_pairs: list[tuple[str, str]] = []
        self._class_tenant_numbers: dict[tuple[str, str], int] = {}
        # Columns of the table, indexed by row.
        self._request_ids = array("Q")
        self._client_hashes = array("Q")
        self._established_s = array("f")
        self._loads = array("f")  # 0 if no load has been reported
        self._class_tenants = array("L")  # indexes into ``_class_tenant_pairs``, which is short
        self._allocation_numbers = array("L")
        self._next_rows = array("l")
        self._previous_rows = array("l")

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._rows

    @property
    def endpoints(self) -> dict[str, EndpointTotals]:
        """Totals of each endpoint that has connections, by name."""
        return self._allocations.endpoints

    @property
    def allocations_by_group(self) -> dict[str, list[GroupAllocation]]:
        """Allocations of each group, one per endpoint where the group has connections."""
        return self._allocations.by_group

    @property
    def mean_load(self) -> float:
        """Mean reported load of a connection; 1 if none is reported, so that loads are connection counts."""
        totals = self.totals
        if totals.reporting_count and totals.reported_load > 0:
            return totals.reported_load / totals.reporting_count
        return 1.0

    @property
    def size_biased_mean_load(self) -> float:
        """Load-weighted mean of the reported loads: sum of squares over sum; 1 if none is reported."""
        reported_load = self.totals.reported_load
        return self._squared_loads / reported_load if reported_load > 0 else 1.0

    # ------------------------------------------------------------ changes

    def add(
        self,
        established_ms: float,
        request_id: int,
        endpoint: str,
        labels: ConnectionLabels,
        client_hash: int,
    ) -> None:
        """Add a connection whose load has not been reported yet; it replaces one with the same id."""
        if request_id in self._rows:
            self.remove(request_id)
        if self._time_origin_ms is None:
            self._time_origin_ms = established_ms
        row = self._allocate_row()
        self._request_ids[row] = request_id
        self._client_hashes[row] = client_hash
        self._established_s[row] = (established_ms - self._time_origin_ms) / 1000.0
        self._loads[row] = 0.0
        self._class_tenants[row] = self._intern_class_tenant(labels)
        number = self._allocations.get_or_create_number(endpoint, labels.group)
        self._allocation_numbers[row] = number
        self._link(row, self._allocations[number])
        self._rows[request_id] = row

    def remove(self, request_id: int) -> bool:
        """Remove a connection. Return False if there is none with this id."""
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
        """Record a reported load; connections that are not in the table are ignored."""
        row = self._rows.get(request_id)
        if row is not None:
            allocation = self._allocations[self._allocation_numbers[row]]
            self._set_row_load(row, allocation, max(0.0, load))

    # ------------------------------------------------------------ queries

    def members(self, allocation: GroupAllocation) -> Iterator[ConnectionRow]:
        """Yield the connections of a group at an endpoint; the one added last comes first."""
        row = allocation.first_row
        time_origin_ms = self._time_origin_ms or 0.0
        while row != NO_ROW:
            class_name, tenant = self._class_tenant_pairs[self._class_tenants[row]]
            established_ms = time_origin_ms + self._established_s[row] * 1000.0
            yield ConnectionRow(
                self._request_ids[row], self._client_hashes[row], class_name, tenant, established_ms
            )
            row = self._next_rows[row]

    def load_of(self, request_id: int) -> float:
        """Return a connection's reported load; the mean load if none has been reported."""
        return self._loads[self._rows[request_id]] or self.mean_load

    def endpoint_of(self, request_id: int) -> str:
        """Return the endpoint of a connection. Raise ``KeyError`` if it is not in the table."""
        number = self._allocation_numbers[self._rows[request_id]]
        return self._allocations[number].endpoint.name

    def client_hash_of(self, request_id: int) -> int:
        """Return the hash of the key of a connection's client; 0 if there is no key or no such connection."""
        row = self._rows.get(request_id)
        return 0 if row is None else self._client_hashes[row]

    # ------------------------------------------------------------ rows

    def _allocate_row(self) -> int:
        if self._free_rows:
            return self._free_rows.pop()
        row = len(self._request_ids)
        self._request_ids.append(0)
        self._client_hashes.append(0)
        self._established_s.append(0.0)
        self._loads.append(0.0)
        self._class_tenants.append(0)
        self._allocation_numbers.append(0)
        self._next_rows.append(NO_ROW)
        self._previous_rows.append(NO_ROW)
        return row

    def _intern_class_tenant(self, labels: ConnectionLabels) -> int:
        pair = labels.class_name, labels.tenant
        number = self._class_tenant_numbers.get(pair)
        if number is None:
            number = self._class_tenant_numbers[pair] = len(self._class_tenant_pairs)
            self._class_tenant_pairs.append(pair)
        return number

    def _link(self, row: int, allocation: GroupAllocation) -> None:
        """Insert a row at the head of its allocation's list."""
        next_row = allocation.first_row
        self._next_rows[row] = next_row
        self._previous_rows[row] = NO_ROW
        if next_row != NO_ROW:
            self._previous_rows[next_row] = row
        allocation.first_row = row
        allocation.connection_count += 1
        allocation.endpoint.connection_count += 1
        self.totals.connection_count += 1

    def _unlink(self, row: int, allocation: GroupAllocation) -> None:
        next_row = self._next_rows[row]
        previous_row = self._previous_rows[row]
        if next_row != NO_ROW:
            self._previous_rows[next_row] = previous_row
        if previous_row != NO_ROW:
            self._next_rows[previous_row] = next_row
        else:
            allocation.first_row = next_row
        allocation.connection_count -= 1
        allocation.endpoint.connection_count -= 1
        self.totals.connection_count -= 1

    def _set_row_load(self, row: int, allocation: GroupAllocation, load: float) -> None:
        old_load = self._loads[row]
        self._loads[row] = load
        # Read back, since the column rounds it: later the same value is subtracted, so that no error remains.
        new_load = self._loads[row]
        reporting_change = (new_load > 0) - (old_load > 0)
        for totals in (allocation, allocation.endpoint, self.totals):
            totals.change_load(new_load - old_load, reporting_change)
        if self.totals.reporting_count:
            self._squared_loads = self._squared_loads + new_load * new_load - old_load * old_load
        else:
            self._squared_loads = 0.0
