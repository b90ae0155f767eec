"""Connects, writes to and watches non-blocking sockets with asyncio's socket calls.

All addresses are IPv4 addresses with a port; no names are looked up.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import time
from collections.abc import Callable, Sequence
from enum import Enum, auto

from sageturn.core.close_reason import CloseReason
from sageturn.net.addresses import Address
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, OUT_OF_DESCRIPTORS_ERRNOS

Buffer = bytes | bytearray | memoryview

# Raised by connecting where this machine has no port, memory or route just now; says nothing of the peer.
LOCAL_CONNECT_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
)
LOCAL_RETRY_S = 0.01
LOCAL_RETRY_LIMIT_S = 0.1
UNKNOWN_ADDRESS: Address = ("0.0.0.0", 0)
BIND_RETRY_S = 0.02
MAX_BIND_RETRIES = 75  # 1.5 s of the 10 s in which a relay must start


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


def configure_socket(sock: socket.socket) -> socket.socket:
    """Make ``sock`` non-blocking, and have small writes sent at once (TCP_NODELAY); returns it."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def peer_address(sock: socket.socket) -> Address:
    """Return the peer's address for records; ``UNKNOWN_ADDRESS`` where the peer has gone already."""
    try:
        address: Address = sock.getpeername()
    except OSError:
        return UNKNOWN_ADDRESS
    return address


def bind_socket(address: Address) -> socket.socket:
    """Return a socket bound to ``address``; connections to it are refused until ``listen`` is called.

    Blocks for 1.5 s at most while the system has no descriptor or memory for it. Called at the start, before
    the event loop has other work.

    Raises:
        OSError: the address cannot be bound, or the shortage lasts.
    """
    for _ in range(MAX_BIND_RETRIES):
        try:
            return _bind_once(address)
        except OSError as error:
            if error.errno not in OUT_OF_DESCRIPTORS_ERRNOS:
                raise
        time.sleep(BIND_RETRY_S)
    return _bind_once(address)


def _bind_once(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted sockets inherit it
        sock.bind(address)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


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
    are no fault of the peer, are retried for ``LOCAL_RETRY_LIMIT_S``.
    """
    loop = asyncio.get_running_loop()
    local_deadline_s = loop.time() + LOCAL_RETRY_LIMIT_S
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                connected = await _connect_once(address, use_reserve=use_reserve)
                if connected is not ConnectFailure.LOCAL or loop.time() >= local_deadline_s:
                    return connected
                await asyncio.sleep(LOCAL_RETRY_S)
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


async def send_gathered(sock: socket.socket, parts: Sequence[Buffer]) -> None:
    """Send all ``parts`` with one system call; bytes that the kernel does not take at once follow by part.

    Raises:
        OSError: the connection failed.
    """
    try:
        sent = sock.sendmsg(parts)
    except (BlockingIOError, InterruptedError):
        sent = 0
    loop = asyncio.get_running_loop()
    for part in parts:
        size = len(part)
        if sent >= size:
            sent -= size
            continue
        await loop.sock_sendall(sock, memoryview(part)[sent:])
        sent = 0


async def wait_for_close_reason(sock: socket.socket, poll: Callable[[], CloseReason | None]) -> CloseReason:
    """Call ``poll`` at once and whenever ``sock`` is readable, until it returns a reason.

    Nothing but ``poll`` may read the socket meanwhile, and ``poll`` must not wait; it may be called from
    elsewhere, too. A second reader could reorder the bytes: those that it has read are stored only when it is
    woken, and ``poll`` may have stored later ones by then.
    """
    loop = asyncio.get_running_loop()
    close_reason: asyncio.Future[CloseReason] = loop.create_future()

    def on_readable() -> None:
        if not close_reason.done() and (found := poll()) is not None:
            close_reason.set_result(found)

    on_readable()
    loop.add_reader(sock, on_readable)
    try:
        return await close_reason
    finally:
        if sock.fileno() >= 0:
            loop.remove_reader(sock)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has sent a FIN or a reset, also while bytes from before it lie unread."""
    closed = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    poll = select.poll()
    poll.register(sock, closed)
    return any(mask & closed for _, mask in poll.poll(0))
