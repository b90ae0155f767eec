"""Reads one line from a socket into a fixed buffer."""

from __future__ import annotations

import asyncio
import socket

MAX_LINE_BYTES = 4096


async def read_line(sock: socket.socket, buffer: bytearray) -> tuple[int, int]:
    """Return where the first line ends, its line feed included, and how many bytes were read.

    The first is 0 if the peer closed before its line was complete, or if it does not fit the buffer.
    Raises OSError if the connection fails.
    """
    loop = asyncio.get_running_loop()
    filled = 0
    while filled < len(buffer):
        size = await loop.sock_recv_into(sock, memoryview(buffer)[filled:])
        if not size:
            return 0, filled
        end = buffer.find(b"\n", filled, filled + size) + 1
        filled += size
        if end:
            return end, filled
    return 0, filled
