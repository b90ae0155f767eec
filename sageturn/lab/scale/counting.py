"""Bytes and messages counted where they pass the socket, by member and by what the socket is for.

The counts lie in a memory-mapped file, which the run reads at any moment without asking the process that
counts.
"""

from __future__ import annotations

import mmap
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, ParamSpec, TypeVar

import uvloop

Address = tuple[str, int]
Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")

# The order of purposes and fields is that of the file's counters.
PURPOSES = ("store", "list", "client")
FIELDS = ("in_octets", "out_octets", "in_messages", "out_messages")
IN_BYTES, OUT_BYTES, IN_MESSAGES, OUT_MESSAGES = range(len(FIELDS))
DEFAULT_PURPOSE = PURPOSES.index("client")
COUNTER_BYTES = 8
COUNTER_FORMAT: Final = "Q"  # as memoryview.cast names it
COUNTERS_PER_MEMBER = len(PURPOSES) * len(FIELDS)
NO_MEMBER = -1

# The owner and purpose of sockets: a task passes both on to those that it starts.
_member: ContextVar[int] = ContextVar("member", default=NO_MEMBER)
_purpose: ContextVar[int] = ContextVar("purpose", default=DEFAULT_PURPOSE)
_counters: memoryview | None = None
_routes: dict[Address, Address] = {}


@dataclass(frozen=True, slots=True)
class Counts:
    """Counters of one member, by purpose and field. A message is a write or read that carried any byte."""

    values: dict[str, dict[str, int]]

    def since(self, before: Counts) -> Counts:
        """Returns the difference from ``before``, an earlier state of the same counters."""
        return Counts(
            {
                purpose: {field: count - before.values[purpose][field] for field, count in fields.items()}
                for purpose, fields in self.values.items()
            }
        )

    def sum(self, field: str, *purposes: str) -> int:
        """Returns a field's sum over these purposes, or over all if none is given."""
        return sum(self.values[purpose][field] for purpose in purposes or PURPOSES)


def create_file(file: Path, members: int) -> None:
    """Creates a file with all counters at zero."""
    file.write_bytes(bytes(COUNTER_BYTES * COUNTERS_PER_MEMBER * max(1, members)))


def read_file(file: Path, members: int) -> list[Counts]:
    """Returns the present counters by member; a process may be counting meanwhile."""
    counters = memoryview(file.read_bytes()).cast(COUNTER_FORMAT)
    found = []
    for member in range(members):
        start = member * COUNTERS_PER_MEMBER
        row = iter(counters[start : start + COUNTERS_PER_MEMBER])
        found.append(Counts({purpose: {field: next(row) for field in FIELDS} for purpose in PURPOSES}))
    return found


@contextmanager
def owned(member: int, purpose: str) -> Iterator[None]:
    """Has sockets made in the context, also by tasks started there, count for this member and purpose."""
    member_token = _member.set(member)
    purpose_token = _purpose.set(PURPOSES.index(purpose))
    try:
        yield
    finally:
        _member.reset(member_token)
        _purpose.reset(purpose_token)


def owning(
    member: int, purpose: str, function: Callable[Parameters, Returned]
) -> Callable[Parameters, Returned]:
    """Returns the function, with its calls inside ``owned``."""

    def call_owned(*arguments: Parameters.args, **keywords: Parameters.kwargs) -> Returned:
        with owned(member, purpose):
            return function(*arguments, **keywords)

    return call_owned


class CountingSocket(socket.socket):
    """A socket that counts bytes and calls; once installed, ``accept`` makes such sockets too."""

    __slots__ = ("_first_counter",)

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        member = _member.get()
        self._first_counter = NO_MEMBER
        if member != NO_MEMBER:
            self._first_counter = member * COUNTERS_PER_MEMBER + _purpose.get() * len(FIELDS)

    def _count(self, bytes_field: int, messages_field: int, byte_count: int) -> None:
        if self._first_counter >= 0 and byte_count and _counters is not None:
            _counters[self._first_counter + bytes_field] += byte_count
            _counters[self._first_counter + messages_field] += 1

    def send(self, *arguments: Any) -> int:
        sent = super().send(*arguments)
        self._count(OUT_BYTES, OUT_MESSAGES, sent)
        return sent

    def sendmsg(self, *arguments: Any) -> int:
        sent = super().sendmsg(*arguments)
        self._count(OUT_BYTES, OUT_MESSAGES, sent)
        return sent

    def recv(self, *arguments: Any) -> bytes:
        data = super().recv(*arguments)
        self._count(IN_BYTES, IN_MESSAGES, len(data))
        return data

    def recv_into(self, *arguments: Any) -> int:
        size = super().recv_into(*arguments)
        self._count(IN_BYTES, IN_MESSAGES, size)
        return size


def install(file: Path, routes: dict[Address, Address]) -> None:
    """Makes every later socket of this process count its traffic and connect by ``routes``."""
    global _counters
    with file.open("r+b") as opened:
        _counters = memoryview(mmap.mmap(opened.fileno(), 0)).cast(COUNTER_FORMAT)
    _routes.update(routes)
    socket.socket = CountingSocket  # type: ignore[misc]


class RoutingLoop(uvloop.Loop):
    """Connects to a member's own address through the link emulation, from this process's zone."""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        await super().sock_connect(sock, _routes.get(tuple(address), address))
