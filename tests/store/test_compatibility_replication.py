"""Checks that the messages between replicas stay byte for byte as revision 6e0cdec sent them.

A transcript has a line for each frame: the step of the fake clock, the sender, ``z`` if the frame was
compressed or ``-`` if it was not, and its JSON exactly as it was sent. The tests compress that JSON
themselves, so that the result does not depend on the release of zlib.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import socket
import zlib
from collections.abc import Iterator
from contextlib import AbstractContextManager, suppress
from operator import itemgetter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple
from unittest import mock

import pytest

from sageturn.store.channel import AuthenticatedChannel, read_secret
from sageturn.store.errors import HandshakeRejectedError, SessionRejectedError
from sageturn.store.records import StoreRecord
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import Member
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.wire import decode, encode
from sageturn.store.store import Store

FIXTURES = Path(__file__).parents[1] / "fixtures" / "replication"
WALL_S = 1_700_000_000.0
STEP_S = 0.05
STEPS = 80
CLOSING_STEP = 70
LOCATIONS = {
    "a": ReplicaLocation(("127.0.0.1", 7400), "north", "n1"),
    "b": ReplicaLocation(("127.0.0.1", 7401), "south", "s1"),
}


class Frame(NamedTuple):
    """A payload, the step of the fake clock at which it was sent, and the replica that sent it."""

    step: int
    sender: str
    payload: bytes


class Write(NamedTuple):
    """A write to a replica's store while the session is open."""

    step: int
    replica: str
    key: str
    value: Any


# Initial records of each replica, by scenario.
INITIAL_RECORDS: dict[str, dict[str, list[tuple[str, Any]]]] = {
    "walk": {
        "a": [(f"config/key-{number}", {"from": "a", "n": number}) for number in range(60)],
        "b": [(f"config/key-{number}", ["b", number]) for number in range(30, 90)]
        + [("config/key-31", "again")],
    },
    "snapshot": {
        "a": [
            (f"config/key-{number}", {"tổ": number, "deep": [[number], {"x": None}]}) for number in range(40)
        ],
        "b": [],
    },
    "guest": {"a": [("config/log_level", "INFO"), ("config/gone", 1), ("config/gone", None)], "b": []},
    "stranger": {"a": [("config/removed/b", True)], "b": []},
}
LIVE_WRITES = [
    Write(35, "a", "overrides/01/0001", {"word": "set", "until_ms": 1.5e12}),
    Write(36, "b", "config/key-5", None),
    Write(37, "b", "state/b/relay", {"standing": 1, "ended": {}}),
    Write(50, "a", "state/a/relay", {"standing": 2, "ended": {"served": 3}}),
]


class ClockedReplica:
    """One replica of the store under a fake clock, and its side of the session."""

    def __init__(self, scenario: str, name: str) -> None:
        self.name = name
        self.scenario = scenario
        self.step = 0
        self.store = Store(name, wall_clock=lambda: WALL_S + self.step * STEP_S)
        for key, value in INITIAL_RECORDS[scenario][name]:
            self.store.put(key, value)
        location = None if scenario == "guest" and name == "b" else LOCATIONS[name]

        def make_overlay(own: Member) -> Overlay:
            return Overlay(own, (), Random(9))

        self.replica = Replica(self.store, Random(name), 0.0, location, make_overlay)
        if location is not None:
            self.replica.announce()
        peer = "b" if name == "a" else "a"
        self.session: ReplicationSession = self.replica.open_session(
            peer, 0.0, None if name == "a" else LOCATIONS["a"].address
        )

    def pending_payloads(self, step: int) -> Iterator[bytes]:
        """Perform the writes and the closing scheduled for ``step``, and yield the payloads to send."""
        self.step = step
        if step == CLOSING_STEP and self.name == "b":
            self.session.close("stopping", CloseCode.ORDERLY)
        for write in LIVE_WRITES:
            if (write.step, write.replica) == (step, self.name) and self.scenario in ("walk", "snapshot"):
                self.store.put(write.key, write.value)
        if step % 20 == 0:
            self.replica.tick(step * STEP_S)
        while (payload := self.session.next_payload(step * STEP_S)) is not None:
            yield payload

    def receive(self, payload: bytes) -> None:
        """Pass ``payload`` to the session, and close the session if it rejects the payload."""
        try:
            self.session.receive(payload, self.step * STEP_S)
        except SessionRejectedError as rejection:
            self.session.close(str(rejection), self.session.closing.code)

    def records(self) -> list[dict[str, Any]]:
        return sorted((record.to_json() for record in self.store.records()), key=itemgetter("key"))


def run_conversation(scenario: str) -> tuple[list[Frame], dict[str, ClockedReplica]]:
    """Run two replicas, one after the other in each step; each frame is delivered at once."""
    replicas = {name: ClockedReplica(scenario, name) for name in "ab"}
    frames: list[Frame] = []
    for step in range(STEPS):
        for name, other in (("b", "a"), ("a", "b")):
            replicas[other].step = step
            for payload in replicas[name].pending_payloads(step):
                frames.append(Frame(step, name, payload))
                replicas[other].receive(payload)
    return frames, replicas


