"""The store on a disk that fails temporarily: acknowledged writes survive, and no others."""

from __future__ import annotations

import errno
import os
import stat
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from support.disk_faults import fail_syncs, limit_file_growth

from sageturn.store.log import MAGIC, RecordLog
from sageturn.store.records import StoreRecord
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.member_directory import member_key
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.replica import Replica
from sageturn.store.store import Store


def fail_to_truncate(record_log: RecordLog) -> None:
    """Replace ``RecordLog._truncate_to_size`` by a failing truncation."""
    raise OSError(errno.EIO, os.strerror(errno.EIO))


def reopened(store: Store, path: Path) -> Store:
    """Close the store, and return the one that a restart reads from the disk."""
    store.close()
    return Store("n1", path)


def test_acknowledged_writes_survive_a_disk_that_fails_temporarily(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two failures: an incomplete write that stays in the middle of the log makes it
    # unreadable, and a write whose sync failed reappears after a restart in place of the write acknowledged
    # later.
    path = tmp_path / "log"
    store = Store("n1", path)
    store.put("config/0", 0)
    with limit_file_growth(path, extra_bytes=20), pytest.raises(OSError, match="File too large"):
        store.put("config/1", "never acknowledged")
    store.put("config/2", 2)
    with fail_syncs(monkeypatch), pytest.raises(OSError, match="Input/output"):
        store.put("config/3", "zzzz, never acknowledged")
    for number in range(8):
        store.put(f"config/{number + 3}", f"acknowledged {number}")
    store = reopened(store, path)
    assert store.get("config/0") == 0 and store.get("config/1") is None and store.get("config/2") == 2
    assert [store.get(f"config/{number + 3}") for number in range(8)] == [
        f"acknowledged {number}" for number in range(8)
    ]
    store.close()


def test_nothing_is_written_after_an_incomplete_entry_that_cannot_be_truncated_yet(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "log"
    store = Store("n1", path)
    store.put("config/0", 0)
    with fail_syncs(monkeypatch):  # the truncation needs a sync too
        for _ in range(2):
            with pytest.raises(OSError, match="Input/output"):
                store.put("config/1", "never acknowledged")
    assert store.get("config/1") is None
    store.put("config/2", 2)
    store = reopened(store, path)
    assert store.keys() == ["config/0", "config/2"]
    store.close()


def test_a_kill_after_a_failed_write_leaves_a_log_that_can_be_read(tmp_path: Path) -> None:
    path = tmp_path / "log"
    store = Store("n1", path)
    store.put("config/0", 0)
    one_entry_log = path.read_bytes()
    store.put("config/1", 1)
    two_entry_log = path.read_bytes()
    store.close()
    for end in range(len(one_entry_log), len(two_entry_log)):  # every possible partial write, not truncated
        path.write_bytes(two_entry_log[:end])
        store = Store("n1", path)
        assert store.keys() == ["config/0"]
        store.close()


@pytest.mark.parametrize("fault", ["full", "no sync"])
def test_a_log_that_cannot_be_rewritten_now_stays_intact_and_is_rewritten_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    # Guards against a failed compaction that fails the write which triggered it, without notifying listeners.
    path = tmp_path / "log"
    store = Store("n1", path, min_compaction_bytes=2000)
    notified_keys: list[str] = []
    store.on_change.append(lambda records: notified_keys.extend(record.key for record in records))
    rewrite = RecordLog.rewrite

    def failing_rewrite(log: RecordLog, records: Iterable[StoreRecord]) -> None:
        if fault == "full":
            with limit_file_growth(tmp_path / "small", extra_bytes=20):
                rewrite(log, records)
        with fail_syncs(monkeypatch):
            rewrite(log, records)

    (tmp_path / "small").write_bytes(b"")
    monkeypatch.setattr(RecordLog, "rewrite", failing_rewrite)
    for number in range(30):
        store.put("config/0", f"{number:0100}")
    assert len(notified_keys) == 30
    monkeypatch.undo()
    store.put("config/1", 1)
    assert store.get("config/0") == f"{29:0100}"
    for number in range(30):
        store.put("config/0", f"{number + 30:0100}")
    assert path.stat().st_size < 10000  # the log was rewritten in the meantime
    store = reopened(store, path)
    assert store.get("config/0") == f"{59:0100}" and store.get("config/1") == 1
    store.close()


def test_writes_after_a_rewrite_go_to_the_new_log_though_its_directory_could_not_be_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against writes to the old file, which is unlinked, so that a restart does not read them.
    path = tmp_path / "log"
    store = Store("n1", path)
    store.put("config/0", 0)
    sync = os.fsync

    def fail_for_directories(descriptor: int) -> None:
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        sync(descriptor)

    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", fail_for_directories)
        with suppress(OSError):
            store.compact()
        with pytest.raises(OSError, match="Input/output"):
            store.put("config/1", "not durable yet: the directory may still name the old log")
    store.put("config/2", 2)
    store = reopened(store, path)
    assert store.keys() == ["config/0", "config/2"]
    store.close()


def test_deletions_leave_the_log_only_once_the_floor_above_them_is_on_the_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A later write to the key must supersede the tombstone that another replica may still have.
    path = tmp_path / "log"
    store = Store("n1", path)
    store.put("config/0", 0)
    deletion = store.put("config/0", None)
    with fail_syncs(monkeypatch):
        store.discard_records(["config/0"])
        with pytest.raises(OSError, match="Input/output"):
            store.compact()
    store.compact()
    store = reopened(store, path)
    assert store.put("config/0", 1).version > deletion.version
    store.close()


def test_a_store_opens_on_an_unwritable_disk_and_writes_once_the_disk_is_writable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a relay that cannot start because its log is new or has a torn tail to truncate.
    for name, initial_bytes in (("new", b""), ("torn", MAGIC[:5]), ("tail", MAGIC + b"\0\0\0")):
        path = tmp_path / name
        if initial_bytes:
            path.write_bytes(initial_bytes)
        with monkeypatch.context() as patched, fail_syncs(patched):
            patched.setattr(RecordLog, "_truncate_to_size", fail_to_truncate)
            store = Store("n1", path)
            with pytest.raises(OSError, match="Input/output"):
                store.put("config/1", "never acknowledged")
            assert store.get("config/1") is None
        store.put("config/2", 2)
        store = reopened(store, path)
        assert store.get("config/2") == 2 and store.get("config/1") is None, name
        store.close()


def test_listeners_are_notified_of_dropped_records_though_the_log_cannot_be_rewritten(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against records that leave the store without notification of the listeners, so that the next
    # comparison of replicas fails on a missing record.
    store = Store("n1", tmp_path / "log", wall_clock=lambda: 2000.0)
    store.put("state/n1/x", 1)
    store.merge([StoreRecord("config/a", 1, 9, "n2", 800_000)])
    discarded: list[str] = []
    store.on_discarded.append(discarded.extend)

    def fail_to_rewrite(record_log: RecordLog, records: Iterable[StoreRecord]) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patched:
        patched.setattr(RecordLog, "rewrite", fail_to_rewrite)
        assert store.drop_replicated_records() == 1
    assert discarded == ["config/a"] and store.keys() == ["state/n1/x"]
    store.put("config/b", 2)
    store = reopened(store, tmp_path / "log")
    assert store.get("config/b") == 2 and store.get("state/n1/x") == 1
    assert store.replica_state.last_in_sync is None  # the next start drops copied records left in the log
    store.close()


def test_a_member_is_announced_once_the_disk_is_writable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a member that stays unknown to the others because one write of its incarnation failed.
    store = Store("n1", tmp_path / "log")
    location = ReplicaLocation(("127.0.0.1", 7400), "r", "a")
    replica = Replica(store, Random(1), 0.0, location, lambda own: Overlay(own, (), Random(2)))
    with fail_syncs(monkeypatch), pytest.raises(OSError, match="Input/output"):
        replica.tick(1.0)
    assert store.get(member_key("n1")) is None
    replica.tick(2.0)
    announced = store.get(member_key("n1"))
    assert announced is not None
    replica.tick(3.0)
    assert store.get(member_key("n1")) == announced
    replica.close()
    store.close()
