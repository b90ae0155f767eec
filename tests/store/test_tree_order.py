"""The global order of members, and each member's preferred parents in the tree."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.overlay_simulation import in_global_order, make_members, tree_crossings

from sageturn.store.replication.membership import Member
from sageturn.store.replication.tree_order import ParentCandidates, preferred_predecessors

FANOUT = 8
MAX_CHILDREN = 4 * FANOUT
MAX_LEVELS = 12


def candidates_of(own: Member, members: list[Member]) -> ParentCandidates:
    candidates = ParentCandidates(own, FANOUT)
    for member in members:
        if member is not own:
            candidates.add(member)
    return candidates


def level_bounds(index: int, fanout: int) -> tuple[int, int]:
    """Return the first index and the end of the level above that of ``index``."""
    starts = [(fanout**level - 1) // (fanout - 1) for level in range(MAX_LEVELS)]
    level = next(level for level in itertools.count() if index < starts[level + 1])
    return starts[level - 1], starts[level]


@given(st.sets(st.text(max_size=6), min_size=1, max_size=90), st.integers(2, 9), st.data())
def test_all_predecessors_are_candidates_and_those_of_the_level_above_come_first(
    names: set[str], fanout: int, data: st.DataObject
) -> None:
    ordered = sorted(names)
    index = data.draw(st.integers(0, len(ordered) - 1))
    preferred = preferred_predecessors(ordered, index, fanout)
    assert sorted(preferred) == ordered[:index]
    if index:
        first, end = level_bounds(index, fanout)
        assert set(preferred[: end - first]) == set(ordered[first:end])


members_drawn = st.lists(
    st.builds(
        lambda number, region, zone: Member(f"m{number}", ("10.0.0.1", number), f"r{region}", f"z{zone}", 1),
        st.integers(1, 500),
        st.integers(0, 3),
        st.integers(0, 6),
    ),
    unique_by=lambda member: member.name,
    min_size=1,
    max_size=60,
)


@settings(max_examples=60)
@given(members_drawn, st.randoms(use_true_random=False))
def test_the_preferred_parents_form_one_tree_with_one_link_into_each_zone(
    members: list[Member], rng: Random
) -> None:
    ordered = in_global_order(members)
    parents: list[tuple[Member, Member]] = []
    for own in members:
        others = [member for member in members if member is not own]
        candidates = candidates_of(own, rng.sample(others, len(others)))
        for member in rng.sample(others, len(others) // 3):  # members that are removed and added again
            candidates.remove(member)
            candidates.add(member)
        preferred = list(candidates.by_preference())
        predecessors = {member.name for member in ordered[: ordered.index(own)]}
        assert set(preferred) == predecessors and len(preferred) == len(predecessors)
        assert set(candidates.search_order()) <= predecessors
        assert not predecessors or next(candidates.search_order()) == preferred[0]
        if preferred:
            parents.append((own, next(member for member in members if member.name == preferred[0])))
    # Each member but the first has one link to a member before it, so the links form a tree without cycles.
    assert len(parents) == len(members) - 1
    crossing = [
        (child, parent)
        for child, parent in parents
        if (child.region, child.zone) != (parent.region, parent.zone)
    ]
    between_regions = sum(child.region != parent.region for child, parent in crossing)
    assert (len(crossing), between_regions) == tree_crossings(members)


@pytest.mark.parametrize(
    ("count", "regions", "zones"), [(460, 2, 5), (920, 2, 5), (300, 1, 300), (200, 60, 60)]
)
def test_no_member_has_more_children_than_the_bound(count: int, regions: int, zones: int) -> None:
    members = make_members(count, regions, zones)
    children: Counter[str] = Counter()
    for own in members:
        parent = next(candidates_of(own, members).by_preference(), None)
        if parent is not None:
            children[parent] += 1
    assert max(children.values()) <= MAX_CHILDREN


def test_a_new_member_changes_few_parents() -> None:
    # With the parents of a heap, (index - 1) // fanout, it would change a tenth of the parents in its zone on
    # average, and up to 80 of 92.
    members = make_members(93, 1, 1)

    def parents(some: list[Member], choose: Callable[[list[str], int], str]) -> dict[str, str]:
        names = [member.name for member in in_global_order(some)]
        return {name: choose(names, index) for index, name in enumerate(names) if index}

    def changed_by_each(choose: Callable[[list[str], int], str]) -> list[int]:
        complete = parents(members, choose)
        changed = []
        for missing in members:
            without = parents([member for member in members if member is not missing], choose)
            changed.append(sum(complete.get(name) != parent for name, parent in without.items()))
        return changed

    ours = changed_by_each(lambda names, index: preferred_predecessors(names, index, FANOUT)[0])
    heap = changed_by_each(lambda names, index: names[(index - 1) // FANOUT])
    assert sum(ours) * 3 < sum(heap) and max(ours) * 3 < max(heap)
