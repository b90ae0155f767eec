"""Logs clients in, as an XMPP server does: from the stream header to the bind request."""

from __future__ import annotations

import asyncio
import base64
import secrets
import ssl
from dataclasses import dataclass
from xml.etree.ElementTree import Element

from scramp import ScramException, ScramMechanism  # type: ignore[import-untyped]

from sageturn.frontends.xmpp.accounts import SCRAM_MECHANISM, Account, Accounts, Credentials
from sageturn.frontends.xmpp.channel import TlsChannel
from sageturn.frontends.xmpp.errors import SaslError, StreamError
from sageturn.frontends.xmpp.namespaces import BIND_NS, CLIENT_NS, SASL_NS, TLS_NS
from sageturn.frontends.xmpp.options import XmppOptions
from sageturn.frontends.xmpp.protocol import PLAIN_MECHANISM, IqType, SaslCondition, StreamCondition
from sageturn.frontends.xmpp.session import XmppSession

MAX_LOGIN_ATTEMPTS = 3
PLAIN_FIELD_COUNT = 3  # authorization identity, name and password (RFC 4616)
MAX_RESOURCE_BYTES = 1023  # RFC 7622, section 3.4
GENERATED_RESOURCE_BYTES = 8


@dataclass(frozen=True, slots=True)
class BindRequest:
    """Authenticated client's request to bind a resource, which the core places on an endpoint."""

    account: Account
    iq_id: str
    resource: str


