"""Handling of malformed and of unexpected frames by a replication session."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from support.replication_fleet import SeedDialer

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.keep_alive import HEARTBEAT_INTERVAL_S
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import RejectReason
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.wire import decode, encode
from sageturn.store.store import Store

WALL_CLOCK_S = 1_800_000_000.0
PEER = "a"
STEP_S = 0.1


class SessionUnderTest:
    """Replica b with a session to replica a; ``receive`` handles a frame of a as the session driver does."""

    def __init__(self, is_ephemeral: bool = False, steps: int = 12) -> None:
        self.now = 1000.0
        self.peer = self._make_replica(PEER)
        self.replica = self._make_replica("b", is_ephemeral)
        self._peer_session = self.peer.open_session("b", self.now)
        self.session = self.replica.open_session(PEER, self.now, ("127.0.0.1", 9))
        for _ in range(steps):
            self._step()

    def _make_replica(self, name: str, is_ephemeral: bool = False) -> Replica:
        store = Store(name, wall_clock=lambda: WALL_CLOCK_S + self.now)
        store.put(f"config/{name}", 1)
        store.set_last_in_sync(WALL_CLOCK_S)
        location = None if is_ephemeral else ReplicaLocation(("127.0.0.1", 1), "r", name)
        return Replica(store, random.Random(name), self.now, location, make_topology=SeedDialer)

    def _step(self) -> None:
        self.now += STEP_S
        self._deliver(self.session, self._peer_session)
        self._deliver(self._peer_session, self.session)

    def _deliver(self, sender: ReplicationSession, receiver: ReplicationSession) -> None:
        payload = sender.next_payload(self.now)
        if payload is not None:
            receiver.receive(payload, self.now)

    def send_unacknowledged_change(self) -> int:
        """Send the peer one change that it does not acknowledge. Return the change's revision."""
        self.replica.store.put("config/unacknowledged", 1)
        self.now += HEARTBEAT_INTERVAL_S
        while self.session.next_payload(self.now) is not None:
            pass
        assert self.session.change_exchange.chunks_in_flight == 1
        return self.replica.records.changes.heads[0]

    def receive(self, message: dict[str, Any]) -> SessionRejectedError | None:
        try:
            self.session.receive(encode(message), self.now)
        except SessionRejectedError as rejection:
            self.session.close(str(rejection), self.session.closing.code)
            return rejection
        return None

    def reply(self) -> dict[str, Any] | None:
        payload = self.session.next_payload(self.now)
        return None if payload is None else decode(payload)

    def heartbeat(self, **changed: Any) -> dict[str, Any]:
        """Return a heartbeat that the session accepts, except for the fields that are given."""
        heads = self.replica.records.changes.heads
        parts: dict[str, Any] = {
            "heads": self.peer.records.changes.heads,
            "roots": self.peer.records.changes.roots,
            "skipped": [[cursor.live, cursor.live] for cursor in self.session.change_exchange.cursors],
            "acknowledged": [[0, heads[0]], [0, heads[1]]],
            "floor": 77,
            "recently_in_sync": True,
            "zone_ages": {"r/far": 3.0},
            "route": ["ab", 1, 2, False, 4],
        }
        assert changed.keys() <= parts.keys()
        return {"beat": list({**parts, **changed}.values())}

    @property
    def tombstone_floor(self) -> int:
        return self.replica.store.replica_state.tombstone_floor


@pytest.fixture
def established() -> SessionUnderTest:
    return SessionUnderTest()


@pytest.fixture
def ephemeral() -> SessionUnderTest:
    return SessionUnderTest(is_ephemeral=True)


# ---------------------------------------------------------------- a second hello


@pytest.mark.parametrize("body", [{"protocol": 3}, {"protocol": 2}, {}, 7, None])
def test_a_second_hello_is_a_fault_whatever_it_says(established: SessionUnderTest, body: Any) -> None:
    established.receive({"hello": body})
    assert established.session.closing.code == CloseCode.FAULT
    assert established.reply() == {"bye": ["fault", "greeted twice", []]}


# ---------------------------------------------------------------- a bye without alternatives


