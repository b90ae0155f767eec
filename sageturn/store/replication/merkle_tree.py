"""A Merkle tree over record digests, for finding what two replicas hold differently.

A key's leaf is given by the first bits of its hash. A node's hash is the exclusive or of the digests below
it, so a change costs the same whatever the number of keys.
"""

from __future__ import annotations

from hashlib import blake2b

FANOUT_BITS = 4
FANOUT = 1 << FANOUT_BITS
DEPTH = 3  # of the leaves, of which there are 4,096
_KEY_HASH_BITS = 16


def leaf_index(key: str) -> int:
    """Returns the index of the leaf that holds a key."""
    key_hash = blake2b(key.encode(), digest_size=_KEY_HASH_BITS // 8).digest()
    return int.from_bytes(key_hash, "big") >> (_KEY_HASH_BITS - DEPTH * FANOUT_BITS)


class MerkleTree:
    """Holds record digests by key. Nodes are named by depth and index within it; the root is (0, 0)."""

    def __init__(self) -> None:
        self._hashes = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._counts = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._leaves: dict[int, dict[str, int]] = {}

    @property
    def root(self) -> int:
        """The hash over everything; 0 for an empty tree."""
        return self._hashes[0][0]

    def set(self, key: str, digest: int) -> None:
        """Sets a key's digest; 0 removes the key."""
        index = leaf_index(key)
        leaf = self._leaves.setdefault(index, {})
        previous = leaf.pop(key, 0)
        if digest:
            leaf[key] = digest
        elif not leaf:
            del self._leaves[index]
        added = bool(digest) - bool(previous)
        for depth in range(DEPTH, -1, -1):
            self._hashes[depth][index] ^= previous ^ digest
            self._counts[depth][index] += added
            index >>= FANOUT_BITS

    def hash(self, depth: int, index: int) -> int:
        """Returns the hash of a node."""
        return self._hashes[depth][index]

    def count(self, depth: int, index: int) -> int:
        """Returns the number of keys below a node."""
        return self._counts[depth][index]

    def children(self, depth: int, index: int) -> list[int]:
        """Returns the hashes of an inner node's children."""
        first = index << FANOUT_BITS
        return self._hashes[depth + 1][first : first + FANOUT]

    def entries(self, depth: int, index: int) -> dict[str, int]:
        """Returns the digests of all keys below a node."""
        shift = (DEPTH - depth) * FANOUT_BITS
        found: dict[str, int] = {}
        for leaf in range(index << shift, (index + 1) << shift):
            found.update(self._leaves.get(leaf, {}))
        return found
