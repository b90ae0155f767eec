"""A relay starts although the machine temporarily has no socket or descriptor for it."""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Iterable
from itertools import repeat

import pytest
from support.failing_calls import FailingCall

from sageturn.net.admission import AdmissionController, PendingConnection, ProcessLimits
from sageturn.net.listener import Listener
from sageturn.net.sockets import bind_socket

LOOPBACK = ("127.0.0.1", 0)
TEMPORARY_ERRNOS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
MAX_START_S = 10.0  # nine relays in ten must be ready within this time


@pytest.fixture
def pauses(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list of the durations, in seconds, of all calls of ``time.sleep``, which do not wait."""
    paused_s: list[float] = []
    monkeypatch.setattr(time, "sleep", paused_s.append)
    return paused_s


def failing_creation(errors: Iterable[int]) -> FailingCall:
    """Return a replacement of the creation of sockets that fails with each of ``errors`` once."""
    return FailingCall(socket.socket, "__init__", errors)


async def close_at_once(sock: socket.socket, pending: PendingConnection) -> None:
    sock.close()


def test_listener_is_bound_after_a_temporary_shortage_of_sockets(
    monkeypatch: pytest.MonkeyPatch, pauses: list[float]
) -> None:
    # The process exited with code 2, so that a relay that was restarted at that moment did not come back.
    for number in TEMPORARY_ERRNOS:
        pauses.clear()
        with monkeypatch.context() as patched:
            failing_creation(repeat(number, 3)).install(patched)
            bound = bind_socket(LOOPBACK)
        assert bound.getsockname()[1] > 0
        assert 0.0 < sum(pauses) < 1.0, errno.errorcode[number]
        bound.close()


def test_a_lasting_shortage_fails_after_a_while_and_other_errors_at_once(
    monkeypatch: pytest.MonkeyPatch, pauses: list[float]
) -> None:
    occupied = bind_socket(LOOPBACK)
    occupied.listen()
    with monkeypatch.context() as patched:
        failing_creation(repeat(errno.ENFILE)).install(patched)
        with pytest.raises(OSError, match="Too many open files"):
            bind_socket(LOOPBACK)
        assert 1.0 < sum(pauses) < MAX_START_S
    pauses.clear()
    with monkeypatch.context() as patched:
        failing_creation([errno.EACCES]).install(patched)
        with pytest.raises(PermissionError):
            bind_socket(LOOPBACK)
        assert sum(pauses) == 0.0
    with pytest.raises(OSError, match="Address already in use"):
        bind_socket(occupied.getsockname())
    occupied.close()


def test_a_listener_without_a_spare_descriptor_opens_one_later(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(path: str, flags: int) -> int:
        raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))

    with monkeypatch.context() as patched:
        patched.setattr(os, "open", fail)
        listener = Listener(LOOPBACK, close_at_once, b"", AdmissionController(ProcessLimits(64, 64.0)))
    listener.start_listening()
    assert listener.address[1] > 0