@pytest.mark.parametrize("extra_fields", [[], [None], [3]])
@pytest.mark.parametrize("code", ["orderly", "removed", "made up"])
def test_a_bye_without_a_list_of_alternatives_ends_the_session_and_is_not_answered(
    established: SessionUnderTest, code: str, extra_fields: list[Any]
) -> None:
    rejection = established.receive({"bye": [code, "not any more", *extra_fields]})
    assert rejection is not None and str(rejection).startswith("not understood")
    session = established.session
    assert (session.closing.peer_code, session.closing.peer_detail) == (code, "not any more")
    assert established.reply() is None
    assert session.closing.was_orderly == (code == "orderly")
    established.replica.on_session_closed(session, established.now)
    was_removed = established.replica.store.replica_state.last_in_sync is None
    assert was_removed == (code == "removed")


def test_a_topology_that_rejects_a_dial_is_understood_without_a_list_of_alternatives() -> None:
    dialing = SessionUnderTest(steps=0)
    assert dialing.receive({"bye": [RejectReason.FULL, "not here: full"]}) is not None
    assert dialing.session.closing.peer_bye is not None
    rejection = dialing.session.closing.peer_bye.link_rejection()
    assert rejection is not None
    assert (rejection.reason, rejection.alternatives) == (RejectReason.FULL, ())


@pytest.mark.parametrize("body", [[], ["orderly"], {}, None, 5])
def test_a_bye_without_a_reason_is_a_fault_and_is_answered(established: SessionUnderTest, body: Any) -> None:
    assert established.receive({"bye": body}) is not None
    assert established.session.closing.peer_detail == ""
    reply = established.reply()
    assert reply is not None and reply["bye"][0] == "fault"


def test_a_bye_with_an_empty_text_ends_the_session_too(established: SessionUnderTest) -> None:
    # Such a bye was ignored: the link stayed open, and messages were sent until the peer closed it.
    assert established.receive({"bye": ["orderly", "", []]}) is None
    assert established.session.closing.is_output_finished
    assert established.session.closing.peer_detail == "no reason given"
    assert established.reply() is None


# ---------------------------------------------------------------- numbers of another type


@pytest.mark.parametrize("position", [["0", 0], [0, 0.0], [0, True], [-2, 0], [0, -1]])
def test_a_position_that_is_no_count_is_rejected_as_that(
    established: SessionUnderTest, position: list[Any]
) -> None:
    established.send_unacknowledged_change()
    assert "no count" in str(established.receive({"ack": [position, position]}))
    assert established.session.change_exchange.chunks_in_flight == 1


def test_a_skipped_range_that_is_no_count_is_rejected_as_that(established: SessionUnderTest) -> None:
    cursors = established.session.change_exchange.cursors
    skipped = [[float(cursor.live), cursor.live] for cursor in cursors]
    assert "no count" in str(established.receive(established.heartbeat(skipped=skipped)))


def test_a_class_number_with_a_fraction_is_a_fault_of_the_peer(established: SessionUnderTest) -> None:
    # 0.0 was accepted as class 0, and an exception while building the response ended the link.
    assert "no count" in str(established.receive({"ask": [[0.0, 0, 0]]}))
    reply = established.reply()
    assert reply is not None and reply["bye"][0] == "fault"


# ---------------------------------------------------------------- malformed heartbeats


def test_the_heartbeat_that_these_tests_change_is_accepted(established: SessionUnderTest) -> None:
    assert established.receive(established.heartbeat()) is None
    assert established.tombstone_floor == 77
    assert "r/far" in established.replica.zones.last_heard_at


@pytest.mark.parametrize(
    "changed",
    [
        {"floor": -1},
        {"zone_ages": {"r/far": "old"}},
        {"route": [1, 2]},
        {"skipped": [[10**6, 10**6], [0, 0]]},
        {"skipped": [["x"], 5]},
    ],
)
def test_the_parts_before_a_malformed_part_of_a_heartbeat_are_applied(
    established: SessionUnderTest, changed: dict[str, Any]
) -> None:
    established.send_unacknowledged_change()
    assert established.session.peer_recently_in_sync
    rejection = established.receive(established.heartbeat(recently_in_sync=False, **changed))
    assert rejection is not None
    assert established.session.change_exchange.chunks_in_flight == 0
    assert not established.session.peer_recently_in_sync
    assert established.tombstone_floor == (0 if "floor" in changed else 77)
    zones_applied = "floor" not in changed and "zone_ages" not in changed
    assert ("r/far" in established.replica.zones.last_heard_at) == zones_applied


