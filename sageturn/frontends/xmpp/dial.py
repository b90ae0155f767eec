"""The relay as a client: a stream to an endpoint, up to its bound resource."""

from __future__ import annotations

import base64
import ssl
from collections.abc import Callable
from xml.etree.ElementTree import Element
from xml.sax.saxutils import escape

from scramp import ScramClient, ScramException  # type: ignore[import-untyped]

from sageturn.core.close_reason import CloseReason
from sageturn.frontends.xmpp.accept import BIND, SASL, TLS, Wish
from sageturn.frontends.xmpp.accounts import MECHANISM
from sageturn.frontends.xmpp.channel import TlsChannel
from sageturn.frontends.xmpp.errors import BEFORE, CONDITIONS, STREAMS, StreamFault
from sageturn.frontends.xmpp.options import EndpointOptions
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream import Stanza

STANZA_ERRORS = {"resource-constraint": CloseReason.BUSY, "service-unavailable": CloseReason.BUSY}


class EndpointLoginRejected(Exception):
    """The endpoint did not take the session; ``ending`` is what the core is told."""

    def __init__(self, close_reason: CloseReason) -> None:
        super().__init__(close_reason.name)
        self.close_reason = close_reason


def stream_condition(element: Element) -> str:
    """The defined condition of a stream error."""
    for child in element:
        space, _, name = child.tag[1:].rpartition("}")
        if space == CONDITIONS and name != "text":
            return name
    return "undefined-condition"


class Dialer:
    def __init__(
        self,
        session: XmppSession,
        options: EndpointOptions,
        wish: Wish,
        ask: Callable[[], CloseReason | None],
    ) -> None:
        """``ask``: asked before the bind is written; an ending if it may not be."""
        self._session, self._options, self._wish, self._ask = session, options, wish, ask

    async def run(self) -> str:
        """Returns the JID that the endpoint bound."""
        try:
            return await self._run()
        except (ssl.SSLError, ScramException, StreamFault):
            raise EndpointLoginRejected(CloseReason.GARBLED) from None

    async def _run(self) -> str:
        features = await self._header()
        if self._options.tls is not None:
            if features.find(f"{{{TLS}}}starttls") is None:
                raise EndpointLoginRejected(
                    CloseReason.ERROR
                )  # an endpoint that lost its TLS is not spoken to in the clear
            features = await self._start_tls(self._options.tls)
        resource = await self._authenticate(features)
        self._session.restart()
        await self._header()
        if (held_back := self._ask()) is not None:
            raise EndpointLoginRejected(held_back)
        return await self._bind(resource)

    async def _stanza(self) -> Element:
        stanza: Stanza = await self._session.expect_stanza()
        if stanza.element.tag == f"{{{STREAMS}}}error":
            raise EndpointLoginRejected(BEFORE.get(stream_condition(stanza.element), CloseReason.ERROR))
        return stanza.element

    async def _header(self) -> Element:
        await self._session.open(to=self._options.domain)
        await self._session.expect_open()
        features = await self._stanza()
        if features.tag != f"{{{STREAMS}}}features":
            raise EndpointLoginRejected(CloseReason.GARBLED)
        return features

    async def _start_tls(self, context: ssl.SSLContext) -> Element:
        await self._session.send(f"<starttls xmlns='{TLS}'/>".encode())
        if (await self._stanza()).tag != f"{{{TLS}}}proceed":
            raise EndpointLoginRejected(CloseReason.ERROR)
        channel = TlsChannel(self._session.channel.sock, context, False, self._options.domain)
        self._session.restart(channel)
        await channel.handshake()
        return await self._header()

    async def _authenticate(self, features: Element) -> str:
        """Log in for the client where the endpoint lets the relay do so, else with an account of its own.

        PLAIN carries an identity to act for; SCRAM's library here does not, so there the client shows in
        the resource. Either way a password only crosses in the clear under TLS.
        """
        offered = {m.text for m in features.iter(f"{{{SASL}}}mechanism")}
        name, resource = self._wish.account.name, self._wish.resource
        if "PLAIN" in offered and self._session.channel.secure:
            acts_for = f"{name}@{self._options.domain}"
            text = f"{acts_for}\0{self._options.username}\0{self._options.password}"
            await self._auth("PLAIN", text)
            if (await self._stanza()).tag != f"{{{SASL}}}success":
                raise EndpointLoginRejected(CloseReason.ERROR)
            return resource
        if MECHANISM not in offered:
            raise EndpointLoginRejected(CloseReason.ERROR)
        client = ScramClient([MECHANISM], self._options.username, self._options.password)
        await self._auth(MECHANISM, client.get_client_first())
        client.set_server_first(await self._said("challenge"))
        coded = base64.b64encode(client.get_client_final().encode()).decode()
        await self._session.send(f"<response xmlns='{SASL}'>{coded}</response>".encode())
        client.set_server_final(await self._said("success"))
        return f"{name}/{resource}"

    async def _auth(self, mechanism: str, text: str) -> None:
        coded = base64.b64encode(text.encode()).decode()
        await self._session.send(f"<auth xmlns='{SASL}' mechanism='{mechanism}'>{coded}</auth>".encode())

    async def _said(self, expected: str) -> str:
        element = await self._stanza()
        if element.tag != f"{{{SASL}}}{expected}":
            raise EndpointLoginRejected(CloseReason.ERROR)
        try:
            return base64.b64decode(element.text or "").decode()
        except ValueError:
            raise EndpointLoginRejected(CloseReason.GARBLED) from None

    async def _bind(self, resource: str) -> str:
        wish = f"<bind xmlns='{BIND}'><resource>{escape(resource)}</resource></bind>"
        await self._session.send(f"<iq type='set' id='bind'>{wish}</iq>".encode())
        element = await self._stanza()
        jid = element.findtext(f"{{{BIND}}}bind/{{{BIND}}}jid")
        if element.get("type") == "result" and jid:
            return jid
        error = element.find("{jabber:client}error")
        for child in error if error is not None else ():
            close_reason = STANZA_ERRORS.get(child.tag.rpartition("}")[2])
            if close_reason is not None:
                raise EndpointLoginRejected(close_reason)
        raise EndpointLoginRejected(CloseReason.ERROR)
