"""The relay as a server: a client's stream from its first header to its wish to bind."""

from __future__ import annotations

import asyncio
import base64
import binascii
import secrets
import socket
import ssl
from dataclasses import dataclass
from xml.etree.ElementTree import Element

from scramp import ScramException, ScramMechanism  # type: ignore[import-untyped]

from sageturn.frontends.xmpp.accounts import MECHANISM, Account, Accounts
from sageturn.frontends.xmpp.channel import Channel, TlsChannel
from sageturn.frontends.xmpp.errors import StreamFault
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.session import XmppSession

TLS = "urn:ietf:params:xml:ns:xmpp-tls"
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
BIND = "urn:ietf:params:xml:ns:xmpp-bind"
SASL_TRIES = 3
RESOURCE_MOST = 1023


@dataclass(frozen=True, slots=True)
class Wish:
    """An authenticated client that asks for a resource: this is the request."""

    account: Account
    iq_id: str
    resource: str


def _from_base64(text: str | None) -> bytes:
    """RFC 6120 writes no data as a lone =."""
    stripped = (text or "").strip()
    if stripped in ("", "="):
        return b""
    try:
        return base64.b64decode(stripped, validate=True)
    except binascii.Error:
        raise _SaslFailure("incorrect-encoding") from None


class _SaslFailure(Exception):
    pass


class Acceptor:
    def __init__(self, session: XmppSession, options: XmppOptions, accounts: Accounts) -> None:
        self.session, self._options, self._accounts = session, options, accounts

    async def run(self) -> Wish:
        """From the first header on."""
        if self._options.tls is not None:
            await self._start_tls(self._options.tls)
            await self.header()
        account = await self._authenticate()
        self.session.restart()
        await self.header()
        await self.session.send(f"<stream:features><bind xmlns='{BIND}'/></stream:features>".encode())
        return await self._bind_wish(account)

    async def header(self) -> None:
        opened = (await self.session.expect_open()).attributes
        await self.session.open(**{"from": self._options.domain, "id": secrets.token_hex(8)})
        if opened.get("to") != self._options.domain:
            raise StreamFault("host-unknown")
        if opened.get("version", "0").split(".")[0] != "1":
            raise StreamFault("unsupported-version")

    async def _start_tls(self, context: ssl.SSLContext) -> None:
        offer = f"<stream:features><starttls xmlns='{TLS}'><required/></starttls></stream:features>"
        await self.session.send(offer.encode())
        if (await self.session.expect_stanza()).element.tag != f"{{{TLS}}}starttls":
            raise StreamFault("policy-violation", "TLS first")
        await self.session.send(f"<proceed xmlns='{TLS}'/>".encode())
        channel = TlsChannel(self.session.channel.sock, context, server_side=True)
        self.session.restart(channel)
        await channel.handshake()

    # ------------------------------------------------------------ SASL

    async def _authenticate(self) -> Account:
        names = [MECHANISM, "PLAIN"] if self.session.channel.secure else [MECHANISM]
        said = "".join(f"<mechanism>{name}</mechanism>" for name in names)
        features = f"<stream:features><mechanisms xmlns='{SASL}'>{said}</mechanisms></stream:features>"
        await self.session.send(features.encode())
        for _ in range(SASL_TRIES):
            element = (await self.session.expect_stanza()).element
            if element.tag != f"{{{SASL}}}auth":
                raise StreamFault("not-authorized")
            try:
                mechanism = element.get("mechanism", "")
                if mechanism not in names:
                    raise _SaslFailure("invalid-mechanism")
                if mechanism == "PLAIN":
                    return await self._plain(element)
                return await self._scram(element)
            except _SaslFailure as failure:
                await self.session.send(f"<failure xmlns='{SASL}'><{failure}/></failure>".encode())
        raise StreamFault("policy-violation", "too many attempts")

    async def _plain(self, element: Element) -> Account:
        parts = _from_base64(element.text).split(b"\0")
        if len(parts) != 3:
            raise _SaslFailure("malformed-request")
        try:
            authzid, name, password = (part.decode() for part in parts)
        except UnicodeDecodeError:
            raise _SaslFailure("malformed-request") from None
        if authzid and authzid != f"{name}@{self._options.domain}":
            raise _SaslFailure("invalid-authzid")
        # The many rounds of the hash would hold up every other connection.
        account = await asyncio.to_thread(self._accounts.check_plain, name, password)
        if account is None:
            raise _SaslFailure("not-authorized")
        await self.session.send(f"<success xmlns='{SASL}'/>".encode())
        return account

    async def _scram(self, element: Element) -> Account:
        names: list[str] = []
        look_up = self._accounts.scram_lookup()

        def remember(name: str) -> tuple[bytes, bytes, bytes, int]:
            names.append(name)
            return look_up(name)

        endpoint = ScramMechanism(MECHANISM).make_server(remember)
        try:
            endpoint.set_client_first(_from_base64(element.text).decode())
            answer = await self._challenge(endpoint.get_server_first())
            endpoint.set_client_final(answer)
            final = endpoint.get_server_final()
        except (ScramException, UnicodeDecodeError):
            raise _SaslFailure("not-authorized") from None
        account = self._accounts.find(names[0])
        if account is None:
            raise _SaslFailure("not-authorized")
        coded = base64.b64encode(final.encode()).decode()
        await self.session.send(f"<success xmlns='{SASL}'>{coded}</success>".encode())
        return account

    async def _challenge(self, text: str) -> str:
        coded = base64.b64encode(text.encode()).decode()
        await self.session.send(f"<challenge xmlns='{SASL}'>{coded}</challenge>".encode())
        element = (await self.session.expect_stanza()).element
        if element.tag == f"{{{SASL}}}abort":
            raise _SaslFailure("aborted")
        if element.tag != f"{{{SASL}}}response":
            raise StreamFault("not-authorized")
        return _from_base64(element.text).decode()

    # ------------------------------------------------------------ bind

    async def _bind_wish(self, account: Account) -> Wish:
        element = (await self.session.expect_stanza()).element
        bind = element.find(f"{{{BIND}}}bind")
        if element.tag != "{jabber:client}iq" or element.get("type") != "set" or bind is None:
            raise StreamFault("not-authorized", "bind first")
        resource = (bind.findtext(f"{{{BIND}}}resource") or "").strip()
        if not element.get("id") or len(resource.encode()) > RESOURCE_MOST:
            raise StreamFault("bad-format")
        return Wish(account, element.get("id", ""), resource or secrets.token_hex(8))


def first_session(sock: socket.socket) -> XmppSession:
    return XmppSession(Channel(sock))
