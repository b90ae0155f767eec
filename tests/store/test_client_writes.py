"""Writes of operators' clients: their versions, and what else a client may bring to a replica."""

from __future__ import annotations

import random
import time
from pathlib import Path

import pytest
from support.replication_fleet import SimulatedCluster, make_synced_cluster
from typer.testing import CliRunner

from sageturn.cli.main import build_app
from sageturn.store.records import StoreRecord, supersedes
from sageturn.store.replication.catch_up import PEER_SEARCH_TIME_S
from sageturn.store.store import Store

KEY = "config/accounts/lan"


def values(cluster: SimulatedCluster, key: str = KEY) -> list[object]:
    """Return the value of a key at each member."""
    return [cluster.store(name).get(key) for name in "abc"]


def test_a_client_writes_above_a_deletion_that_its_replica_has_forgotten() -> None:
    # Guards against a client without the tombstone floor: another replica may still hold the tombstone.
    cluster = make_synced_cluster("abc", 1)
    assert cluster.write_through_client("a", KEY, "first")
    assert cluster.write_through_client("a", KEY, None)
    cluster.run(3.0)
    cluster.store("a").discard_records([KEY])  # a discards it first, as if its clock were ahead
    assert cluster.write_through_client("a", KEY, "anew")
    assert cluster.converge(30.0, [("a", "b"), ("a", "c")])
    assert values(cluster) == ["anew"] * 3


def restart_alone(cluster: SimulatedCluster, name: str) -> None:
    """Restart a replica from its disk, and let it find that it reaches nobody."""
    cluster.restart(name)
    cluster.run(PEER_SEARCH_TIME_S + 1.0)


def test_of_writes_that_follow_each_other_at_replicas_that_never_met_the_last_one_stays() -> None:
    # Guards against versions that count writes: two earlier ones would win over a later one.
    cluster = make_synced_cluster("abc", 1)
    for name in "abc":
        cluster.replicas[name].announce()
    assert cluster.write_through_client("a", KEY, "first")
    cluster.run(3.0)
    cluster.disconnect("a", "b")
    cluster.disconnect("a", "c")
    restart_alone(cluster, "a")
    assert cluster.write_through_client("a", KEY, "second")
    assert cluster.write_through_client("a", KEY, "third")
    cluster.connect("b", "c")
    cluster.run(PEER_SEARCH_TIME_S + 1.0)
    assert cluster.write_through_client("b", KEY, "fourth")
    assert cluster.write_through_client("b", "config/gone", "kept until now")
    assert cluster.converge(30.0, [("a", "b"), ("b", "c")])
    assert values(cluster) == ["fourth"] * 3


@pytest.mark.parametrize("value", ["third", None])
def test_a_write_at_a_replica_that_has_not_received_the_one_before_it_supersedes_it(value: object) -> None:
    # A byte budget that is used up delays a write at the other replicas, which know nothing of the delay.
    cluster = make_synced_cluster("abc", 1, rate=8192.0)
    rng = random.Random(1)
    assert cluster.write_through_client("a", KEY, "first")
    cluster.run(3.0)
    for number in range(2000):
        cluster.put("a", f"config/bulk/{number}", rng.randbytes(60).hex())
    assert cluster.write_through_client("a", KEY, "second")
    assert cluster.write_through_client("a", KEY, "second, corrected")
    assert cluster.store("b").get(KEY) == "first", "the delay is what this test is about"
    assert cluster.write_through_client("b", KEY, value)
    assert cluster.converge(120.0, [("a", "b"), ("a", "c")])
    assert values(cluster) == [value] * 3


def test_a_write_supersedes_what_its_replica_holds_though_the_clock_was_set_back() -> None:
    cluster = make_synced_cluster("abc", 1)
    assert cluster.write_through_client("a", KEY, "first")
    cluster.run(3.0)
    cluster.wall_epoch_s -= 3600.0
    assert cluster.write_through_client("b", KEY, "second")
    assert cluster.converge(30.0, [("a", "b"), ("a", "c")])
    assert values(cluster) == ["second"] * 3


def test_a_command_on_a_log_writes_above_what_other_replicas_acknowledged_before(tmp_path: Path) -> None:
    # The daemon of the log was off, so that the log lacks what was written elsewhere.
    path = tmp_path / "store.log"
    clock_ms = int(time.time() * 1000.0)
    result = CliRunner().invoke(
        build_app(include_lab=False), ["store", "--path", str(path), "put", KEY, '"by command"']
    )
    assert result.exit_code == 0, result.output
    store = Store("a", path)
    written = store.record(KEY)
    assert written is not None and supersedes(written, StoreRecord(KEY, "elsewhere", clock_ms, "operator-1"))
    store.close()


def test_a_client_that_connects_again_brings_back_nothing_but_its_own_writes() -> None:
    # Guards against deleted records that return from the copy of a client whose member was restarted.
    cluster = make_synced_cluster("abc", 1, horizon_s=60.0)
    assert cluster.write_through_client("a", KEY, "to be deleted")
    cluster.run(3.0)
    client = cluster.start_client()
    cluster.connect(client, "a")
    cluster.run(1.0)
    assert cluster.store(client).get(KEY) == "to be deleted"
    cluster.disconnect(client, "a")
    assert cluster.write_through_client("a", KEY, None)
    cluster.run(100.0)
    assert [cluster.store(name).record(KEY) for name in "abc"] == [None] * 3, "the deletion was not forgotten"
    cluster.restart("a")
    cluster.connect("a", "b")
    cluster.connect("a", "c")
    cluster.run(5.0)
    cluster.store(client).put("config/own", 1)
    cluster.connect(client, "a")
    cluster.run(1.0)
    cluster.stop_client(client, "a")
    assert cluster.converge(30.0, [("a", "b"), ("a", "c")])
    assert values(cluster, "config/own") == [1] * 3
    assert values(cluster) == [None] * 3
