"""Helpers of the cost measurements: the processor time of a call, and stores of a given size."""

from __future__ import annotations

import time
from collections.abc import Callable

from sageturn.lab.scale.members import preload
from sageturn.store.store import Store

DEFAULT_REPEATS = 5


def min_cpu_s(call: Callable[[], object], repeats: int = DEFAULT_REPEATS) -> float:
    """Run ``call`` ``repeats`` times and return the lowest processor time of a single call, in seconds."""
    durations_s = []
    for _ in range(repeats):
        began_s = time.process_time()
        call()
        durations_s.append(time.process_time() - began_s)
    return min(durations_s)


def make_store(key_count: int) -> Store:
    """Return an in-memory store with ``key_count`` preloaded records."""
    store = Store("r0001")
    store.merge(preload(key_count))
    return store
