"""Replication of the store: properties of its pure modules, and clusters in simulated time."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.replication_fleet import SimulatedCluster, make_synced_cluster

from sageturn.store.errors import InvalidRecordError, SessionRejectedError
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
SCHEDULE_STEP = st.one_of(
    st.tuples(st.just("put"), names, st.sampled_from(KEYS), st.integers(0, 9)),
    st.tuples(st.just("delete"), names, st.sampled_from(KEYS)),
    st.tuples(st.just("state"), names, st.integers(0, 9)),
    st.tuples(st.just("bulk"), names, st.integers(1, 60)),
    st.tuples(st.just("connect"), names, names),
    st.tuples(st.just("connect"), names, names),
    st.tuples(st.just("disconnect"), names, names),
    st.tuples(st.just("stop_reading"), names, names),
    st.tuples(st.just("repeat_last_frame"), names, names),
    st.tuples(st.just("swap_last_frames"), names, names),
    st.tuples(st.just("restart"), names, st.booleans()),
    st.tuples(st.just("run"), st.floats(0.0, 2.0)),
    st.tuples(st.just("steps"), st.integers(1, 40)),
)


def apply_step(cluster: SimulatedCluster, step: tuple[Any, ...]) -> None:
    operation, *arguments = step
    if operation == "delete":
        cluster.put(arguments[0], arguments[1], None)
    elif operation == "state":
        cluster.put(arguments[0], f"state/{arguments[0]}/x", arguments[1])
    elif operation == "bulk":
        for number in range(arguments[1]):
            cluster.put(arguments[0], f"config/bulk/{number}", [arguments[1]] * 20)
    elif operation == "steps":
        for _ in range(arguments[0]):
            cluster.step()
    else:
        getattr(cluster, operation)(*arguments)


SEEDED = settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


@SEEDED
@given(
    st.integers(0, 2**32),
    st.sampled_from([8192.0, 27_000.0]),
    st.lists(SCHEDULE_STEP, min_size=1, max_size=25),
)
def test_under_any_schedule_no_older_version_wins_nothing_is_skipped_and_all_replicas_converge(
    seed: int, rate: float, schedule: Schedule
) -> None:
    cluster = SimulatedCluster(NAMES, seed, rate)
    for step in schedule:
        apply_step(cluster, step)
        cluster.invariants.check()
    before = cluster.newest()
    assert cluster.converge()
    cluster.invariants.check()
    # All replicas converge to the newest version of each record that any of them held before connecting.
    assert cluster.newest() == before
    assert not [text for text in cluster.rejections if text.startswith(("not understood", "unknown"))]


@settings(SEEDED, max_examples=60)
@given(
    st.integers(0, 2**32),
    st.sampled_from([5.0, 40.0, 100.0, 200.0]),
    st.booleans(),
    st.sets(st.integers(0, 9)),
    st.sets(st.integers(0, 9)),
)
def test_a_replica_away_beyond_the_horizon_restores_no_deletion_and_loses_no_write_of_its_own(
    seed: int, away_s: float, running: bool, deleted: set[int], written: set[int]
) -> None:
    cluster = make_synced_cluster("abcd", seed, horizon_s=60.0)
    for number in range(10):
        cluster.put("d", f"config/{number}", "old")
        cluster.put("b", f"config/b{number}", "old")
    cluster.run(3.0)
    assert cluster.is_consistent()
    cluster.disconnect("a", "d")
    for number in deleted:
        cluster.put("c", f"config/{number}", None)
        cluster.put("c", f"config/b{number}", None)
    for number in written:
        cluster.put("d", f"config/new/{number}", number)
    cluster.run(away_s)
    cluster.invariants.check()
    if away_s > 70.0:
        assert not any(cluster.store("a").record(f"config/{number}") for number in deleted), (
            "tombstones were not discarded"
        )
    if not running:
        cluster.restart("d")
    star = [("a", name) for name in "bcd"]
    assert cluster.converge(60.0, star)
    cluster.invariants.check()
    for name in "abcd":
        store = cluster.store(name)
        assert not [
            number for number in deleted if store.get(f"config/{number}") or store.get(f"config/b{number}")
        ]
        assert all(store.get(f"config/{number}") == "old" for number in set(range(10)) - deleted)
        assert all(store.get(f"config/new/{number}") == number for number in written)
    # A key whose tombstone was discarded can be written again, with a version above any that a replica holds.
    for number in deleted:
        cluster.put("d", f"config/{number}", "again")
    assert cluster.converge(30.0, star)
    assert all(cluster.store("b").get(f"config/{number}") == "again" for number in deleted)


def test_a_write_that_no_peer_has_received_survives_a_long_absence() -> None:
    # A replica that holds all records of the others is not in sync while they lack one of its own.
    cluster = make_synced_cluster("abc", 1, horizon_s=60.0)
    cluster.stop_reading("b", "a")
    cluster.put("b", "config/x", 1)
    cluster.run(1.6)
    assert cluster.store("a").get("config/x") is None and ("a", "b") in cluster.connections
    cluster.disconnect("a", "b")
    cluster.run(200.0)
    assert cluster.converge(30.0, [("a", "b"), ("a", "c")])
    assert cluster.store("c").get("config/x") == 1


def test_a_replica_in_sync_takes_nothing_from_one_that_is_being_filled() -> None:
    cluster = make_synced_cluster("ab", 1, rate=8192.0)
    put_shards(cluster, "a", 3000)
    cluster.run(20.0)
    cluster.start("e", Store("e", wall_clock=cluster.wall))
    cluster.put("e", "config/early", 1)
    cluster.connect("a", "e")
    cluster.run(1.0)
    session = cluster.connections["a", "e"].sessions["a"]
    assert (
        session.peer_hello is not None
        and not session.peer_recently_in_sync
        and not cluster.replicas["e"].sync_status.recently_in_sync
    )
    assert cluster.store("a").get("config/early") is None
    assert cluster.converge(30.0, [("a", "b"), ("a", "e")])
    assert cluster.store("b").get("config/early") == 1 and cluster.replicas["e"].sync_status.recently_in_sync


def test_a_new_write_wins_over_a_tombstone_that_others_still_hold() -> None:
    cluster = make_synced_cluster("ab", 1)
    cluster.put("b", "config/x", 1)
    cluster.put("b", "config/x", None)
    cluster.run(2.0)
    cluster.store("a").discard_records(["config/x"])  # a discards it first, as if its clock were ahead
    cluster.put("a", "config/x", "anew")
    cluster.run(2.0)
    assert cluster.store("b").get("config/x") == "anew"
    cluster.put("b", "config/x", None)
    cluster.run(2.0)
    cluster.store("a").discard_records(["config/x"])
    cluster.start("c", Store("c", wall_clock=cluster.wall))  # receives the state of the key from a alone
    cluster.connect("a", "c")
    cluster.run(0.2)
    cluster.put("c", "config/x", "by c")
    assert cluster.converge(10.0, [("a", "b"), ("a", "c")])
    assert cluster.store("b").get("config/x") == "by c"


def test_while_a_zone_is_cut_off_no_tombstone_is_discarded() -> None:
    # The replicas in the zone stay in sync with each other, so each considers itself in sync throughout.
    cluster = make_synced_cluster("abcd", 1, horizon_s=60.0)
    for name in "abcd":
        cluster.replicas[name].announce()
    cluster.put("a", "config/x", 1)
    cluster.run(3.0)
    cluster.disconnect("a", "c")
    cluster.disconnect("a", "d")
    cluster.connect("c", "d")
    cluster.put("a", "config/x", None)
    cluster.run(200.0)
    assert cluster.store("c").get("config/x") == 1 and cluster.store("b").record("config/x") is not None
    ages = cluster.replicas["b"].zones.ages(cluster.now)
    assert ages["r/c"] > 190.0 and ages["r/a"] < 2.0 and ages["r/b"] == 0.0
    assert (
        cluster.replicas["c"].sync_status.recently_in_sync
        and cluster.replicas["a"].sync_status.recently_in_sync
    )
    links = [("a", "b"), ("a", "c"), ("c", "d")]
    assert cluster.converge(30.0, links)
    assert cluster.store("d").get("config/x") is None
    cluster.run(100.0)
    assert all(cluster.store(name).record("config/x") is None for name in "abcd"), (
        "tombstones were not discarded after the partition healed"
    )
    assert cluster.is_consistent()


def test_a_new_cluster_settles_and_an_empty_replica_never_makes_others_drop_records() -> None:
    cluster = SimulatedCluster("abc", 1)
    cluster.put("a", "config/x", 1)
    cluster.restart("a")
    cluster.converge(links=[("a", "b")])
    cluster.run(70.0)
    assert (
        cluster.replicas["a"].sync_status.recently_in_sync
        and cluster.replicas["b"].sync_status.recently_in_sync
    )
    cluster.restart("a", wiped=True)
    assert cluster.converge(links=[("a", "b"), ("b", "c")])
    assert cluster.store("a").get("config/x") == cluster.store("c").get("config/x") == 1


def test_a_replica_of_unknown_age_starts_over_and_an_empty_one_between_passes_nothing_on() -> None:
    # z holds records whose tombstones a and b have discarded; e is new, and connects to z before a.
    cluster = make_synced_cluster("ab", 1, horizon_s=60.0)
    cluster.start("z", Store("z", wall_clock=cluster.wall))
    cluster.store("z").merge([StoreRecord("config/gone", 1, 1, "y"), StoreRecord("config/kept", 1, 1, "y")])
    cluster.restart("z")
    cluster.put("a", "config/kept", 2)
    cluster.start("e", Store("e", wall_clock=cluster.wall))
    cluster.connect("z", "e")
    cluster.run(2.0)
    assert cluster.store("e").get("config/gone") == 1
    assert cluster.converge(60.0, [("a", "b"), ("z", "e"), ("e", "a")])
    assert [cluster.store(name).get("config/gone") for name in "abez"] == [None] * 4
    assert [cluster.store(name).get("config/kept") for name in "abez"] == [2] * 4


def test_a_removed_member_is_rejected_and_starts_over_once_it_is_added_again() -> None:
    cluster = make_synced_cluster("abc", 1)
    cluster.put("c", "state/c/x", 1)
    cluster.put("a", "config/x", 1)
    cluster.run(2.0)
    cluster.put("a", "config/removed/c", {"why": "sold"})
    cluster.run(2.0)
    assert all(cluster.store(name).get("state/c/x") is None for name in "ab")
    assert ("a", "c") not in cluster.connections and cluster.is_consistent_among("ab")
    cluster.put("a", "config/x", None)
    cluster.put("c", "config/harm", 1)
    cluster.restart("c")
    for _ in range(3):
        cluster.connect("c", "b")
        cluster.run(2.0)
    assert cluster.store("b").get("config/harm") is None and ("c", "b") not in cluster.connections
    assert any("c was removed" in text for text in cluster.rejections)
    cluster.put("b", "config/removed/c", None)
    assert cluster.converge(60.0, [("a", "b"), ("b", "c")])
    assert cluster.store("a").get("config/harm") is None and cluster.store("c").get("config/x") is None
    assert cluster.store("a").get("state/c/x") == 1, (
        "the state of the member that was added again was not replicated"
    )


# ---------------------------------------------------------------- cost of sessions and changes


def put_shards(cluster: SimulatedCluster, name: str, keys: int) -> None:
    for number in range(keys):
        cluster.put(name, f"config/shard/{number}", {"host": f"s-{number % 97}", "epoch": number})


def make_linked_pair(keys: int, seed: int = 1) -> SimulatedCluster:
    cluster = SimulatedCluster("ab", seed)
    put_shards(cluster, "a", keys)
    assert cluster.converge(120.0, [("a", "b")])
    return cluster


@pytest.mark.parametrize("keys", [10, 3000])
def test_an_idle_session_costs_the_same_whatever_the_number_of_keys(keys: int) -> None:
    # Protocol 1 exchanged the digests of all keys, which cost each side 15 bytes per key and second.
    cluster = make_linked_pair(keys)
    cluster.run(5.0)
    (connection,) = cluster.connections.values()
    sent_bytes, frames = connection.sent_bytes, connection.frames
    cluster.run(20.0)
    assert connection.frames - frames <= 60 and connection.sent_bytes - sent_bytes <= 20 * 2 * 250
    assert not any(session.anti_entropy.rounds for session in connection.sessions.values())


def test_a_change_costs_itself_and_a_restart_what_differs_whatever_the_number_of_keys() -> None:
    cluster = make_linked_pair(3000)
    (connection,) = cluster.connections.values()
    cluster.run(2.0)
    sent_bytes = connection.sent_bytes
    cluster.put("a", "config/shard/7", {"host": "s-1"})
    while not cluster.is_consistent():
        assert cluster.step() or cluster.run(0.01)
    assert connection.sent_bytes - sent_bytes < 1500
    cluster.restart("b")
    cluster.put("b", "config/shard/9", {"host": "s-2"})
    cluster.put("a", "config/shard/8", {"host": "s-2"})
    assert cluster.converge(5.0, [("a", "b")])
    (connection,) = cluster.connections.values()
    assert connection.sent_bytes < 12_000 and connection.frames < 60
    assert (
        cluster.store("a").get("config/shard/9")
        == cluster.store("b").get("config/shard/8")
        == {"host": "s-2"}
    )


def test_a_change_is_forwarded_over_every_session_at_once_and_not_sent_back() -> None:
    cluster = SimulatedCluster("abcd", 1)
    chain = [("a", "b"), ("b", "c"), ("c", "d")]
    assert cluster.converge(10.0, chain)
    cluster.run(2.0)
    before = {ends: dict(cluster.connections[ends].sent_bytes_by) for ends in chain}
    for number in range(100):
        cluster.put("a", f"config/{number}", random.Random(number).randbytes(30).hex())
    cluster.run(0.3)
    assert cluster.is_consistent(), "the change has not reached all replicas before anti-entropy can start"
    for one, other in chain:
        sent, was = cluster.connections[one, other].sent_bytes_by, before[one, other]
        assert sent[one] - was[one] > 4000 and sent[other] - was[other] < 600
        assert not any(
            session.anti_entropy.rounds for session in cluster.connections[one, other].sessions.values()
        )


def test_a_snapshot_is_resumed_where_the_connection_broke() -> None:
    uninterrupted = make_linked_pair(3000)
    (connection,) = uninterrupted.connections.values()
    snapshot_bytes = connection.sent_bytes
    cluster = SimulatedCluster("ab", 2)
    put_shards(cluster, "a", 3000)
    sent_bytes, disconnects = 0, 0
    while not cluster.is_consistent():
        cluster.connect("a", "b")
        (connection,) = cluster.connections.values()
        cluster.run(3.0, max_steps=20)
        cluster.invariants.check()
        sent_bytes += connection.sent_bytes
        disconnects += 1
        assert disconnects < 40, "a snapshot that restarts after each disconnection never completes"
        cluster.disconnect("a", "b")
    # Each disconnection may lose one send window of chunks.
    assert disconnects > 4 and sent_bytes < snapshot_bytes + disconnects * 4000


def test_an_urgent_change_goes_ahead_of_a_snapshot_and_within_the_budget() -> None:
    cluster = SimulatedCluster("abc", 1, rate=8192.0)
    rng = random.Random(1)
    for number in range(2000):  # random values, which hardly compress
        cluster.put("a", f"config/shard/{number}", rng.randbytes(60).hex())
    cluster.connect("a", "b")
    cluster.run(4.0)
    assert not cluster.is_consistent_among("ab")
    cluster.put("a", "config/urgent", 1)
    started_at = cluster.now
    while cluster.store("b").get("config/urgent") is None:
        cluster.run(0.05)
    assert cluster.now - started_at < 0.5 and not cluster.is_consistent_among("ab"), (
        "the urgent change was not sent ahead of the snapshot"
    )
    cluster.invariants.check()
    assert cluster.converge(120.0, [("a", "b"), ("b", "c")])
    cluster.invariants.check()


def test_several_changes_of_a_key_are_sent_as_one_and_a_slow_follower_delays_nobody() -> None:
    cluster = make_linked_pair(10)
    cluster.start("c", Store("c", wall_clock=cluster.wall))
    assert cluster.converge(10.0, [("a", "b"), ("a", "c")])
    slow_connection = cluster.connections["a", "c"]
    slow_connection.not_reading.add("c")
    sent_bytes = slow_connection.sent_bytes
    for number in range(500):
        cluster.put("a", "config/x", number)
        cluster.step()
    cluster.run(0.5)
    cluster.invariants.check()
    assert cluster.store("b").get("config/x") == 499 and cluster.store("c").get("config/x") is None
    assert slow_connection.sent_bytes - sent_bytes < 3000, (
        "chunks that were not read were sent again, or superseded values were sent"
    )
    slow_connection.not_reading.clear()
    assert cluster.converge(5.0, [("a", "b"), ("a", "c")])


@SEEDED
@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 20_000), st.booleans()), max_size=60))
def test_the_budget_holds_over_any_span(steps: list[tuple[float, int, bool]]) -> None:
    budget, now, consumed = ByteBudget(1000.0, 0.0), 0.0, [(0.0, 0)]
    for wait, size, urgent in steps:
        now += wait
        if budget.available_bytes(now, urgent) >= size:
            budget.consume(now, size)
            consumed.append((now, size))
        elif size <= budget.burst:
            available_at = budget.available_at(now, size, urgent)
            assert available_at >= now and budget.available_bytes(available_at, urgent) >= size - 1e-3
            now = available_at
    for first in range(len(consumed)):
        spent = sum(size for _, size in consumed[first:])
        assert spent <= 1000.0 * (now - consumed[first][0]) + budget.burst + budget.debt + 1e-3


def test_backoff_delays_double_up_to_the_maximum_and_differ() -> None:
    backoff = Backoff(1.0, 8.0, random.Random(1))
    waits = [backoff.next_delay_s() for _ in range(6)]
    assert all(
        maximum / 2 <= wait <= maximum for wait, maximum in zip(waits, [1, 2, 4, 8, 8, 8], strict=True)
    )
    assert len(set(waits)) == 6
    backoff.reset()
    assert backoff.next_delay_s() <= 1.0


# ---------------------------------------------------------------- data structures


@SEEDED
@given(st.lists(st.tuples(st.integers(0, 30), st.one_of(st.none(), st.integers(0, 3)))))
def test_a_merkle_tree_depends_on_its_content_alone(steps: list[tuple[int, int | None]]) -> None:
    tree, held = MerkleTree(), {}
    for number, digest in steps:
        tree.set(f"k{number}", digest or 0)
        held[f"k{number}"] = digest or 0
    held = {key: digest for key, digest in held.items() if digest}
    rebuilt = MerkleTree()
    for key in sorted(held, reverse=True):
        rebuilt.set(key, held[key])
    assert tree.root == rebuilt.root and tree.count(0, 0) == len(held) and tree.entries(0, 0) == held
    for depth in range(DEPTH):
        for index in range(FANOUT**depth if depth < 2 else 8):
            xor = 0
            for child in tree.children(depth, index):
                xor ^= child
            assert xor == tree.hash(depth, index)


def test_a_change_log_holds_one_entry_a_key_and_grows_no_further_with_more_changes() -> None:
    changes = ChangeLogSet(1)
    for number in range(5000):
        changes.add(StoreRecord(f"config/{number % 7}", number, number + 1, "a"), source=number % 2)
    (urgent, _) = changes.logs
    assert [key for _, key, _ in urgent.since(0)] == [f"config/{number % 7}" for number in range(4993, 5000)]
    assert [revision for revision, _, _ in urgent.since(4997)] == [4998, 4999, 5000]
    assert urgent.order_length < 100 and changes.heads == [5000, 0] and changes.counts == [7, 0]


def test_two_records_of_one_version_and_node_are_decided_alike_everywhere() -> None:
    # A wiped node restarts its version numbers, so one (version, node) may have two different values.
    one, two = StoreRecord("config/x", 1, 1, "a"), StoreRecord("config/x", 2, 1, "a")
    assert supersedes(one, two) != supersedes(two, one) and not supersedes(one, one)
    cluster = SimulatedCluster("abc", 1)
    cluster.store("a").merge([one])
    cluster.store("b").merge([two])
    assert cluster.converge()
    winner = one if record_digest(one) > record_digest(two) else two
    assert {cluster.store(name).get("config/x") for name in "abc"} == {winner.value}


def test_a_record_lost_by_a_fault_is_restored_by_anti_entropy() -> None:
    cluster = make_linked_pair(200)
    cluster.run(2.0)
    store = cluster.store("b")
    store.discard_records(["config/shard/7"])  # simulates a fault of the program or of the memory
    assert store.record("config/shard/7") is None and not cluster.is_consistent()
    cluster.run(10.0)
    assert cluster.is_consistent() and store.get("config/shard/7") is not None


# ---------------------------------------------------------------- rejections


def make_session() -> tuple[SimulatedCluster, ReplicationSession]:
    cluster = make_linked_pair(20)
    cluster.run(2.0)
    (connection,) = cluster.connections.values()
    return cluster, connection.sessions["b"]


def cursors_of(session: ReplicationSession) -> list[tuple[int, int, int]]:
    return [(cursor.backlog, cursor.backlog_end, cursor.live) for cursor in session.change_exchange.cursors]


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
def test_a_malformed_frame_is_rejected_and_changes_nothing(kind: str, value: Any) -> None:
    cluster, session = make_session()
    before = cluster.store("b").records(), cursors_of(session)
    try:
        session.receive(encode({kind: value}), cluster.now)
    except SessionRejectedError as rejection:
        assert str(rejection)
    else:
        assert kind in ("ack", "ask", "get")  # some generated bodies of these kinds are valid
    assert before == (
        cluster.store("b").records(),
        cursors_of(session),
    )


@settings(SEEDED, max_examples=100)
@given(st.binary(max_size=60))
def test_bytes_that_are_no_frame_are_rejected(data: bytes) -> None:
    for payload in (data, b"z" + data):
        try:
            message = decode(payload)
        except SessionRejectedError:
            continue
        assert isinstance(message, dict) and message


def test_a_frame_that_decompresses_to_too_much_is_rejected_and_decompressed_no_further() -> None:
    assert len(encode({"x": "a" * 5_000_000})) < 50_000
    with pytest.raises(SessionRejectedError, match="too large"):
        decode(encode({"x": "a" * 5_000_000}))
    assert decode(encode({"x": "a" * 100_000})) == {"x": "a" * 100_000}


@pytest.mark.parametrize(
    ("message", "text"),
    [
        ({"changes": [0, 0, 21, 22, [["config/q", 1, 1, "a", None]]]}, "out of order"),  # skips a revision
        ({"changes": [0, 0, 19, 21, [["config/q", 1, 1, "a", None]]]}, "out of order"),  # replays a revision
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
def test_a_frame_out_of_place_is_rejected_with_a_reason(message: dict[str, Any], text: str) -> None:
    cluster, session = make_session()
    before = cluster.store("b").records()
    with pytest.raises(SessionRejectedError, match=text):
        session.receive(encode(message), cluster.now)
    assert cluster.store("b").records() == before
    session.close(text)
    assert not cluster.converge(0.1) or cluster.converge(5.0)


def test_a_replica_of_protocol_1_is_rejected_and_both_sides_report_both_versions() -> None:
    cluster = SimulatedCluster("a", 1)
    dialing_session = cluster.replicas["a"].open_session("old", cluster.now, ("127.0.0.1", 9))
    hello_message = json.loads(dialing_session.next_payload(cluster.now) or b"")
    with pytest.raises(InvalidRecordError, match=f"protocol {PROTOCOL_VERSION}, this copy speaks 1"):
        # A replica of protocol 1 decodes the record like this, and logs the error.
        parse_record(hello_message["records"][0])
    accepting_session = cluster.replicas["a"].open_session("old", cluster.now)
    assert accepting_session.next_payload(cluster.now) is None, "the accepting side has to wait for the hello"
    with pytest.raises(
        SessionRejectedError, match=f"old speaks protocol 1 .*, this copy speaks {PROTOCOL_VERSION}"
    ) as rejection:
        accepting_session.receive(b'{"digest":{"config/x":[1,"old"]}}', cluster.now)
    accepting_session.close(str(rejection.value), accepting_session.closing.code)
    with pytest.raises(InvalidRecordError, match=f"protocol {PROTOCOL_VERSION}, this copy speaks 1"):
        parse_record(json.loads(accepting_session.next_payload(cluster.now) or b"")["records"][0])
    newer_session = cluster.replicas["a"].open_session("new", cluster.now)
    hello_message["hello"].update(protocol=3, node="new")
    with pytest.raises(
        SessionRejectedError, match=f"new speaks protocol 3, this copy speaks {PROTOCOL_VERSION}"
    ):
        newer_session.receive(encode(hello_message), cluster.now)


def test_a_record_that_fills_a_chunk_is_sent_alone_and_one_that_is_larger_is_invalid(tmp_path: Any) -> None:
    cluster = SimulatedCluster("ab", 1)
    rng = random.Random(1)
    for number in range(5):
        cluster.put("a", f"config/large/{number}", rng.randbytes(MAX_CHUNK_BYTES).hex())
    assert cluster.converge(60.0, [("a", "b")])
    with pytest.raises(InvalidRecordError, match="config/huge"):
        cluster.put("a", "config/huge", "x" * 300_000)
