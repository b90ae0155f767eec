"""Incarnation numbers of replicas, which increase with every incarnation."""

from __future__ import annotations

from random import Random

from sageturn.store.replication.member_directory import stored_incarnation
from sageturn.store.store import Store

RANDOM_BITS = 16  # low bits that distinguish two incarnations of the same millisecond


def next_incarnation(store: Store, rng: Random, previous: int, step: int) -> int:
    """Return the number of a new incarnation, derived from the wall clock.

    Args:
        store: The replica's store, which has the number that an earlier process last advertised.
        rng: The source of the random bits.
        previous: This process's last number; 0 if there is none.
        step: Minimum by which the new number exceeds every earlier one.
    """
    random_bits = rng.getrandbits(RANDOM_BITS)
    by_clock = int(store.wall_clock() * 1000) << RANDOM_BITS | random_bits
    return max(by_clock, max(stored_incarnation(store), previous) + step)
