"""The watch on discovery over loopback: it is replaced after a 503, a reset, a timeout, a truncated list."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import AsyncExitStack
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import (
    FakeDiscovery,
    encode_watch_response,
    make_endpoint_list,
    running_server,
    write_config,
)

from sageturn.config.loader import load
from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.decision import DiscoveryFailure
from sageturn.net import discovery_watch
from sageturn.net.connecting import ConnectFailure
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.discovery_watch import DiscoveryWatch
from sageturn.net.endpoint_list import parse_endpoint_list
from sageturn.net.errors import InvalidEndpointListError
from sageturn.net.json_stream import JsonObject
from sageturn.net.sockets import bind_socket
from sageturn.relay import Relay

ADDRESS = ("127.0.0.1", 9)
FULL_LIST = encode_watch_response(make_endpoint_list({"a": ADDRESS}, 7))
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HALF_LIST = FULL_LIST[: len(FULL_LIST) // 2] + b"#"
COMPLETE_RESPONSE = encode_watch_response(make_endpoint_list({"a": ADDRESS}, 6)) + b"0\r\n\r\n#"


async def run_until_version_7(
    folder: Path, *answers: bytes, known: JsonObject | None = None
) -> tuple[Relay, FakeDiscovery]:
    """Run a relay until it has version 7 of the endpoint list; return it and its discovery."""
    async with AsyncExitStack() as stack:
        discovery = FakeDiscovery(*answers)
        await stack.enter_async_context(running_server(discovery))
        relay = Relay(load({"GW_CONFIG": str(write_config(folder, discovery.address, known))}))
        relay.start()
        stack.push_async_callback(relay.stop)
        async with asyncio.timeout(15):
            while relay.endpoint_registry.version != 7:
                await asyncio.sleep(0.01)
        return relay, discovery


@pytest.mark.parametrize(
    "failure", [UNAVAILABLE, b"", HALF_LIST, COMPLETE_RESPONSE, b"nonsense\r\n\r\n#", b"HTTP/1.1 200 OK\r\n#"]
)
async def test_failed_watch_is_retried_after_a_delay(tmp_path: Path, failure: bytes) -> None:
    # Each of these failures is normal on the platform: none may end the relay or cause calls without delay.
    relay, discovery = await run_until_version_7(tmp_path, failure, failure, FULL_LIST)
    assert len(discovery.requests) == 3
    called_at_s = [request.received_at_s for request in discovery.requests]
    gaps_s = [later - earlier for earlier, later in pairwise(called_at_s)]
    assert all(gap_s > 0.3 for gap_s in gaps_s) and sum(gaps_s) < 6
    assert relay.endpoint_registry.has_ready_endpoint.is_set()


async def test_idle_watch_is_replaced(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # The connection to a machine that vanished stays open, but the relay must have changes within 6 s.
    monkeypatch.setattr("sageturn.net.discovery_watch.IDLE_TIMEOUT_S", 0.2)
    _, discovery = await run_until_version_7(
        tmp_path, encode_watch_response(make_endpoint_list({"a": ADDRESS}, 6)), FULL_LIST
    )
    assert discovery.requests[1].request_line == b"GET /v1/endpoints?stream=1&index=6 HTTP/1.1"


async def test_watch_starts_after_the_known_version(tmp_path: Path) -> None:
    _, discovery = await run_until_version_7(tmp_path, FULL_LIST, known=make_endpoint_list({"a": ADDRESS}, 5))
    assert discovery.requests[0].request_line == b"GET /v1/endpoints?stream=1&index=5 HTTP/1.1"


async def test_changes_are_merged_and_an_endpoint_missing_from_a_full_list_is_removed(tmp_path: Path) -> None:
    change = {**make_endpoint_list({"b": ADDRESS}, 6), "full": False}
    relay, _ = await run_until_version_7(
        tmp_path,
        encode_watch_response(change, make_endpoint_list({"c": ADDRESS}, 7)),
        known=make_endpoint_list({"a": ADDRESS}, 5),
    )
    # The address of a removed endpoint is retained, since an attempt to connect to it may be in progress.
    assert set(relay.endpoint_registry.addresses) == {"a", "b", "c"}
    assert relay.endpoint_registry.states == {"c": "ready"}


@pytest.mark.parametrize(
    "bad", [{}, {"servers": [{}], "version": 1}, {"servers": [{"id": "a", "state": "odd"}], "version": 1}, []]
)
def test_invalid_list_is_refused(bad: Any) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list(bad)


# ---------------------------------------------------------------- classification of failed calls

RESET = b""  # ``OneCallDiscovery`` resets the connection without a response


class OneCallDiscovery(FakeDiscovery):
    """Discovery that answers one call, and closes the connection after the answer.

    The connection is instead kept open after a final ``~``, and reset after a final ``!`` or an empty answer.
    """

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        (answer,) = self.responses
        writer.write(answer.rstrip(b"#!~"))
        await writer.drain()
        if answer.endswith(b"~"):
            await reader.read()
        elif answer == RESET or answer.endswith(b"!"):
            await asyncio.sleep(0.05)  # lets the client read the answer before the reset discards it
            writer.transport.abort()
        writer.close()


async def get_watch_failure(
    monkeypatch: pytest.MonkeyPatch, answer: bytes, waited_s: float = 0.0
) -> DiscoveryFailure:
    """Return how a watch with this response fails after ``waited_s`` on its clock."""
    monkeypatch.setattr(discovery_watch, "RESPONSE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(discovery_watch, "IDLE_TIMEOUT_S", 0.3)

    def clock_readings() -> Iterator[float]:
        yield 50.0
        while True:
            yield 50.0 + waited_s

    failed: asyncio.Queue[WatchFailed] = asyncio.Queue()

    async def on_event(_: int, event: EndpointListUpdate | WatchFailed) -> None:
        if isinstance(event, WatchFailed):
            await failed.put(event)

    discovery = OneCallDiscovery(answer)
    async with running_server(discovery):
        client = DiscoveryClient(discovery.address, on_event, clock_readings().__next__)
        client.start(0)
        try:
            return (await asyncio.wait_for(failed.get(), 5)).failure
        finally:
            await client.stop()


@pytest.mark.parametrize(
    "answer", [RESET, UNAVAILABLE + b"#", UNAVAILABLE + b"~", b"#"], ids=["reset", "503", "left open", "end"]
)
async def test_rejected_call_counts_as_overloaded_only_if_it_waited(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # When all failures had the same backoff, 200 relays waited up to 150 s after discovery was down for 60 s.
    assert await get_watch_failure(monkeypatch, answer) is DiscoveryFailure.UNREACHED
    assert await get_watch_failure(monkeypatch, answer, 0.9) is DiscoveryFailure.UNREACHED
    assert await get_watch_failure(monkeypatch, answer, 1.1) is DiscoveryFailure.OVERLOADED
    assert await get_watch_failure(monkeypatch, answer, 3.0) is DiscoveryFailure.OVERLOADED


async def test_call_without_a_response_is_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for answer in (b"~", b"HTTP/1.1 200 OK\r\n~", HALF_LIST[:-1] + b"~"):
        assert await get_watch_failure(monkeypatch, answer, 3.5) is DiscoveryFailure.UNANSWERED


@pytest.mark.parametrize(
    "answer",
    [
        HALF_LIST,
        HALF_LIST[:-1] + b"!",
        COMPLETE_RESPONSE,
        b"nonsense\r\n\r\n#",
        encode_watch_response({"version": 1, "servers": [{}]}) + b"~",
    ],
    ids=["cut", "reset", "complete", "nonsense", "bad list"],
)
async def test_response_that_is_no_watch_is_unusable(answer: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    assert await get_watch_failure(monkeypatch, answer, 3.0) is DiscoveryFailure.UNUSABLE


async def test_established_watch_is_lost_or_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    assert await get_watch_failure(monkeypatch, FULL_LIST + b"#", 9.0) is DiscoveryFailure.LOST
    assert await get_watch_failure(monkeypatch, FULL_LIST + b"!", 9.0) is DiscoveryFailure.LOST
    assert await get_watch_failure(monkeypatch, FULL_LIST + b"zz\r\n#", 9.0) is DiscoveryFailure.LOST
    assert await get_watch_failure(monkeypatch, FULL_LIST + b"~", 9.0) is DiscoveryFailure.SILENT


@pytest.mark.parametrize("connect_failure", [None, *ConnectFailure])
async def test_call_that_cannot_connect_is_unreached(
    connect_failure: ConnectFailure | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail_to_connect(address: tuple[str, int], timeout_s: float) -> ConnectFailure:
        assert connect_failure is not None
        return connect_failure

    if connect_failure is not None:
        monkeypatch.setattr(discovery_watch, "connect", fail_to_connect)
    failed: asyncio.Queue[WatchFailed] = asyncio.Queue()
    sock = bind_socket(("127.0.0.1", 0))  # refuses connections, as it does not listen
    try:
        DiscoveryClient(sock.getsockname(), lambda _, event: failed.put(event)).start(0)  # type: ignore[arg-type]
        assert (await asyncio.wait_for(failed.get(), 5)).failure is DiscoveryFailure.UNREACHED
    finally:
        sock.close()


async def test_a_request_that_discovery_does_not_read_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_watch, "RESPONSE_TIMEOUT_S", 0.2)
    more_than_the_kernel_buffers = b"x" * (1 << 25)
    monkeypatch.setattr(
        discovery_watch.DiscoveryWatch, "_encode_request", lambda _: more_than_the_kernel_buffers
    )

    async def fail_on_update(_update: EndpointListUpdate) -> None:
        raise AssertionError("nothing was sent")

    unread = bind_socket(("127.0.0.1", 0))
    unread.listen()
    try:
        watch = DiscoveryWatch(unread.getsockname(), 0, fail_on_update, asyncio.get_running_loop().time)
        failed = await asyncio.wait_for(watch.run(), 2)
    finally:
        unread.close()
    assert failed == WatchFailed("silent", DiscoveryFailure.UNANSWERED)
