"""What copies of the store say to each other stays as revision 6e0cdec said it, byte for byte.

A transcript has a line for each frame: the step of the fake clock, who said it, ``z`` where it went packed
or ``-`` where it did not, and its JSON exactly as it stood. Packed octets are made here from that JSON,
so that another release of zlib changes nothing.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import socket
import zlib
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import pytest

from sageturn.store.channel import AuthenticatedChannel, read_secret
from sageturn.store.errors import HandshakeRejectedError, SessionRejected
from sageturn.store.records import StoreRecord
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.wire import decode, encode
from sageturn.store.store import Store

FIXTURES = Path(__file__).parents[1] / "fixtures" / "replication"
WALL_S = 1_700_000_000.0
STEP_S = 0.05
STEPS = 80
CLOSE_AT = 70
PLACES = {
    "a": ReplicaLocation(("127.0.0.1", 7400), "north", "n1"),
    "b": ReplicaLocation(("127.0.0.1", 7401), "south", "s1"),
}
Frame = tuple[int, str, bytes]  # step, who said it, the payload

# By scenario: what each copy holds at first, and what is written while the link stands.
HELD: dict[str, dict[str, list[tuple[str, Any]]]] = {
    "walk": {
        "a": [(f"config/key-{n}", {"from": "a", "n": n}) for n in range(60)],
        "b": [(f"config/key-{n}", ["b", n]) for n in range(30, 90)] + [("config/key-31", "again")],
    },
    "snapshot": {
        "a": [(f"config/key-{n}", {"tổ": n, "deep": [[n], {"x": None}]}) for n in range(40)],
        "b": [],
    },
    "guest": {"a": [("config/log_level", "INFO"), ("config/gone", 1), ("config/gone", None)], "b": []},
    "stranger": {"a": [("config/removed/b", True)], "b": []},
}
LIVE: list[tuple[int, str, str, Any]] = [
    (35, "a", "overrides/01/0001", {"word": "set", "until_ms": 1.5e12}),
    (36, "b", "config/key-5", None),
    (37, "b", "state/b/relay", {"standing": 1, "ended": {}}),
    (50, "a", "state/a/relay", {"standing": 2, "ended": {"served": 3}}),
]


class Copy:
    """One copy of the store under a fake clock, and its side of the link."""

    def __init__(self, scenario: str, name: str) -> None:
        self.name, self.scenario, self.step = name, scenario, 0
        self.store = Store(name, wall_clock=lambda: WALL_S + self.step * STEP_S)
        for key, value in HELD[scenario][name]:
            self.store.put(key, value)
        place = None if scenario == "guest" and name == "b" else PLACES[name]

        def overlay(own: Any) -> Overlay:
            return Overlay(own, (), Random(9))

        self.replica = Replica(self.store, Random(name), 0.0, place, overlay)
        if place is not None:
            self.replica.announce()
        peer = "b" if name == "a" else "a"
        self.session: ReplicationSession = self.replica.open_session(
            peer, 0.0, None if name == "a" else PLACES["a"].address
        )

    def say(self, step: int) -> Iterator[bytes]:
        self.step = step
        if step == CLOSE_AT and self.name == "b":
            self.session.close("stopping", CloseCode.ORDERLY)
        for at, name, key, value in LIVE:
            if (at, name) == (step, self.name) and self.scenario in ("walk", "snapshot"):
                self.store.put(key, value)
        if step % 20 == 0:
            self.replica.tick(step * STEP_S)
        while (payload := self.session.next_payload(step * STEP_S)) is not None:
            yield payload

    def hear(self, payload: bytes) -> None:
        try:
            self.session.receive(payload, self.step * STEP_S)
        except SessionRejected as refusal:
            self.session.close(str(refusal), self.session.close_code)

    def records(self) -> list[dict[str, Any]]:
        return sorted((record.to_json() for record in self.store.records()), key=lambda r: r["key"])


def converse(scenario: str) -> tuple[list[Frame], dict[str, Copy]]:
    """Two copies, one after the other in each step; what one says the other hears at once."""
    copies = {name: Copy(scenario, name) for name in "ab"}
    frames: list[Frame] = []
    for step in range(STEPS):
        for name, other in (("b", "a"), ("a", "b")):
            copies[other].step = step
            for payload in copies[name].say(step):
                frames.append((step, name, payload))
                copies[other].hear(payload)
    return frames, copies


def replay(scenario: str, name: str, frames: list[Frame]) -> tuple[list[Frame], Copy]:
    """One copy alone, which hears the other's frames as they were recorded."""
    copy = Copy(scenario, name)
    said: list[Frame] = []
    for step in range(STEPS):
        copy.step = step
        theirs = [payload for at, who, payload in frames if at == step and who != name]
        if name == "a":
            for payload in theirs:
                copy.hear(payload)
        said += [(step, name, payload) for payload in copy.say(step)]
        if name == "b":
            for payload in theirs:
                copy.hear(payload)
    return said, copy


