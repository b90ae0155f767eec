"""The options of the XMPP frontend, which the section ``xmpp`` of the operator's file gives."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from sageturn.net.addresses import Address


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """The relay's account at endpoints, and the TLS context for connections to them."""

    domain: str
    username: str
    password: str
    tls: ssl.SSLContext | None  # None: endpoints are connected to without TLS


@dataclass(frozen=True, slots=True)
class XmppOptions:
    """The listening address, time limits and TLS context for clients, and the endpoints' options."""

    listen: Address
    domain: str
    tls: ssl.SSLContext | None  # None: no STARTTLS, and so no PLAIN
    request_timeout_ms: float
    endpoint: EndpointOptions
    endpoint_port: int  # 0: the port in the endpoint list
    login_timeout_s: float = 3.0  # from a client's acceptance to its bind request
    idle_timeout_s: float = 5.0  # for an endpoint that owes the client a response
