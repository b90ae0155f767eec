"""Bytes over a socket, plain or under TLS; both on the same socket calls."""

from __future__ import annotations

import asyncio
import socket
import ssl
from contextlib import suppress

READ_BYTES = 16384


class Channel:
    """Plain bytes. All its calls raise OSError if the connection fails."""

    is_encrypted = False

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = bytearray(READ_BYTES)

    async def receive(self) -> bytes:
        """Wait for data; b"" at the end."""
        size = await asyncio.get_running_loop().sock_recv_into(self.sock, self._buffer)
        return bytes(self._buffer[:size])

    def receive_available(self) -> bytes | None:
        """What lies unread, without waiting: b"" at the end, None for nothing.

        Must not be called while somebody waits in ``receive``.
        """
        try:
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None

    async def send(self, data: bytes) -> None:
        """Return when the kernel has taken all of it."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def send_close(self) -> None:
        """Tell the other side that nothing more is sent, where the layer has a message for it."""


class TlsChannel(Channel):
    """TLS in memory, with ssl.MemoryBIO on both sides, so that the socket calls stay the relay's own.

    Its calls raise ssl.SSLError as well, which is an OSError.
    """

    is_encrypted = True

    def __init__(
        self, sock: socket.socket, context: ssl.SSLContext, server_side: bool, host: str | None = None
    ) -> None:
        super().__init__(sock)
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._incoming, self._outgoing, server_side=server_side, server_hostname=host
        )
        self._send_lock = asyncio.Lock()

    async def handshake(self) -> None:
        """To be called once, before anything else."""
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError as error:
                await self._flush()
                if not await self._fill():
                    raise ConnectionResetError("ended in the TLS handshake") from error
            else:
                await self._flush()
                return

    async def receive(self) -> bytes:
        """Decrypted bytes, as many as are there; empty once the peer has closed."""
        while True:
            try:
                return self._tls.read(READ_BYTES)
            except ssl.SSLWantReadError:
                await self._flush()  # a renewed key is answered from inside read
                if not await self._fill():
                    return b""
            except ssl.SSLZeroReturnError:
                return b""

    def receive_available(self) -> bytes | None:
        """As ``receive``, without waiting: None where nothing has come."""
        while True:
            try:
                return self._tls.read(READ_BYTES)
            except ssl.SSLWantReadError:
                data = super().receive_available()
                if not data:
                    return data
                self._incoming.write(data)
            except ssl.SSLZeroReturnError:
                return b""

    async def send(self, data: bytes) -> None:
        """Encrypt and send all of ``data``."""
        self._tls.write(data)
        await self._flush()

    async def send_close(self) -> None:
        """Send the close_notify alert."""
        with suppress(ssl.SSLError):  # the other side's close_notify is not awaited
            self._tls.unwrap()
        await self._flush()

    async def _fill(self) -> bool:
        data = await super().receive()
        if data:
            self._incoming.write(data)
        return bool(data)

    async def _flush(self) -> None:
        # Records must leave in the order in which they were encrypted, whoever sent them.
        async with self._send_lock:
            data = self._outgoing.read()
            if data:
                await super().send(data)
