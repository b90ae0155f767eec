"""Counting of bytes and messages at the socket, by member and by the socket's purpose.

The counters are in a memory-mapped file, which the run can read at any time without asking the counting
process.
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

# The file's counters have this order of purposes and fields.
PURPOSES = ("store", "list", "client")
FIELDS = ("in_octets", "out_octets", "in_messages", "out_messages")
IN_BYTES, OUT_BYTES, IN_MESSAGES, OUT_MESSAGES = range(len(FIELDS))
DEFAULT_PURPOSE = PURPOSES.index("client")
COUNTER_BYTES = 8
COUNTER_FORMAT: Final = "Q"  # format of memoryview.cast for 8-byte unsigned integers
COUNTERS_PER_MEMBER = len(PURPOSES) * len(FIELDS)
NO_MEMBER = -1

# Owner and purpose of new sockets; a task inherits both from the task that starts it.
_member: ContextVar[int] = ContextVar("member", default=NO_MEMBER)
_purpose: ContextVar[int] = ContextVar("purpose", default=DEFAULT_PURPOSE)
_counters: memoryview | None = None
_routes: dict[Address, Address] = {}


@dataclass(frozen=True, slots=True)
class Counts:
    """Counters of one member, by purpose and field. A message is a write or read of at least one byte."""

    values: dict[str, dict[str, int]]

    def since(self, before: Counts) -> Counts:
        """Return the increase from ``before``, an earlier reading of the same counters."""
        return Counts(
            {
                purpose: {field: count - before.values[purpose][field] for field, count in fields.items()}
                for purpose, fields in self.values.items()
            }
        )

    def sum(self, field: str, *purposes: str) -> int:
        """Return a field's sum over the given purposes, or over all purposes if none is given."""
        return sum(self.values[purpose][field] for purpose in purposes or PURPOSES)


def create_file(file: Path, member_count: int) -> None:
    """Create the counters' file for ``member_count`` members, with all counters at 0."""
    file.write_bytes(bytes(COUNTER_BYTES * COUNTERS_PER_MEMBER * max(1, member_count)))


def read_file(file: Path, member_count: int) -> list[Counts]:
    """Return the present counters of each member, also while the process that owns the file is counting."""
    counters = memoryview(file.read_bytes()).cast(COUNTER_FORMAT)
    counts = []
    for member in range(member_count):
        start = member * COUNTERS_PER_MEMBER
        row = iter(counters[start : start + COUNTERS_PER_MEMBER])
        counts.append(Counts({purpose: {field: next(row) for field in FIELDS} for purpose in PURPOSES}))
    return counts


@contextmanager
def socket_owner(member: int, purpose: str) -> Iterator[None]:
    """Count sockets made in the context, also by tasks started there, for this member and purpose."""
    member_token = _member.set(member)
    purpose_token = _purpose.set(PURPOSES.index(purpose))
    try:
        yield
    finally:
        _member.reset(member_token)
        _purpose.reset(purpose_token)


def with_socket_owner(
    member: int, purpose: str, function: Callable[Parameters, Returned]
) -> Callable[Parameters, Returned]:
    """Return ``function`` wrapped so that it runs inside ``socket_owner``."""

    def call_with_owner(*arguments: Parameters.args, **keywords: Parameters.kwargs) -> Returned:
        with socket_owner(member, purpose):
            return function(*arguments, **keywords)

    return call_with_owner


class CountingSocket(socket.socket):
    """A socket that counts its bytes and messages; after ``install``, ``accept`` makes such sockets too."""

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
    """Count the traffic of this process's later sockets in ``file``, and route connections by ``routes``."""
    global _counters
    with file.open("r+b") as opened:
        _counters = memoryview(mmap.mmap(opened.fileno(), 0)).cast(COUNTER_FORMAT)
    _routes.update(routes)
    socket.socket = CountingSocket  # type: ignore[misc]


class RoutingLoop(uvloop.Loop):
    """Event loop that redirects connections between members to the link emulation by ``_routes``."""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        await super().sock_connect(sock, _routes.get(tuple(address), address))
