"""Clients of a replica that has not caught up with the others are rejected until it has."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.replication_fleet import SimulatedCluster, make_synced_cluster
from support.replication_member import SECRET, start_member

from sageturn.store.replication import ephemeral_client
from sageturn.store.replication.catch_up import PEER_SEARCH_TIME_S
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.replication.replica import Replica
from sageturn.store.store import Store

KEY = "config/accounts/lan"
OVERRIDE_KEY = "overrides/o/1"


def put_shards(cluster: SimulatedCluster, name: str, count: int) -> None:
    for number in range(count):
        cluster.put(name, f"config/shard/{number}", {"host": f"s-{number}", "epoch": number})


def make_cluster_with_history(is_in_sync: bool = True) -> SimulatedCluster:
    """Return a cluster in which clients have written twice, and whose records take seconds to fetch."""
    cluster = make_synced_cluster("abc", 1) if is_in_sync else SimulatedCluster("abc", 1)
    cluster.expects_peers = True
    for name in "abc":
        cluster.replicas[name].announce()
    put_shards(cluster, "a", 3000)
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    cluster.run(PEER_SEARCH_TIME_S + 1.0)
    for value in ("first", "second"):
        assert cluster.write_through_client("a", KEY, value)
        assert cluster.write_through_client("a", OVERRIDE_KEY, value)
    cluster.run(2.0)
    assert cluster.is_consistent()
    return cluster


def write_until_accepted(cluster: SimulatedCluster, name: str, key: str, value: object) -> float:
    """Write through one client after another until the replica accepts one; return the seconds it took."""
    started_at = cluster.now
    while not cluster.write_through_client(name, key, value):
        cluster.run(0.2)
        assert cluster.now - started_at < 120.0, "no client was ever accepted"
    return cluster.now - started_at


@pytest.mark.parametrize("is_in_sync", [True, False])
@pytest.mark.parametrize(("key", "value"), [(KEY, "third"), (KEY, None), (OVERRIDE_KEY, "third")])
def test_a_write_to_a_replica_restarted_in_memory_does_not_lose_to_an_older_one(
    is_in_sync: bool, key: str, value: object
) -> None:
    # Guards against versions that count from a store which has not been filled yet.
    cluster = make_cluster_with_history(is_in_sync)
    cluster.restart("b", wiped=True)
    assert not cluster.write_through_client("b", key, "too early")
    cluster.connect("a", "b")
    write_until_accepted(cluster, "b", key, value)
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    assert [cluster.store(name).get(key) for name in "abc"] == [value] * 3


@pytest.mark.parametrize("value", ["third", None])
def test_a_write_to_a_replica_restarted_from_its_disk_does_not_lose_to_what_it_missed(value: object) -> None:
    cluster = make_cluster_with_history()
    cluster.disconnect("a", "b")
    for number in range(5):
        assert cluster.write_through_client("a", KEY, f"missed by b: {number}")
    cluster.restart("b")
    assert not cluster.write_through_client("b", KEY, "too early")
    cluster.connect("c", "b")
    write_until_accepted(cluster, "b", KEY, value)
    assert cluster.converge(60.0, [("b", "c"), ("a", "c")])
    assert [cluster.store(name).get(KEY) for name in "abc"] == [value] * 3


def test_a_replica_that_lost_its_links_serves_no_client_before_it_has_looked_for_others() -> None:
    cluster = make_cluster_with_history()
    cluster.disconnect("a", "b")
    assert cluster.write_through_client("a", KEY, "missed by b")
    assert not cluster.write_through_client("b", KEY, "too early")
    cluster.connect("a", "b")
    assert write_until_accepted(cluster, "b", KEY, "third") < PEER_SEARCH_TIME_S
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    assert [cluster.store(name).get(KEY) for name in "abc"] == ["third"] * 3


def test_a_replica_that_starts_over_serves_no_client_before_it_is_filled() -> None:
    cluster = make_synced_cluster("abc", 1, horizon_s=60.0)
    for name in "abc":
        cluster.replicas[name].announce()
    put_shards(cluster, "a", 3000)
    assert cluster.write_through_client("a", KEY, "first")
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    cluster.run(5.0)
    cluster.disconnect("a", "b")
    cluster.run(150.0)
    assert cluster.write_through_client("a", KEY, "second")
    assert cluster.write_through_client("b", "config/alone", 1), "a replica without peers accepts writes"
    cluster.connect("a", "b")
    cluster.run(0.2)
    assert cluster.store("b").get(KEY) is None
    assert not cluster.write_through_client("b", KEY, "too early")
    cluster.connect("a", "b")
    write_until_accepted(cluster, "b", KEY, "third")
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    assert [cluster.store(name).get(KEY) for name in "abc"] == ["third"] * 3


def test_a_replica_whose_peers_are_all_unreachable_serves_clients_after_the_search() -> None:
    cluster = make_cluster_with_history()
    cluster.restart("b")
    waited_s = write_until_accepted(cluster, "b", KEY, "alone")
    assert PEER_SEARCH_TIME_S <= waited_s < PEER_SEARCH_TIME_S + 1.0
    report = cluster.replicas["b"].catch_up
    assert report.is_caught_up and report.rejected_clients > 0


def test_a_replica_that_knows_of_no_other_serves_clients_at_once() -> None:
    cluster = SimulatedCluster("a", 1)
    assert cluster.write_through_client("a", KEY, "first")


def test_a_rejection_tells_the_client_why_and_that_it_may_come_back() -> None:
    cluster = make_cluster_with_history()
    cluster.restart("b", wiped=True)
    replica: Replica = cluster.replicas["b"]
    assert not cluster.write_through_client("b", KEY, "too early")
    assert any("b is still catching up with the other members" in text for text in cluster.rejections)
    assert replica.catch_up.rejected_clients == 1


async def test_a_command_waits_for_a_member_that_is_being_filled() -> None:
    # 800 accounts take seconds at the usual byte budget; the command sees and supersedes what they hold.
    first = start_member(Store("n0"))
    for number in range(800):
        first.replica.store.put(
            f"config/accounts/{number}", {"salt": f"{number:032x}", "key": f"{number:064x}"}
        )
    first.replica.store.put(KEY, "second")
    second = start_member(Store("n1"), first.address)
    async with open_ephemeral_client(second.address, SECRET) as copy:
        assert copy.get(KEY) == "second" and len(copy.keys("config/accounts/")) == 801
        assert copy.put(KEY, "third").version > 1
    assert second.replica.store.get(KEY) == "third"
    assert second.replica.catch_up.rejected_clients > 0
    await second.stop()
    await first.stop()


async def test_a_command_that_waits_in_vain_says_what_the_member_is_doing(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(ephemeral_client, "MAX_CATCH_UP_WAIT_S", 1.0)
    member = start_member(Store("n0", tmp_path / "log"), ("127.0.0.1", 1))
    with pytest.raises(TimeoutError, match="n0 is still catching up with the other members"):
        async with open_ephemeral_client(member.address, SECRET, timeout_s=0.5):
            pass
    assert member.state_report()["catching_up"] is True
    await member.stop()


def test_a_write_that_a_restarted_replica_acknowledges_is_forwarded_at_once() -> None:
    # Guards against acknowledgements in memory while no peer takes this replica's changes yet.
    cluster = make_cluster_with_history()
    cluster.restart("b", wiped=True)
    cluster.connect("a", "b")
    write_until_accepted(cluster, "b", KEY, "third")
    cluster.run(0.2)
    cluster.restart("b", wiped=True)
    assert cluster.converge(60.0, [("a", "b"), ("a", "c")])
    assert [cluster.store(name).get(KEY) for name in "abc"] == ["third"] * 3
