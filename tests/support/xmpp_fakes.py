"""A scripted XMPP client and server, written from RFC 6120 without any code of the relay."""

from __future__ import annotations

import asyncio
import base64
import re
import ssl
from collections.abc import Awaitable, Callable

from scramp import ScramClient, ScramMechanism  # type: ignore[import-untyped]  # it has no stubs
from support.ports import Address

STREAM_HEADER = (
    "<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    "xmlns:stream='http://etherx.jabber.org/streams' version='1.0' {}='guides.example'>"
)
SASL_NAMESPACE = "urn:ietf:params:xml:ns:xmpp-sasl"
TLS_NAMESPACE = "urn:ietf:params:xml:ns:xmpp-tls"
BIND_NAMESPACE = "urn:ietf:params:xml:ns:xmpp-bind"


def encode_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def decode_base64(text: str) -> str:
    return base64.b64decode(text).decode()


class XmppStream:
    """One side of a stream on an asyncio connection.

    Attributes:
        unread: the received text that no read has consumed yet.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.unread = ""

    def send(self, text: str) -> None:
        self.writer.write(text.encode())

    async def read_until(self, pattern: str) -> re.Match[str]:
        """Read up to the first match of ``pattern``, consume it and all before it, and return it."""
        async with asyncio.timeout(5):
            while not (found := re.search(pattern, self.unread, re.S)):
                data = await self.reader.read(4096)
                assert data, f"ended before {pattern}: {self.unread}"
                self.unread += data.decode()
        self.unread = self.unread[found.end() :]
        return found

    async def read_rest(self) -> str:
        """Return all that is received until the connection closes; "[reset]" is appended on a reset."""
        async with asyncio.timeout(8):
            try:
                while data := await self.reader.read(4096):
                    self.unread += data.decode()
            except ConnectionError:
                self.unread += "[reset]"
        return self.unread

    async def start_tls(self, context: ssl.SSLContext, server: bool) -> None:
        """Upgrade the connection to TLS by asyncio, which shares no code with the relay's TLS channel."""
        host = None if server else "guides.example"
        await self.writer.start_tls(context, server_hostname=host)


class XmppClient(XmppStream):
    """Client of the relay's XMPP frontend."""

    @classmethod
    async def connect(cls, address: Address) -> XmppClient:
        return cls(*await asyncio.open_connection(*address))

    async def login(
        self, tls: ssl.SSLContext, name: str = "lan", password: str = "pw", plain: bool = False
    ) -> None:
        """Start TLS and authenticate by SCRAM, or by PLAIN if ``plain``, until the server offers the bind."""
        self.send(STREAM_HEADER.format("to"))
        await self.read_until("<starttls.*</stream:features>")
        self.send(f"<starttls xmlns='{TLS_NAMESPACE}'/>")
        await self.read_until("<proceed[^>]*/>")
        await self.start_tls(tls, server=False)
        self.send(STREAM_HEADER.format("to"))
        await self.read_until("<mechanism>SCRAM-SHA-256</mechanism>.*</stream:features>")
        if plain:
            credentials = encode_base64(f"\0{name}\0{password}")
            self.send(f"<auth xmlns='{SASL_NAMESPACE}' mechanism='PLAIN'>{credentials}</auth>")
            await self.read_until("<success[^>]*/>")
        else:
            scram = ScramClient(["SCRAM-SHA-256"], name, password)
            first = encode_base64(scram.get_client_first())
            self.send(f"<auth xmlns='{SASL_NAMESPACE}' mechanism='SCRAM-SHA-256'>{first}</auth>")
            scram.set_server_first(
                decode_base64((await self.read_until("<challenge[^>]*>(.*?)</challenge>"))[1])
            )
            self.send(
                f"<response xmlns='{SASL_NAMESPACE}'>{encode_base64(scram.get_client_final())}</response>"
            )
            scram.set_server_final(decode_base64((await self.read_until("<success[^>]*>(.*?)</success>"))[1]))
        self.send(STREAM_HEADER.format("to"))
        await self.read_until("<bind.*</stream:features>")

    def send_bind(self, resource: str = "desk") -> None:
        bind = f"<bind xmlns='{BIND_NAMESPACE}'><resource>{resource}</resource></bind>"
        self.send(f"<iq type='set' id='b1'>{bind}</iq>")

    async def bind(self, resource: str = "desk") -> str:
        """Bind ``resource``, and return the JID that the server has assigned."""
        self.send_bind(resource)
        return (await self.read_until("<iq type='result' id=\"b1\">.*?<jid>(.*?)</jid>.*?</iq>"))[1]


