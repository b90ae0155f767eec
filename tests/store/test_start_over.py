"""Starting over: what a replica keeps that was out of sync for longer than deletions are remembered."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Iterable
from pathlib import Path

import pytest
from support.replication_fleet import SimulatedCluster, make_synced_cluster

from sageturn.store.log import RecordLog
from sageturn.store.records import StoreRecord
from sageturn.store.replica_state import ReplicaState, read_replica_state
from sageturn.store.replication.sync_status import SETTLING_TIME_S
from sageturn.store.store import Store

HORIZON_S = 60.0
CLIENT = "operator-1"


def write_as_client(cluster: SimulatedCluster, name: str, key: str, value: object) -> StoreRecord:
    """Let a replica accept a write of an operator's client, which writes under a node name of its own."""
    known = cluster.store(name).record(key)
    version = 1 if known is None else known.version + 1
    record = StoreRecord(key, value, version, CLIENT, int(cluster.wall() * 1000.0))
    assert cluster.store(name).merge([record]) == 1
    return record


def make_lone_replica(away_s: float, horizon_s: float) -> SimulatedCluster:
    """Return a cluster in which a took writes while it was alone, and was then dead for ``away_s``.

    In the meantime b and c, which never met it, have come into sync.
    """
    cluster = SimulatedCluster("abc", 1, horizon_s=horizon_s)
    write_as_client(cluster, "a", "config/accounts/lan", {"class": "departures"})
    write_as_client(cluster, "a", "overrides/o/1", {"word": "set"})
    write_as_client(cluster, "a", "config/notice", "Tet desk")
    write_as_client(cluster, "a", "config/notice", None)
    cluster.connect("b", "c")
    cluster.run(max(away_s, SETTLING_TIME_S + 10.0))
    assert all(cluster.replicas[name].sync_status.recently_in_sync for name in "bc")
    return cluster


def converge_after_start_over(cluster: SimulatedCluster, links: list[tuple[str, str]]) -> None:
    """Wait until all replicas are equal again, with nothing withheld."""
    assert cluster.converge(120.0, links)
    cluster.run(5.0)  # a replica learns by heartbeats that it is in sync, and then releases what it withheld
    assert cluster.converge(60.0, links)
    assert not any(replica.store.quarantined_records for replica in cluster.replicas.values())


def assert_writes_of_lone_replica(cluster: SimulatedCluster) -> None:
    for name in "abc":
        store = cluster.store(name)
        assert store.get("config/accounts/lan") == {"class": "departures"}, name
        assert store.get("overrides/o/1") == {"word": "set"}, name
        deletion = store.record("config/notice")
        assert deletion is not None and deletion.value is None, name


@pytest.mark.parametrize("away_s", [70.0, 30 * 60.0])
def test_writes_that_a_replica_acknowledged_before_its_first_sync_survive_its_death(away_s: float) -> None:
    # Guards against dropping the writes of operators' clients as records that others may have deleted.
    cluster = make_lone_replica(away_s, horizon_s=7 * 86400.0)
    cluster.restart("a")
    converge_after_start_over(cluster, [("a", "b"), ("b", "c")])
    assert_writes_of_lone_replica(cluster)


def test_writes_older_than_the_horizon_survive_if_no_deletion_was_forgotten_meanwhile() -> None:
    # Guards against judging by age alone: a lone replica may hold its accounts for months.
    cluster = make_lone_replica(3 * HORIZON_S, HORIZON_S)
    cluster.restart("a")
    converge_after_start_over(cluster, [("a", "b"), ("b", "c")])
    for name in "abc":
        assert cluster.store(name).get("config/accounts/lan") == {"class": "departures"}, name
        assert cluster.store(name).get("overrides/o/1") == {"word": "set"}, name


