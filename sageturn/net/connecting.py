"""Connects non-blocking sockets to IPv4 addresses, with a time limit and retries of local failures."""

from __future__ import annotations

import asyncio
import errno
import socket
from enum import Enum, auto

from sageturn.core.close_reason import CloseReason
from sageturn.net.addresses import Address
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, OUT_OF_DESCRIPTORS_ERRNOS
from sageturn.net.sockets import configure_socket

# Errors of connecting if this machine temporarily has no port, memory or route; the peer is not at fault.
LOCAL_CONNECT_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
)
LOCAL_RETRY_INTERVAL_S = 0.01
MAX_LOCAL_RETRY_S = 0.1  # counted from the first attempt


class ConnectFailure(Enum):
    """Reason why a connection could not be established. Log lines show its name in lower case."""

    REFUSED = auto()
    TIMED_OUT = auto()
    NO_DESCRIPTOR = auto()
    LOCAL = auto()  # this machine had no port, memory or route; the peer is not at fault


CLOSE_REASON_OF_CONNECT_FAILURE = {
    ConnectFailure.REFUSED: CloseReason.REFUSED,
    ConnectFailure.TIMED_OUT: CloseReason.NO_CONNECT,
    ConnectFailure.NO_DESCRIPTOR: CloseReason.NOT_SENT,
    ConnectFailure.LOCAL: CloseReason.NOT_SENT,
}


def _create_socket(*, use_reserve: bool) -> socket.socket:
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        if not use_reserve or error.errno not in OUT_OF_DESCRIPTORS_ERRNOS:
            raise
        if not DESCRIPTOR_RESERVE.release_one():
            raise
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


async def connect(
    address: Address, timeout_s: float, *, use_reserve: bool = True
) -> socket.socket | ConnectFailure:
    """Connect within ``timeout_s`` seconds, on a descriptor of the reserve if no other is free.

    The relay's own connections use this, since they must succeed however many clients are connected. Local
    failures, which are no fault of the peer, are retried for ``MAX_LOCAL_RETRY_S``.

    Returns:
        The connected socket, which the caller closes, or the reason of the failure.
    """
    loop = asyncio.get_running_loop()
    local_deadline_s = loop.time() + MAX_LOCAL_RETRY_S
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                result = await _connect_once(address, use_reserve=use_reserve)
                if result is not ConnectFailure.LOCAL or loop.time() >= local_deadline_s:
                    return result
                await asyncio.sleep(LOCAL_RETRY_INTERVAL_S)
    except TimeoutError:
        return ConnectFailure.TIMED_OUT


async def _connect_once(address: Address, *, use_reserve: bool) -> socket.socket | ConnectFailure:
    """Connect without a time limit; close the socket on a cancellation."""
    try:
        sock = _create_socket(use_reserve=use_reserve)
    except OSError as error:
        if error.errno in (errno.ENOBUFS, errno.ENOMEM):
            return ConnectFailure.LOCAL
        out_of_descriptors = error.errno in OUT_OF_DESCRIPTORS_ERRNOS
        return ConnectFailure.NO_DESCRIPTOR if out_of_descriptors else ConnectFailure.REFUSED
    try:
        await asyncio.get_running_loop().sock_connect(configure_socket(sock), address)
    except TimeoutError:
        sock.close()
        return ConnectFailure.TIMED_OUT  # the kernel gave up the attempt (ETIMEDOUT)
    except OSError as error:
        sock.close()
        return ConnectFailure.LOCAL if error.errno in LOCAL_CONNECT_ERRNOS else ConnectFailure.REFUSED
    except BaseException:
        sock.close()
        raise
    return sock


async def connect_unreserved(address: Address, timeout_s: float) -> socket.socket | ConnectFailure:
    """Connect on behalf of a client: like ``connect``, but never use the descriptor reserve.

    The reserve is refilled first; if it cannot be, the failure is NO_DESCRIPTOR.
    """
    if not DESCRIPTOR_RESERVE.refill():
        return ConnectFailure.NO_DESCRIPTOR
    return await connect(address, timeout_s, use_reserve=False)
