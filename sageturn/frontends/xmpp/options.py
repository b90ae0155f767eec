"""Options of the XMPP frontend, from the section ``xmpp`` of the operator's file."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from sageturn.net.addresses import Address


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """Relay's account at endpoints, and the TLS context for connections to them."""

    domain: str
    username: str
    password: str
    tls: ssl.SSLContext | None  # None if endpoints are connected to without TLS


@dataclass(frozen=True, slots=True)
class XmppOptions:
    """Listening address, time limits and TLS context for clients, and the options for endpoints."""

    listen: Address
    domain: str
    tls: ssl.SSLContext | None  # None if STARTTLS, and hence PLAIN, is not offered
    request_timeout_ms: float
    endpoint: EndpointOptions
    endpoint_port: int  # 0 if the endpoint list's port is used
    login_timeout_s: float = 3.0  # limit from accepting a client to its bind request
    idle_timeout_s: float = 5.0  # limit for an endpoint to answer a client's info/query request
