"""XMPP stand-ins from RFC 6120, RFC 5802 and RFC 7677: a client of the relay, and a server behind it."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import hmac
import os
import re
import secrets
from collections.abc import Awaitable, Callable

CLIENT_NS = "jabber:client"
STREAMS_NS = "http://etherx.jabber.org/streams"
SASL_NS = "urn:ietf:params:xml:ns:xmpp-sasl"
BIND_NS = "urn:ietf:params:xml:ns:xmpp-bind"
ERRORS_NS = "urn:ietf:params:xml:ns:xmpp-streams"
DOMAIN = "guides.example"

_salted: dict[tuple[str, bytes, int], bytes] = {}


def salted_password(password: str, salt: bytes, iterations: int) -> bytes:
    """Return Hi(password, salt, i), computed once for each, as clients may cache it (RFC 5802, section 5.1)."""
    key = (password, salt, iterations)
    if key not in _salted:
        _salted[key] = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, iterations)
    return _salted[key]


def _mac(key: bytes, text: bytes | str) -> bytes:
    return hmac.digest(key, text.encode() if isinstance(text, str) else text, "sha256")


def _b64(data: bytes | str) -> str:
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def _unb64(text: str) -> str:
    return base64.b64decode(text).decode()


def _fields(message: str) -> dict[str, str]:
    return dict(part.split("=", 1) for part in message.split(",") if "=" in part)


class Stream:
    """One side of an XML stream; what is read is matched as text, in the order in which it comes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.unread = ""

    def send(self, text: str) -> None:
        self.writer.write(text.encode())

    async def read_until(self, pattern: str) -> re.Match[str]:
        while not (found := re.search(pattern, self.unread, re.S)):
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionResetError(f"ended before {pattern}: {self.unread[-200:]!r}")
            self.unread += data.decode(errors="replace")
        self.unread = self.unread[found.end() :]
        return found

    def close(self) -> None:
        self.writer.close()

    def abort(self) -> None:
        self.writer.transport.abort()


class Client(Stream):
    """Client that logs in with SCRAM-SHA-256 and binds a resource."""

    @classmethod
    async def connect(cls, address: tuple[str, int], receive_buffer: int = 0) -> Client:
        import socket

        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
            limit = 4096 if receive_buffer else 65536
            return cls(*await asyncio.open_connection(sock=sock, limit=limit))
        except BaseException:
            sock.close()
            raise

    async def login(self, name: str, password: str = "pw") -> None:
        await self._open()
        await self.read_until("<mechanism>SCRAM-SHA-256</mechanism>.*?</stream:features>")
        nonce = secrets.token_hex(12)
        first_bare = f"n={name},r={nonce}"
        self.send(f"<auth xmlns='{SASL_NS}' mechanism='SCRAM-SHA-256'>{_b64('n,,' + first_bare)}</auth>")
        server_first = _unb64((await self.read_until("<challenge[^>]*>(.*?)</challenge>"))[1])
        fields = _fields(server_first)
        salted = salted_password(password, base64.b64decode(fields["s"]), int(fields["i"]))
        client_key = _mac(salted, "Client Key")
        without_proof = f"c=biws,r={fields['r']}"
        message = f"{first_bare},{server_first},{without_proof}"
        signature = _mac(hashlib.sha256(client_key).digest(), message)
        proof = bytes(left ^ right for left, right in zip(client_key, signature, strict=True))
        self.send(f"<response xmlns='{SASL_NS}'>{_b64(f'{without_proof},p={_b64(proof)}')}</response>")
        await self.read_until("<success[^>]*>.*?</success>")
        await self._open()
        await self.read_until("<bind.*?</stream:features>")

    async def _open(self) -> None:
        self.send(
            f"<?xml version='1.0'?><stream:stream xmlns='{CLIENT_NS}' xmlns:stream='{STREAMS_NS}' "
            f"version='1.0' to='{DOMAIN}'>"
        )

    def send_bind(self, resource: str) -> None:
        self.send(
            f"<iq type='set' id='b1'><bind xmlns='{BIND_NS}'><resource>{resource}</resource></bind></iq>"
        )

    async def bind(self, resource: str) -> str:
        """Return ``up JID``, or what the relay answered instead."""
        self.send_bind(resource)
        found = await self.read_until(
            "<jid>(?P<jid>[^<]*)</jid>.*?</iq>|<stream:error>(?P<error>.*?)</stream:error>"
        )
        return f"up {found['jid']}" if found["jid"] else f"error {found['error']}"


