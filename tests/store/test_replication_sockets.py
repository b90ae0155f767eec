"""Replication over real sockets: dead hubs, slow followers, wiped replicas and invalid frames."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest
from support.replication_fleet import SeedDialer

from sageturn.config.errors import ConfigError
from sageturn.config.operator import read_operator_file
from sageturn.decision import RequestClass, Settings
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.net.connecting import ConnectFailure, connect
from sageturn.store.channel import AuthenticatedChannel, read_secret
from sageturn.store.errors import InvalidRecordError
from sageturn.store.records import parse_record
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.replication.replica import TickResult
from sageturn.store.replication.wire import decode, encode
from sageturn.store.store import Store

SECRET = read_secret("one secret")
Address = tuple[str, int]

pytestmark = pytest.mark.timeout(300)  # each wait also has its own time limit


async def wait_until(condition: Callable[[], Any], within_s: float = 20.0) -> None:
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.005)


def start_member(
    name: str,
    *seeds: Address,
    path: Path | None = None,
    zone: str = "",
    dials_only_seeds: bool = True,
    rate: float = 13.5e3,
) -> ReplicationMember:
    """Start a member that dials its seeds, or without ``dials_only_seeds`` the overlay's choice of peers."""
    options = ReplicationOptions(("127.0.0.1", 0), seeds, SECRET, "r", zone, rate)
    topology = partial(SeedDialer, seeds=seeds) if dials_only_seeds else None
    member = ReplicationMember(
        Store(name, path), options, AdmissionController(ProcessLimits(64, 64.0)), Random(name), topology
    )
    member.start()
    return member


def store_of(member: ReplicationMember) -> Store:
    return member.replica.store


@pytest.fixture
async def members() -> AsyncIterator[list[ReplicationMember]]:
    """Yield a list for the members that a test starts, and stop them at its end."""
    started: list[ReplicationMember] = []
    yield started
    for member in started:
        await member.stop()


async def open_channel(address: Address, name: str = "x") -> tuple[AuthenticatedChannel, socket.socket]:
    """Open an authenticated channel to a member, on which the test sends its own frames."""
    sock = await connect(address, 1.0)
    assert not isinstance(sock, ConnectFailure)
    channel = AuthenticatedChannel(sock, SECRET, name)
    await channel.perform_handshake(True)
    return channel, sock


def hello_frame(name: str, **changed_fields: Any) -> bytes:
    hello = {
        "protocol": 2,
        "node": name,
        "incarnation": 7,
        "heads": [0, 0],
        "roots": [0, 0],
        "counts": [0, 0],
        "fresh": False,
        "foreign": False,
        "floor": 0,
        "guest": False,
        "member": ["127.0.0.1", 1, "r", ""],
    }
    return encode({"hello": {**hello, **changed_fields}})


async def receive_message(channel: AuthenticatedChannel, kind: str) -> Any:
    async with asyncio.timeout(10.0):
        while True:
            message = decode(await channel.receive())
            if kind in message:
                return message[kind]


async def start_fleet(members: list[ReplicationMember], count: int) -> None:
    """Start members that know only the first one, and wait until each knows all others."""
    members.append(start_member("n0", dials_only_seeds=False))
    seed = members[0].address
    members += [start_member(f"n{number}", seed, dials_only_seeds=False) for number in range(1, count)]
    await wait_until(lambda: all(len(member.replica.members) == count for member in members))


async def test_a_change_reaches_every_member_and_a_killed_hub_is_replaced(
    members: list[ReplicationMember],
) -> None:
    await start_fleet(members, 6)
    store_of(members[3]).put("config/x", 1)
    await wait_until(lambda: all(store_of(member).get("config/x") == 1 for member in members))
    # The hub is the member with the most links; n0 is the only seed of the others.
    hub = max(members, key=lambda member: member.link_count)
    members.remove(hub)
    await hub.stop()
    for number, member in enumerate(members):
        store_of(member).put(f"config/after/{number}", number)
    await wait_until(lambda: all(len(store_of(member).keys("config/after/")) == 5 for member in members))
    await wait_until(lambda: len({tuple(member.replica.records.changes.roots) for member in members}) == 1)


