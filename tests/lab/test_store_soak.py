"""The soak of the replicated store: what it expects, and two short runs of real processes."""

from __future__ import annotations

import pytest

from sageturn.lab.store_soak.expectations import Expectations
from sageturn.lab.store_soak.soak import play

SECONDS = 30.0


def test_only_the_last_acknowledged_write_and_later_unknown_ones_are_allowed() -> None:
    expectations = Expectations()
    expectations.on_acknowledged("k", 1)
    expectations.on_unknown("k", 2)
    assert not expectations.violations("m0", {"k": 1}) and not expectations.violations("m0", {"k": 2})
    expectations.on_acknowledged("k", 3)
    assert not expectations.violations("m0", {"k": 3})
    (violation,) = expectations.violations("m0", {"k": 2})
    assert violation == "m0: k is 2, acknowledged was 3 (unknown: [])"
    assert expectations.violations("m0", {"k": None})
    expectations.on_acknowledged("k", None)
    assert not expectations.violations("m0", {"k": None}) and expectations.violations("m0", {"k": 3})


@pytest.mark.timeout(200)
@pytest.mark.parametrize("seed", [1, 2])  # with disks; all in memory
async def test_no_acknowledged_write_is_lost_while_members_are_killed_and_suspended(seed: int) -> None:
    report = await play(seed, SECONDS)
    assert not report.violations, str(report)
    assert report.acknowledged > 0 and report.kills > 0 and report.suspensions > 0, str(report)
