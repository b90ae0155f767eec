"""Scale runs: experiment files, fits, link emulation, counting, costs, and small complete runs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from sageturn.cli.main import build_app
from sageturn.lab.errors import InvalidExperimentError
from sageturn.lab.runner.result_file import Results
from sageturn.lab.scale import costs, counting, members, relay_costs, store_costs
from sageturn.lab.scale.arrivals import encode_durations
from sageturn.lab.scale.cost_measuring import make_store
from sageturn.lab.scale.counting import CountingSocket, Counts, owned
from sageturn.lab.scale.digests import LinkOptions
from sageturn.lab.scale.errors import FitError, InvalidPlanError
from sageturn.lab.scale.fit import fit, fit_exponent
from sageturn.lab.scale.fleet import link_name, peers_of
from sageturn.lab.scale.link_emulation import (
    MAX_BUFFERED_BYTES,
    MIN_RETRANSMISSION_TIMEOUT_S,
    SEGMENT_BYTES,
    DelayLine,
    EmulatedLink,
    Forwarder,
)
from sageturn.lab.scale.list_calls import list_calls
from sageturn.lab.scale.members import ArrivalRecorder, Location, make_replication, preload, store_hash
from sageturn.lab.scale.plan import (
    Bounds,
    Environment,
    Fault,
    LinkProfile,
    ScaleExperiment,
    Size,
    Windows,
    read_scale,
)
from sageturn.lab.scale.predictions import fit_runs, judge_predictions, mean_of_members, predict
from sageturn.lab.scale.report import fit_lines, plot, table
from sageturn.lab.scale.scale_run import ScaleRun, run_size
from sageturn.lab.scale.usage import encode_usage
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.store import Store

SMALL = Windows(settle_s=1.0, idle_s=1.2, changes=6, changes_s=0.4, tail_s=1.5, ready_s=30.0)

# ---------------------------------------------------------------- experiment files


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("", "missing required field `name`"),
        ('name = "x"\nsizes = []', "`$.sizes`"),
        ('name = "x"\n[[sizes]]\nname = "a"', "missing required field `members` - at `$.sizes[0]`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 1', "`$.sizes[0].members`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 1001', "`$.sizes[0].members`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nkeys = 300000', "`$.sizes[0].keys`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nkyes = 3', "unknown field `kyes`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nspread = "gossip"', "sizes[0].spread: gossip"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\ntopology = "ring"', "sizes[0].topology: ring"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nreal = 5', "sizes[0].real:"),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\n[[sizes]]\nname = "a"\nmembers = 5',
            "sizes[1].name: a",
        ),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nfaults = [{kind = "flood"}]',
            "sizes[0].faults[0].kind: flood",
        ),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nfaults = [{kind = "loss", part = 1.0}]',
            "sizes[0].faults[0].part:",
        ),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 400\nper_process = 1', "sizes[0].per_process: 405"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 600\nkeys = 200000', "sizes[0].keys: 1"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 460\nper_process = 50', "sizes[0].members: 42"),
        ('name = "x"\nbounds = {memory_gb = 13}\n[[sizes]]\nname = "a"\nmembers = 4', "`$.bounds.memory_gb`"),
        ('name = "x"\nbounds = {processes = 999}\n[[sizes]]\nname = "a"\nmembers = 4', "$.bounds.processes"),
        ('name = "x"\nbounds = {minutes = 0.1}\n[[sizes]]\nname = "a"\nmembers = 4', "sizes[0].faults:"),
        ('name = "x"\nzones = 1\n[[sizes]]\nname = "a"\nmembers = 4', "zones:"),
        ('name = "x"\nlanes = {loss = 2}\n[[sizes]]\nname = "a"\nmembers = 4', "`$.lanes.loss`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 9\nreal = 9\nclients = 999', "sizes[0].clients:"),
    ],
)
def test_an_error_in_an_experiment_names_its_file_and_key(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "x.toml"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(InvalidExperimentError) as error:
        read_scale(file)
    message = str(error.value)
    assert message.startswith(str(file)) and named in message


def test_a_missing_file_and_invalid_toml_are_reported(tmp_path: Path) -> None:
    with pytest.raises(InvalidExperimentError, match="No such file"):
        read_scale(tmp_path / "none.toml")
    (tmp_path / "bad.toml").write_text("name = ")
    with pytest.raises(InvalidExperimentError, match=r"bad.toml"):
        read_scale(tmp_path / "bad.toml")


def test_all_committed_experiments_can_be_read() -> None:
    files = sorted((Path(__file__).parents[2] / "experiments").glob("scale*.toml"))
    assert files
    for file in files:
        assert read_scale(file).name == file.stem


# ---------------------------------------------------------------- fits


def test_a_straight_line_is_distinguished_from_a_bent_one() -> None:
    rows = [[1.0, n] for n in (10.0, 20.0, 40.0, 80.0)]
    line = fit(("1", "n"), rows, [5.0 + 3.0 * n for _, n in rows])
    assert line.values == pytest.approx((5.0, 3.0)) and line.is_straight and line.r2 == pytest.approx(1.0)
    middle, low, high = line.at([1.0, 160.0])
    assert middle == pytest.approx(485.0) and low == pytest.approx(middle) == high
    bent = fit(("1", "n"), rows, [n * n for _, n in rows])
    assert not bent.is_straight and bent.max_residual > 0.2
    assert bent.at([1.0, 160.0])[2] - bent.at([1.0, 160.0])[1] > 1000.0, "a bent line has a wide interval"


def test_three_sizes_are_too_few_for_a_slope_however_straight() -> None:
    rows = [[1.0, n] for n in (10.0, 20.0, 40.0)]
    assert not fit(("1", "n"), rows, [2.0 * n for _, n in rows]).is_straight
    again = [*rows, rows[0]]
    assert not fit(("1", "n"), again, [2.0 * n for _, n in again]).is_straight, "the same size twice is one"


@pytest.mark.parametrize(
    ("rows", "y"),
    [
        ([[1.0, 2.0]], [3.0]),
        ([[1.0, 2.0], [1.0, 3.0]], [3.0, 0.0]),
        ([[1.0, 2.0], [2.0, 4.0], [3.0, 6.0]], [1.0, 2.0, 3.0]),
        ([[1.0], [1.0]], [1.0, 2.0]),
    ],
)
def test_sizes_that_determine_no_slope_are_refused(rows: list[list[float]], y: list[float]) -> None:
    with pytest.raises(FitError):
        fit(("1", "n"), rows, y)


@given(
    st.floats(0.1, 100.0),
    st.floats(0.1, 100.0),
    st.lists(st.floats(-0.04, 0.04), min_size=6, max_size=6),
    st.integers(0, 5),
)
def test_noise_widens_the_interval_and_magnitude_has_no_weight(
    a: float, b: float, noise: list[float], scaled: int
) -> None:
    rows = [[1.0, float(n)] for n in (1, 3, 10, 30, 100, 300)]
    y = [(a + b * n) * (1.0 + e) for (_, n), e in zip(rows, noise, strict=True)]
    line = fit(("1", "n"), rows, y)
    assert line.low[1] <= line.values[1] <= line.high[1]
    times = 10.0**scaled
    again = fit(("1", "n"), rows, [v * times for v in y])
    assert again.values[1] == pytest.approx(line.values[1] * times, rel=1e-6)
    assert again.max_residual == pytest.approx(line.max_residual, rel=1e-6, abs=1e-9)


def test_an_exponent_distinguishes_a_square_from_a_line() -> None:
    x = [10.0, 20.0, 40.0, 80.0]
    square = fit_exponent(x, [n * n * (1.0 + 0.01 * (-1) ** k) for k, n in enumerate(x)])
    assert square.low < 2.0 < square.high and square.low > 1.9
    with pytest.raises(FitError):
        fit_exponent(x[:2], [1.0, 2.0])


def run_line(n: int, keys: int, octets: float, **more: object) -> dict[str, object]:
    used = {"octets": octets, "octets_most": octets, "core": octets / 1e6, "core_busiest": octets / 1e6}
    phase = {"saturated": False, "hollow": used}
    last = {"last": encode_durations([0.1, 0.2])}
    return {
        "scenario": f"m{n}",
        "seed": 1,
        "spread": "digest",
        "members": n,
        "keys": keys,
        "state_s": 0.0,
        "real": 0,
        "clients_each": 0,
        "links": n * (n - 1) / 2,
        "phases": {"idle": phase, "changes": {**phase, "changes": last}},
        "equal": {"all": True, "kinds": 1},
        **more,
    }


def test_a_larger_size_is_predicted_from_usable_runs_and_compared_after_its_run() -> None:
    lines = [run_line(n, k, (n - 1) * (70.0 + 27.0 * k)) for n, k in ((4, 10), (8, 10), (4, 100), (8, 200))]
    saturated = run_line(16, 1000, 1.0)
    saturated["phases"]["idle"]["saturated"] = True  # type: ignore[index]
    lines += [saturated, {"failed": "minutes", "spread": "digest"}]
    size = Size("m32", 32, keys=100)
    predicted_line = predict(lines, size)
    assert predicted_line["octets"]["value"] == pytest.approx(31 * (70.0 + 2700.0))
    assert fit_runs(lines, "digest")["octets"].size_count == 4 and fit_runs(lines, "delta") == {}
    came = judge_predictions(run_line(32, 100, 31 * 2770.0 * 3.0, predicted=predicted_line))
    assert came["predicted"]["octets"]["inside"] is False
    assert came["predicted"]["octets"]["ratio"] == pytest.approx(3.0)
    failed = judge_predictions({"failed": "memory_gb", "predicted": predict(lines, size)})
    assert failed["predicted"]["octets"].keys() == {"value", "low", "high", "fit"}
    assert predict(lines[:3], size) == {}, "three sizes determine no slope"


def test_terms_that_the_sizes_do_not_separate_are_fitted_as_one() -> None:
    lines = [run_line(n, 100, (n - 1) * 2700.0) for n in (4, 8, 16, 32)]
    assert fit_runs(lines, "digest")["octets"].terms == ("links",)
    chatty = [run_line(n, 100, (n - 1) * (2700.0 + 190.0 * n / 5.0), state_s=5.0) for n in (4, 8, 16, 32)]
    slope = fit_runs(chatty, "digest")["octets"]
    assert slope.terms == ("links", "links*news") and slope.values == pytest.approx((2700.0, 190.0))
    predicted = predict(chatty, Size("m64", 64, keys=100, state_s=5.0))
    assert predicted["octets"]["value"] == pytest.approx(63 * (2700.0 + 190.0 * 64 / 5.0))


def test_real_relays_are_fitted_by_their_clients_and_all_members_by_their_links() -> None:
    lines = []
    for n in (250, 500, 1000, 2000):
        line = run_line(2, 100, 2700.0, real=1, clients_each=n, memory={"real_mb": [30.0 + 0.04 * n]})
        idle = line["phases"]["idle"]  # type: ignore[index]
        idle["real"] = {"octets": 3700.0, "core": 0.003 + 6e-5 * n}
        lines.append(line)
    found = fit_runs(lines, "digest")
    assert found["real_core"].values == pytest.approx((0.003, 6e-5))
    assert found["real_mb"].values == pytest.approx((30.0, 0.04))
    assert "octets" not in found, "there is one size of links"
    predicted = predict(lines, Size("c4000", 2, real=1, clients=4000))
    assert predicted["real_mb"]["value"] == pytest.approx(190.0)
    assert predict(lines, Size("c0", 2, real=1)) == {}
    assert mean_of_members(lines[0], "octets") == pytest.approx((2700.0 + 3700.0) / 2.0)


def test_reports_show_failures_saturation_and_how_straight_a_slope_is(tmp_path: Path) -> None:
    results = Results(tmp_path / "r.jsonl")
    results.start({"experiment": {"name": "x"}, "policies": {}, "revision": "abc"})
    for n, k in ((4, 10), (8, 10), (4, 100), (8, 200)):
        results.add(run_line(n, k, (n - 1) * (70.0 + 27.0 * k)))
    results.add({**run_line(99, 5, 1.0), "failed": "Overrun: minutes: over 1"})
    rows = table(results)
    assert len(rows) == 1 + 4 * 2 + 1 and {len(r) for r in rows} == {17}
    assert rows[-1][-1].startswith("Overrun")
    assert any("straight" in text and "a links*keys" in text for text in fit_lines(results))
    plot(results, tmp_path / "p.png")
    assert (tmp_path / "p.png").read_bytes().startswith(b"\x89PNG")


# ---------------------------------------------------------------- link emulation, with a clock of its own


class ClockedLine:
    """A delay line and its clock."""

    def __init__(self, delay_s: float = 0.01, loss: float = 0.0, seed: int = 1) -> None:
        self.now_s = 0.0
        self.link = EmulatedLink("zone:0-0", delay_s, loss)
        self.delay_line = DelayLine(self.link, Random(seed), lambda: self.now_s)

    def take_all(self) -> bytes:
        found = b""
        while data := self.delay_line.take():
            found += data
        return found


def test_data_arrives_after_the_delay_and_not_before() -> None:
    line = ClockedLine(delay_s=0.035)
    line.delay_line.put(b"ab")
    line.now_s = 0.030
    assert line.take_all() == b"" and line.delay_line.wait_s() == pytest.approx(0.005)
    line.now_s = 0.035
    assert line.take_all() == b"ab" and line.delay_line.buffered_bytes == 0


def test_a_cut_holds_back_data_in_flight_and_delivers_it_in_order_after() -> None:
    line = ClockedLine()
    line.delay_line.put(b"1")
    line.link.set_cut(True)
    line.delay_line.put(b"2")
    line.now_s = 60.0
    assert line.take_all() == b"" and not line.link.healed.is_set()
    line.link.set_cut(False)
    assert line.take_all() == b"12" and line.link.healed.is_set()


def test_a_lost_segment_delays_all_that_follows_by_tcps_own_timer() -> None:
    line = ClockedLine(loss=0.5, seed=3)
    due = []
    for number in range(40):
        line.now_s = number * 0.001
        line.delay_line.put(bytes([number]))
        due.append(line.delay_line.waiting[-1][0])
    assert due == sorted(due), "nothing overtakes"
    assert due[-1] - 0.039 > MIN_RETRANSMISSION_TIMEOUT_S and line.link.retransmission_count > 0
    line.now_s = due[-1]
    assert line.take_all() == bytes(range(40)), "nothing is lost for good"


def test_a_loss_costs_a_round_trip_with_segments_behind_it_and_the_timer_without() -> None:
    link = EmulatedLink("x", 0.035)
    assert link.recovery_s(1, 3) == pytest.approx(0.07)
    assert link.recovery_s(1, 0) == pytest.approx(MIN_RETRANSMISSION_TIMEOUT_S)
    assert link.recovery_s(2, 0) == pytest.approx(3 * MIN_RETRANSMISSION_TIMEOUT_S), "the timer doubles"


@given(
    st.lists(st.binary(min_size=1, max_size=4 * SEGMENT_BYTES), max_size=12),
    st.floats(0, 0.4),
    st.integers(0, 99),
)
def test_a_lossy_link_keeps_the_stream_and_is_deterministic_for_a_seed(
    chunks: list[bytes], loss: float, seed: int
) -> None:
    def due() -> list[float]:
        line = ClockedLine(loss=loss, seed=seed)
        for data in chunks:
            line.delay_line.put(data)
        times = [at_s for at_s, _ in line.delay_line.waiting]
        line.now_s = 1e9
        assert line.take_all() == b"".join(chunks)
        return times

    assert due() == due() == sorted(due())


def test_links_are_named_by_both_zones_and_their_class() -> None:
    x = ScaleExperiment("x", (Size("a", 10),))
    assert [x.region_of(z) for z in range(5)] == [0, 0, 0, 1, 1]
    assert link_name(x, 2, 0) == link_name(x, 0, 2) == "region:0-2"
    assert link_name(x, 4, 1) == "between:1-4" and link_name(x, 3, 3) == "zone:3-3"


def test_configured_links_connect_all_members_and_are_counted_right() -> None:
    for topology in ("mesh", "tree"):
        size = Size("a", 30, topology=topology, fanout=4)
        dialled = [peers_of(size, n, 5) for n in range(30)]
        assert sum(map(len, dialled)) == size.link_count
        reached = {0}
        for member, peers in enumerate(dialled):
            assert all(peer < member for peer in peers)
            if reached & set(peers):
                reached.add(member)
        assert reached == set(range(30))
    assert all(0 < len(peers_of(Size("a", 9, topology="seeds"), n, 5)) <= 2 for n in range(9))


def listening() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    return sock


def on_loopback(story: Callable[[], object]) -> None:
    async def go() -> None:
        await asyncio.wait_for(story(), 20)  # type: ignore[arg-type]

    asyncio.run(go())


def test_a_forwarder_forwards_both_ways_through_a_cut_and_passes_on_the_end_of_stream() -> None:
    async def story() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                writer.write(data)
            writer.close()

        endpoint = await asyncio.start_server(echo, "127.0.0.1", 0)
        front = listening()
        link = EmulatedLink("zone:0-0", 0.001, 0.05)
        running = asyncio.ensure_future(
            Forwarder(front, endpoint.sockets[0].getsockname(), link, seed=5).run()
        )
        await asyncio.sleep(0)  # it listens from its first turn on
        reader, writer = await asyncio.open_connection(*front.getsockname())
        sent = os.urandom(100_000)
        link.set_cut(True)
        writer.write(sent)
        link.set_cut(False)
        assert await reader.readexactly(len(sent)) == sent
        assert link.bytes_forwarded >= 2 * len(sent) and link.retransmission_count > 0
        writer.write_eof()
        assert await reader.read() == b"", "an end is passed on as an end"
        writer.close()
        running.cancel()
        await asyncio.wait((running,))
        with pytest.raises(OSError):
            await asyncio.open_connection(endpoint.sockets[0].getsockname()[0], front_port)
        endpoint.close()

    front_port = listening().getsockname()[1]
    on_loopback(story)


def test_a_sender_that_is_faster_than_its_link_is_held_back() -> None:
    async def story() -> None:
        got: list[int] = []

        async def swallow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                got.append(len(data))
            writer.close()

        endpoint = await asyncio.start_server(swallow, "127.0.0.1", 0)
        front = listening()
        link = EmulatedLink("between:0-3", 0.01)
        running = asyncio.ensure_future(
            Forwarder(front, endpoint.sockets[0].getsockname(), link, seed=5).run()
        )
        await asyncio.sleep(0)
        _, writer = await asyncio.open_connection(*front.getsockname())
        link.set_cut(True)
        writer.write(bytes(20 * MAX_BUFFERED_BYTES))
        while link.bytes_forwarded < MAX_BUFFERED_BYTES:
            await asyncio.sleep(0.001)
        for _ in range(50):
            await asyncio.sleep(0.001)
        assert link.bytes_forwarded < MAX_BUFFERED_BYTES + 2 * 65536, "no more is read than may be buffered"
        link.set_cut(False)
        await writer.drain()
        writer.close()
        while sum(got) < 20 * MAX_BUFFERED_BYTES:
            await asyncio.sleep(0.001)
        running.cancel()
        await asyncio.wait((running,))
        endpoint.close()

    on_loopback(story)


# ---------------------------------------------------------------- what is counted


def test_a_counting_socket_agrees_with_the_kernel(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "counts"
    counting.create_file(file, 2)
    flat = memoryview(bytearray(file.read_bytes())).cast("Q")
    monkeypatch.setattr(counting, "_counters", flat)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with owned(1, "store"):
            ours = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        with owned(0, "list"):
            other = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        stray = CountingSocket(socket.AF_INET, socket.SOCK_STREAM)
        ours.connect(listener.getsockname())
        theirs, _ = listener.accept()
        assert ours.send(b"abc") == 3 and ours.sendmsg((b"de", b"f")) == 3
        theirs.sendall(bytes(1000))
        buffer = bytearray(600)
        assert ours.recv_into(buffer) == 600 and len(ours.recv(600)) == 400
        # struct tcp_info: octets that the other side has acknowledged, and octets that came in
        _, received = struct.unpack_from("QQ", ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 160), 120)
        for sock in (ours, other, stray, theirs):
            sock.close()
    file.write_bytes(flat.tobytes())
    nobody, counts = counting.read_file(file, 2)
    assert counts.values["store"] == {
        "in_octets": 1000,
        "out_octets": 6,
        "in_messages": 2,
        "out_messages": 2,
    }
    assert received == 1000
    assert counts.sum("in_octets", "list", "client") == 0 and nobody.sum("out_octets") == 0
    assert counts.since(counts).sum("in_octets") == 0


def test_tasks_inherit_the_owner_of_their_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        counting, "_counters", memoryview(bytearray(8 * counting.COUNTERS_PER_MEMBER)).cast("Q")
    )

    async def story() -> None:
        async def dial() -> None:
            with CountingSocket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.connect(("127.0.0.1", 9))
                sock.send(b"12345")

        with owned(0, "store"):
            task = asyncio.ensure_future(dial())
        await task

    on_loopback(story)
    counts = counting._counters
    assert counts is not None and sorted(counts.tolist())[-2:] == [1, 5]


def counts_of(messages: int, octets: int) -> Counts:
    empty = dict.fromkeys(counting.FIELDS, 0)
    store = {**empty, "in_messages": messages, "in_octets": octets}
    return Counts({p: dict(store if p == "store" else empty) for p in counting.PURPOSES})


def test_processor_time_is_divided_evenly_and_by_messages_for_the_busiest() -> None:
    rows = [[counts_of(10, 100), counts_of(30, 300)], [counts_of(40, 400)]]
    usage = encode_usage(["hollow", "real"], rows, [0.4, 0.5], 10.0)
    assert usage["hollow"]["core"] == pytest.approx(0.02) and usage["real"]["core"] == pytest.approx(0.05)
    assert usage["hollow"]["core_busiest"] == pytest.approx(0.04 * 30 / 40)
    assert usage["hollow"]["octets"] == 20.0 and usage["hollow"]["octets_most"] == 30.0
    assert not usage["saturated"] and encode_usage(["real"], rows[1:], [9.0], 10.0)["saturated"]


def test_durations_are_encoded_with_those_that_never_arrived() -> None:
    assert encode_durations([]) == {"n": 0}
    encoded = encode_durations([0.1] * 98 + [5.0, float("inf")])
    assert (encoded["p50"], encoded["p99"], encoded["worst"]) == (0.1, 5.0, None)
    assert encoded["over_4s"] == 2 and encoded["never"] == 1
    assert msgspec.json.decode(msgspec.json.encode(encoded)) == encoded


# ---------------------------------------------------------------- members


def test_a_wiped_copy_keeps_first_arrivals_and_records_its_own_anew() -> None:
    held: dict[str, float] = {}
    first = Store("a")
    recorder = ArrivalRecorder(first, held)
    record = first.put("change/1", 1)
    first.put("other", 1)
    second = Store("a")
    again = ArrivalRecorder(second, held)
    second.merge([record])
    assert list(held) == ["change/1"]
    assert again.present_copy_s["change/1"] >= recorder.present_copy_s["change/1"] == held["change/1"]


def test_copies_with_the_same_records_have_the_same_hash_and_a_change_alters_it() -> None:
    one, two = Store("a"), Store("b")
    one.merge(preload(20))
    two.merge(reversed(preload(20)))
    assert store_hash(one) == store_hash(two)
    two.put("shards/000003", None)
    assert store_hash(one) != store_hash(two)


def test_another_replication_can_be_registered_by_its_name(monkeypatch: pytest.MonkeyPatch) -> None:
    made = []

    class Other:
        address = ("127.0.0.1", 0)

        def start(self) -> None: ...

        async def stop(self) -> None: ...

    def make(store: Store, options: LinkOptions, admission: AdmissionController, location: Location) -> Other:
        made.append((store, location))
        return Other()

    monkeypatch.setitem(members.REPLICATIONS, "other", make)
    store, location = Store("a"), Location("a", "z0", "g0")
    options = LinkOptions(("127.0.0.1", 0), (), b"")
    found = make_replication("other", store, options, AdmissionController(ProcessLimits(64, 64.0)), location)
    assert isinstance(found, Other) and made == [(store, location)]


# ---------------------------------------------------------------- costs of single parts


def test_each_part_is_measured_at_the_size_it_is_asked_for() -> None:
    digest = store_costs.store_digest(30)
    frame = json.dumps({"digest": make_store(30).digest()}, separators=(",", ":"))
    assert digest["octets"] == len(frame) and digest["frame_part"] == pytest.approx(len(frame) / (4 << 20))
    memory = store_costs.store_memory(300)
    assert memory["kept"] == 300 and memory["octets"] > 300 * 100
    log = store_costs.store_log(30)
    assert log["octets"] > 30 * 50 and log["put_s"] > 0
    copied = store_costs.operator_command(450)  # three frames
    assert copied["kept"] == 450 and 0 < copied["copied_s"] <= copied["done_s"]
    assert relay_costs.list_reading(40)["octets"] > 40 * 100
    assert relay_costs.decisions(12)["sent"] == 1.0
    assert relay_costs.flow_record(9)["octets"] - relay_costs.flow_record(8)["octets"] == 2, (
        "class and tenant"
    )


def test_calls_for_the_list_queue_up_where_discovery_is_slower_than_they_arrive() -> None:
    quick, slow = list_calls(60, 2.0, True, 1), list_calls(60, 130.0, True, 1)
    assert quick["failed"] == 0 and quick["calls"] == 60 and quick["last_s"] < 2.0
    assert slow["failed"] > 0 and slow["calls"] == 60 + slow["failed"] and slow["last_s"] > 60 * 0.13
    assert list_calls(60, 130.0, True, 1) == slow, "the same seed, the same day"


def test_a_parts_lines_end_with_its_fits_and_an_unknown_part_is_named(tmp_path: Path) -> None:
    lines = list(costs.run_costs(["flow_record"]))
    assert [line.get("fit") for line in lines] == [None] * 4 + ["octets"]
    assert lines[-1]["straight"] and lines[-1]["values"][1] == pytest.approx(2.0)
    refused = CliRunner().invoke(
        build_app(), ["lab", "costs", "--out", str(tmp_path / "c"), "--only", "flows"]
    )
    assert refused.exit_code == 2 and "only: flows" in refused.stderr
    kept = CliRunner().invoke(
        build_app(), ["lab", "costs", "--out", str(tmp_path / "c"), "--only", "flow_record"]
    )
    assert kept.exit_code == 0
    assert [json.loads(x)["part"] for x in (tmp_path / "c").read_text().splitlines()] == ["flow_record"] * 5


def test_the_command_names_a_faulty_files_key(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_text('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nspread = "gossip"')
    refused = CliRunner().invoke(
        build_app(), ["lab", "scale", str(tmp_path / "x.toml"), "--out", str(tmp_path / "o")]
    )
    assert refused.exit_code == 2 and "sizes[0].spread" in refused.stderr and not (tmp_path / "o").exists()


# ---------------------------------------------------------------- complete runs


def left_behind(folder: Path) -> list[str]:
    """Processes whose job lies in this folder."""
    found = []
    for entry in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            text = entry.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue
        if "sageturn.lab.scale.process" in text and str(folder) in text:
            found.append(text)
    return found


def test_a_small_run_delivers_every_change_and_sends_no_more_than_it_should(tmp_path: Path) -> None:
    keys, interval_s = 50, 0.5
    experiment = ScaleExperiment(
        "x",
        (Size("a", 5, keys=keys, real=1, clients=2),),
        seeds=(7,),
        interval_s=interval_s,
        windows=SMALL,
        links=LinkProfile(between_ms=2.0),
        around=Environment(hosts=8),
    )
    experiment.validate()
    line = asyncio.run(ScaleRun(experiment, experiment.sizes[0], 7, tmp_path).run())
    assert line["equal"]["all"] and line["links"] == 10
    idle, changes = line["phases"]["idle"], line["phases"]["changes"]
    assert changes["changes"]["last"]["n"] == 6 and changes["changes"]["last"]["never"] == 0
    # At rest a link's end says its digest once an interval. Beyond that, the whole relay may tell its state
    # once within the window, and each copy passes that on over all its links.
    frame = 4 + 32 + len('{"digest":{}}') + (keys + 1) * len('"state/r0000/relay":[1,"r0000"],')
    for role in ("hollow", "real"):
        ends, took_s = 4, idle["took_s"]
        messages = idle[role]["store_out_messages_most"] * took_s
        assert 0 < messages <= ends * (took_s / interval_s + 1) + ends + 0.5
        assert idle[role]["store_out_octets_most"] <= idle[role]["store_out_messages_most"] * (frame + 1)
    # Each change goes over each link twice at the most: as news, and back as news to its giver.
    record = 4 + 32 + 200
    extra = (changes["hollow"]["store_out_octets"] - idle["hollow"]["store_out_octets"]) * changes["took_s"]
    assert extra <= 7 * 2 * 4 * record + 4 * (frame + 7 * 40)
    assert line["discovery"]["calls"] >= 5 and line["discovery"]["failed"] == 0
    assert line["clients"]["opened"] >= 2 and line["clients"]["refused"] == 0
    assert idle["descriptors_real"][0] > 8 and line["memory"]["real_mb"][0] > 10
    assert left_behind(tmp_path) == []


def test_each_fault_is_injected_and_all_copies_are_equal_after(tmp_path: Path) -> None:
    faults = (
        Fault("kill", length_s=0.5, part=0.3, wipe=True, after_s=0.5),
        Fault("cut", length_s=1.0, after_s=0.3),
        Fault("loss", length_s=0.3, part=0.2, after_s=0.3),
        Fault("zone", length_s=0.3, after_s=0.3),
        Fault("restart", length_s=0.5, after_s=0.3),
        Fault("discovery", length_s=0.3, after_s=2.0),
    )
    experiment = ScaleExperiment(
        "x",
        (Size("a", 10, keys=20, faults=faults),),
        seeds=(7,),
        interval_s=0.5,
        windows=msgspec.structs.replace(SMALL, changes=20),
        links=LinkProfile(between_ms=2.0),
        around=Environment(hosts=8),
    )
    line = asyncio.run(ScaleRun(experiment, experiment.sizes[0], 7, tmp_path).run())
    phases = line["phases"]
    assert list(phases)[2:] == ["0:kill", "1:cut", "2:loss", "3:zone", "4:restart", "5:discovery"]
    for name, phase in phases.items():
        if name != "idle":
            assert phase["changes"]["last"]["never"] == 0, name
    assert phases["0:kill"]["changes"]["back"]["n"] == 3, "a third of ten, who all missed something"
    assert phases["3:zone"]["changes"]["back"]["n"] <= 2, "those of the last of five zones"
    cut = phases["1:cut"]["changes"]
    assert cut["last"]["worst"] > 5 * cut["last_on_its_side"]["p50"], "the other side has to wait"
    assert phases["5:discovery"]["changes"]["listed"]["n"] == 10
    assert phases["5:discovery"]["changes"]["listed"]["never"] == 0
    assert line["discovery"]["calls"] >= 20 and line["equal"]["all"]
    assert left_behind(tmp_path) == []


def test_a_run_over_its_bound_is_ended_and_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    tight = ScaleExperiment("x", (Size("a", 3),), windows=SMALL, bounds=Bounds(memory_gb=0.01))
    with pytest.raises(InvalidPlanError, match=r"sizes\[0\].keys"):
        tight.validate()  # it would be refused when read; here it is begun all the same
    line = asyncio.run(run_size(tight, tight.sizes[0], 1, lambda text: None))
    assert line["failed"].startswith("Overrun: memory_gb")
    assert left_behind(tmp_path) == [] and list(tmp_path.iterdir()) == []


def test_an_interrupt_ends_the_command_and_all_its_processes(tmp_path: Path) -> None:
    file = tmp_path / "x.toml"
    file.write_text('name = "x"\n[windows]\nsettle_s = 60\n[[sizes]]\nname = "a"\nmembers = 3\n')
    environ = {**os.environ, "TMPDIR": str(tmp_path)}
    with subprocess.Popen(
        [sys.executable, "-m", "sageturn.cli.main", "lab", "scale", str(file), "--out", str(tmp_path / "o")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=environ,
        start_new_session=True,
    ) as command:
        assert command.stdout is not None and "3 members" in command.stdout.readline()
        for _ in range(1000):
            if len(left_behind(tmp_path)) >= 8:
                break
            try:
                command.wait(0.02)
                break
            except subprocess.TimeoutExpired:
                continue
        assert len(left_behind(tmp_path)) >= 8, "five parts of the link layer, and three members' processes"
        command.send_signal(signal.SIGINT)
        _, error_output = command.communicate(timeout=20)
    assert command.returncode == 1 and "interrupted" in error_output
    assert left_behind(tmp_path) == [] and len((tmp_path / "o").read_text().splitlines()) == 1
