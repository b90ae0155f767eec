"""Logs in at endpoints, as an XMPP client does: from the stream header to the bound resource."""

from __future__ import annotations

import base64
import ssl
from collections.abc import Callable
from xml.etree.ElementTree import Element
from xml.sax.saxutils import escape

from scramp import ScramClient, ScramException  # type: ignore[import-untyped]

from sageturn.core.close_reason import CloseReason
from sageturn.frontends.xmpp.accounts import SCRAM_MECHANISM
from sageturn.frontends.xmpp.channel import TlsChannel
from sageturn.frontends.xmpp.client_login import BindRequest
from sageturn.frontends.xmpp.errors import (
    CLOSE_REASONS_AFTER_BIND,
    CLOSE_REASONS_BEFORE_BIND,
    EndpointLoginRejectedError,
    StreamError,
    stream_error_condition,
)
from sageturn.frontends.xmpp.namespaces import BIND_NS, CLIENT_NS, SASL_NS, STREAMS_NS, TLS_NS
from sageturn.frontends.xmpp.options import EndpointOptions
from sageturn.frontends.xmpp.protocol import PLAIN_MECHANISM, IqType
from sageturn.frontends.xmpp.session import XmppSession

MAX_SCRAM_ITERATIONS = 65536  # the hash blocks the event loop, for about 20 ms at this count

BIND_ID = "bind"  # id of the relay's bind request, which the endpoint's answer repeats

# Conditions of an error stanza by which an endpoint refuses a bind (RFC 6120, 7.7.2 and 8.3.3). Once the bind
# is written, such an answer to it is the only proof that it was not executed.
_CLOSE_REASONS_BY_STANZA_ERROR = {
    "resource-constraint": CloseReason.BUSY,
    "service-unavailable": CloseReason.BUSY,
}


