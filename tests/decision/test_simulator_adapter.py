"""The simulator adapter: replies on standard output, and one line on standard error for invalid input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from sageturn.decision import Action, DiscoveryFailure, EndpointListEvent, Event, SetTimer, WatchEndpoints
from sageturn.simhost import SimulatorLink, WireError

CONF = {
    "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 5.0}],
    "classes": [{"name": "c", "aimMs": 500.0, "hardLimitMs": 2000.0, "semantics": "safe"}],
    "familyInfo": {"groups": False, "messageAimMs": [60.0], "tenantQuotaConnections": [40.0]},
    "groupSize": 2,
    "guarantees": {"fallMs": 2000.0, "fallMultiple": 3.0, "startCapacity": 0.3, "warmWithinMs": 9000.0},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "cancel": True, "notYetKnown": {"a": 1}},
    "addedLater": 7,
}
LIST = {
    "mode": "C",
    "seqNo": 1,
    "nodesList": [{"backend": name, "condition": "Ready", "dc": "z", "cohort": 0} for name in "ab"],
}


def batch(*events: dict[str, Any], instance: int = 0, now: float = 0.0) -> bytes:
    return json.dumps({"momentMs": now, "groups": [{"i": instance, "events": list(events)}]}).encode()


def enlist(instance: int = 0) -> bytes:
    return batch({"Enlist": {"entropy": 5, "conf": CONF}}, {"Fleet": LIST}, instance=instance)


def inbound(number: int) -> dict[str, Any]:
    return {"Inbound": {"opId": number, "cls": "c", "party": 0, "giveUpAtMs": 2000.0, "room": None}}


def returned(number: int, backend: str, state: str, terminal: bool) -> dict[str, Any]:
    fields = {"opId": number, "terminal": terminal, "stateCode": state, "backend": backend, "n": 0}
    return {"Returned": fields}


def actions(reply: bytes) -> list[dict[str, Any]]:
    return [action for group in json.loads(reply)["groups"] for action in group["actions"]]


def test_a_request_is_relayed_and_every_event_is_taken() -> None:
    link = SimulatorLink()
    assert actions(link.handle_line(enlist())) == []
    (relay,) = actions(link.handle_line(batch(inbound(1))))
    endpoint = relay["Relay"]["backend"]
    events_of_all_kinds = (
        {"Started": {"opId": 1, "timeTakenMs": 5.0, "n": 0, "backend": endpoint}},
        {"UpdateOf": {"opId": 1, "kind": 1, "n": 0, "backend": endpoint, "value": 900.0}},
        {"UpdateOf": {"opId": 1, "kind": 2, "n": 0, "backend": endpoint, "value": 9.0}},
        {"Wake": {"mark": "watch"}},
        {"Whisper": {"from": 1, "blob": ""}},
        {"Checked": {"backend": endpoint, "stateCode": "pass", "timeTakenMs": 1.0, "report": None}},
        {"Inherited": {"opId": 2, "cls": "c", "party": "t", "backend": "a", "giveUpAtMs": 9.0}},
        {"ClientLeft": {"opId": 77}},
        returned(1, endpoint, "pass", True),
    )
    assert actions(link.handle_line(batch(*events_of_all_kinds))) == [{"Observe": {"active": True}}]


@pytest.mark.parametrize("state", ["fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"])
def test_every_outcome_leads_to_a_retry(state: str) -> None:
    link = SimulatorLink()
    link.handle_line(enlist())
    (relay,) = actions(link.handle_line(batch(inbound(1))))
    (again,) = actions(link.handle_line(batch(returned(1, relay["Relay"]["backend"], state, False))))
    assert again["Relay"]["backend"] != relay["Relay"]["backend"]


def test_a_killed_instance_starts_anew_in_the_same_batch() -> None:
    link = SimulatorLink()
    link.handle_line(enlist())
    link.handle_line(batch(inbound(1)))
    both = batch({"Teardown": {}}, {"Enlist": {"entropy": 6, "conf": CONF}}, {"Fleet": LIST}, inbound(2))
    assert [action["Relay"]["opId"] for action in actions(link.handle_line(both))] == [2]
    assert actions(link.handle_line(batch(returned(1, "a", "cut", False)))) == []


def test_instances_share_nothing() -> None:
    alone, both = SimulatorLink(), SimulatorLink()
    alone.handle_line(enlist(3))
    for instance in (1, 3):
        both.handle_line(enlist(instance))
    for number in range(1, 30):
        both.handle_line(batch(inbound(number + 100), instance=1))
        assert both.handle_line(batch(inbound(number), instance=3)) == alone.handle_line(
            batch(inbound(number), instance=3)
        )


@pytest.mark.parametrize(
    ("line", "says"),
    [
        (b"{nonsense", "not JSON"),
        (b"[]", "batch"),
        (b'{"groups":[]}', "momentMs"),
        (batch({"Surprise": {}}), "unknown event Surprise"),
        (batch(inbound(1), instance=9), "never enlisted"),
        (batch({"Inbound": {"cls": "c"}}), "opId"),
        (batch({"Fleet": {"mode": "Q", "nodesList": []}}), "Q"),
        (batch({"Enlist": {"entropy": 1, "conf": {**CONF, "groupSize": 0}}}), "groupSize: must be from 1"),
    ],
)
def test_bad_input_is_named(line: bytes, says: str) -> None:
    link = SimulatorLink()
    link.handle_line(enlist())
    with pytest.raises(WireError, match=says):
        link.handle_line(line)


def test_the_process_ends_plainly() -> None:
    command = [sys.executable, "-m", "sageturn.simhost"]
    good = subprocess.run(command, input=enlist() + b"\n", capture_output=True, check=False)
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"groups":[]}\n', b"")
    bad = subprocess.run(command, input=b"{nonsense\n", capture_output=True, check=False)
    assert bad.returncode != 0 and bad.stdout == b""
    assert bad.stderr.count(b"\n") == 1 and b"Traceback" not in bad.stderr


def test_a_failed_call_is_classified_by_its_duration() -> None:
    # The wire states only that a call failed. A call that waited was queued, so discovery is overloaded; a
    # call that had been answered was a watch.
    link, failures = SimulatorLink(), list[DiscoveryFailure]()
    link.handle_line(enlist())

    class WatchingBalancer:
        def handle(self, now_ms: float, event: Event) -> list[Action]:
            if isinstance(event, EndpointListEvent):
                failures.append(event.failure)
                return [SetTimer(1.0, "watch")]
            return [WatchEndpoints()]

    link.instances[0] = WatchingBalancer()  # type: ignore[assignment]
    wake, failed = {"Wake": {"mark": "watch"}}, {"Fleet": {"mode": "X", "nodesList": None}}
    listed = {"Fleet": {**LIST, "mode": "D"}}
    for event, now in ((wake, 0), (failed, 5), (wake, 100), (failed, 3100), (wake, 4000), (listed, 4100)):
        link.handle_line(batch(event, now=float(now)))
    failures.pop()  # the list's event has a failure as well
    link.handle_line(batch(failed, now=9000.0))
    assert failures == [DiscoveryFailure.UNREACHED, DiscoveryFailure.OVERLOADED, DiscoveryFailure.LOST]
