"""Weighted rendezvous hashing: every relay ranks the nodes of a key in the same order, without talking."""

from __future__ import annotations

from collections.abc import Iterable
from math import log
from zlib import crc32

from sageturn.decision.state import EndpointState


def rendezvous_score(node_hash: int, key_hash: int, weight: float) -> float:
    """Nodes with the lowest scores rank first, each as often as its weight's part of all weights.

    The hashes are of 32 bits; ``weight`` is above 0.
    """
    mixed = (node_hash ^ key_hash) * 0x9E3779B1 & 0xFFFFFFFF
    uniform = (mixed + 1) / 0x100000001  # above 0 and below 1
    return -log(uniform) / weight


def rank_endpoints(endpoints: Iterable[EndpointState], key: str) -> list[EndpointState]:
    """The endpoints in the order of their scores for the key, by their effective weights."""
    key_hash = crc32(key.encode())
    return sorted(
        endpoints,
        key=lambda endpoint: rendezvous_score(endpoint.name_hash, key_hash, endpoint.effective_weight),
    )
