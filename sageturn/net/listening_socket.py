"""A listening TCP socket that can still accept one connection when the process has no descriptor left."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from typing import NamedTuple

from sageturn.net.addresses import Address
from sageturn.net.sockets import bind_socket

BACKLOG_CONNECTIONS = 1024


class AcceptedConnection(NamedTuple):
    """A client's connection, and the address that it came from."""

    sock: socket.socket
    peer: Address


class ListeningSocket:
    """A bound socket and a spare descriptor.

    A client in the backlog counts as connected and would never be answered. So, when there is no other
    descriptor, the spare one is released to accept, answer and close it.
    """

    def __init__(self, address: Address) -> None:
        """Bind ``address``; raises OSError."""
        self._sock = bind_socket(address)
        self.address: Address = self._sock.getsockname()
        self._spare_descriptor: int | None = None
        self.reopen_spare()

    @property
    def is_open(self) -> bool:
        """Whether ``close`` has not been called yet."""
        return self._sock.fileno() >= 0

    def listen(self) -> None:
        """Let the kernel queue connections; until then they are refused."""
        self._sock.listen(BACKLOG_CONNECTIONS)

    async def wait_readable(self) -> None:
        """Return once a connection is queued. None is accepted here, so cancelling this loses none."""
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self._sock, readable.set)
        try:
            await readable.wait()
        finally:
            if self.is_open:
                loop.remove_reader(self._sock)

    def accept(self) -> AcceptedConnection:
        """Accept the next connection without waiting.

        Raises:
            BlockingIOError: no connection is queued.
            OSError: the client has gone, or there is no descriptor or memory for its connection.
        """
        return AcceptedConnection(*self._sock.accept())

    def accept_on_spare(self) -> AcceptedConnection:
        """Accept the next connection on the spare descriptor; raises as ``accept`` does.

        The caller calls ``reopen_spare`` afterwards, whether this has raised or not.
        """
        self._release_spare()
        return self.accept()

    def reopen_spare(self) -> None:
        """Open the spare descriptor again if it is released, and if the system has one to give."""
        if self._spare_descriptor is None:
            with suppress(OSError):
                self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _release_spare(self) -> None:
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None

    def close(self) -> None:
        """Stop listening: the kernel resets all connections that are still queued."""
        if self.is_open:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
        self._release_spare()
