"""Weighted rendezvous hashing: all relays rank the endpoints for a key in the same order."""

from __future__ import annotations

from collections.abc import Iterable
from math import log
from zlib import crc32

from sageturn.decision.state import EndpointState

HASH_MULTIPLIER = 0x9E3779B1  # mixes the two hashes, because CRC is linear
HASH_MASK = 0xFFFFFFFF  # hashes have 32 bits
UNIFORM_DIVISOR = 0x100000001  # maps a hash plus one into the open interval from 0 to 1


def rank_endpoints(endpoints: Iterable[EndpointState], key: str) -> list[EndpointState]:
    """Return the endpoints ranked for a key; each is first for keys in proportion to its weight."""
    key_hash = crc32(key.encode())

    def score(endpoint: EndpointState) -> float:
        mixed = (endpoint.name_hash ^ key_hash) * HASH_MULTIPLIER & HASH_MASK
        return -log((mixed + 1) / UNIFORM_DIVISOR) / endpoint.weights.effective

    return sorted(endpoints, key=score)