class ClientLogin:
    """Login of one client: negotiates TLS, authenticates the client, and reads its bind request.

    Its methods raise StreamError if the client breaks the protocol or may not connect, and OSError if the
    connection fails.
    """

    def __init__(self, session: XmppSession, options: XmppOptions, accounts: Accounts) -> None:
        self._session = session
        self._options = options
        self._accounts = accounts

    async def exchange_headers(self) -> None:
        """Read the client's stream header and send the relay's own."""
        attributes = (await self._session.expect_header()).attributes
        await self._session.send_server_header(self._options.domain)
        if attributes.get("to") != self._options.domain:
            raise StreamError(StreamCondition.HOST_UNKNOWN)
        if attributes.get("version", "0").split(".")[0] != "1":
            raise StreamError(StreamCondition.UNSUPPORTED_VERSION)

    async def run(self) -> BindRequest:
        """Continue after the first exchange of headers; return the bind request."""
        if self._options.tls is not None:
            await self._start_tls(self._options.tls)
            await self.exchange_headers()
        account = await self._authenticate()
        self._session.restart()
        await self.exchange_headers()
        await self._session.send(f"<stream:features><bind xmlns='{BIND_NS}'/></stream:features>".encode())
        return await self._read_bind_request(account)

    async def _start_tls(self, context: ssl.SSLContext) -> None:
        offer = f"<stream:features><starttls xmlns='{TLS_NS}'><required/></starttls></stream:features>"
        await self._session.send(offer.encode())
        if (await self._session.expect_stanza()).element.tag != f"{{{TLS_NS}}}starttls":
            raise StreamError(StreamCondition.POLICY_VIOLATION, "TLS first")
        await self._session.send(f"<proceed xmlns='{TLS_NS}'/>".encode())
        channel = TlsChannel(self._session.channel.sock, context, server_side=True)
        self._session.restart(channel)
        await channel.handshake()

    # ------------------------------------------------------------ SASL

    async def _authenticate(self) -> Account:
        mechanisms = (
            [SCRAM_MECHANISM, PLAIN_MECHANISM] if self._session.channel.is_encrypted else [SCRAM_MECHANISM]
        )
        offered = "".join(f"<mechanism>{name}</mechanism>" for name in mechanisms)
        features = f"<stream:features><mechanisms xmlns='{SASL_NS}'>{offered}</mechanisms></stream:features>"
        await self._session.send(features.encode())
        for _ in range(MAX_LOGIN_ATTEMPTS):
            element = (await self._session.expect_stanza()).element
            if element.tag != f"{{{SASL_NS}}}auth":
                raise StreamError(StreamCondition.NOT_AUTHORIZED)
            try:
                return await self._attempt_login(element, mechanisms)
            except SaslError as error:
                failure = f"<failure xmlns='{SASL_NS}'><{error.condition}/></failure>"
                await self._session.send(failure.encode())
        raise StreamError(StreamCondition.POLICY_VIOLATION, "too many attempts")

    async def _attempt_login(self, auth: Element, mechanisms: list[str]) -> Account:
        mechanism = auth.get("mechanism", "")
        if mechanism not in mechanisms:
            raise SaslError(SaslCondition.INVALID_MECHANISM)
        if mechanism == PLAIN_MECHANISM:
            return await self._log_in_plain(auth)
        return await self._log_in_scram(auth)

    async def _log_in_plain(self, auth: Element) -> Account:
        parts = _decode_base64(auth.text).split(b"\0")
        if len(parts) != PLAIN_FIELD_COUNT:
            raise SaslError(SaslCondition.MALFORMED_REQUEST)
        try:
            authorization_id, name, password = (part.decode() for part in parts)
        except UnicodeDecodeError as error:
            raise SaslError(SaslCondition.MALFORMED_REQUEST) from error
        if authorization_id and authorization_id != f"{name}@{self._options.domain}":
            raise SaslError(SaslCondition.INVALID_AUTHZID)
        # The many iterations of the hash would block the event loop.
        account = await asyncio.to_thread(self._accounts.check_password, name, password)
        if account is None:
            raise SaslError(SaslCondition.NOT_AUTHORIZED)
        await self._session.send(f"<success xmlns='{SASL_NS}'/>".encode())
        return account

    async def _log_in_scram(self, auth: Element) -> Account:
        names: list[str] = []

        def look_up_credentials(name: str) -> Credentials:
            names.append(name)
            return self._accounts.get_credentials(name)

        server = ScramMechanism(SCRAM_MECHANISM).make_server(look_up_credentials)
        try:
            server.set_client_first(_decode_base64(auth.text).decode())
            response = await self._exchange_challenge(server.get_server_first())
            server.set_client_final(response)
            server_final = server.get_server_final()
        except (ScramException, UnicodeDecodeError) as error:
            raise SaslError(SaslCondition.NOT_AUTHORIZED) from error
        account = self._accounts.find(names[0])
        if account is None:
            raise SaslError(SaslCondition.NOT_AUTHORIZED)
        encoded = base64.b64encode(server_final.encode()).decode()
        await self._session.send(f"<success xmlns='{SASL_NS}'>{encoded}</success>".encode())
        return account

    async def _exchange_challenge(self, text: str) -> str:
        encoded = base64.b64encode(text.encode()).decode()
        await self._session.send(f"<challenge xmlns='{SASL_NS}'>{encoded}</challenge>".encode())
        element = (await self._session.expect_stanza()).element
        if element.tag == f"{{{SASL_NS}}}abort":
            raise SaslError(SaslCondition.ABORTED)
        if element.tag != f"{{{SASL_NS}}}response":
            raise StreamError(StreamCondition.NOT_AUTHORIZED)
        return _decode_base64(element.text).decode()

    # ------------------------------------------------------------ bind

    async def _read_bind_request(self, account: Account) -> BindRequest:
        element = (await self._session.expect_stanza()).element
        bind = element.find(f"{{{BIND_NS}}}bind")
        if element.tag != f"{{{CLIENT_NS}}}iq" or element.get("type") != IqType.SET or bind is None:
            raise StreamError(StreamCondition.NOT_AUTHORIZED, "bind first")
        resource = (bind.findtext(f"{{{BIND_NS}}}resource") or "").strip()
        if not element.get("id") or len(resource.encode()) > MAX_RESOURCE_BYTES:
            raise StreamError(StreamCondition.BAD_FORMAT)
        return BindRequest(
            account, element.get("id", ""), resource or secrets.token_hex(GENERATED_RESOURCE_BYTES)
        )


def _decode_base64(text: str | None) -> bytes:
    """Decode the text of a SASL element, where a lone ``=`` means no data; raise SaslError if invalid."""
    stripped = (text or "").strip()
    if stripped in ("", "="):
        return b""
    try:
        return base64.b64decode(stripped, validate=True)
    except ValueError as error:  # raised for invalid base64, and for text that is not ASCII
        raise SaslError(SaslCondition.INCORRECT_ENCODING) from error
