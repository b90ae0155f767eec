"""Local connect failures are retried, and are not attributed to the endpoint."""

from __future__ import annotations

import errno
import socket
from itertools import repeat

import pytest
from support.failing_calls import FailingCall
from support.ports import count_open_descriptors

from sageturn.core.close_reason import CloseReason
from sageturn.net.connecting import CLOSE_REASON_OF_CONNECT_FAILURE, ConnectFailure, connect_unreserved

LOCAL_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)


async def test_local_connect_failures_are_retried_and_not_attributed_to_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two consecutive ones ejected a healthy endpoint, and each used up one of the request's attempts.
    listening = socket.create_server(("127.0.0.1", 0))
    address = listening.getsockname()
    descriptors = count_open_descriptors()
    for number in LOCAL_ERRNOS:
        with monkeypatch.context() as patched:
            FailingCall(socket.socket, "connect", repeat(number, 2)).install(patched)
            sock = await connect_unreserved(address, 1.0)
            assert isinstance(sock, socket.socket), errno.errorcode[number]
            sock.close()
        with monkeypatch.context() as patched:
            FailingCall(socket.socket, "connect", repeat(number)).install(patched)
            failure = await connect_unreserved(address, 1.0)
            assert isinstance(failure, ConnectFailure)
            assert CLOSE_REASON_OF_CONNECT_FAILURE[failure] is CloseReason.NOT_SENT
    assert count_open_descriptors() == descriptors
    listening.close()
