"""Shims for a relay's system calls, which fail or transfer few bytes as Linux documents it.

The relay uses Python's own socket class, so that replacing its methods affects every call of the program.
"""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from sageturn.lab.soak.plan import FaultKind, ScheduledFault

ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH)
SOCKET_ERRNOS = (errno.ENFILE, errno.ENOBUFS)
DISK_ERRNOS = (errno.ENOSPC, errno.EIO)
FAILURE_RATIO = 0.4  # ratio of affected calls while a fault other than DISK_ERRORS is in effect
MAX_SHORT_BYTES = 9
CLOCK_KINDS = (FaultKind.CLOCK_STEP, FaultKind.RELAY_CLOCK)
SOCKET_ARGUMENTS = 4  # number of the constructor's parameters; the last is an existing socket's descriptor


def raise_os_error(errnos: Sequence[int], rng: Random) -> None:
    """Raise OSError with one of these error numbers, drawn at random."""
    number = rng.choice(errnos)
    raise OSError(number, os.strerror(number))


class Shims:
    """Replacements of this process's system calls; ``faults`` are the plan's faults of this process."""

    def __init__(self, started_s: float, faults: Sequence[ScheduledFault], rng: Random) -> None:
        self._started_s = started_s
        self._faults = faults
        self._rng = rng

    def install(self) -> None:
        """Replace the calls for the rest of the process's life."""
        self._replace_accept()
        self._replace_connect()
        self._replace_reads()
        self._replace_writes()
        self._replace_sync()
        self._replace_wall_clock()

    def _should_inject(self, kind: FaultKind) -> bool:
        return self._is_active(kind) and self._rng.random() < FAILURE_RATIO

    def _is_active(self, kind: FaultKind) -> bool:
        at_s = time.monotonic() - self._started_s
        return any(fault.kind is kind and fault.is_active(at_s) for fault in self._faults)

    def _replace_accept(self) -> None:
        accept = socket.socket.accept

        def shimmed(sock: socket.socket) -> tuple[socket.socket, object]:
            if self._should_inject(FaultKind.ACCEPT_ERRORS):
                raise_os_error(ACCEPT_ERRNOS, self._rng)
            return accept(sock)

        self._replace_socket_method("accept", shimmed)

    def _replace_connect(self) -> None:
        connect = socket.socket.connect
        create = socket.socket.__init__

        def shimmed_connect(sock: socket.socket, address: Any) -> None:
            if self._should_inject(FaultKind.CONNECT_ERRORS):
                raise_os_error(CONNECT_ERRNOS, self._rng)
            connect(sock, address)

        def shimmed_create(sock: socket.socket, *arguments: Any, **named: Any) -> None:
            is_new = named.get("fileno") is None and len(arguments) < SOCKET_ARGUMENTS
            if is_new and self._should_inject(FaultKind.CONNECT_ERRORS):
                raise_os_error(SOCKET_ERRNOS, self._rng)
            create(sock, *arguments, **named)

        self._replace_socket_method("connect", shimmed_connect)
        self._replace_socket_method("__init__", shimmed_create)

    def _replace_reads(self) -> None:
        recv = socket.socket.recv
        recv_into = socket.socket.recv_into

        def shimmed_recv(sock: socket.socket, size: int, flags: int = 0) -> bytes:
            return recv(sock, self._shorten(size), flags)

        def shimmed_recv_into(sock: socket.socket, buffer: Any, size: int = 0, flags: int = 0) -> int:
            return recv_into(sock, buffer, self._shorten(size or len(buffer)), flags)

        self._replace_socket_method("recv", shimmed_recv)
        self._replace_socket_method("recv_into", shimmed_recv_into)

    def _replace_writes(self) -> None:
        send = socket.socket.send
        sendmsg = socket.socket.sendmsg

        def shimmed_send(sock: socket.socket, data: Any, flags: int = 0) -> int:
            return send(sock, memoryview(data)[: self._shorten(len(data))], flags)

        def shimmed_sendmsg(sock: socket.socket, parts: Any, *more: Any) -> int:
            joined = b"".join(parts)
            size = self._shorten(len(joined))
            return sendmsg(sock, parts, *more) if size == len(joined) else send(sock, joined[:size])

        self._replace_socket_method("send", shimmed_send)
        self._replace_socket_method("sendmsg", shimmed_sendmsg)

    def _shorten(self, size: int) -> int:
        if size > 1 and self._should_inject(FaultKind.SHORT_IO):
            return min(size, self._rng.randint(1, MAX_SHORT_BYTES))
        return size

    def _replace_sync(self) -> None:
        sync = os.fsync

        def shimmed(descriptor: int) -> None:
            if self._is_active(FaultKind.DISK_ERRORS):
                raise_os_error(DISK_ERRNOS, self._rng)
            sync(descriptor)

        os.fsync = shimmed  # type: ignore[assignment]

    def _replace_wall_clock(self) -> None:
        wall_clock = time.time

        def shimmed() -> float:
            at_s = time.monotonic() - self._started_s
            steps = (fault for fault in self._faults if fault.kind in CLOCK_KINDS)
            return wall_clock() + sum(step.value for step in steps if at_s >= step.begin_s)

        time.time = shimmed

    @staticmethod
    def _replace_socket_method(name: str, method: Callable[..., Any]) -> None:
        setattr(socket.socket, name, method)