def test_a_replica_that_dies_again_while_it_is_filled_still_keeps_its_writes() -> None:
    # Guards against a start over that forgets, by a second death, which records it had withheld.
    cluster = make_lone_replica(3 * HORIZON_S, HORIZON_S)
    for number in range(3000):
        cluster.put("b", f"config/shard/{number}", {"host": number})
    cluster.run(30.0)
    for _ in range(3):
        cluster.restart("a")
        cluster.connect("a", "b")
        cluster.run(0.4)
        assert not cluster.replicas["a"].sync_status.recently_in_sync
    cluster.restart("a")
    converge_after_start_over(cluster, [("a", "b"), ("b", "c")])
    assert all(cluster.store(name).get("overrides/o/1") == {"word": "set"} for name in "abc")


@pytest.mark.parametrize("is_killed", [False, True])
def test_writes_of_a_member_that_was_cut_off_survive_a_death_during_its_start_over(is_killed: bool) -> None:
    # Guards against losing, with the time of the last sync, which records the others cannot have.
    cluster = make_synced_cluster("abc", 1, horizon_s=HORIZON_S)
    for number in range(3000):
        cluster.put("a", f"config/shard/{number}", {"host": number})
    cluster.run(40.0)
    assert cluster.is_consistent()
    cluster.disconnect("a", "c")
    cluster.run(5.0)
    write_as_client(cluster, "c", "config/late", "kept")
    for number in range(40):  # discarded deletions raise the floor above the version of the write
        cluster.put("a", "config/short", number)
    cluster.put("a", "config/short", None)
    cluster.run(3 * HORIZON_S)
    assert cluster.store("a").replica_state.tombstone_floor > 1
    cluster.connect("a", "c")
    cluster.run(0.4)
    if is_killed:
        cluster.restart("c")
    converge_after_start_over(cluster, [("a", "b"), ("a", "c")])
    assert all(cluster.store(name).get("config/late") == "kept" for name in "abc")


def test_a_record_whose_deletion_was_forgotten_does_not_come_back_from_the_quarantine() -> None:
    cluster = make_synced_cluster("abc", 1, horizon_s=HORIZON_S)
    write_as_client(cluster, "a", "config/gone", 1)
    write_as_client(cluster, "a", "config/stays", 1)
    cluster.run(5.0)
    cluster.disconnect("a", "c")
    write_as_client(cluster, "b", "config/gone", None)
    cluster.run(2 * HORIZON_S)
    assert cluster.store("a").record("config/gone") is None, "the tombstone was not discarded"
    cluster.restart("c")
    converge_after_start_over(cluster, [("a", "b"), ("a", "c")])
    assert all(cluster.store(name).get("config/gone") is None for name in "abc")
    assert all(cluster.store(name).get("config/stays") == 1 for name in "abc")


def test_withheld_records_stay_in_the_log_until_they_are_released(tmp_path: Path) -> None:
    path = tmp_path / "log"
    store = Store("n1", path, wall_clock=lambda: 1000.0, min_compaction_bytes=100)
    store.merge(
        [StoreRecord("config/old", "kept", 3, CLIENT, 500_000), StoreRecord("config/x", 1, 1, CLIENT)]
    )
    assert store.quarantine_records(deletable_before=900.0) == 2
    assert store.keys() == [] and store.put("config/x", 2).version == 2
    store.compact()
    store.close()
    store = Store("n1", path, wall_clock=lambda: 1000.0)
    assert (store.get("config/old"), store.get("config/x")) == ("kept", 2)
    assert store.quarantine_records(deletable_before=900.0) == 1
    store.raise_tombstone_floor(2)
    store.set_last_in_sync(1000.0)
    assert not store.quarantined_records
    store.close()
    store = Store("n1", path)
    assert (store.get("config/old"), store.get("config/x")) == ("kept", 2)
    store.close()


