"""A scripted XMPP client and server, written from RFC 6120 and nothing of the relay's."""

from __future__ import annotations

import asyncio
import base64
import re
import ssl
from collections.abc import Awaitable, Callable

from scramp import ScramClient, ScramMechanism  # type: ignore[import-untyped]  # it has no stubs
from support.ports import Address

HEADER = (
    "<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    "xmlns:stream='http://etherx.jabber.org/streams' version='1.0' {}='guides.example'>"
)
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
TLS = "urn:ietf:params:xml:ns:xmpp-tls"
BIND = "urn:ietf:params:xml:ns:xmpp-bind"


def encode_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def decode_base64(text: str) -> str:
    return base64.b64decode(text).decode()


class XmppStream:
    """One side of a stream; ``unread``: what has come and was not passed over yet."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.unread = ""

    def send(self, text: str) -> None:
        self.writer.write(text.encode())

    async def read_until(self, pattern: str) -> re.Match[str]:
        """Read until the pattern is there; what lies before it is passed over."""
        async with asyncio.timeout(5):
            while not (found := re.search(pattern, self.unread, re.S)):
                data = await self.reader.read(4096)
                assert data, f"ended before {pattern}: {self.unread}"
                self.unread += data.decode()
        self.unread = self.unread[found.end() :]
        return found

    async def read_rest(self) -> str:
        """All that comes until the stream ends; a reset shows as "[reset]"."""
        async with asyncio.timeout(8):
            try:
                while data := await self.reader.read(4096):
                    self.unread += data.decode()
            except ConnectionError:
                self.unread += "[reset]"
        return self.unread

    async def start_tls(self, context: ssl.SSLContext, server: bool) -> None:
        # asyncio can turn a stream over to TLS itself, which keeps the relay's own TLS code out of this.
        host = None if server else "guides.example"
        await self.writer.start_tls(context, server_hostname=host)


class Client(XmppStream):
    """A client of the relay's XMPP frontend."""

    @classmethod
    async def connect(cls, address: Address) -> Client:
        return cls(*await asyncio.open_connection(*address))

    async def login(
        self, tls: ssl.SSLContext, name: str = "lan", password: str = "pw", plain: bool = False
    ) -> None:
        self.send(HEADER.format("to"))
        await self.read_until("<starttls.*</stream:features>")
        self.send(f"<starttls xmlns='{TLS}'/>")
        await self.read_until("<proceed[^>]*/>")
        await self.start_tls(tls, server=False)
        self.send(HEADER.format("to"))
        await self.read_until("<mechanism>SCRAM-SHA-256</mechanism>.*</stream:features>")
        if plain:
            credentials = encode_base64(f"\0{name}\0{password}")
            self.send(f"<auth xmlns='{SASL}' mechanism='PLAIN'>{credentials}</auth>")
            await self.read_until("<success[^>]*/>")
        else:
            scram = ScramClient(["SCRAM-SHA-256"], name, password)
            first = encode_base64(scram.get_client_first())
            self.send(f"<auth xmlns='{SASL}' mechanism='SCRAM-SHA-256'>{first}</auth>")
            scram.set_server_first(
                decode_base64((await self.read_until("<challenge[^>]*>(.*?)</challenge>"))[1])
            )
            self.send(f"<response xmlns='{SASL}'>{encode_base64(scram.get_client_final())}</response>")
            scram.set_server_final(decode_base64((await self.read_until("<success[^>]*>(.*?)</success>"))[1]))
        self.send(HEADER.format("to"))
        await self.read_until("<bind.*</stream:features>")

    def send_bind(self, resource: str = "desk") -> None:
        bind = f"<bind xmlns='{BIND}'><resource>{resource}</resource></bind>"
        self.send(f"<iq type='set' id='b1'>{bind}</iq>")

    async def bind(self, resource: str = "desk") -> str:
        self.send_bind(resource)
        return (await self.read_until("<iq type='result' id=\"b1\">.*?<jid>(.*?)</jid>.*?</iq>"))[1]


Act = Callable[["Server"], Awaitable[None]]
RELAY_INFO = ScramMechanism("SCRAM-SHA-256").make_auth_info("relay-pw", iteration_count=4096)


class Server(XmppStream):
    """One session of an endpoint that speaks XMPP."""

    async def accept(self, tls: ssl.SSLContext | None = None) -> str:
        """Up to the bind; returns the resource asked for."""
        await self._open(f"<starttls xmlns='{TLS}'/>" if tls else self._mechanisms())
        self.acts_for = ""
        if tls:
            await self.read_until("<starttls[^>]*/>")
            self.send(f"<proceed xmlns='{TLS}'/>")
            await self.start_tls(tls, server=True)
            await self._open(f"<mechanisms xmlns='{SASL}'><mechanism>PLAIN</mechanism></mechanisms>")
            credentials = decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1])
            self.acts_for, name, password = credentials.split("\0")
            assert (name, password) == ("relay", "relay-pw")
            self.send(f"<success xmlns='{SASL}'/>")
        else:
            scram = ScramMechanism("SCRAM-SHA-256").make_server(lambda name: RELAY_INFO)
            scram.set_client_first(decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1]))
            self.send(f"<challenge xmlns='{SASL}'>{encode_base64(scram.get_server_first())}</challenge>")
            scram.set_client_final(
                decode_base64((await self.read_until("<response[^>]*>(.*?)</response>"))[1])
            )
            self.send(f"<success xmlns='{SASL}'>{encode_base64(scram.get_server_final())}</success>")
        await self._open(f"<bind xmlns='{BIND}'/>")
        return (await self.read_until("<iq[^>]*id='bind'>.*<resource>(.*?)</resource>.*?</iq>"))[1]

    async def demand_iterations(self, count: int) -> None:
        """Up to a challenge that costs whoever answers it so many rounds of the hash."""
        await self._open(self._mechanisms())
        scram = ScramMechanism("SCRAM-SHA-256").make_server(lambda name: RELAY_INFO)
        scram.set_client_first(decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1]))
        challenge = re.sub(r"i=\d+", f"i={count}", scram.get_server_first())
        self.send(f"<challenge xmlns='{SASL}'>{encode_base64(challenge)}</challenge>")
        await self.read_rest()

    def _mechanisms(self) -> str:
        return f"<mechanisms xmlns='{SASL}'><mechanism>SCRAM-SHA-256</mechanism></mechanisms>"

    async def _open(self, features: str) -> None:
        await self.read_until("<stream:stream[^>]*>")
        self.send(HEADER.format("from") + f"<stream:features>{features}</stream:features>")

    def bound(self, resource: str) -> None:
        jid = f"relay@guides.example/{resource}"
        self.send(f"<iq type='result' id='bind'><bind xmlns='{BIND}'><jid>{jid}</jid></bind></iq>")


async def echo(server: Server, tls: ssl.SSLContext | None = None) -> None:
    """Binds the session, and sends every message back."""
    server.bound(await server.accept(tls))
    while True:
        message = await server.read_until("<message.*?</message>|</stream:stream>")
        if message[0].startswith("</"):
            server.send("</stream:stream>")
            return
        server.send(message[0])


async def rejects(server: Server) -> None:
    await server.accept()
    server.send(
        "<stream:error><resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>"
    )
