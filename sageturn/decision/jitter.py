"""Jitter, which desynchronizes the relays of a fleet."""

from __future__ import annotations

from random import Random

MIN_FACTOR = 0.75
SPREAD = 0.5


def jitter_factor(rng: Random) -> float:
    """Return a random factor, uniform from 0.75 to 1.25."""
    return MIN_FACTOR + SPREAD * rng.random()
