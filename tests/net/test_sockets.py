"""The relay's sockets: their options, their close, and the exhaustion of descriptors."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import select
import socket
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest
from support.event_loop import until
from support.load_reports import FIELDS, answers_health_checks
from support.network_fakes import (
    SETTINGS,
    Streams,
    echo_lines,
    encode_request_line,
    never_respond,
    running_relay,
    send_request,
)
from support.replication_member import start_member
from support.xmpp_fakes import STREAM_HEADER, XmppClient, echo_messages
from support.xmpp_relay import make_client_tls_context, running_xmpp_relay, xmpp_address

from sageturn.core.shutdown_schedule import ShutdownSchedule
from sageturn.net import connection_tasks
from sageturn.net.admission import ProcessLimits
from sageturn.net.closing import close_gracefully, send_and_close
from sageturn.net.connecting import ConnectFailure, connect, connect_unreserved
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, DescriptorReserve
from sageturn.store.store import Store

# ---------------------------------------------------------------- TCP_NODELAY


def find_relay_connections(accepted_at: set[Any], dialled: set[Any]) -> list[tuple[str, socket.socket]]:
    """Return the relay's open connections in this process, found by their addresses."""
    found = []
    for sock in gc.get_objects():
        if type(sock) is socket.socket and sock.fileno() >= 0 and sock.type == socket.SOCK_STREAM:
            try:
                peer = sock.getpeername()
                if sock.getsockname() in accepted_at:
                    found.append(("accepted", sock))
                elif peer in dialled:
                    found.append(("dialled", sock))
            except OSError:
                continue  # a listening socket has no peer
    return found


def all_have_nodelay(found: list[tuple[str, socket.socket]], directions: set[str]) -> bool:
    assert {direction for direction, _ in found} == directions
    return all(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for _, sock in found)


async def test_all_sockets_of_the_platform_frontend_have_nodelay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Covers clients, endpoints, discovery's watch, and idle connections that are kept for health checks.
    monkeypatch.setitem(SETTINGS, "policyLimits", {**SETTINGS["policyLimits"], "probes": True})
    monkeypatch.setitem(SETTINGS, "report", {"source": "probe", "fields": list(FIELDS)})
    script, seen = answers_health_checks()

    async with running_relay(tmp_path, script) as (relay, (endpoint,)):
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        await until(lambda: seen and relay.endpoint_registry.version == 2)
        idle = await send_request(relay.listener.address, b"")
        await until(lambda: relay.admission.pending_count)
        dialled = {endpoint.address, relay.discovery._address}
        found = find_relay_connections({relay.listener.address}, dialled)
        assert {sock.getpeername() for direction, sock in found if direction == "dialled"} == dialled
        assert len(found) >= 5 and all_have_nodelay(found, {"accepted", "dialled"})
        for each in (writer, idle[1]):
            each.close()


async def test_all_sockets_of_the_xmpp_frontend_have_nodelay(tmp_path: Path) -> None:
    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, (endpoint,)):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        await client.bind()
        found = find_relay_connections({xmpp_address(relay)}, {endpoint.address})
        assert len(found) == 2 and all_have_nodelay(found, {"accepted", "dialled"})
        client.writer.close()


async def test_all_links_between_stores_have_nodelay() -> None:
    first_store, second_store = Store("a"), Store("b")
    first_member = start_member(first_store)
    second_member = start_member(second_store, first_member.address)
    await until(lambda: first_member.link_count and second_member.link_count)
    found = find_relay_connections({first_member.address}, {first_member.address})
    assert len(found) == 2 and all_have_nodelay(found, {"accepted", "dialled"})
    await second_member.stop()
    await first_member.stop()


