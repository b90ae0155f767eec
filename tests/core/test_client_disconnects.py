"""Tests of clients that disconnect before their response: no connection or attempt is begun for them."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable, Coroutine
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from support.event_loop import until
from support.network_fakes import (
    SETTINGS,
    ConnectResult,
    echo_lines,
    encode_request_line,
    never_respond,
    running_relay,
    send_request,
)
from support.ports import Address
from support.relay_checks import record_closed_connections
from support.xmpp_fakes import XmppClient, XmppServerSession
from support.xmpp_relay import make_client_tls_context, running_xmpp_relay, xmpp_address

from sageturn.core.close_reason import CloseReason
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.frontends import frontend_connection
from sageturn.frontends.platform.connection import PlatformConnection
from sageturn.frontends.xmpp.connection import XmppConnection
from sageturn.net import connecting
from sageturn.net.connecting import ConnectFailure

DISCONNECT_REASONS = (CloseReason.CLIENT_LEFT, CloseReason.CLIENT_RESET)


class ClientThread:
    """Thread with an event loop for a client, which can act while the relay's loop is blocked."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def run_blocking(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(coroutine, self._loop))

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


# ---------------------------------------------------------------- disconnects just before an attempt begins

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def close(client: socket.socket) -> None:
    client.close()


def end_sending(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


def send_and_close(client: socket.socket) -> None:
    client.sendall(b"M 1\r\n" * 700)  # more than one read returns, but too little for a client fault
    client.close()


class ConnectCounter:
    """Counter of begun connections, of which the first ``failing`` time out."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, failing: int = 0) -> None:
        self.count = 0
        self._connect = connecting.connect_unreserved
        self._failing = failing
        monkeypatch.setattr(frontend_connection, "connect_unreserved", self._begin)

    async def _begin(self, address: Address, timeout_s: float) -> ConnectResult:
        self.count += 1
        if self.count <= self._failing:
            return ConnectFailure.TIMED_OUT
        return await self._connect(address, timeout_s)


def act_as_attempt_begins(
    monkeypatch: pytest.MonkeyPatch, connection_class: Any, attempt: int, act: Callable[[], None]
) -> None:
    """Call ``act`` when the attempt with the number ``attempt`` begins; no other task runs in between."""
    open_upstream, attempts = connection_class.open_upstream, 0

    async def act_first(connection: Any, *arguments: Any) -> Any:
        nonlocal attempts
        attempts += 1
        if attempts == attempt:
            act()
        return await open_upstream(connection, *arguments)

    monkeypatch.setattr(connection_class, "open_upstream", act_first)


def act_before_write(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Call ``act`` just before the last checks that precede the write of a request."""
    check_before_write = PreWriteChecks.check_before_write

    def act_first(
        checks: PreWriteChecks, is_endpoint_usable: Callable[[], bool] | None = None
    ) -> CloseReason | None:
        act()
        return check_before_write(checks, is_endpoint_usable)

    monkeypatch.setattr(PreWriteChecks, "check_before_write", act_first)


@pytest.mark.parametrize(
    "leave", [close, end_sending, reset, send_and_close], ids=lambda leave: leave.__name__
)
@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.timeout(30)
async def test_no_connection_is_begun_for_a_client_that_has_disconnected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, leave: Callable[[socket.socket], None], attempt: int
) -> None:
    # Only the write was prevented: a connection was still opened for the client, which cost the endpoint
    # capacity and time.
    async with running_relay(tmp_path, echo_lines, echo_lines) as (relay, endpoints):
        await until(lambda: relay.endpoint_registry.version == 2)
        connects = ConnectCounter(monkeypatch, attempt - 1)
        act_as_attempt_begins(monkeypatch, PlatformConnection, attempt, lambda: leave(client))
        records = record_closed_connections(relay, monkeypatch)
        client = socket.create_connection(relay.listener.address)
        client.sendall(encode_request_line())
        await until(lambda: records and not relay.balancer_actor.balancer.requests)
        client.close()
        assert connects.count == attempt - 1 and not any(endpoint.open_connections for endpoint in endpoints)
        assert records[0].close_reason in DISCONNECT_REASONS


async def end_stream(client: XmppClient) -> None:
    client.send("</stream:stream>")
    await client.writer.drain()


async def abort_connection(client: XmppClient) -> None:
    client.writer.transport.abort()


async def send_and_end_stream(client: XmppClient) -> None:
    client.send("<message/>" * 3 + "</stream:stream>")
    await client.writer.drain()


XMPP_LEAVES = [end_stream, abort_connection, send_and_end_stream]


@pytest.mark.parametrize("leave", XMPP_LEAVES, ids=lambda leave: leave.__name__)
@pytest.mark.parametrize("stage", ["first", "further", "bind"])
@pytest.mark.timeout(30)
async def test_nothing_is_begun_for_an_xmpp_client_that_has_disconnected_or_ended_its_stream(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    leave: Callable[[XmppClient], Coroutine[Any, Any, None]],
    stage: str,
) -> None:
    # Only the end of the TCP connection was checked, not that of the XMPP stream, which was still unread in
    # the TLS layer. The bind was sent to the endpoint all the same.
    bound: list[str] = []

    async def accept(server: XmppServerSession) -> None:
        bound.append(await server.accept())

    with closing(ClientThread()) as client_thread:
        async with running_xmpp_relay(tmp_path, accept, accept) as (relay, endpoints):
            await until(lambda: relay.endpoint_registry.version == 2)
            connects = ConnectCounter(monkeypatch, stage == "further")

            def leave_now() -> None:
                client_thread.run_blocking(leave(client))

            if stage == "bind":
                act_before_write(monkeypatch, leave_now)
            else:
                act_as_attempt_begins(monkeypatch, XmppConnection, 1 + (stage == "further"), leave_now)
            records = record_closed_connections(relay, monkeypatch)
            client = await client_thread.run(XmppClient.connect(xmpp_address(relay)))
            await client_thread.run(client.login(make_client_tls_context()))
            await client_thread.run(send_bind(client))
            await until(lambda: records and not relay.balancer_actor.balancer.requests)
            await client_thread.run(abort_connection(client))
            assert records[0].close_reason in DISCONNECT_REASONS and not records[0].was_established
            assert connects.count == (stage != "first")
            assert (
                sum(len(endpoint.request_lines) for endpoint in endpoints) == (stage == "bind") and not bound
            )


