"""What may be moved off a host in one go: a whole group, or one connection that has no group."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from sageturn.rebalance.connection_table import ConnectionTable, EndpointTotals, GroupAllocation
from sageturn.rebalance.migration_history import MigrationHistory
from sageturn.rebalance.options import RebalanceOptions


class BlockReason(Enum):
    """Why something stays where it is."""

    TOO_LARGE = "larger than the imbalance, than a burst, or than what hosts have room for"
    KEPT = "holds a class or a member that the operator keeps in place"
    YOUNG = "holds a connection that has not stood for long"
    MOVED_LATELY = "holds a client that was moved lately, or that has no key"
    UNSEEN = "not looked at in this tick"


# These pass with time; when nothing but the others is in the way, balance cannot be reached.
PASSING = frozenset({BlockReason.YOUNG, BlockReason.MOVED_LATELY, BlockReason.UNSEEN})


@dataclass(frozen=True, slots=True)
class MigrationBatch:
    host: str
    group: str
    ids: tuple[int, ...]
    clients: tuple[int, ...]
    load: float
    straddles: bool  # more of the group is elsewhere at this relay

    @property
    def what(self) -> str:
        if not self.group:
            return "one connection without a group"
        part = "the smaller part of a group" if self.straddles else "a whole group"
        return f"{part}, {len(self.ids)} connections"


class Sight:
    """How many connections may still be looked at: a tick's work is bounded, however large the book."""

    def __init__(self, most: int) -> None:
        self.left = most


def units(
    book: ConnectionTable,
    held: EndpointTotals,
    most_load: float,
    largest: int,
    now_ms: float,
    options: RebalanceOptions,
    clients: MigrationHistory,
    leaving: set[int],
    sight: Sight,
    blocks: Counter[BlockReason],
) -> Iterator[MigrationBatch]:
    """In the order in which they are to go. ``largest``: connections in a unit at most; ``leaving``: ids that
    were asked to move already.

    First the smaller parts of groups that straddle hosts, since each host pays a group's cost; then whole
    groups, the heaviest connections first, so that few clients are disturbed; last those without a group.
    """
    mean = book.mean
    for part in sorted((p for p in held.parts.values() if p.group), key=lambda p: _order(book, p, mean)):
        if part.count > largest or part.load(mean) > most_load:
            blocks[BlockReason.TOO_LARGE] += 1
            continue
        if sight.left < part.count:
            blocks[BlockReason.UNSEEN] += 1
            continue
        sight.left -= part.count
        ids, numbers = [], []
        block: BlockReason | None = None
        for request_id, client, pair, since_ms in book.members(part):
            block = _blocked(request_id, client, pair, since_ms, now_ms, options, clients, leaving)
            if block is not None:
                break
            ids.append(request_id)
            numbers.append(client)
        if block is not None:
            blocks[block] += 1
        else:
            straddles = len(book.straddling[part.group]) > 1
            yield MigrationBatch(
                held.name, part.group, tuple(ids), tuple(numbers), part.load(mean), straddles
            )
    alone = held.parts.get("")
    for request_id, client, pair, since_ms in list(book.members(alone)) if alone else ():
        if sight.left <= 0:
            blocks[BlockReason.UNSEEN] += 1
            return
        sight.left -= 1
        block = _blocked(request_id, client, pair, since_ms, now_ms, options, clients, leaving)
        load = book.load_of(request_id)
        if block is None and load > most_load:
            block = BlockReason.TOO_LARGE
        if block is not None:
            blocks[block] += 1
        else:
            yield MigrationBatch(held.name, "", (request_id,), (client,), load, False)


def parting(
    book: ConnectionTable,
    held: EndpointTotals,
    largest: int,
    now_ms: float,
    clients: MigrationHistory,
    leaving: set[int],
) -> Iterator[MigrationBatch]:
    """All that may leave a host which is to be cleared, group by group, the larger groups in parts.

    Whoever was moved lately stays until that time is over; there is no other reason to stay.
    """
    mean = book.mean
    for group in sorted(held.parts):
        part = held.parts[group]
        going = [
            (request_id, client)
            for request_id, client, *_ in book.members(part)
            if request_id not in leaving and clients.settled(client, now_ms)
        ]
        size = 1 if not group else largest
        for at in range(0, len(going), size):
            some = going[at : at + size]
            load = part.load(mean) * len(some) / part.count
            ids, numbers = (tuple(column) for column in zip(*some, strict=True))
            yield MigrationBatch(held.name, group, ids, numbers, load, len(some) < part.count)


def _order(book: ConnectionTable, part: GroupAllocation, mean: float) -> tuple[bool, float, str]:
    others = book.straddling[part.group]
    joins = len(others) > 1 and max(others, key=lambda p: (p.count, p.host.name)) is not part
    return not joins, -part.load(mean) / part.count, part.group


def _blocked(
    request_id: int,
    client: int,
    pair: tuple[str, str],
    since_ms: float,
    now_ms: float,
    options: RebalanceOptions,
    clients: MigrationHistory,
    leaving: set[int],
) -> BlockReason | None:
    if pair[0] in options.keep_classes or pair[1] in options.keep_tenants:
        return BlockReason.KEPT
    if request_id in leaving or not clients.settled(client, now_ms):
        return BlockReason.MOVED_LATELY
    if now_ms < since_ms + options.least_age_s * 1000.0:
        return BlockReason.YOUNG
    return None
