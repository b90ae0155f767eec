"""Reads one line from a socket into a fixed buffer."""

from __future__ import annotations

import asyncio
import socket
from typing import NamedTuple

MAX_LINE_BYTES = 4096


class LineRead(NamedTuple):
    """Extent of the data that ``read_line`` has read into a buffer.

    Attributes:
        end: the length of the first line in bytes, with its line feed; 0 if the peer closed before the line
            was complete, or the line does not fit the buffer.
        filled: the number of bytes that were read.
    """

    end: int
    filled: int


async def read_line(sock: socket.socket, buffer: bytearray) -> LineRead:
    """Read into ``buffer`` until it holds a complete line, or is full, or the peer has closed.

    Raises:
        OSError: the connection failed.
    """
    loop = asyncio.get_running_loop()
    filled = 0
    while filled < len(buffer):
        size = await loop.sock_recv_into(sock, memoryview(buffer)[filled:])
        if not size:
            return LineRead(0, filled)
        end = buffer.find(b"\n", filled, filled + size) + 1
        filled += size
        if end:
            return LineRead(end, filled)
    return LineRead(0, filled)
