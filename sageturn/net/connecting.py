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

# Raised by connecting where this machine has no port, memory or route just now; says nothing of the peer.
LOCAL_CONNECT_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
)
LOCAL_RETRY_INTERVAL_S = 0.01
MAX_LOCAL_RETRY_S = 0.1  # from the first attempt


class ConnectFailure(Enum):
    """Why a connection could not be established. Log lines have the names in lower case."""

    REFUSED = auto()
    TIMED_OUT = auto()
    NO_DESCRIPTOR = auto()
    LOCAL = auto()  # for a reason of this machine's, which says nothing of the peer


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
    """Connect within ``timeout_s`` seconds, on a descriptor of the reserve if there is no other.

    For the relay's own connections, which must succeed however many clients there are. Local failures, which
    are no fault of the peer, are retried for ``MAX_LOCAL_RETRY_S``.

    Returns:
        The connected socket, which the caller closes, or why there is none.
    """
    loop = asyncio.get_running_loop()
    local_deadline_s = loop.time() + MAX_LOCAL_RETRY_S
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                connected = await _connect_once(address, use_reserve=use_reserve)
                if connected is not ConnectFailure.LOCAL or loop.time() >= local_deadline_s:
                    return connected
                await asyncio.sleep(LOCAL_RETRY_INTERVAL_S)
    except TimeoutError:
        return ConnectFailure.TIMED_OUT


async def _connect_once(address: Address, *, use_reserve: bool) -> socket.socket | ConnectFailure:
    """Connect without a time limit; the socket is closed when this is cancelled."""
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
        return ConnectFailure.TIMED_OUT  # the kernel gave it up (ETIMEDOUT)
    except OSError as error:
        sock.close()
        return ConnectFailure.LOCAL if error.errno in LOCAL_CONNECT_ERRNOS else ConnectFailure.REFUSED
    except BaseException:
        sock.close()
        raise
    return sock


async def connect_unreserved(address: Address, timeout_s: float) -> socket.socket | ConnectFailure:
    """Connect on behalf of a client: as ``connect``, but refills the descriptor reserve and never uses it."""
    if not DESCRIPTOR_RESERVE.refill():
        return ConnectFailure.NO_DESCRIPTOR
    return await connect(address, timeout_s, use_reserve=False)
