"""The decision module's actions on simulated days, compared with recorded hashes.

A refactoring must leave every hash unchanged. An intended change of behaviour replaces them by those that
the failing tests print, and gives the reason. The interpreter's seed for the hashes of strings differs from
run to run, so each run also checks that the order of sets does not matter.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import fields
from functools import cache
from typing import get_args

import pytest
from support.decision_codes import ACTION_CODES, EVENT_CODES, canonical_step, canonical_value
from support.decision_days import Record, simulate_day
from support.decision_variants import VARIANTS, Variant

from sageturn import decision

MIN_EVENTS = 100_000

DIGESTS = {
    "lone relay without tenants": "ae83b6f105e2c9273aee3fb708def3045724d4fc3e6d099ac65dc9a0d45e1547",
    "priced zones, quotas, loads only": "62d0daf89c45e00761d2b131a25f249aa10cc92fcee7d849295f4f3daa70cac8",
    "many relays, rough weights": "acdb49c9991eec430ad3f1abf1aafeae33aa225d7ca799587d4ba51d8ba8ea9d",
    "probes at a price, groups in zones": "25955649debf1f96340da1b483b8a83a871f5491db16a9e8a5f73f5016047bb5",
    "groups, delays told, pins": "b0ed56ca62a680a653c026bb257874dd7313ebb024b4b15d8a9bcad859bebb57",
    "scarce servers, dear moves": "dc16ebe71ce7196ab791838cff46ca25317ed2852ccf63800216a7a73594cc67",
    "few relays, loads, cold budgets": "9f43035ba90dfe190f30d432bbe6444c6d48bf7aedcaaee0a83d59e6d88a2822",
    "probes free, by processor use": "77c8a5e6e08e5aa7556cb733b68cd75c347507ffab226a15520d7d40cd955d06",
    "many relays, delays told": "ed2e8600cc4ae64b6f46ee2fe36a137d6fb587bed8171a828db77bf4741ee801",
    "a calm fleet and many small groups": "91d70088674185a7bc19ee356a2c35c001082c0b754ed437a7867bf09e512e47",
}

OUTCOME_STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot")
DETAILS = {
    *(f"outcome {status}" for status in OUTCOME_STATUSES),
    *(f"list {kind}" for kind in ("stale", "full", "changes")),
    *(f"list failed {failure.name.lower()}" for failure in decision.DiscoveryFailure),
    *(f"note {kind}" for kind in ("load", "delay")),
    *(f"probed {status}" for status in ("ok", "refused", "timeout")),
}


@cache
def record_of(variant: Variant) -> Record:
    return simulate_day(variant)


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_actions_are_those_of_the_recorded_code(variant: Variant) -> None:
    assert record_of(variant).digest == DIGESTS[variant.name]


def test_each_recorded_variant_is_simulated_once() -> None:
    assert sorted(variant.name for variant in VARIANTS) == sorted(DIGESTS)


def test_every_kind_of_event_and_action_occurs() -> None:
    events: Counter[str] = Counter()
    details: Counter[str] = Counter()
    actions: Counter[str] = Counter()
    for record in map(record_of, VARIANTS):
        events += record.events
        details += record.details
        actions += record.actions
    assert events.total() >= MIN_EVENTS
    assert set(events) == set(EVENT_CODES.values())
    assert set(actions) == {code for code, _ in ACTION_CODES.values()}
    assert set(details) >= DETAILS


def test_the_codes_cover_the_interface() -> None:
    assert set(EVENT_CODES) == set(get_args(decision.Event))
    assert set(ACTION_CODES) == set(get_args(decision.Action))
    assert len(set(EVENT_CODES.values())) == len(EVENT_CODES)
    for action, (_, names) in ACTION_CODES.items():
        assert sorted(names) == sorted(field.name for field in fields(action))


def test_numbers_are_distinguished_down_to_the_ninth_digit() -> None:
    assert canonical_value(123.456789) != canonical_value(123.456788)
    assert canonical_value(123.456789) == canonical_value(123.4567890001)


def test_a_step_is_written_by_codes_in_order() -> None:
    actions: list[decision.Action] = [
        decision.PlaceRequest(7, "a", 250.0),
        decision.WatchEndpoints(),
        decision.RejectRequest(8, 100.5),
    ]
    line = canonical_step(12.5, decision.TimerFired("watch"), actions)
    assert line == "12.5 timer -> send(7,'a',250) watch() refuse(8,100.5)\n"
