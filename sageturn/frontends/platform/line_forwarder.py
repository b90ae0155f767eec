"""Forwards complete lines from one socket to another, at the pace of the slower."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sageturn.frontends.platform.errors import ForwardingError

BUFFER_BYTES = 8192
MIN_FREE_BUFFER_BYTES = 4096  # beside what was read before


class LineForwarder:
    """One direction of an established connection.

    Only complete lines are written, so that between two writes the relay is always between two lines and
    can insert one of its own.
    """

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        on_lines: Callable[[bytearray, int], None],
        initial_data: bytes = b"",
    ) -> None:
        """``initial_data`` was read from ``source`` before.

        ``on_lines`` is called before lines are written, with the buffer and the position in it at which
        its last complete line ends.
        """
        self._source = source
        self._target = target
        self._on_lines = on_lines
        self._buffer = bytearray(max(BUFFER_BYTES, len(initial_data) + MIN_FREE_BUFFER_BYTES))
        self._buffer[: len(initial_data)] = initial_data
        self._filled = len(initial_data)
        self._write_lock = asyncio.Lock()
        self._between_lines = True
        self.forwarded_bytes = 0

    @property
    def target(self) -> socket.socket:
        """The socket that is written to."""
        return self._target

    async def run(self) -> None:
        """Return when the source has sent its FIN and all before it is forwarded.

        Raises ForwardingError if either socket fails.
        """
        loop = asyncio.get_running_loop()
        view = memoryview(self._buffer)
        await self._forward_lines(view, 0)
        while True:
            try:
                size = await loop.sock_recv_into(self._source, view[self._filled :])
            except OSError as error:
                raise ForwardingError(source_failed=True) from error
            if not size:
                await self._write(view, self._filled)
                return
            searched = self._filled
            self._filled += size
            await self._forward_lines(view, searched)

    async def _forward_lines(self, view: memoryview, searched: int) -> None:
        """No line ends in the first ``searched`` bytes."""
        end = self._buffer.rfind(b"\n", searched, self._filled) + 1
        if end:
            self._on_lines(self._buffer, end)
            await self._write(view, end)
        elif self._filled == len(self._buffer):
            # No line is this long. Nothing obliges its sender, so it is forwarded in pieces.
            await self._write(view, self._filled)
            self._between_lines = False

    async def _write(self, view: memoryview, size: int) -> None:
        if not size:
            return
        async with self._write_lock:
            try:
                await asyncio.get_running_loop().sock_sendall(self._target, view[:size])
            except OSError as error:
                raise ForwardingError(source_failed=False) from error
            self.forwarded_bytes += size
            rest = self._filled - size
            view[:rest] = view[size : self._filled]
            self._filled = rest
            self._between_lines = True

    async def send_last(self, line: bytes) -> bool:
        """Write a line of the relay's own between two others, and nothing after it.

        False if that is not possible. Waits for as long as the target takes nothing: the caller cancels it
        when there is no more time.
        """
        await self._write_lock.acquire()  # and not released once the line has been written
        try:
            if self._between_lines:
                await asyncio.get_running_loop().sock_sendall(self._target, line)
                return True
        except OSError:
            pass
        except BaseException:
            self._write_lock.release()
            raise
        self._write_lock.release()
        return False
