"""Non-blocking sockets on asyncio's own calls, with what those leave out."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum, auto

from sageturn.core.close_reason import CloseReason
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, OUT_OF_DESCRIPTORS_ERRNOS

Buffer = bytes | bytearray | memoryview
LINGER_S = 0.5  # how long a closed connection's other side is awaited
LINGER_MOST = 65536  # and how much it may still send; more comes only from one that floods
FLOOD_S = 0.1  # it has the answer by then: it reads what it is sent


class ConnectFailure(Enum):
    """Why a connection did not come up."""

    REFUSED = auto()
    NEVER_UP = auto()
    NO_DESCRIPTOR = auto()


CLOSE_REASON_OF_CONNECT_FAILURE = {
    ConnectFailure.REFUSED: CloseReason.REFUSED,
    ConnectFailure.NEVER_UP: CloseReason.NO_CONNECT,
    ConnectFailure.NO_DESCRIPTOR: CloseReason.NOT_SENT,
}


def configure_socket(sock: socket.socket) -> socket.socket:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _new_socket(reserved: bool) -> socket.socket:
    try:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        if (
            not reserved
            or error.errno not in OUT_OF_DESCRIPTORS_ERRNOS
            or not DESCRIPTOR_RESERVE.release_one()
        ):
            raise
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM)


async def connect_unreserved(address: tuple[str, int], timeout_s: float) -> socket.socket | ConnectFailure:
    """As ``connect``, for a client's sake: what is held in reserve is made good first, and not touched."""
    if not DESCRIPTOR_RESERVE.refill():
        return ConnectFailure.NO_DESCRIPTOR
    return await connect(address, timeout_s, False)


async def connect(
    address: tuple[str, int], timeout_s: float, reserved: bool = True
) -> socket.socket | ConnectFailure:
    try:
        sock = configure_socket(_new_socket(reserved))
    except OSError as error:
        out_of_descriptors = error.errno in OUT_OF_DESCRIPTORS_ERRNOS
        return ConnectFailure.NO_DESCRIPTOR if out_of_descriptors else ConnectFailure.REFUSED
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except TimeoutError:
        sock.close()
        return ConnectFailure.NEVER_UP
    except OSError:
        sock.close()
        return ConnectFailure.REFUSED
    except BaseException:
        sock.close()
        raise
    return sock


async def send_gathered(sock: socket.socket, parts: Sequence[Buffer]) -> None:
    """One gathered write; what the kernel did not take at once follows part by part."""
    try:
        sent = sock.sendmsg(parts)
    except (BlockingIOError, InterruptedError):
        sent = 0
    loop = asyncio.get_running_loop()
    for part in parts:
        size = len(part)
        if sent >= size:
            sent -= size
            continue
        await loop.sock_sendall(sock, memoryview(part)[sent:])
        sent = 0


async def wait_for_close_reason(sock: socket.socket, look: Callable[[], CloseReason | None]) -> CloseReason:
    """Calls ``look`` at once and whenever ``sock`` has something to read, until it gives an ending.

    ``look`` alone reads the socket then, without waiting, and may be called by others as well: what one of
    two readers had read, but not yet been woken to put in its place, would stand behind what the other took.
    """
    loop = asyncio.get_running_loop()
    seen: asyncio.Future[CloseReason] = loop.create_future()

    def again() -> None:
        if not seen.done() and (found := look()) is not None:
            seen.set_result(found)

    again()
    loop.add_reader(sock, again)
    try:
        return await seen
    finally:
        if sock.fileno() >= 0:
            loop.remove_reader(sock)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has ended or reset it, though what it said before may still lie unread."""
    ends = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    poll = select.poll()
    poll.register(sock, ends)
    return any(mask & ends for _, mask in poll.poll(0))


def shutdown_write(sock: socket.socket) -> None:
    with suppress(OSError):  # the other side has reset it: there is nobody left to tell
        sock.shutdown(socket.SHUT_WR)


def close_with_reset(sock: socket.socket) -> None:
    """Close with a reset, as the other side of the relay was reset."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def send_and_close(sock: socket.socket, text: bytes) -> None:
    """Say one last thing, and close over nothing unread: a reset for that could destroy it on its way."""
    with suppress(OSError):
        sock.send(text)
        sock.shutdown(socket.SHUT_WR)
    _close_over_nothing(sock)


def _close_over_nothing(sock: socket.socket) -> None:
    with suppress(OSError):
        left = LINGER_MOST
        while left > 0 and (size := len(sock.recv(8192))):
            left -= size
    sock.close()


async def close_gracefully(sock: socket.socket) -> None:
    """End with FIN, and wait a little for the other's.

    Closing at once while bytes of the other side lie unread would make the kernel send a reset, which
    can destroy the last line on its way. One that floods is not read on: that would cost the others the
    relay's core, and its own full window holds it up while the answer travels.
    """
    if sock.fileno() < 0:
        return  # it was reset
    shutdown_write(sock)
    loop = asyncio.get_running_loop()
    waste = bytearray(2048)
    try:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                left = LINGER_MOST
                while left > 0 and (size := await loop.sock_recv_into(sock, waste)):
                    left -= size
                if left <= 0:
                    await asyncio.sleep(FLOOD_S)
    finally:
        _close_over_nothing(sock)  # also when it is cut off while it waits


def bind_socket(address: tuple[str, int]) -> socket.socket:
    """Claims the address, and refuses connections to it until ``listen`` is called."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # whoever is accepted has it from here
        sock.bind(address)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock
