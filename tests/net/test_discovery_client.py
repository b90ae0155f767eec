"""Stories on discovery's wire: 503, resets, silence, half lines; a watch is asked for again each time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import Discovery, chunked, listed, served, write_config

from sageturn.config.loader import load
from sageturn.decision import DiscoveryFailure
from sageturn.net import discovery as net
from sageturn.net.discovery import DiscoveryClient, InvalidEndpointListError, parse_endpoint_list
from sageturn.net.sockets import ConnectFailure, bind_socket
from sageturn.relay import Relay

HERE = ("127.0.0.1", 9)
FULL = chunked(listed({"a": HERE}, 7))
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HALF = FULL[: len(FULL) // 2] + b"#"
CLOSED = chunked(listed({"a": HERE}, 6)) + b"0\r\n\r\n#"


def run(folder: Path, *answers: bytes, known: dict[str, Any] | None = None) -> tuple[Relay, Discovery]:
    """Until version 7 has come, by whatever way."""

    async def go() -> tuple[Relay, Discovery]:
        async with AsyncExitStack() as stack:
            discovery = Discovery(*answers)
            await stack.enter_async_context(served(discovery))
            relay = Relay(load({"GW_CONFIG": str(write_config(folder, discovery.address, known))}))
            relay.start()
            stack.push_async_callback(relay.stop)
            async with asyncio.timeout(15):
                while relay.endpoint_registry.version != 7:
                    await asyncio.sleep(0.01)
            return relay, discovery

    return asyncio.run(go())


@pytest.mark.parametrize("trouble", [BUSY, b"", HALF, CLOSED, b"nonsense\r\n\r\n#", b"HTTP/1.1 200 OK\r\n#"])
def test_a_watch_that_fails_is_asked_for_again_with_a_pause(tmp_path: Path, trouble: bytes) -> None:
    # Each of these is normal there; none may end the relay, and a broken call must not be hammered.
    relay, discovery = run(tmp_path, trouble, trouble, FULL)
    assert len(discovery.asked) == 3
    gaps = [b[0] - a[0] for a, b in zip(discovery.asked, discovery.asked[1:], strict=False)]
    assert all(gap > 0.3 for gap in gaps) and sum(gaps) < 6
    assert relay.endpoint_registry.usable.is_set()


def test_a_silent_watch_is_given_up(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # A machine that vanished holds the connection open; what it has to tell counts as told after 6 s.
    monkeypatch.setattr("sageturn.net.discovery.SILENCE_S", 0.2)
    _, discovery = run(tmp_path, chunked(listed({"a": HERE}, 6)), FULL)
    assert discovery.asked[1][1] == b"GET /v1/endpoints?stream=1&index=6 HTTP/1.1"


def test_a_watch_starts_from_the_version_known(tmp_path: Path) -> None:
    _, discovery = run(tmp_path, FULL, known=listed({"a": HERE}, 5))
    assert discovery.asked[0][1] == b"GET /v1/endpoints?stream=1&index=5 HTTP/1.1"


def test_changes_are_merged_and_a_host_left_out_of_a_full_list_is_gone(tmp_path: Path) -> None:
    change = {**listed({"b": HERE}, 6), "full": False}
    relay, _ = run(tmp_path, chunked(change, listed({"c": HERE}, 7)), known=listed({"a": HERE}, 5))
    assert set(relay.endpoint_registry.addresses) == {"a", "b", "c"}  # kept: a call may be on its way there
    assert relay.endpoint_registry._states == {"c": "ready"}


@pytest.mark.parametrize(
    "bad", [{}, {"servers": [{}], "version": 1}, {"servers": [{"id": "a", "state": "odd"}], "version": 1}, []]
)
def test_half_a_list_is_not_believed(bad: Any) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(bad)


# ---------------------------------------------------------------- what a call that failed has cost discovery

RESET = b""  # stands for no answer, and a reset


class Peer(Discovery):
    """Answers one call; a reset, where it says nothing or what it says ends with "!"."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        (answer,) = self.answers
        writer.write(answer.rstrip(b"#!~"))
        await writer.drain()
        if answer.endswith(b"~"):
            await reader.read()
        elif answer == RESET or answer.endswith(b"!"):
            await asyncio.sleep(0.05)  # so that what was said is read before the reset destroys it
            writer.transport.abort()
        writer.close()


