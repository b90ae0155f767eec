"""Authenticated frames between replicas of the store.

In the handshake both sides prove that they hold the shared secret by a keyed hash over both nonces and names.
Every later frame carries a keyed hash over its direction, sequence number and payload, so that no frame can
be forged, replayed or omitted. Frames are not encrypted: the secret is never sent, and credentials are sent
only as salted hashes.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import secrets
import socket
import struct
from typing import NamedTuple

from sageturn.net.sockets import send_gathered
from sageturn.store.errors import ChannelClosedError, HandshakeRejectedError
from sageturn.store.records import MAX_FRAME_BYTES

MAX_HELLO_BYTES = 1024
NONCE_BYTES = 32
TAG_BYTES = 32
_SIZE = struct.Struct(">I")
_DIALER_ROLE = b"dialled"
_ACCEPTOR_ROLE = b"answered"


class _PeerHello(NamedTuple):
    node: str
    nonce: bytes


def _compute_tag(key: bytes, *parts: bytes) -> bytes:
    """Return the keyed hash of the parts, each preceded by its length."""
    sized_parts = b"".join(_SIZE.pack(len(part)) + part for part in parts)
    return hmac.digest(key, sized_parts, "sha256")


class AuthenticatedChannel:
    """Authenticated connection to a peer; ``peer`` is its node name after ``perform_handshake``.

    The methods raise ConnectionError if the connection ends.
    """

    def __init__(self, sock: socket.socket, secret: bytes, node: str) -> None:
        self.peer = ""
        self._sock = sock
        self._secret = secret
        self._node = node
        self._key = b""
        self._send_role = b""
        self._receive_role = b""
        self._sent_frames = 0
        self._received_frames = 0
        self._write_lock = asyncio.Lock()

    async def perform_handshake(self, is_dialer: bool) -> None:
        """Prove knowledge of the secret to the peer, and verify the peer's proof.

        Args:
            is_dialer: True if this side opened the connection.

        Raises:
            HandshakeRejectedError: The peer does not hold the secret, or its hello is malformed.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = json.dumps({"node": self._node, "nonce": nonce.hex()}).encode()
        await send_gathered(self._sock, (_SIZE.pack(len(hello)), hello))
        self.peer, peer_nonce = _decode_hello(await self._read_sized(MAX_HELLO_BYTES))
        if len(peer_nonce) != NONCE_BYTES or peer_nonce == nonce or not self.peer:
            raise HandshakeRejectedError("hello: expected a node name and a new nonce of 32 bytes")
        if is_dialer:
            self._send_role, self._receive_role = _DIALER_ROLE, _ACCEPTOR_ROLE
            self._key = _compute_tag(self._secret, b"session", nonce, peer_nonce)
        else:
            self._send_role, self._receive_role = _ACCEPTOR_ROLE, _DIALER_ROLE
            self._key = _compute_tag(self._secret, b"session", peer_nonce, nonce)
        proof = _compute_tag(self._key, b"proof", self._send_role, self._node.encode())
        await asyncio.get_running_loop().sock_sendall(self._sock, proof)
        expected = _compute_tag(self._key, b"proof", self._receive_role, self.peer.encode())
        if not hmac.compare_digest(await self._read(TAG_BYTES), expected):
            raise HandshakeRejectedError("the secrets differ")

    async def send(self, payload: bytes) -> None:
        """Send one frame with its keyed hash."""
        async with self._write_lock:
            tag = _compute_tag(self._key, self._send_role, _SIZE.pack(self._sent_frames), payload)
            self._sent_frames += 1
            await send_gathered(self._sock, (_SIZE.pack(len(payload)), payload, tag))

    async def receive(self) -> bytes:
        """Return the payload of the next frame.

        Raises:
            HandshakeRejectedError: The frame's keyed hash is wrong, or the frame is too large.
        """
        payload = await self._read_sized(MAX_FRAME_BYTES)
        expected = _compute_tag(self._key, self._receive_role, _SIZE.pack(self._received_frames), payload)
        if not hmac.compare_digest(await self._read(TAG_BYTES), expected):
            raise HandshakeRejectedError("a frame was tampered with")
        self._received_frames += 1
        return payload

    async def _read_sized(self, max_bytes: int) -> bytes:
        (size,) = _SIZE.unpack(await self._read(_SIZE.size))
        if size > max_bytes:
            raise HandshakeRejectedError("a frame is too large")
        return await self._read(size)

    async def _read(self, size: int) -> bytes:
        loop = asyncio.get_running_loop()
        data = bytearray(size)
        view = memoryview(data)
        filled = 0
        while filled < size:
            received = await loop.sock_recv_into(self._sock, view[filled:])
            if not received:
                raise ChannelClosedError("ended")
            filled += received
        return bytes(data)


def _decode_hello(payload: bytes) -> _PeerHello:
    """Decode the peer's hello. Raise HandshakeRejectedError if it is malformed."""
    try:
        hello = json.loads(payload)
        return _PeerHello(str(hello["node"]), bytes.fromhex(hello["nonce"]))
    except (ValueError, KeyError, TypeError) as error:
        raise HandshakeRejectedError("hello: expected a JSON object with node and nonce") from error


def read_secret(text: str) -> bytes:
    """Return the 32-byte key derived from a shared secret, whose text may have any length."""
    return hashlib.sha256(text.strip().encode()).digest()
