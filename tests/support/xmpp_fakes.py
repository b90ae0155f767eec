"""A scripted XMPP client and server, written from RFC 6120 and nothing of the relay's."""

from __future__ import annotations

import asyncio
import base64
import re
import ssl
from collections.abc import Awaitable, Callable

from scramp import ScramClient, ScramMechanism  # type: ignore[import-untyped]  # it has no stubs

HEADER = (
    "<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    "xmlns:stream='http://etherx.jabber.org/streams' version='1.0' {}='guides.example'>"
)
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
TLS = "urn:ietf:params:xml:ns:xmpp-tls"
BIND = "urn:ietf:params:xml:ns:xmpp-bind"


def b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def unb64(text: str) -> str:
    return base64.b64decode(text).decode()


class Wire:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.seen = reader, writer, ""

    def say(self, text: str) -> None:
        self.writer.write(text.encode())

    async def hear(self, pattern: str) -> re.Match[str]:
        """Read until the pattern is there; what lies before it is passed over."""
        async with asyncio.timeout(5):
            while not (found := re.search(pattern, self.seen, re.S)):
                data = await self.reader.read(4096)
                assert data, f"ended before {pattern}: {self.seen}"
                self.seen += data.decode()
        self.seen = self.seen[found.end() :]
        return found

    async def rest(self) -> str:
        async with asyncio.timeout(8):
            try:
                while data := await self.reader.read(4096):
                    self.seen += data.decode()
            except ConnectionError:
                self.seen += "[reset]"
        return self.seen

    async def start_tls(self, context: ssl.SSLContext, server: bool) -> None:
        # asyncio can turn a stream over to TLS itself, which keeps the relay's own TLS code out of this.
        host = None if server else "guides.example"
        await self.writer.start_tls(context, server_hostname=host)


class Client(Wire):
    """``told``: what came in place of a bound session."""

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        return cls(*await asyncio.open_connection(*address))

    async def login(
        self, tls: ssl.SSLContext, name: str = "lan", password: str = "pw", plain: bool = False
    ) -> None:
        self.say(HEADER.format("to"))
        await self.hear("<starttls.*</stream:features>")
        self.say(f"<starttls xmlns='{TLS}'/>")
        await self.hear("<proceed[^>]*/>")
        await self.start_tls(tls, server=False)
        self.say(HEADER.format("to"))
        await self.hear("<mechanism>SCRAM-SHA-256</mechanism>.*</stream:features>")
        if plain:
            said = b64(f"\0{name}\0{password}")
            self.say(f"<auth xmlns='{SASL}' mechanism='PLAIN'>{said}</auth>")
            await self.hear("<success[^>]*/>")
        else:
            scram = ScramClient(["SCRAM-SHA-256"], name, password)
            first = b64(scram.get_client_first())
            self.say(f"<auth xmlns='{SASL}' mechanism='SCRAM-SHA-256'>{first}</auth>")
            scram.set_server_first(unb64((await self.hear("<challenge[^>]*>(.*?)</challenge>"))[1]))
            self.say(f"<response xmlns='{SASL}'>{b64(scram.get_client_final())}</response>")
            scram.set_server_final(unb64((await self.hear("<success[^>]*>(.*?)</success>"))[1]))
        self.say(HEADER.format("to"))
        await self.hear("<bind.*</stream:features>")

    def wish(self, resource: str = "desk") -> None:
        bind = f"<bind xmlns='{BIND}'><resource>{resource}</resource></bind>"
        self.say(f"<iq type='set' id='b1'>{bind}</iq>")

    async def bind(self, resource: str = "desk") -> str:
        self.wish(resource)
        return (await self.hear("<iq type='result' id=\"b1\">.*?<jid>(.*?)</jid>.*?</iq>"))[1]


Act = Callable[["Server"], Awaitable[None]]
RELAY_INFO = ScramMechanism("SCRAM-SHA-256").make_auth_info("relay-pw", iteration_count=4096)


class Server(Wire):
    """One session of a live host that speaks XMPP."""

    async def accept(self, tls: ssl.SSLContext | None = None) -> str:
        """Up to the bind; returns the resource asked for."""
        await self._open(f"<starttls xmlns='{TLS}'/>" if tls else self._mechanisms())
        self.acts_for = ""
        if tls:
            await self.hear("<starttls[^>]*/>")
            self.say(f"<proceed xmlns='{TLS}'/>")
            await self.start_tls(tls, server=True)
            await self._open(f"<mechanisms xmlns='{SASL}'><mechanism>PLAIN</mechanism></mechanisms>")
            said = unb64((await self.hear("<auth[^>]*>(.*?)</auth>"))[1])
            self.acts_for, name, password = said.split("\0")
            assert (name, password) == ("relay", "relay-pw")
            self.say(f"<success xmlns='{SASL}'/>")
        else:
            scram = ScramMechanism("SCRAM-SHA-256").make_server(lambda name: RELAY_INFO)
            scram.set_client_first(unb64((await self.hear("<auth[^>]*>(.*?)</auth>"))[1]))
            self.say(f"<challenge xmlns='{SASL}'>{b64(scram.get_server_first())}</challenge>")
            scram.set_client_final(unb64((await self.hear("<response[^>]*>(.*?)</response>"))[1]))
            self.say(f"<success xmlns='{SASL}'>{b64(scram.get_server_final())}</success>")
        await self._open(f"<bind xmlns='{BIND}'/>")
        return (await self.hear("<iq[^>]*id='bind'>.*<resource>(.*?)</resource>.*?</iq>"))[1]

    def _mechanisms(self) -> str:
        return f"<mechanisms xmlns='{SASL}'><mechanism>SCRAM-SHA-256</mechanism></mechanisms>"

    async def _open(self, features: str) -> None:
        await self.hear("<stream:stream[^>]*>")
        self.say(HEADER.format("from") + f"<stream:features>{features}</stream:features>")

    def bound(self, resource: str) -> None:
        jid = f"relay@guides.example/{resource}"
        self.say(f"<iq type='result' id='bind'><bind xmlns='{BIND}'><jid>{jid}</jid></bind></iq>")


async def echo(server: Server, tls: ssl.SSLContext | None = None) -> None:
    """Stands, and gives every message back."""
    server.bound(await server.accept(tls))
    while True:
        message = await server.hear("<message.*?</message>|</stream:stream>")
        if message[0].startswith("</"):
            server.say("</stream:stream>")
            return
        server.say(message[0])


async def turns_away(server: Server) -> None:
    await server.accept()
    server.say(
        "<stream:error><resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>"
    )