async def test_rejected_connection_has_nodelay(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    nodelay_options: list[int] = []

    def record_nodelay_and_close(sock: socket.socket, text: bytes) -> None:
        nodelay_options.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        send_and_close(sock, text)

    monkeypatch.setattr(connection_tasks, "send_and_close", record_nodelay_and_close)

    async with running_relay(tmp_path, echo_lines) as (relay, _):
        relay.admission.limits = ProcessLimits(sockets=96, memory_mb=1.0)
        clients: list[Streams] = [
            await send_request(relay.listener.address, encode_request_line()) for _ in range(17)
        ]
        answers = [await reader.readline() for reader, _ in clients]
        assert answers[-1] == b"BUSY 500\r\n" and nodelay_options and all(nodelay_options)
        for _, writer in clients:
            writer.close()


# ---------------------------------------------------------------- closing with unread bytes


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Yield both ends of one TCP connection; the first is the relay's."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        relay_socket, _ = server.accept()
    relay_socket.setblocking(False)
    yield relay_socket, client
    relay_socket.close()
    client.close()


async def test_cancelled_graceful_close_reads_unread_bytes_first(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    # Bytes that arrived during the cancellation were not read, which made the kernel send a reset.
    relay_socket, client = pair

    relay_socket.send(b"ERR why\r\n")
    closing = asyncio.ensure_future(close_gracefully(relay_socket))
    await asyncio.sleep(0)
    client.sendall(b"M 1\r\n")  # the event loop does not run between this and the cancellation
    closing.cancel()
    await asyncio.wait((closing,))
    poll = select.poll()
    poll.register(client, select.POLLIN)
    ((_, mask),) = poll.poll(0)
    assert relay_socket.fileno() < 0 and not mask & (select.POLLERR | select.POLLHUP)  # a reset sets them
    assert client.recv(99) == b"ERR why\r\n" and client.recv(99) == b""


async def test_an_xmpp_client_that_is_evicted_while_it_sends_reads_its_answer_and_no_reset(
    tmp_path: Path,
) -> None:
    # The connection was closed with unread bytes, and the resulting reset could discard the answer.
    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, _):
        client = await XmppClient.connect(xmpp_address(relay))
        client.send("<?xml version='1.0'?>")
        await until(lambda: relay.admission.pending_count)
        await asyncio.sleep(0.01)
        relay.admission.evict_all_pending()
        client.send(STREAM_HEADER.format("to").removeprefix("<?xml version='1.0'?>") + " " * 2000)
        received = await client.read_rest()
        assert "<resource-constraint " in received and not received.endswith("[reset]")
        client.writer.close()


# ---------------------------------------------------------------- descriptors


class PatchedModule:
    """Module with some of its names replaced."""

    def __init__(self, module: ModuleType, **names: Any) -> None:
        self._module = module
        vars(self).update(names)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._module, name)


@pytest.fixture
def descriptors_left(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Simulate a shortage of descriptors, for connecting and for the reserve.

    Yields a list whose only item is the number of descriptors that are left; tests may change it.
    """
    remaining = [0]
    files: set[int] = set()

    def take_descriptor() -> None:
        if not remaining[0]:
            raise OSError(errno.EMFILE, "Too many open files")
        remaining[0] -= 1

    def new_socket(*args: Any) -> socket.socket:
        take_descriptor()
        return socket.socket(*args)

    def open_file(*args: Any) -> int:
        take_descriptor()
        files.add(number := os.open(*args))
        return number

    def close_file(number: int) -> None:
        files.remove(number)
        remaining[0] += 1
        os.close(number)

    DESCRIPTOR_RESERVE.resize(0)  # earlier tests of this process may have filled the reserve
    monkeypatch.setattr("sageturn.net.connecting.socket", PatchedModule(socket, socket=new_socket))
    monkeypatch.setattr("sageturn.net.descriptors.os", PatchedModule(os, open=open_file, close=close_file))
    yield remaining
    DESCRIPTOR_RESERVE.resize(0)


async def test_descriptor_reserve_is_not_used_for_clients_and_is_refilled_first(
    descriptors_left: list[int],
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        descriptors_left[0] = 2
        DESCRIPTOR_RESERVE.resize(2)
        assert descriptors_left[0] == 0
        assert await connect_unreserved(address, 1.0) is ConnectFailure.NO_DESCRIPTOR
        watch = await connect(address, 1.0)
        assert isinstance(watch, socket.socket)
        descriptors_left[0] += 1  # the reserve takes it before any client can
        assert await connect_unreserved(address, 1.0) is ConnectFailure.NO_DESCRIPTOR
        assert descriptors_left[0] == 0
        again = await connect(address, 1.0)
        assert isinstance(again, socket.socket)
        descriptors_left[0] += 2
        client = await connect_unreserved(address, 1.0)
        assert isinstance(client, socket.socket)
        for each in (watch, again, client):
            each.close()


def test_reserve_that_cannot_be_filled_releases_nothing(descriptors_left: list[int]) -> None:
    reserve = DescriptorReserve()
    reserve.resize(3)
    assert not reserve.release_one() and not reserve.refill()
    with reserve.borrow():
        descriptors_left[0] += 1
    assert descriptors_left[0] == 0 and reserve.release_one() and not reserve.release_one()


@pytest.mark.parametrize("first_bytes", [encode_request_line(), b""])
async def test_backlog_is_answered_at_close_while_no_descriptor_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first_bytes: bytes
) -> None:
    # Queued clients were not accepted, and were reset when the listener was closed.
    async with running_relay(tmp_path, never_respond) as (relay, _):
        relay.request_registry.schedule = ShutdownSchedule(0.0, 0.0, 0.05, 2.0)
        stop_accepting = relay.ingress.stop_accepting
        clients: list[socket.socket] = []
        monkeypatch.setattr(relay.listener, "_accept_queued", lambda max_connections: True)

        def connect_clients_and_stop() -> None:
            for _ in range(3):
                clients.append(socket.create_connection(relay.listener.address))
                clients[-1].sendall(first_bytes)
            stop_accepting()

        monkeypatch.setattr(relay.ingress, "stop_accepting", connect_clients_and_stop)
        await relay.request_registry.drain(relay.ingress)
        for client in clients:
            client.settimeout(5)
            assert client.recv(99) == b"BUSY 500\r\n" and client.recv(99) == b""
            client.close()