def test_records_at_or_below_the_floor_are_dropped_from_the_log_at_the_release(tmp_path: Path) -> None:
    path = tmp_path / "log"
    store = Store("n1", path, wall_clock=lambda: 1000.0)
    store.merge(
        [StoreRecord("config/old", 1, 3, CLIENT, 500_000), StoreRecord("config/new", 1, 1, CLIENT, 999_000)]
    )
    assert store.quarantine_records(deletable_before=900.0) == 1
    store.raise_tombstone_floor(3)
    store.set_last_in_sync(1000.0)
    assert store.keys() == ["config/new"] and store.put("config/old", 2).version == 4
    store.close()
    assert b'"config/old", "value": 1' not in path.read_bytes()
    (backup,) = tmp_path.glob("log.dropped-*")
    assert b"config/old" in backup.read_bytes()


def test_a_state_file_of_the_previous_program_is_read_and_new_fields_are_written_only_where_set(
    tmp_path: Path,
) -> None:
    path = tmp_path / "log.standing"
    path.write_text('{"in_step": 900.5, "floor": 7}')
    assert read_replica_state(path) == ReplicaState(900.5, 7)
    store = Store("n1", tmp_path / "log", wall_clock=lambda: 1000.0)
    store.quarantine_records(deletable_before=900.0)
    assert json.loads(path.read_text()) == {"in_step": None, "floor": 7, "unsent_since": 900.5}
    store.set_last_in_sync(1000.0)
    assert json.loads(path.read_text()) == {"in_step": 1000.0, "floor": 7}
    store.mark_removed()
    store.close()
    reopened = Store("n1", tmp_path / "log")
    assert reopened.replica_state == ReplicaState(None, 7, was_removed=True)
    reopened.close()


@pytest.mark.parametrize("was_removed", [False, True])
def test_a_replica_counts_as_in_sync_only_once_dropped_records_have_left_its_log(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, was_removed: bool
) -> None:
    # Guards against deleted records that a restart takes for valid, as the log could not be rewritten.
    path = tmp_path / "log"
    store = Store("n1", path, wall_clock=lambda: 1000.0)
    if was_removed:
        store.mark_removed()
    store.merge([StoreRecord("config/gone", 1, 1, CLIENT, 500_000)])
    with monkeypatch.context() as patched:
        patched.setattr(RecordLog, "rewrite", fail_to_rewrite)
        if was_removed:
            assert store.drop_replicated_records() == 1
        else:
            assert store.quarantine_records(deletable_before=900.0) == 1
        store.raise_tombstone_floor(1)
        with pytest.raises(OSError, match="No space"):
            store.set_last_in_sync(1000.0)
        assert store.replica_state.last_in_sync is None
    store.close()
    store = Store("n1", path, wall_clock=lambda: 1000.0)
    assert store.replica_state == ReplicaState(None, 1, was_removed=was_removed)
    assert store.get("config/gone") == 1, "it is not in sync, and starts over again"
    if was_removed:
        assert store.drop_replicated_records() == 1
    else:
        assert store.quarantine_records(deletable_before=900.0) == 1
    store.set_last_in_sync(1000.0)
    store.close()
    store = Store("n1", path)
    assert store.get("config/gone") is None and store.replica_state == ReplicaState(1000.0, 1)
    store.close()


def fail_to_rewrite(record_log: RecordLog, records: Iterable[StoreRecord]) -> None:
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def test_a_second_start_over_does_not_replace_a_withheld_record_by_an_older_one() -> None:
    # Guards against losing a withheld write to the version that a peer had sent before the second start over.
    store = Store("n1", wall_clock=lambda: 1000.0)
    store.merge([StoreRecord("config/x", "newer", 5, CLIENT, 500_000)])
    assert store.quarantine_records(deletable_before=900.0) == 1
    store.merge([StoreRecord("config/x", "older", 2, "n2", 400_000)])
    assert store.quarantine_records(deletable_before=900.0) == 1
    store.set_last_in_sync(1000.0)
    assert store.get("config/x") == "newer"
