"""Octets and messages counted where they pass the socket, by member and by what the socket is for.

The counts lie in a file that the run reads at any moment, without a word to the process that counts.
"""

from __future__ import annotations

import mmap
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

PURPOSES = ("store", "list", "client")
FIELDS = ("in_octets", "out_octets", "in_messages", "out_messages")
ROW = len(PURPOSES) * len(FIELDS)
CLIENT = 2

# Whose socket it is, and what for: a task passes both on to those that it begins.
_row: ContextVar[int] = ContextVar("row", default=-1)
_purpose: ContextVar[int] = ContextVar("purpose", default=CLIENT)
_counts: memoryview | None = None
_routes: dict[tuple[str, int], tuple[str, int]] = {}


@dataclass(frozen=True, slots=True)
class Counts:
    """Of one member, by purpose: in and out, octets and messages (writes and reads that carried any)."""

    values: dict[str, dict[str, int]]

    def since(self, before: Counts) -> Counts:
        return Counts(
            {p: {f: n - before.values[p][f] for f, n in fields.items()} for p, fields in self.values.items()}
        )

    def sum(self, field: str, *purposes: str) -> int:
        return sum(self.values[p][field] for p in purposes or PURPOSES)


def make(file: Path, members: int) -> None:
    file.write_bytes(bytes(8 * ROW * max(1, members)))


def read(file: Path, members: int) -> list[Counts]:
    flat = memoryview(file.read_bytes()).cast("Q")
    found = []
    for member in range(members):
        row = iter(flat[member * ROW : (member + 1) * ROW])
        found.append(Counts({p: {f: next(row) for f in FIELDS} for p in PURPOSES}))
    return found


@contextmanager
def owned(member: int, purpose: str) -> Iterator[None]:
    """Sockets that are made in here, and by tasks begun in here, count for this member and purpose."""
    row, kind = _row.set(member), _purpose.set(PURPOSES.index(purpose))
    try:
        yield
    finally:
        _row.reset(row)
        _purpose.reset(kind)


def owning(member: int, purpose: str, call: Callable[..., Any]) -> Callable[..., Any]:
    def called(*arguments: Any, **named: Any) -> Any:
        with owned(member, purpose):
            return call(*arguments, **named)

    return called


class CountingSocket(socket.socket):
    """A socket that counts what the kernel took and gave. ``accept`` makes such ones too, once installed."""

    __slots__ = ("_at",)

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        row = _row.get()
        self._at = -1 if row < 0 else row * ROW + _purpose.get() * len(FIELDS)

    def _count(self, out: int, octets: int) -> None:
        if self._at >= 0 and octets and _counts is not None:
            _counts[self._at + out] += octets
            _counts[self._at + 2 + out] += 1

    def send(self, *arguments: Any) -> int:
        sent = super().send(*arguments)
        self._count(1, sent)
        return sent

    def sendmsg(self, *arguments: Any) -> int:
        sent = super().sendmsg(*arguments)
        self._count(1, sent)
        return sent

    def recv(self, *arguments: Any) -> bytes:
        data = super().recv(*arguments)
        self._count(0, len(data))
        return data

    def recv_into(self, *arguments: Any) -> int:
        size = super().recv_into(*arguments)
        self._count(0, size)
        return size


def install(file: Path, routes: dict[tuple[str, int], tuple[str, int]]) -> None:
    """For this whole process, which is a lab's: every socket from now on counts, and dials by ``routes``."""
    global _counts
    with file.open("r+b") as opened:
        _counts = memoryview(mmap.mmap(opened.fileno(), 0)).cast("Q")
    _routes.update(routes)
    socket.socket = CountingSocket  # type: ignore[misc]


class RoutingLoop(uvloop.Loop):
    """Dials a member at its own address, and is led through the link layer from this process's zone."""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        await super().sock_connect(sock, _routes.get(tuple(address), address))
