"""Accepts clients and gives each to its front; goes on when descriptors run out."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress

from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, OUT_OF_DESCRIPTORS_ERRNOS
from sageturn.net.sockets import bind_socket, configure_socket, send_and_close

log = logging.getLogger(__name__)

Serve = Callable[[socket.socket, PendingConnection], Awaitable[None]]
BACKLOG = 1024
AT_ONCE = 64  # taken in one turn of the loop, so that those who have been taken get theirs
CANCEL_S = 0.02
SHORT_PAUSE_S = 0.02
SHORT_READ_S = 0.03  # a usual client's first line comes with its connection; nobody else is waited for
SHORT_EVICT = 8  # silent ones cut off at a time when descriptors have run out


class Listener:
    def __init__(
        self, address: tuple[str, int], serve: Serve, rejection: bytes, admission: AdmissionController
    ) -> None:
        self._admission = admission
        self._sock = bind_socket(address)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._serve, self._rejection = serve, rejection
        self._tasks: set[asyncio.Task[None]] = set()
        # Given up for a moment to take, answer and close a client when there is no other descriptor:
        # left in the backlog it would have been taken by this machine and never answered.
        self._spare: int | None = os.open(os.devnull, os.O_RDONLY)

    def start_listening(self) -> None:
        """From here on connections are taken, so whatever they wait for now comes out of their time."""
        self._sock.listen(BACKLOG)

    async def run(self) -> None:
        try:
            while True:
                await self._knocked()
                if self._take(AT_ONCE):
                    await self._make_room()
        finally:
            self.close()

    async def _knocked(self) -> None:
        """Returns once somebody waits. Nobody is taken here, so ending it loses nobody."""
        loop = asyncio.get_running_loop()
        knock = asyncio.Event()
        loop.add_reader(self._sock, knock.set)
        try:
            await knock.wait()
        finally:
            if self._sock.fileno() >= 0:
                loop.remove_reader(self._sock)

    def _take(self, most: int) -> bool:
        """Takes those who wait, up to so many; True when that needs a descriptor more than there is."""
        for _ in range(most):
            if not DESCRIPTOR_RESERVE.refill():
                return True
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                    return True
                log.warning("accept: %s", error)  # the client was gone before it was taken
                continue
            if self._admission.is_full and not self._admission.evict_oldest_pending():
                self._own(self._reject(sock))
            else:
                self._own(self._guard(sock, self._admission.admit()))
        return False

    def stop_accepting(self) -> None:
        """Takes everyone whom this machine has accepted so far, and nobody from then on."""
        DESCRIPTOR_RESERVE.resize(0)  # nothing that it is kept for is begun any more
        if self._sock.fileno() >= 0 and self._take(BACKLOG):
            for _ in range(BACKLOG):  # one after the other, each on the one descriptor that there is
                if (sock := self._take_on_spare()) is None:
                    break
                send_and_close(sock, self._rejection)
                self._renew_spare()
        self.close()

    def _own(self, serving: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(serving)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, sock: socket.socket, pending: PendingConnection) -> None:
        try:
            configure_socket(sock)
            await self._serve(sock, pending)
        except OSError as error:
            log.info("connection: %s", error)
        except Exception:
            log.exception("a connection failed")
        finally:
            sock.close()
            self._admission.release(pending)

    async def _make_room(self) -> None:
        """No descriptor is left: the silent give theirs up first; with none, the newest is answered."""
        if sum(self._admission.evict_oldest_pending() for _ in range(SHORT_EVICT)):
            await asyncio.sleep(SHORT_PAUSE_S)
        else:
            await self._answer_short()

    async def _answer_short(self) -> None:
        sock = self._take_on_spare()
        if sock is None:
            await asyncio.sleep(SHORT_PAUSE_S)
        else:
            await self._reject(sock)
        self._renew_spare()

    def _take_on_spare(self) -> socket.socket | None:
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
        try:
            return configure_socket(self._sock.accept()[0])
        except OSError:
            return None

    def _renew_spare(self) -> None:
        if self._spare is None:
            with suppress(OSError):
                self._spare = os.open(os.devnull, os.O_RDONLY)

    async def _reject(self, sock: socket.socket) -> None:
        """Its first bytes are read before the answer: closed over unread ones, the answer would be lost."""
        try:
            configure_socket(sock)
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(SHORT_READ_S):
                    await asyncio.get_running_loop().sock_recv_into(sock, bytearray(8192))
        finally:
            send_and_close(sock, self._rejection)

    async def wait_until_idle(self, patience_s: float) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=patience_s)

    async def cancel_connections(self) -> None:
        """One that is cut off while it ends politely is cut off there, too: nothing is waited for now."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_S)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
