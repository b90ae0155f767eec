"""Tests of races between an attempt and the event that ends it, each forced on loopback sockets."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from support.event_loop import until
from support.network_fakes import (
    SETTINGS,
    ConnectResult,
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    never_respond,
    running_relay,
    send_request,
)
from support.ports import Address
from support.relay_checks import is_idle, record_closed_connections, record_placements

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import EndpointListUpdate
from sageturn.decision import Endpoint
from sageturn.frontends import frontend_connection
from sageturn.frontends.platform import connection as platform_connection
from sageturn.frontends.platform import frontend as platform_frontend
from sageturn.net import closing, connecting, sockets
from sageturn.relay import Relay

# ---------------------------------------------------------------- events just before the first write


def leave_by_fin(client: socket.socket, relay: Relay, name: str) -> None:
    client.close()


def leave_by_reset(client: socket.socket, relay: Relay, name: str) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def leave_after_sending(client: socket.socket, relay: Relay, name: str) -> None:
    client.sendall(b"M 1\r\n")
    client.close()


def endpoint_drains(client: socket.socket, relay: Relay, name: str) -> None:
    relay.endpoint_registry.apply_update(EndpointListUpdate(3, False, [Endpoint(name, "draining")]))


def endpoint_removed(client: socket.socket, relay: Relay, name: str) -> None:
    relay.endpoint_registry.apply_update(EndpointListUpdate(3, False, [Endpoint(name, "gone")]))


def endpoint_replaced(client: socket.socket, relay: Relay, name: str) -> None:
    restarted = [Endpoint(name, "ready", started_at_ms=1.0)]
    relay.endpoint_registry.apply_update(EndpointListUpdate(3, False, restarted, {name: ("127.0.0.1", 9)}))


def drain_forced(client: socket.socket, relay: Relay, name: str) -> None:
    for lifecycle in relay.request_registry:
        lifecycle.force_drain()


ENDPOINT_CHANGES = (endpoint_drains, endpoint_removed, endpoint_replaced)
EndEvent = Callable[[socket.socket, Relay, str], None]
EVENTS_BEFORE_WRITE: list[EndEvent] = [
    leave_by_fin,
    leave_by_reset,
    leave_after_sending,
    *ENDPOINT_CHANGES,
    drain_forced,
]


async def check_response_after(end: EndEvent, client: socket.socket) -> None:
    """Check the response to a client that is still connected after ``end``, and close its connection."""
    if end in ENDPOINT_CHANGES:  # the request is served at the other endpoint
        client.settimeout(5)
        assert (await asyncio.to_thread(client.recv, 99)) == b"UP r1\r\n"
        client.close()
    elif end is drain_forced:
        assert (await asyncio.to_thread(client.recv, 99)) == b"BUSY 250\r\n"
        client.close()


@pytest.mark.parametrize("end", EVENTS_BEFORE_WRITE, ids=lambda end: end.__name__)
@pytest.mark.parametrize("attempt", [1, 2])
async def test_nothing_is_written_once_the_request_has_ended_while_its_connection_opens(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: EndEvent, attempt: int
) -> None:
    # A request was written to an endpoint 0.3 s after its client's FIN, which was unread because the event
    # loop was busy. Here no other task runs between the event and the write, so only a check just before the
    # write can notice the event.
    async with running_relay(tmp_path, echo_lines, echo_lines) as (relay, endpoints):
        await until(lambda: relay.endpoint_registry.version == 2)
        by_port = {
            endpoint.address[1]: (name, endpoint) for name, endpoint in zip("ab", endpoints, strict=True)
        }
        connect, calls, reached = connecting.connect_unreserved, 0, list[FakeEndpoint]()

        async def connect_then_end(address: Address, timeout_s: float) -> ConnectResult:
            nonlocal calls
            calls += 1
            if calls < attempt:
                return connecting.ConnectFailure.TIMED_OUT
            sock = await connect(address, timeout_s)
            if not reached:
                name, endpoint = by_port[address[1]]
                reached.append(endpoint)
                end(client, relay, name)
            return sock

        monkeypatch.setattr(frontend_connection, "connect_unreserved", connect_then_end)
        records = record_closed_connections(relay, monkeypatch)
        client = socket.create_connection(relay.listener.address)
        client.sendall(encode_request_line())
        await until(lambda: reached)
        await check_response_after(end, client)
        await until(lambda: records and is_idle(relay))
        assert not any(reached[0].request_lines), end.__name__
        if end.__name__.startswith("leave"):
            assert records[0].close_reason in (CloseReason.CLIENT_LEFT, CloseReason.CLIENT_RESET)
            assert calls == attempt and not any(
                line for endpoint in endpoints for line in endpoint.request_lines
            )


# ---------------------------------------------------------------- requests that a forced drain rejects


def deployment(effect: str, scope: str) -> dict[str, Any]:
    request_class = {
        "name": "c",
        "aimMs": 900.0,
        "hardLimitMs": 1800.0,
        "semantics": effect,
        "dedupScope": scope,
        "keyTtlMs": 5000.0,
    }
    return {**SETTINGS, "classes": [request_class]}


@pytest.mark.parametrize("is_executed", [False, True])
@pytest.mark.parametrize(
    ("effect", "scope", "is_rejected"),
    [("safe", "all", True), ("keyed", "all", True), ("keyed", "zone", False), ("unsafe", "all", False)],
)
async def test_a_forced_drain_rejects_only_requests_that_were_not_executed_or_are_idempotent(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    effect: str,
    scope: str,
    is_rejected: bool,
    is_executed: bool,
) -> None:
    # A forced drain answered every request with BUSY, which promises that a retry is harmless.
    async with running_relay(tmp_path, never_respond, settings=deployment(effect, scope)) as (
        relay,
        (endpoint,),
    ):
        await until(lambda: relay.endpoint_registry.version == 2)
        if not is_executed:
            connect_begun = asyncio.Event()

            async def never_connect(address: Address, timeout_s: float) -> ConnectResult:
                connect_begun.set()
                await asyncio.sleep(3600)
                return connecting.ConnectFailure.TIMED_OUT

            monkeypatch.setattr(frontend_connection, "connect_unreserved", never_connect)
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        if is_executed:
            await until(lambda: endpoint.request_lines)
        else:
            await connect_begun.wait()
        for lifecycle in relay.request_registry:
            lifecycle.force_drain()
        response = await reader.read()
        assert response == (b"BUSY 250\r\n" if is_rejected or not is_executed else b"ERR shutdown\r\n")
        writer.close()
        await until(lambda: is_idle(relay))


@pytest.mark.parametrize("text", [b"BUSY\n", b"BUSY \xff\r\n", b"BUSY\r\nUP r1\r\n", b"BUSYX\r\n", b"BUSY"])
async def test_a_malformed_busy_does_not_prove_that_the_request_was_not_executed(
    tmp_path: Path, text: bytes
) -> None:
    # Only a complete BUSY means that the request was not executed. After any other answer an unsafe request
    # must not be retried.
    async def respond_malformed(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes
    ) -> None:
        writer.write(text)

    unsafe = deployment("unsafe", "all")
    async with running_relay(tmp_path, respond_malformed, respond_malformed, settings=unsafe) as (
        relay,
        endpoints,
    ):
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert (await reader.read()).startswith(b"ERR")
        assert sum(len(endpoint.request_lines) for endpoint in endpoints) == 1
        writer.close()
        await until(lambda: is_idle(relay))


# ---------------------------------------------------------------- when an idempotency key expires

KEY_TTL_MS = 5000.0  # same as ``keyTtlMs`` in ``deployment``


class FailOnceScript:
    """Endpoint script that closes the first attempt after its request was written, and serves later ones."""

    def __init__(self) -> None:
        self.request_lines: list[bytes] = []

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        if line:
            self.request_lines.append(line)
        if len(self.request_lines) > 1:
            await echo_lines(reader, writer, line)


class DelayedRetry:
    """Second attempt that is delayed by advancing the relay's clock, before or after its connection opens."""

    def __init__(
        self, relay: Relay, monkeypatch: pytest.MonkeyPatch, delayed_at: str, delay_ms: float
    ) -> None:
        self.attempts = 0
        self.connections = 0
        self._delayed_at = delayed_at
        self._delay_ms = delay_ms
        self._elapsed_ms = 0.0
        self._connect = connecting.connect_unreserved
        clock = relay.balancer_actor.clock
        now_ms = clock.now_ms
        open_upstream = platform_connection.PlatformConnection.open_upstream

        async def open_delayed(connection: Any, *arguments: Any) -> Any:
            self.attempts += 1
            if self._delayed_at == "decided" and self.attempts == 2:
                self._elapsed_ms = self._delay_ms
            return await open_upstream(connection, *arguments)

        monkeypatch.setattr(clock, "now_ms", lambda: now_ms() + self._elapsed_ms)
        monkeypatch.setattr(platform_connection.PlatformConnection, "open_upstream", open_delayed)
        monkeypatch.setattr(frontend_connection, "connect_unreserved", self._connect_delayed)

    async def _connect_delayed(self, address: Address, timeout_s: float) -> ConnectResult:
        self.connections += 1
        sock = await self._connect(address, timeout_s)
        if self.connections == 2:
            self._elapsed_ms = self._delay_ms
        return sock


