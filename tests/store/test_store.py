"""The store under crashes, disk corruption, partitions and unauthorized peers."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from support.replication_member import SECRET, start_member
from typer.testing import CliRunner, Result

from sageturn.cli.main import build_app
from sageturn.store.channel import AuthenticatedChannel, read_secret
from sageturn.store.errors import HandshakeRejectedError, InvalidRecordError, LogCorruptedError
from sageturn.store.log import scan
from sageturn.store.records import StoreRecord
from sageturn.store.store import Store


def write_three_records(path: Path) -> bytes:
    store = Store("n1", path)
    for number in range(3):
        store.put(f"config/{number}", {"v": number})
    store.close()
    return path.read_bytes()


def test_a_write_survives_a_restart(tmp_path: Path) -> None:
    write_three_records(tmp_path / "log")
    store = Store("n1", tmp_path / "log")
    assert store.keys("config/") == ["config/0", "config/1", "config/2"] and store.get("config/2") == {"v": 2}
    with pytest.raises(OSError, match="another process"):
        Store("n1", tmp_path / "log")  # two writers would corrupt each other's entries
    store.close()


def test_a_torn_tail_is_dropped_whatever_its_length(tmp_path: Path) -> None:
    complete_log = write_three_records(tmp_path / "log")
    third_entry_offset = len(complete_log) - len(complete_log.split(b'{"key"')[-1]) - 6 - 12
    for end in range(third_entry_offset, len(complete_log)):
        (tmp_path / "log").write_bytes(complete_log[:end])
        store = Store("n1", tmp_path / "log")
        assert store.keys() == ["config/0", "config/1"]
        store.put("config/9", 9)
        store.close()
        reopened = Store("n1", tmp_path / "log")
        assert reopened.get("config/9") == 9
        reopened.close()


def test_corruption_elsewhere_is_an_error_and_not_a_shorter_log(tmp_path: Path) -> None:
    # A corrupted length in the middle resembles a torn tail, and would silently drop all later entries.
    complete_log = write_three_records(tmp_path / "log")
    first = complete_log.index(b'{"key"')
    for position in (0, first - 12, first - 9, first - 1, first + 3):
        (tmp_path / "log").write_bytes(
            complete_log[:position] + bytes([complete_log[position] ^ 0x40]) + complete_log[position + 1 :]
        )
        with pytest.raises(LogCorruptedError):
            Store("n1", tmp_path / "log")


def test_reading_a_log_copies_each_byte_at_most_twice(tmp_path: Path) -> None:
    class Counting(bytes):
        copied = 0

        def __getitem__(self, position):  # type: ignore[no-untyped-def]  # overloaded in bytes
            found = bytes(self)[position] if isinstance(position, int) else super().__getitem__(position)
            Counting.copied += len(found) if isinstance(found, bytes) else 1
            return found

    store = Store("n1", tmp_path / "log")
    store.merge([StoreRecord(f"config/{number}", number, 1, "n1") for number in range(300)])
    store.close()
    data = Counting((tmp_path / "log").read_bytes())
    records, end = scan(data)
    assert len(records) == 300 and end == len(data) and Counting.copied <= 2 * len(data)


def test_a_grown_log_is_compacted_to_the_current_records(tmp_path: Path) -> None:
    store = Store("n1", tmp_path / "log", min_compaction_bytes=2000)
    for number in range(100):
        store.put("config/a", number)
    store.put("config/b", 1)
    store.close()
    reopened = Store("n1", tmp_path / "log")
    assert (reopened.get("config/a"), reopened.get("config/b")) == (99, 1)
    reopened.close()


def test_the_last_sync_and_the_tombstone_floor_are_known_after_a_restart(tmp_path: Path) -> None:
    store = Store("n1", tmp_path / "log", wall_clock=lambda: 1000.0)
    store.put("config/a", 1)
    store.put("config/a", None)
    store.set_last_in_sync(900.0)
    store.discard_records(["config/a"])
    store.put("config/b", 1)
    store.compact()
    store.close()
    reopened = Store("n1", tmp_path / "log", wall_clock=lambda: 2000.0)
    assert (reopened.replica_state.last_in_sync, reopened.replica_state.tombstone_floor) == (
        900.0,
        2,
    ) and reopened.record("config/a") is None
    assert reopened.put("config/a", 2).version == 3
    reopened.merge([StoreRecord("config/c", 1, 9, "n2", 800_000), StoreRecord("state/n1/x", 1, 1, "n1")])
    assert reopened.drop_replicated_records() == 1, (
        "later writes of this node, and its own states, are retained"
    )
    reopened.close()
    (backup,) = tmp_path.glob("log.dropped-*")
    assert b"config/c" in backup.read_bytes() and b"config/c" not in (tmp_path / "log").read_bytes()
    (tmp_path / "log.standing").write_text("{damaged")
    last = Store("n1", tmp_path / "log")
    assert last.replica_state.last_in_sync is None and last.keys() == ["config/a", "config/b", "state/n1/x"]
    last.close()


def test_the_larger_version_and_node_wins_in_any_order() -> None:
    records = [StoreRecord("k", "a", 1, "n1"), StoreRecord("k", "b", 2, "n1"), StoreRecord("k", "c", 2, "n2")]
    for order in (records, records[::-1], [records[1], records[2], records[0]]):
        store = Store("n3")
        for record in order:
            store.merge([record])
        assert store.get("k") == "c"


def test_state_keys_are_written_by_their_own_node_only() -> None:
    store = Store("n1")
    store.put("state/n1/x", 1)
    with pytest.raises(InvalidRecordError):
        store.put("state/n2/x", 1)


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.timeout(300)
async def test_replicas_converge_after_a_partition_and_forward_records() -> None:
    # b and c write the same key while partitioned; they converge over a chain of links through a.
    store_a, store_b, store_c = Store("a"), Store("b"), Store("c")
    member_a = start_member(store_a)
    member_b = start_member(store_b, member_a.address)
    store_b.put("config/x", "first")
    await wait_until(lambda: store_a.get("config/x") == "first")
    await member_b.stop()
    store_b.put("config/x", "mine")
    store_c.put("config/x", "theirs")
    store_c.put("config/only-c", 1)
    store_a.put("config/x", None)
    member_b, member_c = start_member(store_b, member_a.address), start_member(store_c, member_a.address)
    await wait_until(
        lambda: store_a.digest() == store_b.digest() == store_c.digest() and store_a.get("config/only-c") == 1
    )
    assert store_a.get("config/x") == store_b.get("config/x") == store_c.get("config/x") == "mine"
    store_a.put("config/live", 5)
    await wait_until(lambda: store_c.get("config/live") == 5)
    for member in (member_a, member_b, member_c):
        await member.stop()


@pytest.mark.timeout(300)
async def test_an_unauthorized_peer_and_a_tampered_frame_are_rejected(
    caplog: pytest.LogCaptureFixture,
) -> None:
    store, other_store = Store("a"), Store("b")
    member = start_member(store)
    unauthorized_member = start_member(other_store, member.address, secret=read_secret("another"))
    other_store.put("config/evil", 1)
    reader, writer = await asyncio.open_connection(*member.address)
    writer.write(b"\x00\x00\x00\x02{}")
    assert await asyncio.wait_for(reader.read(), 5) is not None  # closed without any record of the store
    await wait_until(lambda: "the secrets differ" in caplog.text)
    # The store has its own advertisement only.
    assert store.keys() == ["state/a/member"] and member.link_count == 0
    await unauthorized_member.stop()
    await member.stop()

    sender_socket, receiver_socket = socket.socketpair()
    sender_socket.setblocking(False)
    receiver_socket.setblocking(False)
    sender = AuthenticatedChannel(sender_socket, SECRET, "l")
    receiver = AuthenticatedChannel(receiver_socket, SECRET, "r")
    await asyncio.gather(sender.perform_handshake(True), receiver.perform_handshake(False))
    await sender.send(b'{"records":[]}')
    loop = asyncio.get_running_loop()
    frame = await loop.sock_recv(receiver_socket, 4096)
    await loop.sock_sendall(sender_socket, frame)
    assert await receiver.receive() == b'{"records":[]}'
    await loop.sock_sendall(sender_socket, frame)  # replays the recorded frame
    with pytest.raises(HandshakeRejectedError, match="tampered"):
        await receiver.receive()
    sender_socket.close()
    receiver_socket.close()


def run_store_command(*arguments: str, stdin: str = "") -> Result:
    return CliRunner().invoke(build_app(), ["store", *arguments], input=stdin)


@pytest.mark.timeout(300)
async def test_an_operator_adds_an_account_offline_and_to_a_running_daemon(tmp_path: Path) -> None:
    path = str(tmp_path / "log")
    account = ("account", "lan", "--class", "c", "--tenant", "t")
    result = await asyncio.to_thread(run_store_command, "--path", path, *account, stdin="secret word\n")
    assert result.exit_code == 0
    record = json.loads(
        (await asyncio.to_thread(run_store_command, "--path", path, "get", "config/accounts/lan")).output
    )
    missing = await asyncio.to_thread(run_store_command, "--path", path, "get", "config/accounts/mai")
    assert missing.exit_code == 4
    without_store = await asyncio.to_thread(run_store_command, "get", "config/accounts/lan")
    assert without_store.exit_code == 2
    assert record["tenant"] == "t" and "secret word" not in (tmp_path / "log").read_text(errors="replace")

    (tmp_path / "secret").write_text("one secret\n")
    store = Store("daemon")
    running = start_member(store)
    connect_options = [
        "--connect",
        "{}:{}".format(*running.address),
        "--secret-file",
        str(tmp_path / "secret"),
    ]
    result = await asyncio.to_thread(
        run_store_command, *connect_options, "put", "config/log_level", '"DEBUG"'
    )
    assert result.exit_code == 0
    assert store.get("config/log_level") == "DEBUG"
    await running.stop()
