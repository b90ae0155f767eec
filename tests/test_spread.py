"""The spread of the store's changes: its pure parts by properties, and fleets in simulated time."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from spread_fleet import Fleet

NAMES = "abcde"
KEYS = ["config/x", "config/y", "overrides/o/1", "config/z", "config/w"]

names = st.sampled_from(NAMES)
STEP = st.one_of(
    st.tuples(st.just("put"), names, st.sampled_from(KEYS), st.integers(0, 9)),
    st.tuples(st.just("delete"), names, st.sampled_from(KEYS)),
    st.tuples(st.just("state"), names, st.integers(0, 9)),
    st.tuples(st.just("bulk"), names, st.integers(1, 60)),
    st.tuples(st.just("link"), names, names),
    st.tuples(st.just("link"), names, names),
    st.tuples(st.just("cut"), names, names),
    st.tuples(st.just("slow"), names, names),
    st.tuples(st.just("again"), names, names),
    st.tuples(st.just("restart"), names, st.booleans()),
    st.tuples(st.just("run"), st.floats(0.0, 2.0)),
    st.tuples(st.just("turns"), st.integers(1, 40)),
)


def play(fleet: Fleet, step: tuple) -> None:  # type: ignore[type-arg]
    what, *words = step
    if what == "put":
        fleet.put(*words)
    elif what == "delete":
        fleet.put(*words, None)
    elif what == "state":
        fleet.put(words[0], f"state/{words[0]}/x", words[1])
    elif what == "bulk":
        for number in range(words[1]):
            fleet.put(words[0], f"config/bulk/{number}", [words[1]] * 20)
    elif what == "slow":
        wire = fleet.wires.get((words[0], words[1]))
        if wire is not None:
            wire.slow.add(words[1])
    elif what == "turns":
        for _ in range(words[0]):
            fleet.turn()
    else:
        getattr(fleet, what)(*words)


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32), st.lists(STEP, min_size=1, max_size=25))
def test_whatever_the_schedule_nothing_older_wins_nothing_is_skipped_and_all_end_equal(
    seed: int, schedule: list[tuple]  # type: ignore[type-arg]
) -> None:
    fleet = Fleet(NAMES, seed)
    for step in schedule:
        play(fleet, step)
        fleet.check()
    before = fleet.newest()
    assert fleet.heal()
    fleet.check()
    after = fleet.newest()
    # Nothing that anybody held when the links came up is lost, and nothing else wins.
    assert {k: r for k, r in after.items() if k in before} == before
    assert all(not r.startswith(("not understood", "unknown")) for r in fleet.refusals)


if __name__ == "__main__":
    random.seed(1)
