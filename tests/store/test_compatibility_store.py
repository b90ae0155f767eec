"""The store's log and state file stay byte for byte compatible with revision 6e0cdec."""

from __future__ import annotations

import json
import shutil
import tempfile
from pathlib import Path
from typing import Any

import pytest

from sageturn.store.errors import LogCorruptedError
from sageturn.store.records import StoreRecord
from sageturn.store.replica_state import ReplicaState, read_replica_state, write_replica_state
from sageturn.store.store import Store

FIXTURES = Path(__file__).parents[1] / "fixtures" / "store"
NODE = "node-a"
START_S = 1_700_000_000.0

ACCOUNT = {
    "class": "walk-in",
    "tenant": "tổ-1",
    "group": "",
    "salt": "00ff10",
    "stored_key": "ab" * 32,
    "server_key": "cd" * 32,
    "iterations": 16384,
}
OVERRIDE = {
    "word": "set",
    "override": "01-west",
    "body": {"kind": "weight", "hosts": ["h1", "h2"], "factor": 0.25},
    "until_ms": 1_700_000_600_000.0,
    "operator": "linh",
    "why": 'disk "swap"\n',
    "forced": False,
}
# The values that are put, in this order, one second apart; None deletes.
OPERATIONS: list[tuple[str, Any]] = [
    ("config/accounts/lan", ACCOUNT),
    ("config/accounts/mai", {**ACCOUNT, "group": "night"}),
    ("overrides/01-west/0001-linh", OVERRIDE),
    ("config/log_level", "DEBUG"),
    ("config/log_level", "INFO"),
    ("config/accounts/mai", None),
    ("state/node-a/relay", {"standing": 3, "ended": {"served": 2}, "flows_dropped": 0}),
    ("notes/nested", {"z": [1, 2.5, -0.0, 1e-9, True, False, None], "a": {"b": {"c": [[], {}, ""]}}}),
    ("notes/deleted", {"short": "lived"}),
    ("notes/deleted", None),
]
RECORDS_OF_OTHERS = [
    StoreRecord("config/log_level", "WARNING", 3, "node-b", written_ms=1),
    StoreRecord("config/accounts/mai", "older", 1, "node-b", written_ms=2),
    StoreRecord("state/node-b/relay", {"standing": 0}, 9, "node-b"),
]


def open_store(path: Path) -> Store:
    times = iter(range(1000))
    return Store(NODE, path, lambda: START_S + next(times))


def write_operations(path: Path) -> None:
    store = open_store(path)
    for key, value in OPERATIONS:
        store.put(key, value)
    store.merge(RECORDS_OF_OTHERS)
    store.discard_records(["notes/deleted"])
    store.set_last_in_sync(START_S + 120.5)
    store.close()


def records_of(store: Store) -> list[dict[str, Any]]:
    return sorted((record.to_json() for record in store.records()), key=lambda record: record["key"])


def compact(path: Path) -> None:
    """Compact the log, as the store does once the log has grown far beyond its records."""
    store = open_store(path)
    store.compact()
    store.close()


def produce_fixtures() -> dict[str, bytes]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "store.log"
        write_operations(path)
        files = {"store.log": path.read_bytes()}
        files["store.log.standing"] = path.with_name("store.log.standing").read_bytes()
        store = open_store(path)
        lines = [json.dumps(record, sort_keys=True) + "\n" for record in records_of(store)]
        store.close()
        files["records.jsonl"] = "".join(lines).encode()
        compact(path)
        files["rewritten.log"] = path.read_bytes()
        unknown = Path(folder) / "unknown"
        write_replica_state(unknown, ReplicaState())
        files["unknown.standing"] = unknown.read_bytes()
        return files


def copy_fixture(folder: Path, name: str) -> Path:
    path = folder / "store.log"
    shutil.copyfile(FIXTURES / name, path)
    return path


def expected_records() -> list[dict[str, Any]]:
    return [json.loads(line) for line in (FIXTURES / "records.jsonl").read_text().splitlines()]


def test_the_same_operations_write_the_same_bytes() -> None:
    for name, data in produce_fixtures().items():
        assert data == (FIXTURES / name).read_bytes(), name


@pytest.mark.parametrize("name", ["store.log", "rewritten.log"])
def test_a_committed_log_yields_its_records_and_is_not_modified(tmp_path: Path, name: str) -> None:
    path = copy_fixture(tmp_path, name)
    store = open_store(path)
    assert records_of(store) == expected_records()
    store.close()
    assert path.read_bytes() == (FIXTURES / name).read_bytes()


def test_an_opened_log_reads_deletions_and_nested_values(tmp_path: Path) -> None:
    store = open_store(copy_fixture(tmp_path, "store.log"))
    assert store.get("config/accounts/lan") == ACCOUNT
    assert store.get("overrides/01-west/0001-linh") == OVERRIDE
    assert store.get("config/accounts/mai") is None
    assert store.get("config/log_level") == "WARNING"
    assert store.get("notes/nested") == dict(OPERATIONS)["notes/nested"]
    assert "config/accounts/mai" not in store.keys("config/accounts/")
    store.close()


def test_a_committed_state_file_is_read() -> None:
    assert read_replica_state(FIXTURES / "store.log.standing") == ReplicaState(
        last_in_sync=1_700_000_120.5, tombstone_floor=2
    )
    assert read_replica_state(FIXTURES / "unknown.standing") == ReplicaState(
        last_in_sync=None, tombstone_floor=0
    )


@pytest.mark.parametrize("position", [0, 17, 21, 25, 40, 200, 900])
def test_a_flipped_byte_in_the_log_is_rejected(tmp_path: Path, position: int) -> None:
    path = tmp_path / "store.log"
    data = bytearray((FIXTURES / "store.log").read_bytes())
    data[position] ^= 1
    path.write_bytes(data)
    with pytest.raises(LogCorruptedError):
        open_store(path)
