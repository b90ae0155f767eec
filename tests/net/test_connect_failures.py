"""Connecting fails on this machine for a moment: no endpoint is blamed for it."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest
from support.ports import open_descriptors

from sageturn.core.close_reason import CloseReason
from sageturn.net.sockets import CLOSE_REASON_OF_CONNECT_FAILURE, ConnectFailure, connect_unreserved

LOCAL_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)


class FailingConnect:
    """Stands in for ``socket.connect``: fails so often, and then works."""

    def __init__(self, number: int, times: float) -> None:
        self._number = number
        self._left = times
        self._connect = socket.socket.connect

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        failing = self

        def connect(sock: socket.socket, address: Any) -> None:
            if failing._left > 0:
                failing._left -= 1
                raise OSError(failing._number, os.strerror(failing._number))
            failing._connect(sock, address)

        monkeypatch.setattr(socket.socket, "connect", connect)


async def test_what_fails_on_this_machine_for_a_moment_is_tried_again_and_blamed_on_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two of these in a row ejected an endpoint that was well, and each used up one of the request's attempts.
    listening = socket.create_server(("127.0.0.1", 0))
    address = listening.getsockname()
    descriptors = open_descriptors()
    for number in LOCAL_ERRNOS:
        with monkeypatch.context() as patched:
            FailingConnect(number, times=2).install(patched)
            sock = await connect_unreserved(address, 1.0)
            assert isinstance(sock, socket.socket), errno.errorcode[number]
            sock.close()
        with monkeypatch.context() as patched:
            FailingConnect(number, times=float("inf")).install(patched)
            failure = await connect_unreserved(address, 1.0)
            assert isinstance(failure, ConnectFailure)
            assert CLOSE_REASON_OF_CONNECT_FAILURE[failure] is CloseReason.NOT_SENT
    assert open_descriptors() == descriptors
    listening.close()