async def send_bind(client: XmppClient) -> None:
    client.send_bind()
    await client.writer.drain()


# ---------------------------------------------------------------- many disconnects while the loop is blocked

CLIENT_COUNT = 300
LOOP_BLOCKED_S = 0.15  # longer than the time after a disconnect within which an attempt may begin


@pytest.mark.parametrize("does_connect", [True, False])
@pytest.mark.timeout(30)
async def test_hundreds_of_clients_that_disconnect_while_the_loop_is_blocked_cost_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, does_connect: bool
) -> None:
    # In one iteration of the event loop, all connections open, or fail so that retries are due, and all
    # clients have been disconnected for longer than the time within which an attempt may still begin.
    tenants = [{"name": "t", "fraction": 1.0, "allowancePerS": 10.0 * CLIENT_COUNT}]
    settings = {**SETTINGS, "accounts": tenants}
    async with running_relay(tmp_path, never_respond, never_respond, settings=settings) as (relay, endpoints):
        await until(lambda: relay.endpoint_registry.version == 2)
        connect, begun, released = connecting.connect_unreserved, 0, asyncio.Event()

        async def connect_when_released(address: Address, timeout_s: float) -> ConnectResult:
            nonlocal begun
            begun += 1
            await released.wait()
            return await connect(address, timeout_s) if does_connect else ConnectFailure.TIMED_OUT

        monkeypatch.setattr(frontend_connection, "connect_unreserved", connect_when_released)
        records = record_closed_connections(relay, monkeypatch)
        clients = [
            await send_request(relay.listener.address, encode_request_line(3000)) for _ in range(CLIENT_COUNT)
        ]
        await until(lambda: begun == CLIENT_COUNT)
        released.set()
        for _, writer in clients:
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        time.sleep(LOOP_BLOCKED_S)
        await until(lambda: len(records) == CLIENT_COUNT and not relay.balancer_actor.balancer.requests)
        assert begun == CLIENT_COUNT and not any(
            line for endpoint in endpoints for line in endpoint.request_lines
        )
        assert {record.close_reason for record in records} <= set(DISCONNECT_REASONS)
        for _, writer in clients:
            writer.close()


@pytest.mark.timeout(30)
async def test_clients_that_disconnect_while_in_the_backlog_cost_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_relay(tmp_path, echo_lines, echo_lines) as (relay, endpoints):
        await until(lambda: relay.endpoint_registry.version == 2)
        connects = ConnectCounter(monkeypatch)
        records = record_closed_connections(relay, monkeypatch)
        for _ in range(100):  # the event loop does not run here
            client = socket.create_connection(relay.listener.address)
            client.sendall(encode_request_line())
            client.close()
        time.sleep(LOOP_BLOCKED_S)
        await until(lambda: len(records) == 100 and not relay.balancer_actor.balancer.requests)
        assert connects.count == 0 and not any(endpoint.open_connections for endpoint in endpoints)


@pytest.mark.timeout(30)
async def test_client_lines_read_by_two_tasks_stay_in_order(tmp_path: Path) -> None:
    # One task had read the first line and was not yet resumed. The check before the write then read the
    # second line and put it in front of the first.
    async with running_relay(tmp_path, never_respond) as (relay, (endpoint,)):
        loop = asyncio.get_running_loop()
        _reader, writer = await send_request(relay.listener.address, encode_request_line(3000))
        await until(lambda: endpoint.request_lines)
        (lifecycle,) = relay.request_registry
        transport: Any = lifecycle.transport
        seen: asyncio.Future[None] = loop.create_future()

        def poll_each_iteration() -> None:
            # Queued one iteration before the tasks that this iteration's poll wakes, so it runs between the
            # read and the resumption of the reader.
            try:
                transport.client.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                writer.write(b"M 2\r\n")
                assert transport.poll_client() is None
                seen.set_result(None)
            else:
                loop.call_soon(poll_each_iteration)

        writer.write(b"M 1\r\n")
        loop.call_soon(poll_each_iteration)
        await seen
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert transport.early_input == b"M 1\r\nM 2\r\n"
        writer.close()


@pytest.mark.timeout(30)
async def test_an_xmpp_client_that_breaks_its_stream_while_it_waits_is_sent_the_error(tmp_path: Path) -> None:
    # It was treated as disconnected, and its connection was closed without a response.
    async def read_until_end(server: XmppServerSession) -> None:
        await server.read_rest()

    async with running_xmpp_relay(tmp_path, read_until_end) as (relay, (endpoint,)):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        client.send_bind()
        await until(lambda: endpoint.request_lines)
        client.send("<not <well>")
        assert "<policy-violation " in await client.read_rest()
        client.writer.close()
