"""Bytes over a socket, plain or under TLS; both on the same socket calls."""

from __future__ import annotations

import asyncio
import socket
import ssl
from contextlib import suppress

CHUNK = 16384


class Channel:
    """Plain bytes."""

    secure = False

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = bytearray(CHUNK)

    async def receive(self) -> bytes:
        """b"" at the end."""
        size = await asyncio.get_running_loop().sock_recv_into(self.sock, self.buffer)
        return bytes(self.buffer[:size])

    def at_hand(self) -> bytes | None:
        """What lies unread, without waiting: b"" at the end, None for nothing. Nobody may be receiving."""
        try:
            return self.sock.recv(CHUNK)
        except BlockingIOError:
            return None

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def finish(self) -> None:
        """Say that nothing more comes, where the layer has a word for it."""


class TlsChannel(Channel):
    """TLS in memory: ssl.MemoryBIO on both sides, so that the socket calls stay the relay's own."""

    secure = True

    def __init__(
        self, sock: socket.socket, context: ssl.SSLContext, server_side: bool, host: str | None = None
    ) -> None:
        super().__init__(sock)
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, server_side=server_side, server_hostname=host)
        self._sending = asyncio.Lock()

    async def handshake(self) -> None:
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError:
                await self._flush()
                if not await self._fill():
                    raise ConnectionResetError("ended in the handshake") from None
            else:
                await self._flush()
                return

    async def receive(self) -> bytes:
        while True:
            try:
                return self._tls.read(CHUNK)
            except ssl.SSLWantReadError:
                await self._flush()  # a renewed key is answered from inside read
                if not await self._fill():
                    return b""
            except ssl.SSLZeroReturnError:
                return b""

    def at_hand(self) -> bytes | None:
        while True:
            try:
                return self._tls.read(CHUNK)
            except ssl.SSLWantReadError:
                data = super().at_hand()
                if not data:
                    return data
                self._in.write(data)
            except ssl.SSLZeroReturnError:
                return b""

    async def send(self, data: bytes) -> None:
        self._tls.write(data)
        await self._flush()

    async def finish(self) -> None:
        with suppress(ssl.SSLError):  # the other side's farewell is not waited for
            self._tls.unwrap()
        await self._flush()

    async def _fill(self) -> bool:
        data = await super().receive()
        if data:
            self._in.write(data)
        return bool(data)

    async def _flush(self) -> None:
        # Records must leave in the order in which they were sealed, whoever sealed them.
        async with self._sending:
            data = self._out.read()
            if data:
                await super().send(data)