async def test_an_unresponsive_hub_is_detected_and_replaced(members: list[ReplicationMember]) -> None:
    # Simulates the failure of a machine or a switch: no reset arrives, only the heartbeats stop.
    await start_fleet(members, 5)
    hub = max(members, key=lambda member: member.link_count)
    members.remove(hub)
    for session in hub.replica.sessions:
        session.next_payload = lambda now: None  # type: ignore[method-assign]
        session.receive = lambda payload, now: None  # type: ignore[method-assign]
    hub.replica.tick = lambda now: TickResult((), now + 60.0)  # type: ignore[method-assign]
    hub.listener.stop_accepting()
    started_at = asyncio.get_running_loop().time()
    writer = members[0]
    store_of(writer).put("config/x", 1)
    await wait_until(lambda: all(store_of(member).get("config/x") == 1 for member in members))
    assert asyncio.get_running_loop().time() - started_at < 15.0
    await hub.stop()


async def test_a_follower_that_reads_nothing_delays_no_other_and_is_disconnected(
    members: list[ReplicationMember],
) -> None:
    hub = start_member("hub", rate=1e8)
    other = start_member("other", hub.address)
    members += [hub, other]
    channel, sock = await open_channel(hub.address, "slow")
    await channel.send(hello_frame("slow"))
    await receive_message(channel, "hello")
    await channel.send(encode({"follow": [[0, 0, 0], [0, 0, 0]]}))
    await wait_until(lambda: hub.link_count == 2)

    async def send_heartbeats() -> None:
        while True:
            await channel.send(b'{"beat":[[0,0],[0,0],null,null,0,false,{},null]}')
            await asyncio.sleep(0.2)

    heartbeats = asyncio.ensure_future(send_heartbeats())
    text = Random(1).randbytes(8000).hex()
    for number in range(200):
        store_of(hub).put(f"config/{number}", text)
    await wait_until(lambda: len(store_of(other).keys("config/")) == 200)
    (session,) = [session for session in hub.replica.sessions if session.peer == "slow"]
    assert session.change_exchange.chunks_in_flight <= 6, "the other chunks are not queued"
    assert hub.link_count == 2
    heartbeats.cancel()
    await wait_until(lambda: hub.link_count == 1)
    sock.close()


async def test_a_wiped_replica_is_restored_and_its_own_states_get_newer_versions(
    members: list[ReplicationMember], tmp_path: Path
) -> None:
    hub = start_member("hub", path=tmp_path / "hub")
    members.append(hub)
    wiped = start_member("w", hub.address, path=tmp_path / "w")
    for number in range(500):
        store_of(hub).put(f"config/{number}", number)
    for number in range(5):
        store_of(wiped).put("state/w/x", number)
    await wait_until(
        lambda: len(store_of(wiped).keys("config/")) == 500 and store_of(hub).get("state/w/x") == 4
    )
    await wiped.stop()
    store_of(wiped).close()
    for file in tmp_path.glob("w*"):
        file.unlink()
    wiped = start_member("w", hub.address, path=tmp_path / "w")
    members.append(wiped)
    store_of(wiped).put("state/w/x", "new")  # written before it has received its earlier versions
    await wait_until(lambda: len(store_of(wiped).keys("config/")) == 500)
    await wait_until(lambda: store_of(wiped).get("state/w/x") == 4)
    store_of(wiped).put("state/w/x", "newer")
    await wait_until(lambda: store_of(hub).get("state/w/x") == "newer")


async def test_a_restart_from_disk_fetches_only_what_differs(
    members: list[ReplicationMember], tmp_path: Path
) -> None:
    hub = start_member("hub")
    members.append(hub)
    other = start_member("o", hub.address, path=tmp_path / "o")
    for number in range(1000):
        store_of(hub).put(f"config/{number}", number)
    await wait_until(lambda: len(store_of(other).keys("config/")) == 1000)
    await other.stop()
    store_of(other).close()
    store_of(hub).put("config/7", "new")
    consumed_before = hub.replica.budget.consumed_bytes
    other = start_member("o", hub.address, path=tmp_path / "o")
    members.append(other)
    await wait_until(lambda: store_of(other).get("config/7") == "new")
    assert hub.replica.budget.consumed_bytes - consumed_before < 6000


def error_of_protocol_1(message: dict[str, Any]) -> str:
    """Return the error that a program of protocol 1 logs for a message that is not a digest."""
    try:
        for obj in message["records"]:
            parse_record(obj)
    except (InvalidRecordError, KeyError) as error:
        return f"not understood: {error}"
    return ""


