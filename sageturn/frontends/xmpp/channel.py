"""Sends and receives bytes over a socket, with or without TLS."""

from __future__ import annotations

import asyncio
import socket
import ssl
from contextlib import suppress

MAX_RECORD_BYTES = 16384  # plain bytes of a TLS record
READ_BYTES = 4096  # read at a time; a session reads no more before it has forwarded that


class Channel:
    """Byte channel over a socket, without TLS. All methods raise OSError if the connection fails."""

    is_encrypted = False

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = bytearray(READ_BYTES)

    async def receive(self) -> bytes:
        """Wait for data and return it; b"" once the peer has closed."""
        size = await asyncio.get_running_loop().sock_recv_into(self.sock, self._buffer)
        return bytes(self._buffer[:size])

    def receive_available(self) -> bytes | None:
        """Return the data that has arrived, without waiting.

        Return b"" once the peer has closed, or None if there is no data. This must not be called while a
        task waits in ``receive``.
        """
        try:
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None

    async def send(self, data: bytes) -> None:
        """Send all of ``data``; return once the kernel has accepted it."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def send_close(self) -> None:
        """Send the closing message of the security layer. Without TLS there is none."""


class TlsChannel(Channel):
    """Byte channel under TLS, which encrypts in memory (``ssl.MemoryBIO``) and inherits the socket calls.

    All methods raise ssl.SSLError as well, which is an OSError.
    """

    is_encrypted = True

    def __init__(
        self, sock: socket.socket, context: ssl.SSLContext, *, server_side: bool, host: str | None = None
    ) -> None:
        super().__init__(sock)
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._incoming, self._outgoing, server_side=server_side, server_hostname=host
        )
        self._send_lock = asyncio.Lock()
        self._has_waited = True  # False once ``receive`` has returned data without waiting for the socket

    async def handshake(self) -> None:
        """Perform the TLS handshake. Called once, before any other method."""
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError as error:
                await self._send_encrypted()
                if not await self._receive_encrypted():
                    raise ConnectionResetError(
                        "peer closed the connection during the TLS handshake"
                    ) from error
            else:
                await self._send_encrypted()
                return

    async def receive(self) -> bytes:
        """Wait for decrypted data and return it; b"" once the peer has closed.

        One read of the socket can hold hundreds of records. Other tasks get their turn between two of them.
        """
        if not self._has_waited:
            await asyncio.sleep(0)
        self._has_waited = False
        while True:
            try:
                return self._tls.read(READ_BYTES)
            except ssl.SSLWantReadError:
                if self._outgoing.pending:
                    await self._send_encrypted()  # e.g. the answer to a key update
                if not await self._receive_encrypted():
                    return b""
                self._has_waited = True
            except ssl.SSLZeroReturnError:
                return b""

    def receive_available(self) -> bytes | None:
        """Return decrypted data as ``receive`` does, without waiting; None if there is none."""
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
        """Encrypt and send ``data`` record by record, since buffers keep the size of the largest write."""
        async with self._send_lock:
            for start in range(0, len(data), MAX_RECORD_BYTES):
                self._tls.write(data[start : start + MAX_RECORD_BYTES])
                await self._flush()

    async def send_close(self) -> None:
        """Send the close_notify alert."""
        with suppress(ssl.SSLError):  # raised because the peer's close_notify is not awaited
            self._tls.unwrap()
        await self._send_encrypted()

    async def _receive_encrypted(self) -> bool:
        data = await super().receive()
        if data:
            self._incoming.write(data)
        return bool(data)

    async def _send_encrypted(self) -> None:
        # Records must be sent in the order in which they were encrypted, also those of concurrent tasks.
        async with self._send_lock:
            await self._flush()

    async def _flush(self) -> None:
        """Send the output of the TLS layer; requires the lock."""
        data = self._outgoing.read()
        if data:
            await super().send(data)
