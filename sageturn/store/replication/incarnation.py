"""Numbers that tell the incarnations of a replica apart; a later one is always larger."""

from __future__ import annotations

from random import Random

from sageturn.store.replication.member_directory import stored_incarnation
from sageturn.store.store import Store

RANDOM_BITS = 16  # below the milliseconds of the clock, for two that begin at the same time


def next_incarnation(store: Store, rng: Random, previous: int, step: int) -> int:
    """The number of a new incarnation: by the clock, but at least ``step`` above every earlier one.

    ``previous`` is this process's last one; an earlier process's is in the store.
    """
    random_bits = rng.getrandbits(RANDOM_BITS)
    by_clock = int(store.wall_clock() * 1000) << RANDOM_BITS | random_bits
    return max(by_clock, max(stored_incarnation(store), previous) + step)
