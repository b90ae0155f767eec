"""Incarnation numbers of replicas: that of a later incarnation is always larger."""

from __future__ import annotations

from random import Random

from sageturn.store.replication.member_directory import stored_incarnation
from sageturn.store.store import Store

RANDOM_BITS = 16  # below the milliseconds, to tell apart two that begin at the same time


def next_incarnation(store: Store, rng: Random, previous: int, step: int) -> int:
    """Returns the number of a new incarnation, by the clock.

    Args:
        store: The replica's store, which has the number that an earlier process last advertised.
        rng: The source of the random bits.
        previous: This process's last number; 0 if there is none.
        step: How much larger than every earlier number the new one is at least.
    """
    random_bits = rng.getrandbits(RANDOM_BITS)
    by_clock = int(store.wall_clock() * 1000) << RANDOM_BITS | random_bits
    return max(by_clock, max(stored_incarnation(store), previous) + step)
