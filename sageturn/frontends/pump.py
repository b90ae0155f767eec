"""Passes whole lines from one socket to another, at the pace of the slower."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BUFFER = 8192


class Broken(ConnectionError):
    """A pump's socket broke; ``source`` tells whether it was the one read from."""

    def __init__(self, source: bool) -> None:
        super().__init__("reset")
        self.source = source


class LinePump:
    """One direction of a standing connection.

    Only whole lines are written, so that between two writes the relay always stands between two lines
    and may put in one of its own. ``ahead`` is what has been read already.
    """

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        on_lines: Callable[[bytearray, int], None],
        ahead: bytes = b"",
    ) -> None:
        self._source, self._target, self._on_lines = source, target, on_lines
        self._buffer = bytearray(max(BUFFER, len(ahead) + 4096))
        self._buffer[: len(ahead)] = ahead
        self._filled = len(ahead)
        self._writing = asyncio.Lock()
        self.between_lines = True
        self.passed = 0  # octets

    async def run(self) -> None:
        """Returns at the source's FIN, with all that came before it passed on; raises Broken."""
        loop = asyncio.get_running_loop()
        view = memoryview(self._buffer)
        await self._pass_on(view, 0)
        while True:
            try:
                size = await loop.sock_recv_into(self._source, view[self._filled :])
            except OSError:
                raise Broken(source=True) from None
            if not size:
                await self._write(view, self._filled)
                return
            seen = self._filled
            self._filled += size
            await self._pass_on(view, seen)

    async def _pass_on(self, view: memoryview, seen: int) -> None:
        whole = self._buffer.rfind(b"\n", seen, self._filled) + 1
        if whole:
            self._on_lines(self._buffer, whole)
            await self._write(view, whole)
        elif self._filled == len(self._buffer):
            # No line is this long. Its sender is held to nothing else, so it goes through in parts.
            await self._write(view, self._filled)
            self.between_lines = False

    async def _write(self, view: memoryview, size: int) -> None:
        if not size:
            return
        async with self._writing:
            try:
                await asyncio.get_running_loop().sock_sendall(self._target, view[:size])
            except OSError:
                raise Broken(source=False) from None
            self.passed += size
            rest = self._filled - size
            view[:rest] = view[size : self._filled]
            self._filled = rest
            self.between_lines = True

    async def put_last(self, line: bytes) -> bool:
        """Write a line of the relay's own between two others, and nothing after it; False if it cannot be.

        Waits for as long as its target takes nothing: the caller ends it when there is no more time.
        """
        await self._writing.acquire()  # and never let go of once the line is out
        try:
            if self.between_lines:
                await asyncio.get_running_loop().sock_sendall(self._target, line)
                return True
        except OSError:
            pass
        except BaseException:
            self._writing.release()
            raise
        self._writing.release()
        return False