@pytest.mark.parametrize(("scope", "expected_prefix"), [("all", b"BUSY"), ("cell", b"ERR ")])
@pytest.mark.parametrize("delay_ms", [KEY_TTL_MS - 500.0, KEY_TTL_MS + 1.0])
@pytest.mark.parametrize("delayed_at", ["decided", "came up"])
async def test_a_retry_is_written_before_its_idempotency_key_expires_or_not_at_all(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    delayed_at: str,
    delay_ms: float,
    scope: str,
    expected_prefix: bytes,
) -> None:
    # The balancer decides on the retry in time, but its connection may take 1.5 s longer to open. The line
    # was written even if the key had expired meanwhile; the time of its last byte counts.
    endpoint = FailOnceScript()
    settings = deployment("keyed", scope)
    settings["classes"][0].update(aimMs=9000.0, hardLimitMs=9000.0)
    async with running_relay(tmp_path, endpoint, endpoint, settings=settings) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        retry = DelayedRetry(relay, monkeypatch, delayed_at, delay_ms)
        reader, writer = await send_request(relay.listener.address, encode_request_line(9000))
        response = await reader.readline()
        in_time = delay_ms < KEY_TTL_MS
        assert response[:4] == (b"UP r" if in_time else expected_prefix)
        assert len(endpoint.request_lines) == 1 + in_time
        # The balancer decides on no third attempt, which the same check would block again.
        assert retry.attempts == 2
        assert retry.connections == (2 if in_time or delayed_at == "came up" else 1)
        writer.close()
        await until(lambda: is_idle(relay))