def pack(plain: bytes) -> bytes:
    return b"z" + zlib.compress(plain, 1)


def to_line(frame: Frame) -> bytes:
    step, name, payload = frame
    packed = payload.startswith(b"z")
    plain = zlib.decompress(payload[1:]) if packed else payload
    assert not packed or payload == pack(plain)
    return b"%d %s %s %s\n" % (step, name.encode(), b"z" if packed else b"-", plain)


def to_frame(line: bytes) -> Frame:
    step, name, packed, plain = line.split(b" ", 3)
    return int(step), name.decode(), pack(plain) if packed == b"z" else plain


def recorded(scenario: str) -> list[Frame]:
    return [to_frame(line) for line in (FIXTURES / f"{scenario}.transcript").read_bytes().splitlines()]


# ---------------------------------------------------------------- the authenticated link

SECRET = "a shared secret\n"
NONCES = [bytes(range(32)), bytes(range(32, 64))]
PAYLOADS = [b'{"ack":[[0,0],[0,0]]}', b"", b"z" * 3000]


def link_of(sock: socket.socket, node: str) -> AuthenticatedChannel:
    return AuthenticatedChannel(sock, read_secret(SECRET), node)


def pair() -> tuple[socket.socket, socket.socket]:
    ends = socket.socketpair()
    for end in ends:
        end.setblocking(False)
    return ends


def fixed_nonces(*nonces: bytes) -> Any:
    return mock.patch.object(secrets, "token_bytes", side_effect=list(nonces))


async def use_link(link: AuthenticatedChannel, dialled: bool) -> list[bytes]:
    await link.perform_handshake(dialled)
    for payload in PAYLOADS:
        await link.send(payload)
    return [await link.receive() for _ in PAYLOADS]


async def record_link() -> dict[str, bytes]:
    """The octets that each of two linked copies sends."""
    loop = asyncio.get_running_loop()
    (a, a_far), (b, b_far) = pair(), pair()
    octets = {"dialled": bytearray(), "answered": bytearray()}

    async def carry(name: str, source: socket.socket, target: socket.socket) -> None:
        while data := await loop.sock_recv(source, 65536):
            octets[name] += data
            await loop.sock_sendall(target, data)

    carrying = [loop.create_task(carry("dialled", a_far, b_far))]
    carrying.append(loop.create_task(carry("answered", b_far, a_far)))
    with fixed_nonces(*NONCES):
        heard = await asyncio.gather(use_link(link_of(a, "a"), True), use_link(link_of(b, "b"), False))
    assert heard == [PAYLOADS, PAYLOADS]
    for task in carrying:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    for sock in (a, a_far, b, b_far):
        sock.close()
    return {name: bytes(data) for name, data in octets.items()}


async def meet_recording(dialled: bool, theirs: bytes) -> tuple[list[bytes], bytes]:
    """A link of the program's against recorded octets; what it heard and what it sent."""
    loop = asyncio.get_running_loop()
    near, far = pair()
    try:
        await loop.sock_sendall(far, theirs)
        with fixed_nonces(NONCES[0 if dialled else 1]):
            heard = await use_link(link_of(near, "a" if dialled else "b"), dialled)
        return heard, await loop.sock_recv(far, 65536)
    finally:
        near.close()
        far.close()


def bounded(coro: Any) -> Any:
    return asyncio.run(asyncio.wait_for(coro, 5))


# ---------------------------------------------------------------- messages by themselves

BIG = {"changes": [0, 1, 0, 3, [["config/x", {"tổ": "y" * 500}, 1, "a", None]]]}

