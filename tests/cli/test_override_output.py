"""Output of the override commands, read from a store."""

from __future__ import annotations

import pytest
from support.override_records import (
    HOUR_MS,
    START_MS,
    make_extension,
    make_operation,
    make_out_of_service,
    make_revocation,
    make_signed_record,
)
from support.override_registry import RegistryDriver

from sageturn.cli.override_output import (
    collect_details,
    history_rows,
    print_details,
    print_history,
)
from sageturn.cli.override_view import OverrideView
from sageturn.overrides.operations import OverrideOperation
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.relay_state import encode_relay_state
from sageturn.store.store import Store


def make_store(*operations: OverrideOperation, now_ms: float = START_MS) -> Store:
    """Return a store with these operations, and with the state that relay n1 reports at ``now_ms``."""
    driver = RegistryDriver(safety_limits=SafetyLimits(0.5, 0.5, 0.0))
    store = Store("n1")
    for operation in operations:
        driver.apply(operation)
        store.put(*make_signed_record(operation))
    driver.advance_to(now_ms)
    store.put("state/n1/overrides", encode_relay_state(driver.registry, now_ms))
    return store


def test_the_history_ends_with_the_expiry(capsys: pytest.CaptureFixture[str]) -> None:
    now_ms = START_MS + 3 * HOUR_MS
    store = make_store(
        make_operation("o1", make_out_of_service("a")),
        make_extension("o1", revision=2, expires_at_ms=START_MS + 2 * HOUR_MS, operator="mai"),
        now_ms=now_ms,
    )
    rows = history_rows(OverrideView(store, now_ms), "o1")
    assert [row.to_json() for row in rows][1:] == [
        {
            "revision": 2,
            "word": "extend",
            "at": "2027-01-15 08:00:00Z",
            "operator": "mai",
            "until": "2027-01-15 10:00:00Z",
            "why": "test",
            "refused": "",
        },
        {
            "revision": 2,
            "word": "lapse",
            "at": "2027-01-15 10:00:00Z",
            "operator": "",
            "until": "",
            "why": "",
            "refused": "",
        },
    ]
    print_history(rows)
    header, *lines = capsys.readouterr().out.splitlines()
    assert header.split() == ["revision", "word", "at", "operator", "until", "why", "refused"]
    assert [line.split()[1] for line in lines if line.strip()] == ["set", "extend", "lapse"]


def test_a_revoked_override_does_not_expire_in_its_history() -> None:
    store = make_store(make_operation("o1", make_out_of_service("a")), make_revocation("o1", revision=2))
    rows = history_rows(OverrideView(store, START_MS + 3 * HOUR_MS), "o1")
    assert [row.event for row in rows] == ["set", "revoke"]
    assert rows[1].expires == ""


def test_details_show_the_suspension_at_each_relay(capsys: pytest.CaptureFixture[str]) -> None:
    store = make_store(
        make_operation("o1", make_out_of_service("a")),
        make_operation("o2", make_out_of_service("b"), created_at_ms=START_MS + 1),
    )
    view = OverrideView(store, START_MS)
    details = collect_details(view, view.get_override("o2"))
    assert details.status_by_relay == {"n1": "suspended"}
    reason = "would leave 0.0 of 2.0 in zone z1, under its floor of 50%"
    assert details.to_json()["suspended"] == {"n1": reason}
    print_details(details)
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "id         o2" and lines[-2] == "relays     {'n1': 'suspended'}"