async def accept_as_protocol_1(listening: socket.socket, name: str) -> dict[str, Any]:
    """Accept one link as a member of protocol 1 does; return the message that it receives."""
    sock, _ = await asyncio.get_running_loop().sock_accept(listening)
    sock.setblocking(False)
    channel = AuthenticatedChannel(sock, SECRET, name)
    await channel.perform_handshake(False)
    await channel.send(b'{"digest":{}}')
    message = decode(await channel.receive())
    sock.close()
    return message


async def test_a_peer_of_protocol_1_and_this_member_both_report_the_two_versions(
    members: list[ReplicationMember],
    caplog: pytest.LogCaptureFixture,
) -> None:
    members.append(start_member("n0"))
    channel, sock = await open_channel(members[0].address, "old")
    await channel.send(b'{"digest":{"config/evil":[1,"old"]}}')
    answer = decode(await channel.receive())
    assert "needs protocol 2, this copy speaks 1" in error_of_protocol_1(answer)
    await wait_until(lambda: "old speaks protocol 1 (whole digests), this copy speaks 2" in caplog.text)
    sock.close()

    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    accepting = asyncio.ensure_future(accept_as_protocol_1(listening, "old2"))
    members.append(start_member("n1", listening.getsockname()))
    assert "needs protocol 2, this copy speaks 1" in error_of_protocol_1(await accepting)
    await wait_until(lambda: "old2 speaks protocol 1 (whole digests), this copy speaks 2" in caplog.text)
    listening.close()
    assert all(store_of(member).keys() == [f"state/{store_of(member).node}/member"] for member in members)


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        (b"zzzzzz", "cannot be unpacked"),
        (b"[]", "no message"),
        (b'{"changes":[0,0,5,6,[["config/evil",1,9,"x",null]]]}', "out of order"),
        (b'{"changes":[0,0,0,1,[["config/evil",1,9,"x",null],["config/bad",1,0,"x",null]]]}', "version"),
        (encode({"x": "a" * 2_000_000}), "too large"),
        (b'{"what":1}', "unknown message"),
    ],
)
async def test_an_invalid_frame_closes_its_link_and_changes_nothing(
    members: list[ReplicationMember], payload: bytes, reason: str
) -> None:
    members.append(start_member("n0"))
    members.append(start_member("n1", members[0].address))
    await wait_until(lambda: len(members[0].replica.members) == 2)
    channel, sock = await open_channel(members[0].address, "x")
    await channel.send(hello_frame("x"))
    await receive_message(channel, "follow")
    before = store_of(members[0]).digest()
    await channel.send(payload)
    code, detail, _ = await receive_message(channel, "bye")
    assert code == "fault" and reason in detail
    sock.close()
    await wait_until(lambda: members[0].link_count == 1)
    assert store_of(members[0]).digest() == before


@pytest.mark.parametrize("corruption", ["damaged", "forged", "oversized", "half"])
async def test_a_corrupted_frame_closes_its_link(
    members: list[ReplicationMember], corruption: str, caplog: pytest.LogCaptureFixture
) -> None:
    members.append(start_member("n0"))
    channel, sock = await open_channel(members[0].address, "x")
    await channel.send(hello_frame("x"))
    await receive_message(channel, "follow")
    payload = b'{"changes":[0,0,0,1,[["config/evil",1,9,"x",null]]]}'
    size = len(payload).to_bytes(4, "big")
    loop = asyncio.get_running_loop()
    if corruption == "oversized":
        await loop.sock_sendall(sock, (600 << 10).to_bytes(4, "big") + payload)
    elif corruption == "half":
        await loop.sock_sendall(sock, size + payload[:20])
        sock.shutdown(socket.SHUT_WR)
    elif corruption == "forged":
        await loop.sock_sendall(sock, size + payload + b"\0" * 32)
    else:
        channel._key = b"other"
        await channel.send(payload)
    await wait_until(lambda: members[0].link_count == 0)
    detail = {"oversized": "a frame is too large", "half": "ended"}.get(
        corruption, "a frame was tampered with"
    )
    assert f"detail={detail}" in caplog.text
    assert store_of(members[0]).keys() == ["state/n0/member"]
    sock.close()


async def test_an_ephemeral_client_has_all_records_and_its_writes_arrive(
    members: list[ReplicationMember],
) -> None:
    members.append(start_member("n0"))
    for number in range(3000):
        store_of(members[0]).put(f"config/{number}", Random(number).randbytes(30).hex())
    async with open_ephemeral_client(members[0].address, SECRET) as copy:
        assert len(copy.keys("config/")) == 3000
        copy.put("config/x", 1)
        copy.put("config/7", None)
    assert store_of(members[0]).get("config/x") == 1 and store_of(members[0]).get("config/7") is None
    assert not [name for name in members[0].replica.members if name.startswith("operator")], (
        "the client is not a member"
    )
    await wait_until(lambda: members[0].link_count == 0)
    with pytest.raises(TimeoutError, match="the secrets differ"):
        async with open_ephemeral_client(members[0].address, read_secret("another"), timeout_s=0.5):
            pass


