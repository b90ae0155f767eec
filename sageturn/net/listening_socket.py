"""Listening TCP socket that can accept one connection even when the process has no descriptor left."""

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
    """Connection of a client, and the client's address."""

    sock: socket.socket
    peer: Address


class ListeningSocket:
    """Bound socket with a spare descriptor.

    A client in the backlog is connected, but would never be answered while no descriptor is free. The spare
    descriptor is then released, so that the client can be accepted, answered and disconnected.
    """

    def __init__(self, address: Address) -> None:
        """Bind ``address``.

        Raises:
            OSError: the address cannot be bound.
        """
        self._sock = bind_socket(address)
        self.address: Address = self._sock.getsockname()
        self._spare_descriptor: int | None = None
        self.reopen_spare()

    @property
    def is_open(self) -> bool:
        """True until ``close`` is called."""
        return self._sock.fileno() >= 0

    def listen(self) -> None:
        """Let the kernel queue connections; until then they are refused."""
        self._sock.listen(BACKLOG_CONNECTIONS)

    async def wait_readable(self) -> None:
        """Wait until a connection is queued. It is not accepted here, so a cancellation loses none."""
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
            OSError: the client has disconnected, or there is no descriptor or memory for its connection.
        """
        return AcceptedConnection(*self._sock.accept())

    def accept_on_spare(self) -> AcceptedConnection:
        """Accept the next connection on the spare descriptor; the errors are those of ``accept``.

        The caller must call ``reopen_spare`` afterwards, even if this raises.
        """
        self._release_spare()
        return self.accept()

    def reopen_spare(self) -> None:
        """Reopen the spare descriptor if it was released; it stays released while the system has none."""
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
