"""Closes sockets so that the bytes that were sent last arrive.

If a socket is closed while bytes of the peer are unread, the kernel sends a reset, which can discard the last
line before the peer has read it. All functions that close a socket read those bytes first, except
``close_with_reset``.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

LINGER_S = 0.5  # maximum time for which the peer is read after the relay's FIN
MAX_LINGER_BYTES = 65536  # only a peer that floods the relay sends more
FLOOD_PAUSE_S = 0.1  # delays the close, so that the answer reaches a peer that floods the relay
LINGER_READ_BYTES = 2048
FINAL_READ_BYTES = 8192

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0 s


def shutdown_write(sock: socket.socket) -> None:
    """Send a FIN; the socket can still be read."""
    with suppress(OSError):  # the peer has reset the connection
        sock.shutdown(socket.SHUT_WR)


def close_with_reset(sock: socket.socket) -> None:
    """Close ``sock`` with a reset instead of a FIN; unsent bytes are discarded."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def send_now(sock: socket.socket, data: bytes) -> None:
    """Send all of ``data`` without waiting, in as many writes as that takes.

    Raises:
        OSError: the connection failed, or the kernel's send buffer is full.
    """
    unsent = memoryview(data)
    while unsent:
        unsent = unsent[sock.send(unsent) :]


def send_and_close(sock: socket.socket, data: bytes) -> None:
    """Send ``data`` and close ``sock`` without waiting; errors of the connection are ignored."""
    with suppress(OSError):
        send_now(sock, data)
        sock.shutdown(socket.SHUT_WR)
    _read_and_close(sock)


async def close_gracefully(sock: socket.socket) -> None:
    """Send a FIN, wait up to ``LINGER_S`` for the peer's FIN, and close ``sock``.

    A peer that floods the relay is read up to ``MAX_LINGER_BYTES`` only: reading more would take time from
    all other connections.
    """
    if sock.fileno() < 0:
        return  # the socket was closed with a reset
    shutdown_write(sock)
    loop = asyncio.get_running_loop()
    discarded = bytearray(LINGER_READ_BYTES)
    try:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                bytes_left = MAX_LINGER_BYTES
                while bytes_left > 0 and (size := await loop.sock_recv_into(sock, discarded)):
                    bytes_left -= size
                if bytes_left <= 0:
                    await asyncio.sleep(FLOOD_PAUSE_S)
    finally:
        _read_and_close(sock)  # runs on a cancellation too


def _read_and_close(sock: socket.socket) -> None:
    with suppress(OSError):
        bytes_left = MAX_LINGER_BYTES
        while bytes_left > 0 and (size := len(sock.recv(FINAL_READ_BYTES))):
            bytes_left -= size
    sock.close()