def replay(scenario: str, name: str, frames: list[Frame]) -> tuple[list[Frame], ClockedReplica]:
    """Run one replica alone against the recorded frames of the other."""
    replica = ClockedReplica(scenario, name)
    sent: list[Frame] = []
    for step in range(STEPS):
        replica.step = step
        received = [frame.payload for frame in frames if frame.step == step and frame.sender != name]
        if name == "a":
            for payload in received:
                replica.receive(payload)
        sent += [Frame(step, name, payload) for payload in replica.pending_payloads(step)]
        if name == "b":
            for payload in received:
                replica.receive(payload)
    return sent, replica


def compress_payload(plain: bytes) -> bytes:
    return b"z" + zlib.compress(plain, 1)


def encode_transcript_line(frame: Frame) -> bytes:
    step, name, payload = frame
    compression_flag = payload.startswith(b"z")
    plain = zlib.decompress(payload[1:]) if compression_flag else payload
    assert not compression_flag or payload == compress_payload(plain)
    return b"%d %s %s %s\n" % (step, name.encode(), b"z" if compression_flag else b"-", plain)


def decode_transcript_line(line: bytes) -> Frame:
    step, name, compression_flag, plain = line.split(b" ", 3)
    return Frame(int(step), name.decode(), compress_payload(plain) if compression_flag == b"z" else plain)


def read_transcript(scenario: str) -> list[Frame]:
    return [
        decode_transcript_line(line)
        for line in (FIXTURES / f"{scenario}.transcript").read_bytes().splitlines()
    ]


# ---------------------------------------------------------------- the authenticated channel

SECRET = "a shared secret\n"
CHANNEL_TIMEOUT_S = 5
NONCES = [bytes(range(32)), bytes(range(32, 64))]
PAYLOADS = [b'{"ack":[[0,0],[0,0]]}', b"", b"z" * 3000]


def open_channel(sock: socket.socket, node: str) -> AuthenticatedChannel:
    return AuthenticatedChannel(sock, read_secret(SECRET), node)


def make_socket_pair() -> tuple[socket.socket, socket.socket]:
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    return ends


def fixed_nonces(*nonces: bytes) -> AbstractContextManager[mock.Mock]:
    return mock.patch.object(secrets, "token_bytes", side_effect=list(nonces))


async def exchange_payloads(channel: AuthenticatedChannel, dialled: bool) -> list[bytes]:
    await channel.perform_handshake(dialled)
    for payload in PAYLOADS:
        await channel.send(payload)
    return [await channel.receive() for _ in PAYLOADS]


async def record_channel() -> dict[str, bytes]:
    """Return the bytes that each of two connected replicas sends."""
    loop = asyncio.get_running_loop()
    dialler, dialler_far = make_socket_pair()
    answerer, answerer_far = make_socket_pair()
    sent_bytes = {"dialled": bytearray(), "answered": bytearray()}

    async def forward_bytes(name: str, source: socket.socket, target: socket.socket) -> None:
        while data := await loop.sock_recv(source, 65536):
            sent_bytes[name] += data
            await loop.sock_sendall(target, data)

    forwarders = [loop.create_task(forward_bytes("dialled", dialler_far, answerer_far))]
    forwarders.append(loop.create_task(forward_bytes("answered", answerer_far, dialler_far)))
    with fixed_nonces(*NONCES):
        received_by_dialler, received_by_answerer = await asyncio.gather(
            exchange_payloads(open_channel(dialler, "a"), True),
            exchange_payloads(open_channel(answerer, "b"), False),
        )
    assert received_by_dialler == PAYLOADS
    assert received_by_answerer == PAYLOADS
    for task in forwarders:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    for sock in (dialler, dialler_far, answerer, answerer_far):
        sock.close()
    return {name: bytes(data) for name, data in sent_bytes.items()}


async def replay_channel(dialled: bool, recorded: bytes) -> tuple[list[bytes], bytes]:
    """Run a channel against the peer's recorded bytes. Return the payloads received and the bytes sent."""
    loop = asyncio.get_running_loop()
    near, far = make_socket_pair()
    try:
        await loop.sock_sendall(far, recorded)
        with fixed_nonces(NONCES[0 if dialled else 1]):
            received = await exchange_payloads(open_channel(near, "a" if dialled else "b"), dialled)
        return received, await loop.sock_recv(far, 65536)
    finally:
        near.close()
        far.close()


# ---------------------------------------------------------------- single messages

LARGE_CHUNK = {"changes": [0, 1, 0, 3, [["config/x", {"tổ": "y" * 500}, 1, "a", None]]]}

