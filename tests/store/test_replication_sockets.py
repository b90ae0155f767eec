"""The store's spread over real sockets: what stands or falls with a hub, a follower, a copy or a frame."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest
from support.replication_fleet import DialSeeds

from sageturn.config.errors import ConfigError
from sageturn.config.operator import read_operator_file
from sageturn.decision import RequestClass, Settings
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.net.sockets import ConnectFailure, connect
from sageturn.store.channel import AuthenticatedChannel, read_secret
from sageturn.store.errors import InvalidRecordError
from sageturn.store.records import parse_record
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.replication.wire import decode, encode
from sageturn.store.store import Store

SECRET = read_secret("one secret")
Address = tuple[str, int]


async def until(condition: Callable[[], Any], most_s: float = 20.0) -> None:
    async with asyncio.timeout(most_s):
        while not condition():
            await asyncio.sleep(0.005)


def node(
    name: str,
    *seeds: Address,
    path: Path | None = None,
    zone: str = "",
    fixed: bool = True,
    rate: float = 13.5e3,
) -> ReplicationMember:
    """``fixed``: it dials just its seeds; else the overlay has the word."""
    options = ReplicationOptions(("127.0.0.1", 0), seeds, SECRET, "r", zone, rate)
    topology = partial(DialSeeds, seeds=seeds) if fixed else None
    made = ReplicationMember(
        Store(name, path), options, AdmissionController(ProcessLimits(64, 64.0)), Random(name), topology
    )
    made.start()
    return made


def store(member: ReplicationMember) -> Store:
    return member.replica.store


def play(story: Callable[[list[ReplicationMember]], Awaitable[None]]) -> None:
    async def go() -> None:
        members: list[ReplicationMember] = []
        try:
            await story(members)
        finally:
            for member in members:
                await member.stop()

    asyncio.run(go())


async def linked(address: Address, name: str = "x") -> tuple[AuthenticatedChannel, socket.socket]:
    """A link of our own to a member, for saying on it what no member says."""
    sock = await connect(address, 1.0)
    assert not isinstance(sock, ConnectFailure)
    link = AuthenticatedChannel(sock, SECRET, name)
    await link.perform_handshake(True)
    return link, sock


def greeting(name: str, **more: Any) -> bytes:
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
    return encode({"hello": {**hello, **more}})


async def heard(link: AuthenticatedChannel, kind: str) -> Any:
    async with asyncio.timeout(10.0):
        while True:
            message = decode(await link.receive())
            if kind in message:
                return message[kind]


def test_a_change_made_anywhere_is_everywhere_and_a_killed_hub_is_replaced() -> None:
    async def story(members: list[ReplicationMember]) -> None:
        first = node("n0", fixed=False)
        members.append(first)
        members.extend(node(f"n{k}", first.address, fixed=False) for k in range(1, 6))
        await until(lambda: all(len(m.replica.members) == 6 for m in members))
        store(members[3]).put("config/x", 1)
        await until(lambda: all(store(m).get("config/x") == 1 for m in members))
        # Whoever has most links dies without a word; nobody's file names anyone but n0.
        hub = max(members, key=lambda m: m.link_count)
        members.remove(hub)
        await hub.stop()
        for number, member in enumerate(members):
            store(member).put(f"config/after/{number}", number)
        await until(lambda: all(len(store(m).keys("config/after/")) == 5 for m in members))
        await until(lambda: len({tuple(m.replica.changes.roots) for m in members}) == 1)

    play(story)


def test_a_hub_that_falls_silent_is_found_out_and_replaced() -> None:
    # No reset tells of it: the machine is gone, or a switch is. Only the missing heartbeats show it.
    async def story(members: list[ReplicationMember]) -> None:
        first = node("n0", fixed=False)
        members.append(first)
        members.extend(node(f"n{k}", first.address, fixed=False) for k in range(1, 5))
        await until(lambda: all(len(m.replica.members) == 5 for m in members))
        hub = max(members, key=lambda m: m.link_count)
        members.remove(hub)
        for session in hub.replica.sessions:
            session.next_payload = lambda now: None  # type: ignore[method-assign]
            session.receive = lambda payload, now: None  # type: ignore[method-assign]
        hub.replica.tick = lambda now: ((), now + 60.0)  # type: ignore[method-assign]
        hub._listener.stop_accepting()
        began = asyncio.get_running_loop().time()
        writer = members[0]
        store(writer).put("config/x", 1)
        await until(lambda: all(store(m).get("config/x") == 1 for m in members))
        assert asyncio.get_running_loop().time() - began < 15.0
        await hub.stop()

    play(story)


def test_a_follower_that_reads_nothing_holds_up_nobody_and_is_given_up() -> None:
    async def story(members: list[ReplicationMember]) -> None:
        hub = node("hub", rate=1e8)
        other = node("other", hub.address)
        members += [hub, other]
        link, sock = await linked(hub.address, "slow")
        await link.send(greeting("slow"))
        await heard(link, "hello")
        await link.send(encode({"follow": [[0, 0, 0], [0, 0, 0]]}))
        await until(lambda: hub.link_count == 2)

        async def live_on() -> None:
            while True:
                await link.send(b'{"beat":[[0,0],[0,0],null,null,0,false,{},null]}')
                await asyncio.sleep(0.2)

        living = asyncio.ensure_future(live_on())
        text = Random(1).randbytes(8000).hex()
        for number in range(200):
            store(hub).put(f"config/{number}", text)
        await until(lambda: len(store(other).keys("config/")) == 200)
        (session,) = [s for s in hub.replica.sessions if s.peer == "slow"]
        assert session.chunks_in_flight <= 6, "the rest is not queued for it anywhere"
        assert hub.link_count == 2
        living.cancel()
        await until(lambda: hub.link_count == 1)
        sock.close()

    play(story)


def test_a_wiped_copy_gets_back_all_and_its_own_states_are_newer_than_before(tmp_path: Path) -> None:
    async def story(members: list[ReplicationMember]) -> None:
        hub = node("hub", path=tmp_path / "hub")
        members.append(hub)
        wiped = node("w", hub.address, path=tmp_path / "w")
        for number in range(500):
            store(hub).put(f"config/{number}", number)
        for number in range(5):
            store(wiped).put("state/w/x", number)
        await until(lambda: len(store(wiped).keys("config/")) == 500 and store(hub).get("state/w/x") == 4)
        await wiped.stop()
        store(wiped).close()
        for file in tmp_path.glob("w*"):
            file.unlink()
        wiped = node("w", hub.address, path=tmp_path / "w")
        members.append(wiped)
        store(wiped).put("state/w/x", "new")  # before it knows what it once said
        await until(lambda: len(store(wiped).keys("config/")) == 500)
        await until(lambda: store(wiped).get("state/w/x") == 4)
        store(wiped).put("state/w/x", "newer")
        await until(lambda: store(hub).get("state/w/x") == "newer")

    play(story)


def test_a_restart_from_disk_takes_only_what_differs(tmp_path: Path) -> None:
    async def story(members: list[ReplicationMember]) -> None:
        hub = node("hub")
        members.append(hub)
        other = node("o", hub.address, path=tmp_path / "o")
        for number in range(1000):
            store(hub).put(f"config/{number}", number)
        await until(lambda: len(store(other).keys("config/")) == 1000)
        await other.stop()
        store(other).close()
        store(hub).put("config/7", "new")
        taken = hub.replica.budget.consumed_bytes
        other = node("o", hub.address, path=tmp_path / "o")
        members.append(other)
        await until(lambda: store(other).get("config/7") == "new")
        assert hub.replica.budget.consumed_bytes - taken < 6000

    play(story)


def test_an_old_copy_that_dials_or_is_dialled_hears_both_versions_and_so_do_we(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def old_copys_word(message: dict[str, Any]) -> str:
        """What the program before did with a message that is no digest, and logged."""
        try:
            [parse_record(obj) for obj in message["records"]]
        except (InvalidRecordError, KeyError) as error:
            return f"not understood: {error}"
        return ""

    async def story(members: list[ReplicationMember]) -> None:
        members.append(node("n0"))
        link, sock = await linked(members[0].address, "old")
        await link.send(b'{"digest":{"config/evil":[1,"old"]}}')
        told = decode(await link.receive())
        assert "needs protocol 2, this copy speaks 1" in old_copys_word(told)
        await until(lambda: "old speaks protocol 1 (whole digests), this copy speaks 2" in caplog.text)
        sock.close()

        accepted: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)

        async def old() -> None:
            sock, _ = await asyncio.get_running_loop().sock_accept(listening)
            sock.setblocking(False)
            link = AuthenticatedChannel(sock, SECRET, "old2")
            await link.perform_handshake(False)
            await link.send(b'{"digest":{}}')
            accepted.set_result(decode(await link.receive()))
            sock.close()

        task = asyncio.ensure_future(old())
        members.append(node("n1", listening.getsockname()))
        assert "needs protocol 2, this copy speaks 1" in old_copys_word(await accepted)
        await until(lambda: "old2 speaks protocol 1 (whole digests), this copy speaks 2" in caplog.text)
        await task
        listening.close()
        assert all(store(m).keys() == [f"state/{store(m).node}/member"] for m in members)

    play(story)


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
def test_a_frame_that_is_wrong_ends_its_link_and_nothing_else(payload: bytes, reason: str) -> None:
    async def story(members: list[ReplicationMember]) -> None:
        members.append(node("n0"))
        members.append(node("n1", members[0].address))
        await until(lambda: len(members[0].replica.members) == 2)
        link, sock = await linked(members[0].address, "x")
        await link.send(greeting("x"))
        await heard(link, "follow")
        before = store(members[0]).digest()
        await link.send(payload)
        why, text, _ = await heard(link, "bye")
        assert why == "fault" and reason in text
        sock.close()
        await until(lambda: members[0].link_count == 1)
        assert store(members[0]).digest() == before

    play(story)


@pytest.mark.parametrize("harm", ["damaged", "forged", "oversized", "half"])
def test_a_frame_that_was_damaged_on_its_way_ends_its_link(
    harm: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def story(members: list[ReplicationMember]) -> None:
        members.append(node("n0"))
        link, sock = await linked(members[0].address, "x")
        await link.send(greeting("x"))
        await heard(link, "follow")
        payload = b'{"changes":[0,0,0,1,[["config/evil",1,9,"x",null]]]}'
        size = len(payload).to_bytes(4, "big")
        loop = asyncio.get_running_loop()
        if harm == "oversized":
            await loop.sock_sendall(sock, (600 << 10).to_bytes(4, "big") + payload)
        elif harm == "half":
            await loop.sock_sendall(sock, size + payload[:20])
            sock.shutdown(socket.SHUT_WR)
        elif harm == "forged":
            await loop.sock_sendall(sock, size + payload + b"\0" * 32)
        else:
            link._key = b"other"
            await link.send(payload)
        await until(lambda: members[0].link_count == 0)
        words = {"oversized": "too large", "half": "ended"}.get(harm, "tampered with")
        assert words in caplog.text
        assert store(members[0]).keys() == ["state/n0/member"]
        sock.close()

    play(story)


def test_a_copy_for_a_moment_has_all_and_what_it_writes_is_there_when_it_ends() -> None:
    async def story(members: list[ReplicationMember]) -> None:
        members.append(node("n0"))
        for number in range(3000):
            store(members[0]).put(f"config/{number}", Random(number).randbytes(30).hex())
        async with open_ephemeral_client(members[0].address, SECRET) as copy:
            assert len(copy.keys("config/")) == 3000
            copy.put("config/x", 1)
            copy.put("config/7", None)
        assert store(members[0]).get("config/x") == 1 and store(members[0]).get("config/7") is None
        assert not [m for m in members[0].replica.members if m.startswith("operator")], "and it is no member"
        await until(lambda: members[0].link_count == 0)
        with pytest.raises(TimeoutError, match="the secrets differ"):
            async with open_ephemeral_client(members[0].address, read_secret("another"), wait_s=0.5):
                pass

    play(story)


def test_an_idle_link_costs_no_more_with_more_keys() -> None:
    """Counted at the socket, over a number of frames and not over a time."""

    async def idle(keys: int) -> float:
        first = node("n0")
        for number in range(keys):
            store(first).put(f"config/shard/{number}", {"host": f"s-{number % 97}", "epoch": number})
        octets: list[int] = []

        async def carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(1 << 20):
                octets.append(len(data))
                writer.write(data)
            writer.close()

        async def between(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            there, here = await asyncio.open_connection(*first.address)
            await asyncio.gather(carry(reader, here), carry(there, writer))

        endpoint = await asyncio.start_server(between, "127.0.0.1", 0)
        second = node("n1", endpoint.sockets[0].getsockname())
        await until(lambda: store(first).digest() == store(second).digest())
        await until(lambda: first.replica.sessions[0].delivered and second.replica.sessions[0].delivered)
        octets.clear()
        await until(lambda: len(octets) >= 8)
        each = sum(octets) / len(octets)
        await second.stop()
        await first.stop()
        endpoint.close()
        return each

    async def go() -> None:
        assert await idle(10) < 600.0
        assert await idle(2000) < 600.0

    asyncio.run(go())


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"interval_s": 2.0}, "interval_s: is gone"),
        ({"octets_per_s": 100}, "octets_per_s"),
        ({"horizon_s": 5}, "horizon_s"),
        ({"region": 5}, "region"),
        ({"zone": None}, "zone"),
        ({"peers": ["x"]}, r"peers\[0\]"),
        ({"listen": "0.0.0.0:7400"}, "listen: must be an address"),
    ],
)
def test_a_fault_in_the_section_store_names_its_key(tmp_path: Path, change: dict[str, Any], key: str) -> None:
    (tmp_path / "secret").write_text("word")
    good = {"listen": "127.0.0.1:0", "peers": ["127.0.0.1:7401"], "secret_file": "secret", "zone": "hue"}
    file = tmp_path / "operator.json"
    file.write_text(json.dumps({"store": good}))
    settings = Settings(classes=(RequestClass("c", 500.0),))
    replication = read_operator_file(file, settings).replication
    assert replication is not None and replication.zone == "hue" and replication.max_bytes_per_s == 13_500.0
    file.write_text(json.dumps({"store": {**good, **change}}))
    with pytest.raises(ConfigError, match=f"operator.store.{key}"):
        read_operator_file(file, settings)


def test_where_no_replicas_are_configured_nothing_of_it_is_read_in() -> None:
    code = (
        "import sys, sageturn.__main__, sageturn.relay\n"
        "assert not [name for name in sys.modules if name.startswith('sageturn.store.replication')]"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr


def test_a_member_tells_operators_which_zone_is_silent() -> None:
    async def story(members: list[ReplicationMember]) -> None:
        members.append(node("n0", zone="a"))
        members.append(node("n1", members[0].address, zone="b"))
        await until(lambda: "r/b" in members[0].replica.zone_last_heard)
        await until(lambda: len(members[0].replica.members) == 2)
        assert members[0].state_report() == {"links": 1, "in_step": False, "silent_s": {}}
        members[0].replica.zone_last_heard["r/b"] -= 47.0
        members[0].replica.zone_last_heard["r/c"] = -1e6
        state = members[0].state_report()["silent_s"]
        assert isinstance(state, dict) and state["r/b"] == 40 and set(state) == {"r/b", "r/c"}
        json.dumps(members[0].state_report())
        assert members[0].state_report_interval_s == 0.2, "460 members would tell theirs every 46 s"

    play(story)