class EndpointLogin:
    """Login at an endpoint on behalf of a client, up to the bind of the client's resource."""

    def __init__(
        self,
        session: XmppSession,
        options: EndpointOptions,
        bind_request: BindRequest,
        check_before_write: Callable[[], CloseReason | None],
    ) -> None:
        """Prepare to log in on ``session``.

        Args:
            session: a new stream on a connection to the endpoint.
            options: the relay's own account at the endpoint.
            bind_request: the client's bind request.
            check_before_write: called just before the bind is written; returns a reason not to write it, or
                None.
        """
        self._session = session
        self._options = options
        self._bind_request = bind_request
        self._check_before_write = check_before_write

    async def run(self) -> str:
        """Log in, and return the JID that the endpoint has bound for the client.

        Raises:
            EndpointLoginRejectedError: the endpoint rejected the login or broke the protocol, or
                ``check_before_write`` returned a reason.
            OSError: the connection failed.
        """
        try:
            return await self._log_in()
        except (ssl.SSLError, ScramException, StreamError) as error:
            raise EndpointLoginRejectedError(CloseReason.GARBLED) from error

    async def _log_in(self) -> str:
        features = await self._exchange_headers()
        if self._options.tls is not None:
            if features.find(f"{{{TLS_NS}}}starttls") is None:
                # Without STARTTLS the password would be sent unencrypted.
                raise EndpointLoginRejectedError(CloseReason.ERROR)
            features = await self._start_tls(self._options.tls)
        resource = await self._authenticate(features)
        self._session.restart()
        await self._exchange_headers()
        if (close_reason := self._check_before_write()) is not None:
            raise EndpointLoginRejectedError(close_reason)
        return await self._bind(resource)

    async def _read_stanza(
        self, close_reasons: dict[str, CloseReason] = CLOSE_REASONS_BEFORE_BIND
    ) -> Element:
        """Return the next stanza; ``close_reasons`` maps the condition of a stream error in its place."""
        element = (await self._session.expect_stanza()).element
        if element.tag == f"{{{STREAMS_NS}}}error":
            condition = stream_error_condition(element)
            raise EndpointLoginRejectedError(close_reasons.get(condition, CloseReason.ERROR))
        return element

    async def _exchange_headers(self) -> Element:
        """Exchange stream headers; return the features that the endpoint offers."""
        await self._session.send_header(to=self._options.domain)
        await self._session.expect_header()
        features = await self._read_stanza()
        if features.tag != f"{{{STREAMS_NS}}}features":
            raise EndpointLoginRejectedError(CloseReason.GARBLED)
        return features

    async def _start_tls(self, context: ssl.SSLContext) -> Element:
        await self._session.send(f"<starttls xmlns='{TLS_NS}'/>".encode())
        if (await self._read_stanza()).tag != f"{{{TLS_NS}}}proceed":
            raise EndpointLoginRejectedError(CloseReason.ERROR)
        channel = TlsChannel(
            self._session.channel.sock, context, server_side=False, host=self._options.domain
        )
        self._session.restart(channel)
        await channel.handshake()
        return await self._exchange_headers()

    async def _authenticate(self, features: Element) -> str:
        """Authenticate with PLAIN if it is offered under TLS, else with SCRAM; return the resource to bind.

        PLAIN sends the password unencrypted, so it is used under TLS only. It carries an authorization
        identity, which names the client. The SCRAM library supports none, so with SCRAM the relay logs in as
        itself, and the resource names the client.
        """
        mechanisms = {element.text for element in features.iter(f"{{{SASL_NS}}}mechanism")}
        if PLAIN_MECHANISM in mechanisms and self._session.channel.is_encrypted:
            await self._log_in_plain()
            return self._bind_request.resource
        if SCRAM_MECHANISM not in mechanisms:
            raise EndpointLoginRejectedError(CloseReason.ERROR)
        await self._log_in_scram()
        return f"{self._bind_request.account.name}/{self._bind_request.resource}"

    async def _log_in_plain(self) -> None:
        authorization_id = f"{self._bind_request.account.name}@{self._options.domain}"
        credentials = f"{authorization_id}\0{self._options.username}\0{self._options.password}"
        await self._send_auth(PLAIN_MECHANISM, credentials)
        if (await self._read_stanza()).tag != f"{{{SASL_NS}}}success":
            raise EndpointLoginRejectedError(CloseReason.ERROR)

    async def _log_in_scram(self) -> None:
        client = ScramClient([SCRAM_MECHANISM], self._options.username, self._options.password)
        await self._send_auth(SCRAM_MECHANISM, client.get_client_first())
        client.set_server_first(await self._read_sasl_text("challenge"))
        if int(client.iterations) > MAX_SCRAM_ITERATIONS:
            raise EndpointLoginRejectedError(CloseReason.GARBLED)
        encoded = base64.b64encode(client.get_client_final().encode()).decode()
        await self._session.send(f"<response xmlns='{SASL_NS}'>{encoded}</response>".encode())
        client.set_server_final(await self._read_sasl_text("success"))

    async def _send_auth(self, mechanism: str, text: str) -> None:
        encoded = base64.b64encode(text.encode()).decode()
        auth = f"<auth xmlns='{SASL_NS}' mechanism='{mechanism}'>{encoded}</auth>"
        await self._session.send(auth.encode())

    async def _read_sasl_text(self, expected_tag: str) -> str:
        element = await self._read_stanza()
        if element.tag != f"{{{SASL_NS}}}{expected_tag}":
            raise EndpointLoginRejectedError(CloseReason.ERROR)
        try:
            return base64.b64decode(element.text or "").decode()
        except ValueError as error:
            raise EndpointLoginRejectedError(CloseReason.GARBLED) from error

    async def _bind(self, resource: str) -> str:
        """Bind ``resource``; return its JID.

        Only an error stanza that answers this bind proves that it was not executed.
        """
        bind = f"<bind xmlns='{BIND_NS}'><resource>{escape(resource)}</resource></bind>"
        await self._session.send(f"<iq type='set' id='{BIND_ID}'>{bind}</iq>".encode())
        answer = await self._read_stanza(CLOSE_REASONS_AFTER_BIND)
        if answer.tag != f"{{{CLIENT_NS}}}iq" or answer.get("id") != BIND_ID:
            raise EndpointLoginRejectedError(CloseReason.GARBLED)
        jid = answer.findtext(f"{{{BIND_NS}}}bind/{{{BIND_NS}}}jid")
        if answer.get("type") == IqType.RESULT and jid:
            return jid
        raise EndpointLoginRejectedError(_refusal_reason(answer))


def _refusal_reason(answer: Element) -> CloseReason:
    """Return the close reason for the answer to a bind that has not been granted."""
    error = answer.find(f"{{{CLIENT_NS}}}error")
    if answer.get("type") != IqType.ERROR or error is None:
        return CloseReason.GARBLED
    for child in error:
        close_reason = _CLOSE_REASONS_BY_STANZA_ERROR.get(child.tag.rpartition("}")[2])
        if close_reason is not None:
            return close_reason
    return CloseReason.ERROR