class ServerSession(Stream):
    """Server's side of one session of the relay."""

    salt = hashlib.sha256(b"stand-in").digest()[:16]

    def __init__(self, reader, writer, iterations: int = 4096) -> None:
        super().__init__(reader, writer)
        self.iterations = iterations

    async def accept(self, password: str = "relay-pw") -> str:
        """Authenticate the relay, and return the resource that it asks to bind."""
        await self._open(f"<mechanisms xmlns='{SASL_NS}'><mechanism>SCRAM-SHA-256</mechanism></mechanisms>")
        first = _unb64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1])
        first_bare = first.split(",", 2)[2]
        nonce = _fields(first_bare)["r"] + secrets.token_hex(12)
        server_first = f"r={nonce},s={_b64(self.salt)},i={self.iterations}"
        self.send(f"<challenge xmlns='{SASL_NS}'>{_b64(server_first)}</challenge>")
        final = _unb64((await self.read_until("<response[^>]*>(.*?)</response>"))[1])
        without_proof, _, proof = final.rpartition(",p=")
        salted = salted_password(password, self.salt, self.iterations)
        message = f"{first_bare},{server_first},{without_proof}"
        client_key = _mac(salted, "Client Key")
        stored_key = hashlib.sha256(client_key).digest()
        signature = _mac(stored_key, message)
        expected = bytes(left ^ right for left, right in zip(client_key, signature, strict=True))
        if not hmac.compare_digest(expected, base64.b64decode(proof)):
            self.send(f"<failure xmlns='{SASL_NS}'><not-authorized/></failure></stream:stream>")
            raise ConnectionResetError("wrong proof")
        verifier = _mac(_mac(salted, "Server Key"), message)
        self.send(f"<success xmlns='{SASL_NS}'>{_b64('v=' + _b64(verifier))}</success>")
        await self._open(f"<bind xmlns='{BIND_NS}'/>")
        return (await self.read_until("<iq[^>]*id='bind'>.*?<resource>(.*?)</resource>.*?</iq>"))[1]

    async def _open(self, features: str) -> None:
        await self.read_until("<stream:stream[^>]*>")
        self.send(
            f"<?xml version='1.0'?><stream:stream xmlns='{CLIENT_NS}' xmlns:stream='{STREAMS_NS}' "
            f"version='1.0' from='{DOMAIN}' id='{secrets.token_hex(8)}'>"
            f"<stream:features>{features}</stream:features>"
        )

    def bound(self, resource: str) -> None:
        self.send(
            f"<iq type='result' id='bind'><bind xmlns='{BIND_NS}'>"
            f"<jid>relay@{DOMAIN}/{resource}</jid></bind></iq>"
        )

    async def echo(self) -> None:
        """Send every message back until the client closes its stream."""
        while True:
            found = await self.read_until("<message.*?</message>|<iq.*?</iq>|</stream:stream>")
            if found[0].startswith("</"):
                self.send("</stream:stream>")
                return
            self.send(found[0].replace("type='get'", "type='result'"))


class Server:
    """Server on a free port; ``serve`` handles each session."""

    def __init__(self, name: str, serve: Callable[[ServerSession], Awaitable[None]], iterations: int = 4096) -> None:
        self.name = name
        self.address = ("127.0.0.1", 0)
        self.sessions: set[ServerSession] = set()
        self._serve = serve
        self._iterations = iterations
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        self._server = await asyncio.start_server(self._accept, host, port, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = ServerSession(reader, writer, self._iterations)
        self.sessions.add(session)
        try:
            await self._serve(session)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.sessions.discard(session)
            with contextlib.suppress(OSError):
                writer.close()


def write_store(path: os.PathLike, accounts: dict[str, str], node: str = "operator") -> None:
    """Write accounts to a relay's log while the relay is down, by the project's own store.

    ``accounts`` maps names to classes; the password of each is pw, and its tenant t.
    """
    from pathlib import Path

    from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, make_account_record
    from sageturn.store.store import Store

    store = Store(node, Path(path), versions_follow_clock=True)
    record = None
    try:
        for name, class_name in accounts.items():
            record = record or make_account_record("pw", class_name, "t", iterations=4096)
            store.put(ACCOUNT_KEY_PREFIX + name, {**record, "class": class_name})
    finally:
        store.close()
