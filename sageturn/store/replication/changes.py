"""The change logs of a replica: the keys of its records, in the order in which they changed there.

Each priority class has a change log of its own. A change of a key takes the next revision, and the key's
earlier entry is removed: there is one entry for each key, however often it changes.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from typing import NamedTuple

from sageturn.store.records import StoreRecord, record_digest
from sageturn.store.replication.merkle_tree import MerkleTree
from sageturn.store.replication.priority import PRIORITY_CLASSES, priority_of

MIN_STALE_REVISIONS = 64  # stale revisions, besides one per entry, before a change log compacts its order


class Change(NamedTuple):
    """One entry of a change log."""

    revision: int
    key: str
    source: int | None  # incarnation of the peer that sent the change; None for a local change


class ChangeLog:
    """Log of the latest change of each key, in ascending order of revision."""

    def __init__(self) -> None:
        self.head = 0
        self._entries: dict[int, Change] = {}
        self._revisions: dict[str, int] = {}
        self._order: list[int] = []  # ascending revisions; may include those of removed entries

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def order_length(self) -> int:
        """Number of revisions retained for ordered access, stale ones included."""
        return len(self._order)

    def append(self, key: str, source: int | None) -> None:
        """Append a change of a key under the next revision, which becomes ``head``."""
        self.remove(key)
        self.head += 1
        self._revisions[key] = self.head
        self._entries[self.head] = Change(self.head, key, source)
        self._order.append(self.head)
        if len(self._order) > 2 * len(self._entries) + MIN_STALE_REVISIONS:
            self._order = list(self._entries)

    def remove(self, key: str) -> None:
        """Drop a key's entry, if there is one."""
        revision = self._revisions.pop(key, None)
        if revision is not None:
            del self._entries[revision]

    def since(self, revision: int) -> Iterator[Change]:
        """Yield the entries after a revision, ascending. The log must not change during the iteration."""
        order = self._order
        for position in range(bisect_right(order, revision), len(order)):
            change = self._entries.get(order[position])
            if change is not None:
                yield change


class ChangeLogSet:
    """Change logs and Merkle trees of one incarnation of a replica, by priority class.

    Revisions of these logs are not valid for another incarnation.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.logs = [ChangeLog() for _ in PRIORITY_CLASSES]
        self.trees = [MerkleTree() for _ in PRIORITY_CLASSES]

    def add(self, record: StoreRecord, source: int | None = None) -> None:
        """Record that the replica now holds this version of a record; see ``Change.source``."""
        priority = priority_of(record.key)
        self.logs[priority].append(record.key, source)
        self.trees[priority].set(record.key, record_digest(record))

    def remove(self, key: str) -> None:
        """Record that the replica has discarded the record of a key."""
        priority = priority_of(key)
        self.logs[priority].remove(key)
        self.trees[priority].set(key, 0)

    @property
    def heads(self) -> list[int]:
        """Last revision of each log."""
        return [change_log.head for change_log in self.logs]

    @property
    def roots(self) -> list[int]:
        """Root hash of each tree."""
        return [tree.root for tree in self.trees]

    @property
    def counts(self) -> list[int]:
        """Number of keys in each log."""
        return [len(change_log) for change_log in self.logs]
