"""A Merkle tree over record digests, for finding what two replicas hold differently.

A key's leaf is given by the first bits of its hash. A node's hash is the exclusive or of the digests in
its subtree, so the cost of a change does not depend on the number of keys.
"""

from __future__ import annotations

from hashlib import blake2b

FANOUT_BITS = 4
FANOUT = 1 << FANOUT_BITS
DEPTH = 3  # depth of the leaves; a tree has 4,096 of them
_KEY_HASH_BITS = 16


def leaf_index(key: str) -> int:
    """Return the index of the leaf that holds a key."""
    key_hash = blake2b(key.encode(), digest_size=_KEY_HASH_BITS // 8).digest()
    return int.from_bytes(key_hash, "big") >> (_KEY_HASH_BITS - DEPTH * FANOUT_BITS)


class MerkleTree:
    """Tree of record digests by key. A node is named by its depth and index within it; the root is (0, 0)."""

    def __init__(self) -> None:
        self._hashes = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._counts = [[0] * FANOUT**depth for depth in range(DEPTH + 1)]
        self._leaves: dict[int, dict[str, int]] = {}

    @property
    def root(self) -> int:
        """Hash of the whole tree; 0 if it is empty."""
        return self._hashes[0][0]

    def set(self, key: str, digest: int) -> None:
        """Set a key's digest; 0 removes the key."""
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
        """Return the hash of a node."""
        return self._hashes[depth][index]

    def count(self, depth: int, index: int) -> int:
        """Return the number of keys in a node's subtree."""
        return self._counts[depth][index]

    def children(self, depth: int, index: int) -> list[int]:
        """Return the hashes of an inner node's children."""
        first = index << FANOUT_BITS
        return self._hashes[depth + 1][first : first + FANOUT]

    def entries(self, depth: int, index: int) -> dict[str, int]:
        """Return the digests of all keys in a node's subtree."""
        shift = (DEPTH - depth) * FANOUT_BITS
        found: dict[str, int] = {}
        for leaf in range(index << shift, (index + 1) << shift):
            found.update(self._leaves.get(leaf, {}))
        return found
