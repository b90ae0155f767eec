"""The relay's own standing connections by host and group, kept up from events.

A connection is a row of columns, not an object: at 10,000 of them an object with its numbers would cost
three times as much. The rows of one group at one host form a linked list, so that a group's members are
found without looking at anyone else.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

NOBODY = -1


class GroupAllocation:
    """A group's connections at one host; the group "" holds those that have none."""

    __slots__ = ("host", "group", "head", "count", "told", "heard")

    def __init__(self, host: EndpointTotals, group: str) -> None:
        self.host, self.group = host, group
        self.head = NOBODY
        self.count = 0
        self.told, self.heard = 0.0, 0  # loads told, and by how many

    def load(self, mean: float) -> float:
        """Work a second; who has told nothing yet counts at the mean."""
        return self.told + (self.count - self.heard) * mean


class EndpointTotals:
    """What this relay holds at one host."""

    __slots__ = ("name", "parts", "count", "told", "heard")

    def __init__(self, name: str) -> None:
        self.name = name
        self.parts: dict[str, GroupAllocation] = {}
        self.count = 0
        self.told, self.heard = 0.0, 0

    @property
    def groups(self) -> int:
        return len(self.parts) - ("" in self.parts)

    def load(self, mean: float, group_cost: float) -> float:
        return self.told + (self.count - self.heard + group_cost * self.groups) * mean


class ConnectionTable:
    def __init__(self) -> None:
        self.hosts: dict[str, EndpointTotals] = {}
        self.straddling: dict[str, list[GroupAllocation]] = {}  # by group: its parts, at one host or more
        self.told, self.squares, self.heard = 0.0, 0.0, 0
        self._rows: dict[int, int] = {}
        self._ids, self._clients = array("Q"), array("Q")
        self._since, self._loads = array("f"), array("f")  # seconds since _zero_ms; 0 load: not told
        self._names, self._next, self._before = array("L"), array("l"), array("l")
        self._at = array("L")
        self._parts: list[GroupAllocation | None] = []
        self._free_parts: list[int] = []
        self._part_numbers: dict[tuple[str, str], int] = {}
        self._free: list[int] = []
        # Class and tenant of a row are one small number: there are few pairs, and many rows.
        self._pairs: list[tuple[str, str]] = []
        self._pair_numbers: dict[tuple[str, str], int] = {}
        self._zero_ms = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._rows

    @property
    def mean(self) -> float:
        """Load of a usual connection; 1 where nothing is told, so that loads are counts."""
        return self.told / self.heard if self.heard and self.told > 0 else 1.0

    @property
    def weight_of_one(self) -> float:
        """Sum of squared loads over their sum: what one connection, drawn by load, weighs."""
        return self.squares / self.told if self.told > 0 else 1.0

    # ------------------------------------------------------------ events

    def add(
        self, now_ms: float, request_id: int, host: str, group: str, pair: tuple[str, str], client: int
    ) -> None:
        if request_id in self._rows:
            self.remove(request_id)
        if not self._zero_ms:
            self._zero_ms = now_ms
        number = self._pair_numbers.get(pair)
        if number is None:
            number = self._pair_numbers[pair] = len(self._pairs)
            self._pairs.append(pair)
        at = self._part_number(host, group)
        part = self._part(at)
        since = (now_ms - self._zero_ms) / 1000.0
        if self._free:
            row = self._free.pop()
            self._ids[row], self._clients[row], self._names[row] = request_id, client, number
            self._since[row], self._loads[row], self._at[row] = since, 0.0, at
            self._next[row], self._before[row] = part.head, NOBODY
        else:
            row = len(self._ids)
            self._ids.append(request_id)
            self._clients.append(client)
            self._names.append(number)
            self._since.append(since)
            self._loads.append(0.0)
            self._at.append(at)
            self._next.append(part.head)
            self._before.append(NOBODY)
        if part.head != NOBODY:
            self._before[part.head] = row
        part.head = row
        part.count += 1
        part.host.count += 1
        self._rows[request_id] = row

    def remove(self, request_id: int) -> bool:
        row = self._rows.pop(request_id, None)
        if row is None:
            return False
        at = self._at[row]
        part = self._part(at)
        self._tell(row, part, 0.0)
        after, before = self._next[row], self._before[row]
        if after != NOBODY:
            self._before[after] = before
        if before != NOBODY:
            self._next[before] = after
        else:
            part.head = after
        part.count -= 1
        part.host.count -= 1
        self._free.append(row)
        if not part.count:
            self._drop(at, part)
        return True

    def load(self, request_id: int, value: float) -> None:
        row = self._rows.get(request_id)
        if row is not None:
            self._tell(row, self._part(self._at[row]), max(0.0, value))

    def _tell(self, row: int, part: GroupAllocation, value: float) -> None:
        old = self._loads[row]
        self._loads[row] = value
        value = self._loads[row]  # as the column holds it, so that taking it off again leaves nothing over
        heard = (value > 0) - (old > 0)
        for holder in (part, part.host, self):
            holder.told += value - old
            holder.heard += heard
            if not holder.heard:
                holder.told = 0.0
        self.squares = self.squares + value * value - old * old if self.heard else 0.0

    # ------------------------------------------------------------ reading

    def members(self, part: GroupAllocation) -> Iterator[tuple[int, int, tuple[str, str], float]]:
        """Request id, client, (class, tenant) and the instant in ms since which it stands; newest first."""
        row = part.head
        while row != NOBODY:
            since_ms = self._zero_ms + self._since[row] * 1000.0
            yield self._ids[row], self._clients[row], self._pairs[self._names[row]], since_ms
            row = self._next[row]

    def load_of(self, request_id: int) -> float:
        return self._loads[self._rows[request_id]] or self.mean

    def place_of(self, request_id: int) -> tuple[str, str]:
        """Its host and its group."""
        part = self._part(self._at[self._rows[request_id]])
        return part.host.name, part.group

    def client_of(self, request_id: int) -> int:
        """0 when it does not stand, or has no key."""
        row = self._rows.get(request_id)
        return 0 if row is None else self._clients[row]

    # ------------------------------------------------------------ parts

    def _part(self, number: int) -> GroupAllocation:
        part = self._parts[number]
        assert part is not None
        return part

    def _part_number(self, host: str, group: str) -> int:
        number = self._part_numbers.get((host, group))
        if number is not None:
            return number
        held = self.hosts.get(host)
        if held is None:
            held = self.hosts[host] = EndpointTotals(host)
        part = GroupAllocation(held, group)
        held.parts[group] = part
        if group:
            self.straddling.setdefault(group, []).append(part)
        if self._free_parts:
            number = self._free_parts.pop()
            self._parts[number] = part
        else:
            number = len(self._parts)
            self._parts.append(part)
        self._part_numbers[(host, group)] = number
        return number

    def _drop(self, number: int, part: GroupAllocation) -> None:
        del part.host.parts[part.group]
        if not part.host.count:
            del self.hosts[part.host.name]
        if part.group:
            parts = self.straddling[part.group]
            parts.remove(part)
            if not parts:
                del self.straddling[part.group]
        del self._part_numbers[(part.host.name, part.group)]
        self._parts[number] = None
        self._free_parts.append(number)
