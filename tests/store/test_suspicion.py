"""Suspected members: the backoff of an address after failures, lost links and rejections."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from sageturn.store.replication.dial_table import DialTable
from sageturn.store.replication.suspicion import (
    FLAP_THRESHOLD,
    MAX_FLAP_BACKOFF_S,
    MAX_REJECTED_BACKOFF_S,
    MAX_RETRY_BACKOFF_S,
    MAX_URGENT_BACKOFF_S,
    SUSPICION_TTL_S,
    SuspicionTable,
)

ADDRESS = ("10.0.0.1", 7000)


@pytest.mark.parametrize(
    ("failures", "max_backoff_s"), [(1, 1.0), (2, 2.0), (5, 16.0), (9, MAX_RETRY_BACKOFF_S)]
)
def test_the_backoff_doubles_with_each_failure_up_to_its_maximum(failures: int, max_backoff_s: float) -> None:
    table = SuspicionTable(Random(1))
    for _ in range(failures):
        table.record_failure(ADDRESS, 0.0)
    assert table.has_failed(ADDRESS)
    assert not table.may_dial(ADDRESS, max_backoff_s / 2 - 0.01)
    assert table.may_dial(ADDRESS, max_backoff_s)


def test_a_rejection_is_not_a_failure_but_has_a_backoff() -> None:
    table = SuspicionTable(Random(1))
    for _ in range(20):
        table.record_rejection(ADDRESS, 0.0)
    assert not table.has_failed(ADDRESS)
    assert not table.may_dial(ADDRESS, MAX_REJECTED_BACKOFF_S / 2 - 0.01)
    assert table.may_dial(ADDRESS, MAX_REJECTED_BACKOFF_S * 1.5)


def test_a_new_incarnation_is_dialed_at_once_unless_its_member_is_flapping() -> None:
    table = SuspicionTable(Random(1))
    for losses in range(1, FLAP_THRESHOLD + 1):
        table.record_failure(ADDRESS, 0.0, link_lost=True)
        table.on_member_started(ADDRESS)
        assert table.may_dial(ADDRESS, 0.0) == (losses < FLAP_THRESHOLD)
    assert table.may_dial(ADDRESS, MAX_FLAP_BACKOFF_S)


def test_an_urgent_dial_has_a_shorter_backoff_unless_the_member_is_flapping() -> None:
    table = SuspicionTable(Random(1))
    for _ in range(10):
        table.record_failure(ADDRESS, 0.0)
    assert not table.may_dial(ADDRESS, MAX_URGENT_BACKOFF_S)
    assert not table.may_dial(ADDRESS, MAX_URGENT_BACKOFF_S - 0.01, urgent=True)
    assert table.may_dial(ADDRESS, MAX_URGENT_BACKOFF_S, urgent=True)
    for _ in range(FLAP_THRESHOLD):
        table.record_failure(ADDRESS, 0.0, link_lost=True)
    assert not table.may_dial(ADDRESS, MAX_URGENT_BACKOFF_S, urgent=True)


def test_suspicions_expire() -> None:
    table = SuspicionTable(Random(1))
    table.record_failure(ADDRESS, 0.0)
    table.drop_expired(SUSPICION_TTL_S)
    assert len(table) == 1
    assert table.may_dial(ADDRESS, SUSPICION_TTL_S + 0.01)
    assert len(table) == 0 and not table.has_failed(ADDRESS)


def test_a_member_whose_suspicion_has_expired_counts_as_untried_at_once() -> None:
    # Guards against a member that still counts as failed in the very call that drops its expired suspicion.
    table = SuspicionTable(Random(1))
    table.record_failure(ADDRESS, 0.0)
    members: Any = SimpleNamespace(
        own=SimpleNamespace(address=("10.0.0.2", 7000)),
        other_members={"a": SimpleNamespace(address=ADDRESS)},
        parent_candidates=SimpleNamespace(search_order=lambda: ["a"]),
        names_by_address={ADDRESS: "a"},
    )
    dials = DialTable([], members, cast(Any, {}), table)
    assert dials.next_untried(1.0) is None
    assert dials.next_untried(SUSPICION_TTL_S + 1.0) == ADDRESS
