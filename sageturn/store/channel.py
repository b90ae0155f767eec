"""Authenticated frames between copies of the store.

Both sides prove that they hold the shared secret by a keyed hash over both nonces and names, and every
frame after that carries a keyed hash over its direction and number, so that none can be forged, played
again or left out. Frames are not encrypted: the secret never crosses, and credentials do so only salted.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import secrets
import socket
import struct

from sageturn.net.sockets import send_gathered
from sageturn.store.errors import HandshakeRejectedError
from sageturn.store.records import MAX_FRAME_BYTES

MAX_HELLO_BYTES = 1024
NONCE_BYTES = 32
TAG_BYTES = 32
_SIZE = struct.Struct(">I")


def _tag(key: bytes, *parts: bytes) -> bytes:
    return hmac.digest(key, b"".join(_SIZE.pack(len(p)) + p for p in parts), "sha256")


class AuthenticatedChannel:
    """One connection between two replicas, after ``perform_handshake``."""

    def __init__(self, sock: socket.socket, secret: bytes, node: str) -> None:
        self._sock, self._secret, self._node = sock, secret, node
        self._key = b""
        self._sent_frames = self._received_frames = 0
        self._send_role = self._receive_role = b""
        self._write_lock = asyncio.Lock()
        self.peer = ""

    async def perform_handshake(self, dialled: bool) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = json.dumps({"node": self._node, "nonce": nonce.hex()}).encode()
        await send_gathered(self._sock, (_SIZE.pack(len(hello)), hello))
        try:
            theirs = json.loads(await self._read_sized(MAX_HELLO_BYTES))
            self.peer, their_nonce = str(theirs["node"]), bytes.fromhex(theirs["nonce"])
        except (ValueError, KeyError, TypeError):
            raise HandshakeRejectedError("no replica's greeting") from None
        if len(their_nonce) != NONCE_BYTES or their_nonce == nonce or not self.peer:
            raise HandshakeRejectedError("no replica's greeting")
        self._send_role, self._receive_role = (
            (b"dialled", b"answered") if dialled else (b"answered", b"dialled")
        )
        first, second = (nonce, their_nonce) if dialled else (their_nonce, nonce)
        self._key = _tag(self._secret, b"session", first, second)
        proof = _tag(self._key, b"proof", self._send_role, self._node.encode())
        await asyncio.get_running_loop().sock_sendall(self._sock, proof)
        expected = _tag(self._key, b"proof", self._receive_role, self.peer.encode())
        if not hmac.compare_digest(await self._read(TAG_BYTES), expected):
            raise HandshakeRejectedError("the secrets differ")

    async def send(self, payload: bytes) -> None:
        async with self._write_lock:
            tag = _tag(self._key, self._send_role, _SIZE.pack(self._sent_frames), payload)
            self._sent_frames += 1
            await send_gathered(self._sock, (_SIZE.pack(len(payload)), payload, tag))

    async def receive(self) -> bytes:
        payload = await self._read_sized(MAX_FRAME_BYTES)
        expected = _tag(self._key, self._receive_role, _SIZE.pack(self._received_frames), payload)
        if not hmac.compare_digest(await self._read(TAG_BYTES), expected):
            raise HandshakeRejectedError("a frame was tampered with")
        self._received_frames += 1
        return payload

    async def _read_sized(self, most: int) -> bytes:
        (size,) = _SIZE.unpack(await self._read(_SIZE.size))
        if size > most:
            raise HandshakeRejectedError("a frame is too large")
        return await self._read(size)

    async def _read(self, size: int) -> bytes:
        data = bytearray(size)
        view, filled = memoryview(data), 0
        while filled < size:
            got = await asyncio.get_running_loop().sock_recv_into(self._sock, view[filled:])
            if not got:
                raise ConnectionResetError("ended")
            filled += got
        return bytes(data)


def read_secret(text: str) -> bytes:
    """Any text will do; its hash has the length that the keyed hashes want."""
    return hashlib.sha256(text.strip().encode()).digest()
