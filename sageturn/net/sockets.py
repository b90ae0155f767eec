"""Configures, binds, writes to and watches non-blocking sockets."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Callable, Sequence

from sageturn.core.close_reason import CloseReason
from sageturn.net.addresses import Address
from sageturn.net.descriptors import OUT_OF_DESCRIPTORS_ERRNOS

Buffer = bytes | bytearray | memoryview

UNKNOWN_ADDRESS: Address = ("0.0.0.0", 0)
BIND_RETRY_S = 0.02
MAX_BIND_RETRIES = 75  # 1.5 s of the 10 s in which a relay must start


def configure_socket(sock: socket.socket) -> socket.socket:
    """Make ``sock`` non-blocking, have small writes sent at once (TCP_NODELAY), and return it."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def peer_address(sock: socket.socket) -> Address:
    """Return the peer's address for records; ``UNKNOWN_ADDRESS`` if the peer has disconnected."""
    try:
        address: Address = sock.getpeername()
    except OSError:
        return UNKNOWN_ADDRESS
    return address


def bind_socket(address: Address) -> socket.socket:
    """Return a socket bound to ``address``; connections to it are refused until ``listen`` is called.

    Block for up to 1.5 s while the system has no descriptor or memory for it. Called at startup, before the
    event loop has other work.

    Raises:
        OSError: the address cannot be bound, or the shortage persists.
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


async def send_gathered(sock: socket.socket, parts: Sequence[Buffer]) -> None:
    """Send all ``parts`` with one system call; the bytes not accepted at once follow part by part.

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

    ``poll`` must not block, and may be called from elsewhere as well. Nothing else may read the socket:
    another reader would store its bytes only when its task resumes, and ``poll`` may have stored later ones
    by then.
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
    """Return whether the peer has sent a FIN or a reset, even if earlier bytes are still unread."""
    closed_events = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    poll = select.poll()
    poll.register(sock, closed_events)
    return any(mask & closed_events for _, mask in poll.poll(0))
