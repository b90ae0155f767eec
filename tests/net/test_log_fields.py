"""The log lines of listeners and frontends name the peer, the listener and the request."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from support.event_loop import until
from support.failing_calls import FailingCall
from support.network_fakes import echo_lines, running_relay, send_request

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.addresses import Address
from sageturn.net.admission import AdmissionController, PendingConnection, ProcessLimits
from sageturn.net.connection_tasks import ConnectionHandler
from sageturn.net.listener import Listener


@pytest.fixture(autouse=True)
def log_level(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


@asynccontextmanager
async def running_listener(handler: ConnectionHandler) -> AsyncIterator[Listener]:
    listener = Listener(("127.0.0.1", 0), handler, b"", AdmissionController(ProcessLimits(64, 64.0)))
    listener.start_listening()
    running = asyncio.ensure_future(listener.run())
    yield listener
    await cancel_and_wait(running)
    await listener.cancel_connections()


def format_address(address: Address) -> str:
    return "{}:{}".format(*address)


async def close_at_once(sock: socket.socket, pending: PendingConnection) -> None:
    sock.close()


async def test_a_failed_accept_names_its_listener(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_listener(close_at_once) as listener:
        FailingCall(socket.socket, "accept", [errno.ECONNABORTED]).install(monkeypatch)
        with socket.create_connection(listener.address):
            await until(lambda: "accept failed" in caplog.text)
    assert f"accept failed listener={format_address(listener.address)} reason=" in caplog.text


@pytest.mark.parametrize("request_id", ["-", "id7"])
async def test_a_failed_connection_names_its_request_and_peer(
    request_id: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def fail(sock: socket.socket, pending: PendingConnection) -> None:
        if request_id != "-":
            pending.request_id = request_id
        raise ConnectionResetError(errno.ECONNRESET, "reset by the test")

    async with running_listener(fail) as listener:
        with socket.create_connection(listener.address) as client:
            peer = client.getsockname()
            await until(lambda: "connection failed" in caplog.text)
    line = (
        f"connection failed request={request_id} peer={format_address(peer)} "
        "reason=[Errno 104] reset by the test"
    )
    assert line in caplog.text


async def test_a_rejected_request_line_names_its_peer_and_listener(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        reader, writer = await send_request(relay.listener.address, b"GET / HTTP/1.1\r\n")
        peer: Address = writer.get_extra_info("sockname")
        assert (await reader.readline()).startswith(b"ERR")
        writer.close()
        listener = format_address(relay.listener.address)
    line = f"request line rejected peer={format_address(peer)} listener={listener} reason=not an OPEN line"
    assert line in caplog.text
