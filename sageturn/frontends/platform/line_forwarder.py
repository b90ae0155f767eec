"""Forwards complete lines from one socket to another, at the pace of the slower."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sageturn.frontends.platform.errors import ForwardingError

BUFFER_BYTES = 8192
MIN_FREE_BUFFER_BYTES = 4096  # beyond the initial data


class LineForwarder:
    """Forwards one direction of an established connection.

    Only complete lines are written, so that the relay can insert a line of its own between any two writes.
    """

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        on_lines: Callable[[bytearray, int], None],
        initial_data: bytes = b"",
    ) -> None:
        """Prepare to forward from ``source`` to ``target``.

        Args:
            source: the socket that is read.
            target: the socket that is written.
            on_lines: called before lines are written, with the buffer and the end of its last complete line.
            initial_data: was read from ``source`` before, and is forwarded first.
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
        """The socket that is written."""
        return self._target

    async def run(self) -> None:
        """Return once the source has sent its FIN and all bytes before it are forwarded.

        Raises:
            ForwardingError: either socket failed.
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
            searched_bytes = self._filled
            self._filled += size
            await self._forward_lines(view, searched_bytes)

    async def _forward_lines(self, view: memoryview, searched_bytes: int) -> None:
        """Write the complete lines in the buffer; none ends in its first ``searched_bytes``."""
        end = self._buffer.rfind(b"\n", searched_bytes, self._filled) + 1
        if end:
            self._on_lines(self._buffer, end)
            await self._write(view, end)
        elif self._filled == len(self._buffer):
            # The line is longer than the buffer, so it is forwarded in pieces.
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
            unsent = self._filled - size
            view[:unsent] = view[size : self._filled]
            self._filled = unsent
            self._between_lines = True

    async def send_last(self, line: bytes) -> bool:
        """Write a line of the relay's own between two others, and let nothing be written after it.

        Waits for as long as the target accepts no bytes; the caller cancels it. Returns False if the target
        failed, or a line has been written in part.
        """
        await self._write_lock.acquire()  # not released once the line has been written
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
