"""What one copy holds, in the order in which it came to hold it, and as a tree of hashes.

Each lane (urgent keys, states) has a sequence of its own: a key's change takes the next revision, and the
key's earlier one goes, so there is one entry a key, however often it changes. The tree is a Merkle tree
over hashes of the keys; a node's hash is the exclusive or of its records' digests, so a change costs the
same whatever the number of keys.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from hashlib import blake2b

from sageturn.store.records import StoreRecord, record_digest
from sageturn.store.replication.wire import LANES, lane_of

FANOUT_BITS = 4
FANOUT = 1 << FANOUT_BITS
DEPTH = 3  # 4,096 leaves: 7 keys in each at 27,000, 25 at 100,000
COMPACT_FROM = 64


def leaf_of(key: str) -> int:
    """The leaf under which a key stands: the first bits of its hash."""
    head = int.from_bytes(blake2b(key.encode(), digest_size=2).digest(), "big")
    return head >> (16 - DEPTH * FANOUT_BITS)


class HashTree:
    """Nodes are told by (depth, index); the root is (0, 0)."""

    def __init__(self) -> None:
        self._hashes = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._counts = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._leaves: dict[int, dict[str, int]] = {}

    @property
    def root(self) -> int:
        return self._hashes[0][0]

    def set(self, key: str, digest: int) -> None:
        """``digest`` 0 takes the key out."""
        at = leaf_of(key)
        leaf = self._leaves.setdefault(at, {})
        old = leaf.pop(key, 0)
        if digest:
            leaf[key] = digest
        elif not leaf:
            del self._leaves[at]
        grown = bool(digest) - bool(old)
        for depth in range(DEPTH, -1, -1):
            self._hashes[depth][at] ^= old ^ digest
            self._counts[depth][at] += grown
            at >>= FANOUT_BITS

    def hash(self, depth: int, index: int) -> int:
        return self._hashes[depth][index]

    def count(self, depth: int, index: int) -> int:
        return self._counts[depth][index]

    def children(self, depth: int, index: int) -> list[int]:
        first = index << FANOUT_BITS
        return self._hashes[depth + 1][first : first + FANOUT]

    def entries(self, depth: int, index: int) -> dict[str, int]:
        """Digest by key, of all keys below a node."""
        shift = (DEPTH - depth) * FANOUT_BITS
        found: dict[str, int] = {}
        for leaf in range(index << shift, (index + 1) << shift):
            found.update(self._leaves.get(leaf, {}))
        return found


class ChangeLog:
    """Revision -> key, one entry a key; ``source``: the incarnation that a change came from, 0: none."""

    def __init__(self) -> None:
        self.head = 0
        self._entries: dict[int, tuple[str, int]] = {}
        self._of: dict[str, int] = {}
        self._order: list[int] = []  # rising; may name entries that are gone

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, source: int) -> None:
        self.remove(key)
        self.head += 1
        self._of[key] = self.head
        self._entries[self.head] = key, source
        self._order.append(self.head)
        if len(self._order) > 2 * len(self._entries) + COMPACT_FROM:
            self._order = list(self._entries)

    def remove(self, key: str) -> None:
        known = self._of.pop(key, None)
        if known is not None:
            del self._entries[known]

    def since(self, after: int) -> Iterator[tuple[int, str, int]]:
        """Entries of a larger revision, rising. The sequence must not change meanwhile."""
        order = self._order
        for at in range(bisect_right(order, after), len(order)):
            entry = self._entries.get(order[at])
            if entry is not None:
                yield order[at], *entry


class ChangeLogSet:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequences = [ChangeLog() for _ in LANES]
        self.trees = [HashTree() for _ in LANES]

    def note(self, record: StoreRecord, source: int = 0) -> None:
        lane = lane_of(record.key)
        self.sequences[lane].put(record.key, source)
        self.trees[lane].set(record.key, record_digest(record))

    def remove(self, key: str) -> None:
        lane = lane_of(key)
        self.sequences[lane].remove(key)
        self.trees[lane].set(key, 0)

    @property
    def heads(self) -> list[int]:
        return [sequence.head for sequence in self.sequences]

    @property
    def roots(self) -> list[int]:
        return [tree.root for tree in self.trees]

    @property
    def counts(self) -> list[int]:
        return [len(sequence) for sequence in self.sequences]