def test_zone_ages_before_a_malformed_one_are_applied(established: SessionUnderTest) -> None:
    ages = {"r/near": 1.0, "r/bad": -1.0, "r/far": 2.0}
    rejection = established.receive(established.heartbeat(zone_ages=ages))
    assert str(rejection) == "no age"
    last_heard_at = established.replica.zones.last_heard_at
    assert "r/near" in last_heard_at and "r/bad" not in last_heard_at and "r/far" not in last_heard_at


@pytest.mark.parametrize("changed", [{"heads": [1]}, {"roots": None}, {"zone_ages": []}])
def test_a_heartbeat_without_heads_roots_or_zones_applies_nothing(
    established: SessionUnderTest, changed: dict[str, Any]
) -> None:
    established.send_unacknowledged_change()
    assert established.receive(established.heartbeat(**changed)) is not None
    assert established.session.change_exchange.chunks_in_flight == 1
    assert established.tombstone_floor == 0


def test_positions_before_a_malformed_acknowledgement_are_applied(established: SessionUnderTest) -> None:
    revision = established.send_unacknowledged_change()
    rejection = established.receive({"ack": [[0, revision], "x"]})
    assert str(rejection).startswith("not understood: ValueError")
    assert established.session.change_exchange.is_delivered


@pytest.mark.parametrize("changed", [{"floor": -1}, {"zone_ages": {"r/far": "old"}}, {"route": 5}])
def test_an_ephemeral_client_does_not_read_what_concerns_members(
    ephemeral: SessionUnderTest, changed: dict[str, Any]
) -> None:
    assert ephemeral.receive(ephemeral.heartbeat(**changed)) is None
    assert ephemeral.tombstone_floor == 0
    assert ephemeral.replica.zones.last_heard_at == {}


# ---------------------------------------------------------------- two faults in one frame


@pytest.mark.parametrize(
    ("message", "text"),
    [
        ({"follow": "x"}, "follows twice"),
        ({"changes": [1.0, 0, 1, 2, []]}, "not understood: TypeError list indices must be integers"),
        ({"changes": [0, 0, 10**6, 10**6 + 1, "x"]}, "out of order: changes from 1000000 to 1000001"),
        ({"nodes": [1, ["x"]]}, "an answer that nobody asked for"),
        ({"nodes": [1, []]}, "an answer that nobody asked for"),
        ({"give": [-1, [5]]}, "no record"),
        ({"beat": [[1], [1], None, None, -1, True, [], None]}, "not so many lanes"),
    ],
)
def test_the_first_fault_of_a_frame_is_the_one_that_is_named(
    established: SessionUnderTest, message: dict[str, Any], text: str
) -> None:
    assert text in str(established.receive(message))
    reply = established.reply()
    assert reply is not None and text in reply["bye"][1]


@pytest.mark.parametrize("second", [{"ask": 5}, {"get": [1]}])
def test_a_request_before_the_answer_is_rejected_as_that(
    established: SessionUnderTest, second: dict[str, Any]
) -> None:
    assert established.receive({"get": ["config/a"]}) is None
    assert str(established.receive(second)) == "asked before the answer"


@pytest.mark.parametrize("message", [{"ack": 5}, {"changes": [7, 7, "x", "y", 5]}])
def test_chunks_and_acknowledgements_before_a_follow_are_rejected_as_that(message: dict[str, Any]) -> None:
    session_after_hello = SessionUnderTest(steps=1)
    assert session_after_hello.session.peer_hello is not None
    rejection = session_after_hello.receive(message)
    assert str(rejection) in ("acknowledged what was never sent", "changes that nobody asked for")


def test_every_kind_is_sent_under_its_name_as_a_plain_json_key(established: SessionUnderTest) -> None:
    established.session.close("done", CloseCode.ORDERLY)
    payload = established.session.next_payload(established.now)
    assert payload is not None
    assert json.loads(payload) == {"bye": ["orderly", "done", []]}