async def test_a_write_that_blocks_ends_as_its_idempotency_key_expires(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint = FailOnceScript()
    settings = deployment("keyed", "all")
    settings["classes"][0].update(aimMs=9000.0, hardLimitMs=9000.0, keyTtlMs=300.0)
    async with running_relay(tmp_path, endpoint, endpoint, settings=settings) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        send, sent = sockets.send_gathered, 0

        async def block_second_send(*arguments: Any) -> None:
            nonlocal sent
            sent += 1
            if sent == 2:
                await asyncio.sleep(3600)
            await send(*arguments)

        monkeypatch.setattr(platform_connection, "send_gathered", block_second_send)
        reader, writer = await send_request(relay.listener.address, encode_request_line(9000))
        async with asyncio.timeout(4):  # the key expires long before the client's 9 s
            assert (await reader.readline()).startswith(b"BUSY")
        assert sent == 2 and len(endpoint.request_lines) == 1
        writer.close()
        await until(lambda: is_idle(relay))


# ---------------------------------------------------------------- requests on an idle client connection


FINAL_LINES = {
    "out of time": b"ERR no first line in time\r\n",
    "evicted": b"BUSY 500\r\n",
    "no line": b"ERR not an OPEN line\r\n",
}


def send_as_connection_closes(
    client: socket.socket, monkeypatch: pytest.MonkeyPatch, *, after_shutdown: bool
) -> None:
    """Make ``client`` send a request just before, or just after, the relay shuts its connection down."""
    close_gracefully, send_and_close = closing.close_gracefully, closing.send_and_close

    def send_line(sock: socket.socket) -> None:
        if after_shutdown:
            sock.shutdown(socket.SHUT_WR)
        client.sendall(encode_request_line())

    async def send_and_close_gracefully(sock: socket.socket) -> None:
        send_line(sock)
        await close_gracefully(sock)

    def send_and_close_at_once(sock: socket.socket, response: bytes) -> None:
        if after_shutdown:  # the relay's response precedes its shutdown
            sock.send(response)
        send_line(sock)
        send_and_close(sock, b"" if after_shutdown else response)

    monkeypatch.setattr(platform_frontend, "close_gracefully", send_and_close_gracefully)
    monkeypatch.setattr(platform_frontend, "send_and_close", send_and_close_at_once)


def is_reset(client: socket.socket) -> bool:
    poll = select.poll()
    poll.register(client, select.POLLIN)
    return any(mask & (select.POLLERR | select.POLLHUP) for _, mask in poll.poll(0))


@pytest.mark.parametrize("after_shutdown", [False, True], ids=["just before the shutdown", "just after it"])
@pytest.mark.parametrize("end", FINAL_LINES)
async def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered_once_and_not_forwarded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: str, after_shutdown: bool
) -> None:
    # A request that is read after the shutdown and forwarded would get no response, and closing a socket with
    # unread bytes sends a reset, which discards the answer.
    monkeypatch.setattr(platform_frontend, "REQUEST_LINE_TIMEOUT_S", 0.1 if end == "out of time" else 5.0)
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        placements = record_placements(relay)
        client = socket.create_connection(relay.listener.address)
        send_as_connection_closes(client, monkeypatch, after_shutdown=after_shutdown)
        client.settimeout(5)
        if end == "no line":
            client.sendall(b"GET / HTTP/1.1\r\n")
        elif end == "evicted":
            await until(lambda: relay.admission.pending_count)
            await asyncio.sleep(0)
            relay.admission.evict_all_pending()
        assert await asyncio.to_thread(client.recv, 99) == FINAL_LINES[end]
        assert await asyncio.to_thread(client.recv, 99) == b""
        assert not is_reset(client)
        client.close()
        await until(lambda: not relay.admission.connection_count)
        assert placements == [] and not endpoint.request_lines
