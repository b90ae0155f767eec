"""The spread of the store's changes: its pure parts by properties, and fleets in simulated time."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.replication_fleet import Fleet, settled

from sageturn.store.errors import InvalidRecordError, SessionRejected
from sageturn.store.records import StoreRecord, parse_record, record_digest, supersedes
from sageturn.store.replication.backoff import Backoff
from sageturn.store.replication.byte_budget import ByteBudget
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.merkle_tree import DEPTH, FANOUT, MerkleTree
from sageturn.store.replication.send_allowance import MAX_CHUNK_BYTES
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.wire import PROTOCOL_VERSION, decode, encode
from sageturn.store.store import Store

NAMES = "abcde"
KEYS = ["config/x", "config/y", "overrides/o/1", "config/z", "config/w"]
Schedule = list[tuple[Any, ...]]

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
    st.tuples(st.just("swap"), names, names),
    st.tuples(st.just("restart"), names, st.booleans()),
    st.tuples(st.just("run"), st.floats(0.0, 2.0)),
    st.tuples(st.just("turns"), st.integers(1, 40)),
)


def play(fleet: Fleet, step: tuple[Any, ...]) -> None:
    what, *words = step
    if what == "delete":
        fleet.put(words[0], words[1], None)
    elif what == "state":
        fleet.put(words[0], f"state/{words[0]}/x", words[1])
    elif what == "bulk":
        for number in range(words[1]):
            fleet.put(words[0], f"config/bulk/{number}", [words[1]] * 20)
    elif what == "turns":
        for _ in range(words[0]):
            fleet.turn()
    else:
        getattr(fleet, what)(*words)


SEEDED = settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


@SEEDED
@given(st.integers(0, 2**32), st.sampled_from([8192.0, 27_000.0]), st.lists(STEP, min_size=1, max_size=25))
def test_whatever_the_schedule_nothing_older_wins_nothing_is_skipped_and_all_end_equal(
    seed: int, rate: float, schedule: Schedule
) -> None:
    fleet = Fleet(NAMES, seed, rate)
    for step in schedule:
        play(fleet, step)
        fleet.check()
    before = fleet.newest()
    assert fleet.heal()
    fleet.check()
    # Nothing that anybody held when the links came up is lost, and nothing else wins.
    assert fleet.newest() == before
    assert not [text for text in fleet.refusals if text.startswith(("not understood", "unknown"))]


@settings(SEEDED, max_examples=60)
@given(
    st.integers(0, 2**32),
    st.sampled_from([5.0, 40.0, 100.0, 200.0]),
    st.booleans(),
    st.sets(st.integers(0, 9)),
    st.sets(st.integers(0, 9)),
)
def test_who_was_away_longer_than_deletions_are_kept_brings_none_back_and_loses_no_word_of_its_own(
    seed: int, away_s: float, running: bool, deleted: set[int], written: set[int]
) -> None:
    fleet = settled("abcd", seed, horizon_s=60.0)
    for number in range(10):
        fleet.put("d", f"config/{number}", "old")
        fleet.put("b", f"config/b{number}", "old")
    fleet.run(3.0)
    assert fleet.equal()
    fleet.cut("a", "d")
    for number in deleted:
        fleet.put("c", f"config/{number}", None)
        fleet.put("c", f"config/b{number}", None)
    for number in written:
        fleet.put("d", f"config/new/{number}", number)
    fleet.run(away_s)
    fleet.check()
    if away_s > 70.0:
        assert not any(fleet.store("a").record(f"config/{n}") for n in deleted), "deletions are forgotten"
    if not running:
        fleet.restart("d")
    star = [("a", name) for name in "bcd"]
    assert fleet.heal(60.0, star)
    fleet.check()
    for name in "abcd":
        store = fleet.store(name)
        assert not [n for n in deleted if store.get(f"config/{n}") or store.get(f"config/b{n}")]
        assert all(store.get(f"config/{n}") == "old" for n in set(range(10)) - deleted)
        assert all(store.get(f"config/new/{n}") == n for n in written)
    # And a key that was deleted and forgotten can be written anew, above all that anyone may remember.
    for number in deleted:
        fleet.put("d", f"config/{number}", "again")
    assert fleet.heal(30.0, star)
    assert all(fleet.store("b").get(f"config/{n}") == "again" for n in deleted)


def test_what_was_written_but_not_yet_taken_by_anybody_survives_a_long_absence() -> None:
    # All that the others had was here when it was written, but they had not got this: that is not in step.
    fleet = settled("abc", 1, horizon_s=60.0)
    fleet.slow("b", "a")
    fleet.put("b", "config/x", 1)
    fleet.run(1.6)
    assert fleet.store("a").get("config/x") is None and ("a", "b") in fleet.wires
    fleet.cut("a", "b")
    fleet.run(200.0)
    assert fleet.heal(30.0, [("a", "b"), ("a", "c")])
    assert fleet.store("c").get("config/x") == 1


def test_one_that_is_in_step_takes_nothing_from_one_that_is_being_filled() -> None:
    fleet = settled("ab", 1, rate=8192.0)
    bulk(fleet, "a", 3000)
    fleet.run(20.0)
    fleet.start("e", Store("e", wall_clock=fleet.wall))
    fleet.put("e", "config/early", 1)
    fleet.link("a", "e")
    fleet.run(1.0)
    session = fleet.wires["a", "e"].sessions["a"]
    assert (
        session.peer_hello is not None
        and not session.peer_recently_in_sync
        and not fleet.replicas["e"].recently_in_sync
    )
    assert fleet.store("a").get("config/early") is None
    assert fleet.heal(30.0, [("a", "b"), ("a", "e")])
    assert fleet.store("b").get("config/early") == 1 and fleet.replicas["e"].recently_in_sync


def test_a_key_written_anew_wins_over_a_deletion_that_others_still_remember() -> None:
    fleet = settled("ab", 1)
    fleet.put("b", "config/x", 1)
    fleet.put("b", "config/x", None)
    fleet.run(2.0)
    fleet.store("a").forget(["config/x"])  # its clock is ahead of b's
    fleet.put("a", "config/x", "anew")
    fleet.run(2.0)
    assert fleet.store("b").get("config/x") == "anew"
    fleet.put("b", "config/x", None)
    fleet.run(2.0)
    fleet.store("a").forget(["config/x"])
    fleet.start("c", Store("c", wall_clock=fleet.wall))  # knows of neither, but for a's word
    fleet.link("a", "c")
    fleet.run(0.2)
    fleet.put("c", "config/x", "by c")
    assert fleet.heal(10.0, [("a", "b"), ("a", "c")])
    assert fleet.store("b").get("config/x") == "by c"


def test_while_a_zone_is_cut_off_no_deletion_is_forgotten() -> None:
    # Those in it stay in step with each other, so by their own measure they were never away.
    fleet = settled("abcd", 1, horizon_s=60.0)
    for name in "abcd":
        fleet.replicas[name].announce()
    fleet.put("a", "config/x", 1)
    fleet.run(3.0)
    fleet.cut("a", "c")
    fleet.cut("a", "d")
    fleet.link("c", "d")
    fleet.put("a", "config/x", None)
    fleet.run(200.0)
    assert fleet.store("c").get("config/x") == 1 and fleet.store("b").record("config/x") is not None
    ages = fleet.replicas["b"].zone_ages(fleet.now)
    assert ages["r/c"] > 190.0 and ages["r/a"] < 2.0 and ages["r/b"] == 0.0
    assert fleet.replicas["c"].recently_in_sync and fleet.replicas["a"].recently_in_sync
    links = [("a", "b"), ("a", "c"), ("c", "d")]
    assert fleet.heal(30.0, links)
    assert fleet.store("d").get("config/x") is None
    fleet.run(100.0)
    assert all(fleet.store(name).record("config/x") is None for name in "abcd"), "healed, they forget"
    assert fleet.equal()


def test_a_new_fleet_agrees_after_a_while_and_an_empty_copy_never_makes_others_drop_theirs() -> None:
    fleet = Fleet("abc", 1)
    fleet.put("a", "config/x", 1)
    fleet.restart("a")
    fleet.heal(links=[("a", "b")])
    fleet.run(70.0)
    assert fleet.replicas["a"].recently_in_sync and fleet.replicas["b"].recently_in_sync
    fleet.restart("a", wiped=True)
    assert fleet.heal(links=[("a", "b"), ("b", "c")])
    assert fleet.store("a").get("config/x") == fleet.store("c").get("config/x") == 1


def test_a_copy_of_unknown_age_starts_over_and_an_empty_one_between_hands_nothing_on() -> None:
    # z holds what a and b have deleted and forgotten; e is new, and linked to z before it is to a.
    fleet = settled("ab", 1, horizon_s=60.0)
    fleet.start("z", Store("z", wall_clock=fleet.wall))
    fleet.store("z").merge([StoreRecord("config/gone", 1, 1, "y"), StoreRecord("config/kept", 1, 1, "y")])
    fleet.restart("z")
    fleet.put("a", "config/kept", 2)
    fleet.start("e", Store("e", wall_clock=fleet.wall))
    fleet.link("z", "e")
    fleet.run(2.0)
    assert fleet.store("e").get("config/gone") == 1
    assert fleet.heal(60.0, [("a", "b"), ("z", "e"), ("e", "a")])
    assert [fleet.store(n).get("config/gone") for n in "abez"] == [None] * 4
    assert [fleet.store(n).get("config/kept") for n in "abez"] == [2] * 4


def test_a_member_that_was_removed_is_refused_and_comes_as_new_once_it_is_added_again() -> None:
    fleet = settled("abc", 1)
    fleet.put("c", "state/c/x", 1)
    fleet.put("a", "config/x", 1)
    fleet.run(2.0)
    fleet.put("a", "config/removed/c", {"why": "sold"})
    fleet.run(2.0)
    assert all(fleet.store(name).get("state/c/x") is None for name in "ab")
    assert ("a", "c") not in fleet.wires and fleet.equal_among("ab")
    fleet.put("a", "config/x", None)
    fleet.put("c", "config/harm", 1)
    fleet.restart("c")
    for _ in range(3):
        fleet.link("c", "b")
        fleet.run(2.0)
    assert fleet.store("b").get("config/harm") is None and ("c", "b") not in fleet.wires
    assert any("c was removed" in text for text in fleet.refusals)
    fleet.put("b", "config/removed/c", None)
    assert fleet.heal(60.0, [("a", "b"), ("b", "c")])
    assert fleet.store("a").get("config/harm") is None and fleet.store("c").get("config/x") is None
    assert fleet.store("a").get("state/c/x") == 1, "its own states count again"


# ---------------------------------------------------------------- what it costs


def bulk(fleet: Fleet, name: str, keys: int) -> None:
    for number in range(keys):
        fleet.put(name, f"config/shard/{number}", {"host": f"s-{number % 97}", "epoch": number})


def linked(keys: int, seed: int = 1) -> Fleet:
    fleet = Fleet("ab", seed)
    bulk(fleet, "a", keys)
    assert fleet.heal(120.0, [("a", "b")])
    return fleet


@pytest.mark.parametrize("keys", [10, 3000])
def test_an_idle_link_costs_the_same_whatever_the_number_of_keys(keys: int) -> None:
    # The exchange of digests cost 15 octets a key a second for each side.
    fleet = linked(keys)
    fleet.run(5.0)
    (wire,) = fleet.wires.values()
    octets, frames = wire.octets, wire.frames
    fleet.run(20.0)
    assert wire.frames - frames <= 60 and wire.octets - octets <= 20 * 2 * 250
    assert not any(session.anti_entropy_rounds for session in wire.sessions.values())


def test_a_change_costs_itself_and_a_restart_what_differs_whatever_the_number_of_keys() -> None:
    fleet = linked(3000)
    (wire,) = fleet.wires.values()
    fleet.run(2.0)
    octets = wire.octets
    fleet.put("a", "config/shard/7", {"host": "s-1"})
    while not fleet.equal():
        assert fleet.turn() or fleet.run(0.01)
    assert wire.octets - octets < 1500
    fleet.restart("b")
    fleet.put("b", "config/shard/9", {"host": "s-2"})
    fleet.put("a", "config/shard/8", {"host": "s-2"})
    assert fleet.heal(5.0, [("a", "b")])
    (wire,) = fleet.wires.values()
    assert wire.octets < 12_000 and wire.frames < 60
    assert fleet.store("a").get("config/shard/9") == fleet.store("b").get("config/shard/8") == {"host": "s-2"}


def test_a_change_goes_on_over_every_link_at_once_and_not_back() -> None:
    fleet = Fleet("abcd", 1)
    chain = [("a", "b"), ("b", "c"), ("c", "d")]
    assert fleet.heal(10.0, chain)
    fleet.run(2.0)
    before = {ends: dict(fleet.wires[ends].sent) for ends in chain}
    for number in range(100):
        fleet.put("a", f"config/{number}", random.Random(number).randbytes(30).hex())
    fleet.run(0.3)
    assert fleet.equal(), "before any repair could have begun"
    for one, other in chain:
        sent, was = fleet.wires[one, other].sent, before[one, other]
        assert sent[one] - was[one] > 4000 and sent[other] - was[other] < 600
        assert not any(session.anti_entropy_rounds for session in fleet.wires[one, other].sessions.values())


def test_a_snapshot_is_taken_up_where_the_link_broke() -> None:
    whole = linked(3000)
    (wire,) = whole.wires.values()
    once = wire.octets
    fleet = Fleet("ab", 2)
    bulk(fleet, "a", 3000)
    octets, cuts = 0, 0
    while not fleet.equal():
        fleet.link("a", "b")
        (wire,) = fleet.wires.values()
        fleet.run(3.0, most=20)
        fleet.check()
        octets += wire.octets
        cuts += 1
        assert cuts < 40, "begun anew each time it would never end"
        fleet.cut("a", "b")
    # A window of parts may be lost with each link.
    assert cuts > 4 and octets < once + cuts * 4000


def test_what_is_urgent_goes_ahead_of_a_snapshot_and_within_the_budget() -> None:
    fleet = Fleet("abc", 1, rate=8192.0)
    rng = random.Random(1)
    for number in range(2000):  # that does not pack well
        fleet.put("a", f"config/shard/{number}", rng.randbytes(60).hex())
    fleet.link("a", "b")
    fleet.run(4.0)
    assert not fleet.equal_among("ab")
    fleet.put("a", "config/urgent", 1)
    began = fleet.now
    while fleet.store("b").get("config/urgent") is None:
        fleet.run(0.05)
    assert fleet.now - began < 0.5 and not fleet.equal_among("ab"), "while the snapshot goes on"
    fleet.check()
    assert fleet.heal(120.0, [("a", "b"), ("b", "c")])
    fleet.check()


def test_several_changes_of_a_key_go_as_one_and_a_slow_follower_holds_up_nobody() -> None:
    fleet = linked(10)
    fleet.start("c", Store("c", wall_clock=fleet.wall))
    assert fleet.heal(10.0, [("a", "b"), ("a", "c")])
    slow = fleet.wires["a", "c"]
    slow.slow.add("c")
    octets = slow.octets
    for number in range(500):
        fleet.put("a", "config/x", number)
        fleet.turn()
    fleet.run(0.5)
    fleet.check()
    assert fleet.store("b").get("config/x") == 499 and fleet.store("c").get("config/x") is None
    assert slow.octets - octets < 3000, "what it has not read is not repeated, and what is older is gone"
    slow.slow.clear()
    assert fleet.heal(5.0, [("a", "b"), ("a", "c")])


@SEEDED
@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 20_000), st.booleans()), max_size=60))
def test_the_budget_holds_over_any_span(steps: list[tuple[float, int, bool]]) -> None:
    budget, now, taken = ByteBudget(1000.0, 0.0), 0.0, [(0.0, 0)]
    for wait, octets, urgent in steps:
        now += wait
        if budget.available_bytes(now, urgent) >= octets:
            budget.consume(now, octets)
            taken.append((now, octets))
        elif octets <= budget.burst:
            at = budget.available_at(now, octets, urgent)
            assert at >= now and budget.available_bytes(at, urgent) >= octets - 1e-3
            now = at
    for first in range(len(taken)):
        spent = sum(octets for _, octets in taken[first:])
        assert spent <= 1000.0 * (now - taken[first][0]) + budget.burst + budget.debt + 1e-3


def test_waits_double_up_to_a_most_and_differ() -> None:
    backoff = Backoff(1.0, 8.0, random.Random(1))
    waits = [backoff.next_delay_s() for _ in range(6)]
    assert all(most / 2 <= wait <= most for wait, most in zip(waits, [1, 2, 4, 8, 8, 8], strict=True))
    assert len(set(waits)) == 6
    backoff.reset()
    assert backoff.next_delay_s() <= 1.0


# ---------------------------------------------------------------- parts


@SEEDED
@given(st.lists(st.tuples(st.integers(0, 30), st.one_of(st.none(), st.integers(0, 3)))))
def test_a_tree_tells_what_is_in_it_whatever_came_before(steps: list[tuple[int, int | None]]) -> None:
    tree, held = MerkleTree(), {}
    for number, digest in steps:
        tree.set(f"k{number}", digest or 0)
        held[f"k{number}"] = digest or 0
    held = {key: digest for key, digest in held.items() if digest}
    fresh = MerkleTree()
    for key in sorted(held, reverse=True):
        fresh.set(key, held[key])
    assert tree.root == fresh.root and tree.count(0, 0) == len(held) and tree.entries(0, 0) == held
    for depth in range(DEPTH):
        for index in range(FANOUT**depth if depth < 2 else 8):
            xor = 0
            for child in tree.children(depth, index):
                xor ^= child
            assert xor == tree.hash(depth, index)


def test_a_sequence_holds_one_entry_a_key_and_costs_no_more_with_more_changes() -> None:
    changes = ChangeLogSet(1)
    for number in range(5000):
        changes.add(StoreRecord(f"config/{number % 7}", number, number + 1, "a"), source=number % 2)
    (urgent, _) = changes.logs
    assert [key for _, key, _ in urgent.since(0)] == [f"config/{n % 7}" for n in range(4993, 5000)]
    assert [revision for revision, _, _ in urgent.since(4997)] == [4998, 4999, 5000]
    assert urgent.order_length < 100 and changes.heads == [5000, 0] and changes.counts == [7, 0]


def test_two_records_of_one_version_and_node_are_decided_alike_everywhere() -> None:
    # A node that was wiped counts its versions anew: (version, node) then stands for two different words.
    one, two = StoreRecord("config/x", 1, 1, "a"), StoreRecord("config/x", 2, 1, "a")
    assert supersedes(one, two) != supersedes(two, one) and not supersedes(one, one)
    fleet = Fleet("abc", 1)
    fleet.store("a").merge([one])
    fleet.store("b").merge([two])
    assert fleet.heal()
    winner = one if record_digest(one) > record_digest(two) else two
    assert {fleet.store(name).get("config/x") for name in "abc"} == {winner.value}


def test_what_was_lost_against_all_rules_is_found_by_the_trees() -> None:
    fleet = linked(200)
    fleet.run(2.0)
    store = fleet.store("b")
    store._records.pop("config/shard/7")  # as a fault of ours or of the memory would
    fleet.replicas["b"].changes.remove("config/shard/7")
    fleet.run(10.0)
    assert fleet.equal() and store.get("config/shard/7") is not None


# ---------------------------------------------------------------- what is refused


def pair() -> tuple[Fleet, ReplicationSession]:
    fleet = linked(20)
    fleet.run(2.0)
    (wire,) = fleet.wires.values()
    return fleet, wire.sessions["b"]


def cursors_of(session: ReplicationSession) -> list[tuple[int, int, int]]:
    return [(cursor.backlog, cursor.backlog_end, cursor.live) for cursor in session.cursors]


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.text(max_size=5) | st.floats(0, 9),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)
KINDS = st.sampled_from(
    ["hello", "follow", "changes", "ack", "beat", "ask", "nodes", "get", "give", "digest", "records", "x"]
)


@settings(SEEDED, max_examples=400)
@given(KINDS, VALUES)
def test_a_frame_that_is_not_understood_is_refused_and_changes_nothing(kind: str, value: Any) -> None:
    fleet, session = pair()
    before = fleet.store("b").records(), cursors_of(session)
    try:
        session.receive(encode({kind: value}), fleet.now)
    except SessionRejected as refusal:
        assert str(refusal)
    else:
        assert kind in ("ack", "ask", "get")  # there are sound ones among these
    assert before == (
        fleet.store("b").records(),
        cursors_of(session),
    )


@settings(SEEDED, max_examples=100)
@given(st.binary(max_size=60))
def test_octets_that_are_no_frame_are_refused(octets: bytes) -> None:
    for payload in (octets, b"z" + octets):
        try:
            message = decode(payload)
        except SessionRejected:
            continue
        assert isinstance(message, dict) and message


def test_a_frame_that_unpacks_to_too_much_is_refused_unpacked_no_further() -> None:
    assert len(encode({"x": "a" * 5_000_000})) < 50_000
    with pytest.raises(SessionRejected, match="too large"):
        decode(encode({"x": "a" * 5_000_000}))
    assert decode(encode({"x": "a" * 100_000})) == {"x": "a" * 100_000}


@pytest.mark.parametrize(
    ("message", "text"),
    [
        ({"changes": [0, 0, 21, 22, [["config/q", 1, 1, "a", None]]]}, "out of order"),  # one is left out
        ({"changes": [0, 0, 19, 21, [["config/q", 1, 1, "a", None]]]}, "out of order"),  # played again
        ({"changes": [0, 0, 20, 20, [["config/q", 1, 1, "a", None]]]}, "out of order"),
        ({"changes": [0, 1, 20, 21, [["config/q", 1, 1, "a", None]]]}, "out of order"),
        ({"changes": [1, 0, 0, 1, [["config/q", 1, 1, "a", None]]]}, "wrong lane"),
        ({"changes": [0, 0, 20, 21, [["config/q", 1, 1, "a", None], ["config/r", 1, 0, "a", 0]]]}, "version"),
        ({"changes": [0, 0, 20, 21, [["state/c/q", 1, 1, "a", None]]]}, "not a's to write"),
        ({"give": [1, [["config/q", 1, 1, "a", None]]]}, "nobody asked"),
        ({"ack": [[0, 10**6], [0, 0]]}, "never sent"),
        ({"ask": [[0, 4, 0]]}, "no node"),
        ({"ask": [[0, 3, 4096]]}, "no node"),
        ({"follow": [[0, 0, 0], [0, 0, 0]]}, "twice"),
        ({"nonsense": 1}, "unknown message"),
    ],
)
def test_a_frame_out_of_place_is_refused_with_a_reason(message: dict[str, Any], text: str) -> None:
    fleet, session = pair()
    before = fleet.store("b").records()
    with pytest.raises(SessionRejected, match=text):
        session.receive(encode(message), fleet.now)
    assert fleet.store("b").records() == before
    session.close(text)
    assert not fleet.heal(0.1) or fleet.heal(5.0)


def test_an_old_copy_is_refused_and_both_sides_are_told_both_versions() -> None:
    fleet = Fleet("a", 1)
    dialled = fleet.replicas["a"].open_session("old", fleet.now, ("127.0.0.1", 9))
    greeting = json.loads(dialled.next_payload(fleet.now) or b"")
    with pytest.raises(InvalidRecordError, match=f"protocol {PROTOCOL_VERSION}, this copy speaks 1"):
        parse_record(greeting["records"][0])  # as the old one reads it, and what it then logs
    accepted = fleet.replicas["a"].open_session("old", fleet.now)
    assert accepted.next_payload(fleet.now) is None, "who accepts waits for the greeting"
    with pytest.raises(
        SessionRejected, match=f"old speaks protocol 1 .*, this copy speaks {PROTOCOL_VERSION}"
    ) as refusal:
        accepted.receive(b'{"digest":{"config/x":[1,"old"]}}', fleet.now)
    accepted.close(str(refusal.value), accepted.close_code)
    with pytest.raises(InvalidRecordError, match=f"protocol {PROTOCOL_VERSION}, this copy speaks 1"):
        parse_record(json.loads(accepted.next_payload(fleet.now) or b"")["records"][0])
    newer = fleet.replicas["a"].open_session("new", fleet.now)
    greeting["hello"].update(protocol=3, node="new")
    with pytest.raises(SessionRejected, match=f"new speaks protocol 3, this copy speaks {PROTOCOL_VERSION}"):
        newer.receive(encode(greeting), fleet.now)


def test_a_record_that_fills_a_part_goes_alone_and_one_that_is_larger_is_no_record(tmp_path: Any) -> None:
    fleet = Fleet("ab", 1)
    rng = random.Random(1)
    for number in range(5):
        fleet.put("a", f"config/large/{number}", rng.randbytes(MAX_CHUNK_BYTES).hex())
    assert fleet.heal(60.0, [("a", "b")])
    with pytest.raises(InvalidRecordError, match="config/huge"):
        fleet.put("a", "config/huge", "x" * 300_000)
