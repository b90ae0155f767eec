"""Temporary failures of accept(): clients in the backlog are answered, and none is evicted."""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import suppress

import pytest
from support.event_loop import until
from support.failing_calls import FailingCall
from support.ports import count_open_descriptors

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.admission import AdmissionController, PendingConnection, ProcessLimits
from sageturn.net.closing import close_gracefully
from sageturn.net.listener import OUT_OF_DESCRIPTORS_PAUSE_S, Listener

REJECTION = b"BUSY 500\r\n"


def failing_accept(*errors: int) -> FailingCall:
    return FailingCall(socket.socket, "accept", errors)


async def serve_rejection(sock: socket.socket, pending: PendingConnection) -> None:
    await asyncio.get_running_loop().sock_sendall(sock, REJECTION)
    await close_gracefully(sock)


async def test_backlog_is_answered_although_accept_fails_while_the_relay_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A single failure made the relay close the listener, which reset all queued clients without an answer.
    for errors in ((errno.ENFILE, errno.ECONNABORTED), (errno.ENOBUFS, errno.ENOBUFS, errno.ENOMEM)):
        admission = AdmissionController(ProcessLimits(64, 64.0))
        listener = Listener(("127.0.0.1", 0), serve_rejection, REJECTION, admission)
        listener.start_listening()
        clients = [socket.create_connection(listener.address) for _ in range(5)]
        for client in clients:
            client.sendall(b"OPEN a b c=c,t=t,d=2000\r\n")
            client.settimeout(5)
        with monkeypatch.context() as patched:
            failing_accept(*errors).install(patched)
            listener.stop_accepting()
            await listener.wait_until_idle(2.0)
        answers = [await asyncio.to_thread(client.recv, 99) for client in clients]
        assert answers == [REJECTION] * len(clients), errors
        for client in clients:
            client.close()


async def test_listener_that_waits_for_a_descriptor_ends_when_the_relay_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The listener went on to wait for the socket that the stop had closed, and failed. The relay then exited
    # during its drain, and disconnected all clients that it still served.
    admission = AdmissionController(ProcessLimits(64, 64.0))
    listener = Listener(("127.0.0.1", 0), serve_rejection, REJECTION, admission)
    listener.start_listening()
    descriptors = count_open_descriptors()
    running = asyncio.ensure_future(listener.run())
    failing = failing_accept(errno.EMFILE, errno.EMFILE)
    with monkeypatch.context() as patched:
        failing.install(patched)
        client = socket.create_connection(listener.address)
        await until(lambda: not failing.is_failing)  # the listener waits for a descriptor now
        listener.stop_accepting()
        client.settimeout(5)
        assert await asyncio.to_thread(client.recv, 99) == REJECTION
        client.close()
        await listener.wait_until_idle(2.0)
        await asyncio.sleep(4 * OUT_OF_DESCRIPTORS_PAUSE_S)
    assert running.done() and running.exception() is None
    assert count_open_descriptors() <= descriptors - 2  # the socket and the spare descriptor are closed


@pytest.mark.timeout(5)
async def test_temporary_accept_failures_evict_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each failure evicted eight pending connections, although their descriptors do not help against a
    # shortage of the whole machine, which ends by itself. Where a quarter of the calls failed, half of the
    # logins that take several round trips were rejected.
    admission = AdmissionController(ProcessLimits(64, 64.0))
    evicted: list[bool] = []

    async def serve(sock: socket.socket, pending: PendingConnection) -> None:
        with suppress(TimeoutError):
            async with pending.time_limit(5.0):
                await asyncio.get_running_loop().sock_recv(sock, 99)
        evicted.append(pending.is_evicted)

    listener = Listener(("127.0.0.1", 0), serve, REJECTION, admission)
    listener.start_listening()
    running = asyncio.ensure_future(listener.run())
    pending_clients = [socket.create_connection(listener.address) for _ in range(5)]
    await until(lambda: admission.pending_count == len(pending_clients))
    for errors in ((errno.ENFILE,), (errno.ENOBUFS, errno.ENOMEM), (errno.ENFILE, errno.ENFILE)):
        with monkeypatch.context() as patched:
            failing = failing_accept(*errors)
            failing.install(patched)
            pending_clients.append(socket.create_connection(listener.address))
            await until(lambda: admission.pending_count == len(pending_clients))
            assert not failing.is_failing
    with monkeypatch.context() as patched:  # a persistent shortage evicts, as does the process's limit
        failing_accept(*[errno.ENFILE] * 50).install(patched)
        pending_clients.append(socket.create_connection(listener.address))
        await until(lambda: any(evicted))
    for client in pending_clients:
        client.close()
    await cancel_and_wait(running)
    await listener.cancel_connections()