# What is heard of a copy in place of its greeting, and is answered by a last word.
BAD_FRAMES = {
    "protocol-1": b'{"digest":{}}',
    "protocol-3": b'{"hello":{"protocol":3,"node":"b"}}',
    "no-greeting": b'{"ack":[[0,0],[0,0]]}',
    "no-json": b"{",
    "no-message": b"[]",
    "no-fields": b'{"hello":{"protocol":2}}',
    "cut-short": pack(b'{"ack":[]}' * 50)[:-4],
}


def last_words(frame: bytes) -> bytes:
    """All that a copy says after it heard this first."""
    copy = Copy("guest", "a")
    copy.hear(frame)
    return b"\n".join(copy.say(0)) + b"\n"


def produced() -> dict[str, bytes]:
    files = {f"refused.{name}.bin": last_words(frame) for name, frame in BAD_FRAMES.items()}
    for scenario in HELD:
        frames, copies = converse(scenario)
        files[f"{scenario}.transcript"] = b"".join(map(to_line, frames))
        for name, copy in copies.items():
            lines = [json.dumps(record, sort_keys=True) + "\n" for record in copy.records()]
            files[f"{scenario}.{name}.jsonl"] = "".join(lines).encode()
    octets = bounded(record_link())
    files |= {f"link.{name}.bin": data for name, data in octets.items()}
    files["packed.bin"] = encode(BIG)
    return files


@pytest.mark.parametrize("scenario", HELD)
def test_two_copies_say_what_they_said(scenario: str) -> None:
    frames, copies = converse(scenario)
    assert b"".join(map(to_line, frames)) == (FIXTURES / f"{scenario}.transcript").read_bytes()
    for name, copy in copies.items():
        lines = (FIXTURES / f"{scenario}.{name}.jsonl").read_text().splitlines()
        assert copy.records() == [json.loads(line) for line in lines]


@pytest.mark.parametrize("scenario", HELD)
@pytest.mark.parametrize("name", ["a", "b"])
def test_a_copy_answers_recorded_frames_as_it_did(scenario: str, name: str) -> None:
    frames = recorded(scenario)
    said, copy = replay(scenario, name, frames)
    assert said == [frame for frame in frames if frame[1] == name]
    lines = (FIXTURES / f"{scenario}.{name}.jsonl").read_text().splitlines()
    assert copy.records() == [json.loads(line) for line in lines]


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_a_bad_frame_is_answered_by_the_recorded_last_word(name: str) -> None:
    assert last_words(BAD_FRAMES[name]) == (FIXTURES / f"refused.{name}.bin").read_bytes()


def test_the_transcripts_have_every_kind_of_message_and_packed_frames() -> None:
    frames = [payload for scenario in HELD for _, _, payload in recorded(scenario)]
    kinds = {next(iter(decode(payload))) for payload in frames}
    assert kinds == {"hello", "follow", "changes", "ack", "beat", "ask", "nodes", "get", "give", "bye"}
    assert any(payload.startswith(b"z") for payload in frames)


def test_a_packed_frame_of_an_earlier_program_is_read_and_packing_is_unchanged() -> None:
    data = (FIXTURES / "packed.bin").read_bytes()
    assert decode(data) == BIG
    assert encode(BIG) == pack(json.dumps(BIG, separators=(",", ":")).encode())


def test_a_link_sends_the_recorded_octets_and_hears_the_others() -> None:
    dialled = (FIXTURES / "link.dialled.bin").read_bytes()
    answered = (FIXTURES / "link.answered.bin").read_bytes()
    assert bounded(record_link()) == {"dialled": dialled, "answered": answered}
    assert bounded(meet_recording(True, answered)) == (PAYLOADS, dialled)
    assert bounded(meet_recording(False, dialled)) == (PAYLOADS, answered)


@pytest.mark.parametrize("at", [10, 100, 130, -1])
def test_a_flipped_byte_on_the_link_is_refused(at: int) -> None:
    octets = bytearray((FIXTURES / "link.answered.bin").read_bytes())
    octets[at] ^= 1
    with pytest.raises(HandshakeRejectedError):
        bounded(meet_recording(True, bytes(octets)))


def test_records_of_before_times_were_written_are_still_understood() -> None:
    record = StoreRecord("config/x", 1, 1, "a", None)
    assert record.to_json() == {"key": "config/x", "value": 1, "version": 1, "node": "a"}