def ends(monkeypatch: pytest.MonkeyPatch, answer: bytes, waited_s: float = 0.0) -> DiscoveryFailure:
    """How a call ends that is so answered, when its clock says that it has waited so long."""
    monkeypatch.setattr(net, "ANSWER_S", 0.3)
    monkeypatch.setattr(net, "SILENCE_S", 0.3)

    def readings() -> Iterator[float]:
        yield 50.0
        while True:
            yield 50.0 + waited_s

    async def go() -> DiscoveryFailure:
        failed: asyncio.Queue[net.WatchFailed] = asyncio.Queue()

        async def report(_: int, said: Any) -> None:
            if isinstance(said, net.WatchFailed):
                await failed.put(said)

        peer = Peer(answer)
        async with served(peer):
            client = DiscoveryClient(peer.address, report, readings().__next__)
            client.start(0)
            return (await asyncio.wait_for(failed.get(), 5)).failure

    return asyncio.run(go())


@pytest.mark.parametrize(
    "answer", [RESET, BUSY + b"#", BUSY + b"~", b"#"], ids=["reset", "503", "left open", "end"]
)
def test_what_is_turned_away_at_once_cost_nothing_and_what_waited_did(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # All failures were alike: after a minute of refusals 200 relays waited up to 150 s for their next call.
    assert ends(monkeypatch, answer) is DiscoveryFailure.UNREACHED
    assert ends(monkeypatch, answer, 0.9) is DiscoveryFailure.UNREACHED
    assert ends(monkeypatch, answer, 1.1) is DiscoveryFailure.OVERLOADED
    assert ends(monkeypatch, answer, 3.0) is DiscoveryFailure.OVERLOADED


def test_one_that_is_answered_by_silence_is_told_from_one_that_waited_in_vain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for answer in (b"~", b"HTTP/1.1 200 OK\r\n~", HALF[:-1] + b"~"):
        assert ends(monkeypatch, answer, 3.5) is DiscoveryFailure.UNANSWERED


@pytest.mark.parametrize(
    "answer",
    [HALF, HALF[:-1] + b"!", CLOSED, b"nonsense\r\n\r\n#", chunked({"version": 1, "servers": [{}]}) + b"~"],
    ids=["cut", "reset", "complete", "nonsense", "bad list"],
)
def test_an_answer_of_which_no_watch_came_is_no_sign_of_a_queue(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert ends(monkeypatch, answer, 3.0) is DiscoveryFailure.UNUSABLE


def test_a_watch_that_stood_is_lost_or_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    assert ends(monkeypatch, FULL + b"#", 9.0) is DiscoveryFailure.LOST
    assert ends(monkeypatch, FULL + b"!", 9.0) is DiscoveryFailure.LOST
    assert ends(monkeypatch, FULL + b"zz\r\n#", 9.0) is DiscoveryFailure.LOST
    assert ends(monkeypatch, FULL + b"~", 9.0) is DiscoveryFailure.SILENT


@pytest.mark.parametrize("why", [None, *ConnectFailure])
def test_a_call_that_never_connects_costs_discovery_nothing(
    why: ConnectFailure | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def never(address: tuple[str, int], timeout_s: float) -> ConnectFailure:
        assert why is not None
        return why

    async def go() -> DiscoveryFailure:
        failed: asyncio.Queue[net.WatchFailed] = asyncio.Queue()
        sock = bind_socket(("127.0.0.1", 0))  # it refuses, as nobody listens
        try:
            DiscoveryClient(sock.getsockname(), lambda _, said: failed.put(said)).start(0)  # type: ignore[arg-type]
            return (await asyncio.wait_for(failed.get(), 5)).failure
        finally:
            sock.close()

    if why is not None:
        monkeypatch.setattr(net, "connect", never)
    assert asyncio.run(go()) is DiscoveryFailure.UNREACHED