SessionScript = Callable[["XmppServerSession"], Awaitable[None]]
RELAY_AUTH_INFO = ScramMechanism("SCRAM-SHA-256").make_auth_info("relay-pw", iteration_count=4096)


class XmppServerSession(XmppStream):
    """Server side of one session at an endpoint that speaks XMPP."""

    async def accept(self, tls: ssl.SSLContext | None = None) -> str:
        """Authenticate the relay, read its bind request, and return the resource that it requests."""
        await self._open_stream(f"<starttls xmlns='{TLS_NAMESPACE}'/>" if tls else self._scram_mechanisms())
        self.authorization_id = ""
        if tls:
            await self.read_until("<starttls[^>]*/>")
            self.send(f"<proceed xmlns='{TLS_NAMESPACE}'/>")
            await self.start_tls(tls, server=True)
            await self._open_stream(
                f"<mechanisms xmlns='{SASL_NAMESPACE}'><mechanism>PLAIN</mechanism></mechanisms>"
            )
            credentials = decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1])
            self.authorization_id, name, password = credentials.split("\0")
            assert (name, password) == ("relay", "relay-pw")
            self.send(f"<success xmlns='{SASL_NAMESPACE}'/>")
        else:
            scram = ScramMechanism("SCRAM-SHA-256").make_server(lambda name: RELAY_AUTH_INFO)
            scram.set_client_first(decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1]))
            self.send(
                f"<challenge xmlns='{SASL_NAMESPACE}'>{encode_base64(scram.get_server_first())}</challenge>"
            )
            scram.set_client_final(
                decode_base64((await self.read_until("<response[^>]*>(.*?)</response>"))[1])
            )
            self.send(
                f"<success xmlns='{SASL_NAMESPACE}'>{encode_base64(scram.get_server_final())}</success>"
            )
        await self._open_stream(f"<bind xmlns='{BIND_NAMESPACE}'/>")
        return (await self.read_until("<iq[^>]*id='bind'>.*<resource>(.*?)</resource>.*?</iq>"))[1]

    async def demand_iterations(self, count: int) -> None:
        """Send a SCRAM challenge that demands ``count`` iterations, and read until the connection closes."""
        await self._open_stream(self._scram_mechanisms())
        scram = ScramMechanism("SCRAM-SHA-256").make_server(lambda name: RELAY_AUTH_INFO)
        scram.set_client_first(decode_base64((await self.read_until("<auth[^>]*>(.*?)</auth>"))[1]))
        challenge = re.sub(r"i=\d+", f"i={count}", scram.get_server_first())
        self.send(f"<challenge xmlns='{SASL_NAMESPACE}'>{encode_base64(challenge)}</challenge>")
        await self.read_rest()

    def _scram_mechanisms(self) -> str:
        return f"<mechanisms xmlns='{SASL_NAMESPACE}'><mechanism>SCRAM-SHA-256</mechanism></mechanisms>"

    async def _open_stream(self, features: str) -> None:
        await self.read_until("<stream:stream[^>]*>")
        self.send(STREAM_HEADER.format("from") + f"<stream:features>{features}</stream:features>")

    def send_bind_result(self, resource: str) -> None:
        """Answer the bind request that ``accept`` has read."""
        jid = f"relay@guides.example/{resource}"
        self.send(f"<iq type='result' id='bind'><bind xmlns='{BIND_NAMESPACE}'><jid>{jid}</jid></bind></iq>")


async def echo_messages(server: XmppServerSession, tls: ssl.SSLContext | None = None) -> None:
    """Accept the session, and echo every message until the client closes the stream."""
    server.send_bind_result(await server.accept(tls))
    while True:
        message = await server.read_until("<message.*?</message>|</stream:stream>")
        if message[0].startswith("</"):
            server.send("</stream:stream>")
            return
        server.send(message[0])


async def reject_session(server: XmppServerSession) -> None:
    """Refuse the bind by the error stanza ``resource-constraint``, which proves that it was not run."""
    await server.accept()
    condition = "<resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/>"
    server.send(f"<iq type='error' id='bind'><error type='wait'>{condition}</error></iq>")