# Frames that are received instead of a hello, and are answered by a bye.
BAD_FRAMES = {
    "protocol-1": b'{"digest":{}}',
    "protocol-3": b'{"hello":{"protocol":3,"node":"b"}}',
    "no-greeting": b'{"ack":[[0,0],[0,0]]}',
    "no-json": b"{",
    "no-message": b"[]",
    "no-fields": b'{"hello":{"protocol":2}}',
    "cut-short": compress_payload(b'{"ack":[]}' * 50)[:-4],
}


def payloads_after(frame: bytes) -> bytes:
    """Return the payloads that a replica sends if ``frame`` is the first that it receives."""
    replica = ClockedReplica("guest", "a")
    replica.receive(frame)
    return b"\n".join(replica.pending_payloads(0)) + b"\n"


async def produce_fixtures() -> dict[str, bytes]:
    files = {f"refused.{name}.bin": payloads_after(frame) for name, frame in BAD_FRAMES.items()}
    for scenario in INITIAL_RECORDS:
        frames, replicas = run_conversation(scenario)
        files[f"{scenario}.transcript"] = b"".join(map(encode_transcript_line, frames))
        for name, replica in replicas.items():
            lines = [json.dumps(record, sort_keys=True) + "\n" for record in replica.records()]
            files[f"{scenario}.{name}.jsonl"] = "".join(lines).encode()
    sent_bytes = await asyncio.wait_for(record_channel(), CHANNEL_TIMEOUT_S)
    files |= {f"link.{name}.bin": data for name, data in sent_bytes.items()}
    files["packed.bin"] = encode(LARGE_CHUNK)
    return files


@pytest.mark.parametrize("scenario", INITIAL_RECORDS)
def test_a_conversation_is_the_recorded_one(scenario: str) -> None:
    frames, replicas = run_conversation(scenario)
    assert b"".join(map(encode_transcript_line, frames)) == (FIXTURES / f"{scenario}.transcript").read_bytes()
    for name, replica in replicas.items():
        lines = (FIXTURES / f"{scenario}.{name}.jsonl").read_text().splitlines()
        assert replica.records() == [json.loads(line) for line in lines]


@pytest.mark.parametrize("scenario", INITIAL_RECORDS)
@pytest.mark.parametrize("name", ["a", "b"])
def test_a_replica_answers_recorded_frames_as_recorded(scenario: str, name: str) -> None:
    frames = read_transcript(scenario)
    sent, replica = replay(scenario, name, frames)
    assert sent == [frame for frame in frames if frame.sender == name]
    lines = (FIXTURES / f"{scenario}.{name}.jsonl").read_text().splitlines()
    assert replica.records() == [json.loads(line) for line in lines]


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_a_bad_frame_is_answered_by_the_recorded_bye(name: str) -> None:
    assert payloads_after(BAD_FRAMES[name]) == (FIXTURES / f"refused.{name}.bin").read_bytes()


def test_the_transcripts_have_every_kind_of_message_and_compressed_frames() -> None:
    payloads = [frame.payload for scenario in INITIAL_RECORDS for frame in read_transcript(scenario)]
    kinds = {next(iter(decode(payload))) for payload in payloads}
    assert kinds == {"hello", "follow", "changes", "ack", "beat", "ask", "nodes", "get", "give", "bye"}
    assert any(payload.startswith(b"z") for payload in payloads)


def test_a_compressed_frame_of_an_earlier_program_is_read_and_compression_is_unchanged() -> None:
    data = (FIXTURES / "packed.bin").read_bytes()
    assert decode(data) == LARGE_CHUNK
    assert encode(LARGE_CHUNK) == compress_payload(json.dumps(LARGE_CHUNK, separators=(",", ":")).encode())


@pytest.mark.timeout(CHANNEL_TIMEOUT_S)
async def test_a_channel_sends_the_recorded_bytes_and_reads_the_peers() -> None:
    dialled = (FIXTURES / "link.dialled.bin").read_bytes()
    answered = (FIXTURES / "link.answered.bin").read_bytes()
    assert await record_channel() == {"dialled": dialled, "answered": answered}
    assert await replay_channel(True, answered) == (PAYLOADS, dialled)
    assert await replay_channel(False, dialled) == (PAYLOADS, answered)


@pytest.mark.timeout(CHANNEL_TIMEOUT_S)
@pytest.mark.parametrize("position", [10, 100, 130, -1])
async def test_a_flipped_byte_on_the_channel_is_rejected(position: int) -> None:
    data = bytearray((FIXTURES / "link.answered.bin").read_bytes())
    data[position] ^= 1
    with pytest.raises(HandshakeRejectedError):
        await replay_channel(True, bytes(data))


def test_records_without_a_time_of_writing_are_still_understood() -> None:
    record = StoreRecord("config/x", 1, 1, "a", None)
    assert record.to_json() == {"key": "config/x", "value": 1, "version": 1, "node": "a"}
