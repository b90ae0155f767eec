"""Counting of traffic and processor time by member."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import msgspec
import pytest

from sageturn.lab.scale import counting
from sageturn.lab.scale.arrivals import summarize_durations
from sageturn.lab.scale.counting import CountingSocket, Counts, socket_owner
from sageturn.lab.scale.job_files import Role
from sageturn.lab.scale.usage import WindowUsage, usage_by_role


def test_a_counting_socket_agrees_with_the_kernel(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "counts"
    counting.create_file(file, 2)
    flat = memoryview(bytearray(file.read_bytes())).cast("Q")
    monkeypatch.setattr(counting, "_counters", flat)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket_owner(1, "store"):
            counted = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        with socket_owner(0, "list"):
            other = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        unowned = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        counted.connect(listener.getsockname())
        accepted, _ = listener.accept()
        assert counted.send(b"abc") == 3 and counted.sendmsg((b"de", b"f")) == 3
        accepted.sendall(bytes(1000))
        buffer = bytearray(600)
        assert counted.recv_into(buffer) == 600 and len(counted.recv(600)) == 400
        # Fields of struct tcp_info: bytes that the peer has acknowledged, and bytes received.
        _, received = struct.unpack_from(
            "QQ", counted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 160), 120
        )
        for sock in (counted, other, unowned, accepted):
            sock.close()
    file.write_bytes(flat.tobytes())
    other_counts, counts = counting.read_file(file, 2)
    assert counts.values["store"] == {
        "in_octets": 1000,
        "out_octets": 6,
        "in_messages": 2,
        "out_messages": 2,
    }
    assert received == 1000
    assert counts.sum("in_octets", "list", "client") == 0 and other_counts.sum("out_octets") == 0
    assert counts.since(counts).sum("in_octets") == 0


async def test_tasks_inherit_the_owner_of_their_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        counting, "_counters", memoryview(bytearray(8 * counting.COUNTERS_PER_MEMBER)).cast("Q")
    )

    async def dial() -> None:
        with CountingSocket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect(("127.0.0.1", 9))
            sock.send(b"12345")

    with socket_owner(0, "store"):
        task = asyncio.ensure_future(dial())
    await task
    counts = counting._counters
    assert counts is not None and sorted(counts.tolist())[-2:] == [1, 5]


def make_counts(messages: int, octets: int) -> Counts:
    empty = dict.fromkeys(counting.FIELDS, 0)
    store = {**empty, "in_messages": messages, "in_octets": octets}
    return Counts({purpose: dict(store if purpose == "store" else empty) for purpose in counting.PURPOSES})


def test_processor_time_is_divided_evenly_and_by_messages_for_the_busiest() -> None:
    rows = [[make_counts(10, 100), make_counts(30, 300)], [make_counts(40, 400)]]
    usage = usage_by_role(["hollow", "real"], rows, [0.4, 0.5], 10.0)
    emulated = usage.roles[Role.EMULATED].to_line()
    relay = usage.roles[Role.REAL].to_line()
    assert emulated["core"] == pytest.approx(0.02) and relay["core"] == pytest.approx(0.05)
    assert emulated["core_busiest"] == pytest.approx(0.04 * 30 / 40)
    assert emulated["octets"] == 20.0 and emulated["octets_most"] == 30.0
    assert not usage.is_saturated and usage_by_role(["real"], rows[1:], [9.0], 10.0).is_saturated


def make_window_usage(core: float, peak_core: float) -> WindowUsage:
    counts = [[make_counts(10, 100)]]
    return WindowUsage(
        by_role=usage_by_role(["hollow"], counts, [core * 10.0], 10.0),
        max_link_core=0.5,
        run_queue_ratio=0.25,
        peak_core=peak_core,
        peak_cores=1.5,
        relay_disk_bytes=[],
        relay_descriptors=[],
    )


def test_a_window_is_encoded_by_the_keys_of_a_result_line() -> None:
    line = make_window_usage(core=0.5, peak_core=0.6).to_line()
    assert list(line) == [
        "took_s",
        "saturated",
        "hollow",
        "lanes_core_most",
        "waited",
        "core_peak",
        "cores_peak",
        "disk_octets_real",
        "descriptors_real",
    ]
    assert line["hollow"] == {
        "core": 0.5,
        "core_busiest": 0.5,
        "store_in_octets": 10.0,
        "store_in_octets_most": 10.0,
        "store_in_messages": 1.0,
        "store_in_messages_most": 1.0,
        "octets": 10.0,
        "octets_most": 10.0,
    }


def test_a_window_is_saturated_by_the_mean_or_the_peak_of_a_process() -> None:
    assert make_window_usage(core=0.5, peak_core=0.95).to_line()["saturated"] is False
    assert make_window_usage(core=0.5, peak_core=0.96).to_line()["saturated"] is True
    assert make_window_usage(core=0.86, peak_core=0.9).to_line()["saturated"] is True


def test_encoded_durations_count_those_that_never_ended() -> None:
    assert summarize_durations([]).to_line() == {"n": 0}
    encoded = summarize_durations([0.1] * 98 + [5.0, float("inf")]).to_line()
    assert (encoded["p50"], encoded["p99"], encoded["worst"]) == (0.1, 5.0, None)
    assert encoded["over_4s"] == 2 and encoded["never"] == 1
    assert msgspec.json.decode(msgspec.json.encode(encoded)) == encoded
