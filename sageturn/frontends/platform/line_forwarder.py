"""Forwards complete lines from one socket to another, at the pace of the slower."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sageturn.frontends.platform.errors import ForwardingError
from sageturn.net.source_end import SourceEndedError, SourceEndLimit

BUFFER_BYTES = 8192
MIN_FREE_BUFFER_BYTES = 4096  # capacity left for new data after the initial data


def ignore_lines(_buffer: bytearray, _end: int) -> None:
    """Do nothing: forwarding has ended."""


class LineForwarder:
    """Forwarder of one direction of an established connection.

    It writes complete lines, so that the relay can insert a line of its own between two writes. Only a line
    that is longer than the buffer, or that the source's FIN cuts off, is written in part.
    """

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        on_lines: Callable[[bytearray, int], None],
        initial_data: bytes = b"",
        source_end_limit: SourceEndLimit | None = None,
    ) -> None:
        """Prepare to forward from ``source`` to ``target``.

        Args:
            source: the socket that is read.
            target: the socket that is written.
            on_lines: called before lines are written, with the buffer and the end of its last complete line.
            initial_data: the bytes that were read from ``source`` before, which are forwarded first.
            source_end_limit: limits the writes once ``source`` has closed; None if they may take any time.
        """
        self._source = source
        self._target = target
        self._on_lines = on_lines
        self._buffer = bytearray(max(BUFFER_BYTES, len(initial_data) + MIN_FREE_BUFFER_BYTES))
        self._buffer[: len(initial_data)] = initial_data
        self._filled = len(initial_data)
        self._source_end_limit = source_end_limit
        self._write_lock = asyncio.Lock()
        self._is_at_line_boundary = True
        self.forwarded_bytes = 0

    def release(self) -> None:
        """Release the buffer and the callback once forwarding has ended."""
        self._buffer = bytearray()
        self._on_lines = ignore_lines

    @property
    def target(self) -> socket.socket:
        """The socket that is written."""
        return self._target

    async def run(self) -> None:
        """Forward until the source has sent its FIN and all bytes before it are forwarded.

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
        """Write the complete lines in the buffer, whose first ``searched_bytes`` hold no line feed."""
        end = self._buffer.rfind(b"\n", searched_bytes, self._filled) + 1
        if end:
            self._on_lines(self._buffer, end)
            await self._write(view, end)
        elif self._filled == len(self._buffer):
            # The line is longer than the buffer, so it is written in pieces.
            await self._write(view, self._filled)
            self._is_at_line_boundary = False

    async def _write(self, view: memoryview, size: int) -> None:
        if not size:
            return
        async with self._write_lock:
            try:
                await self._send(view[:size])
            except SourceEndedError as error:
                raise ForwardingError(source_failed=True) from error
            except OSError as error:
                raise ForwardingError(source_failed=False) from error
            self.forwarded_bytes += size
            unsent = self._filled - size
            view[:unsent] = view[size : self._filled]
            self._filled = unsent
            self._is_at_line_boundary = True

    async def _send(self, data: memoryview) -> None:
        sending = asyncio.get_running_loop().sock_sendall(self._target, data)
        if self._source_end_limit is None:
            await sending
        else:
            await self._source_end_limit.complete(sending)

    async def send_last_line(self, line: bytes) -> bool:
        """Write ``line``, the relay's own, between two forwarded lines, and block all later writes.

        Wait until the target accepts the bytes; the caller limits the wait by cancelling it. Return False
        if the target failed, or a forwarded line has been written in part.
        """
        await self._write_lock.acquire()  # stays held once the line is written, so that nothing follows it
        try:
            if self._is_at_line_boundary:
                await asyncio.get_running_loop().sock_sendall(self._target, line)
                return True
        except OSError:
            pass
        except BaseException:
            self._write_lock.release()
            raise
        self._write_lock.release()
        return False