class CountingProxy:
    """TCP proxy to one address that records the size of each read."""

    def __init__(self, target: Address) -> None:
        self.received_bytes: list[int] = []
        self._target = target

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        await asyncio.gather(self._forward(reader, target_writer), self._forward(target_reader, writer))

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1 << 20):
            self.received_bytes.append(len(data))
            writer.write(data)
        writer.close()


def has_delivered(member: ReplicationMember) -> bool:
    return member.replica.sessions[0].change_exchange.is_delivered


async def mean_read_bytes(keys: int) -> float:
    """Return the mean size of a read on an idle link between two members that hold ``keys`` keys."""
    first = start_member("n0")
    for number in range(keys):
        store_of(first).put(f"config/shard/{number}", {"host": f"s-{number % 97}", "epoch": number})
    proxy = CountingProxy(first.address)
    proxy_server = await proxy.start()
    second = start_member("n1", proxy_server.sockets[0].getsockname())
    await wait_until(lambda: store_of(first).digest() == store_of(second).digest())
    await wait_until(lambda: has_delivered(first) and has_delivered(second))
    proxy.received_bytes.clear()
    await wait_until(lambda: len(proxy.received_bytes) >= 8)
    mean = sum(proxy.received_bytes) / len(proxy.received_bytes)
    await second.stop()
    await first.stop()
    proxy_server.close()
    return mean


async def test_an_idle_link_costs_no_more_with_more_keys() -> None:
    """The bytes are counted at the socket, as a mean over a number of reads and not over a time."""
    assert await mean_read_bytes(10) < 600.0
    assert await mean_read_bytes(2000) < 600.0


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"interval_s": 2.0}, "interval_s: is no longer supported"),
        ({"octets_per_s": 100}, "octets_per_s"),
        ({"horizon_s": 5}, "horizon_s"),
        ({"region": 5}, "region"),
        ({"zone": None}, "zone"),
        ({"peers": ["x"]}, r"peers\[0\]"),
        ({"listen": "0.0.0.0:7400"}, "listen: must be the address at which peers reach this member"),
    ],
)
def test_an_error_names_the_invalid_setting_of_the_store(
    tmp_path: Path, change: dict[str, Any], key: str
) -> None:
    (tmp_path / "secret").write_text("word")
    valid_section = {
        "listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:7401"],
        "secret_file": "secret",
        "zone": "hue",
    }
    file = tmp_path / "operator.json"
    file.write_text(json.dumps({"store": valid_section}))
    settings = Settings(classes=(RequestClass("c", 500.0),))
    replication = read_operator_file(file, settings).replication
    assert replication is not None and replication.zone == "hue" and replication.max_bytes_per_s == 13_500.0
    file.write_text(json.dumps({"store": {**valid_section, **change}}))
    with pytest.raises(ConfigError, match=f"operator.store.{key}"):
        read_operator_file(file, settings)


def test_without_configured_replicas_no_replication_module_is_imported() -> None:
    code = (
        "import sys, sageturn.__main__, sageturn.relay\n"
        "assert not [name for name in sys.modules if name.startswith('sageturn.store.replication')]"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert completed.returncode == 0, completed.stderr


async def test_the_state_report_lists_unresponsive_zones(members: list[ReplicationMember]) -> None:
    members.append(start_member("n0", zone="a"))
    members.append(start_member("n1", members[0].address, zone="b"))
    await wait_until(lambda: "r/b" in members[0].replica.zones.last_heard_at)
    await wait_until(lambda: len(members[0].replica.members) == 2)
    assert members[0].state_report() == {"links": 1, "in_step": False, "silent_s": {}}
    members[0].replica.zones.last_heard_at["r/b"] -= 47.0
    members[0].replica.zones.last_heard_at["r/c"] = -1e6
    state = members[0].state_report()["silent_s"]
    assert isinstance(state, dict) and state["r/b"] == 40 and set(state) == {"r/b", "r/c"}
    json.dumps(members[0].state_report())
    assert members[0].state_report_interval_s == 0.2, "460 members each report every 46 s"
