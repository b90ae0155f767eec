"""The checked options of the XMPP frontend, as an operator's file gives them."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """How the relay logs in at the XMPP servers behind it."""

    domain: str
    username: str
    password: str
    tls: ssl.SSLContext | None  # None: the servers are reached without TLS


@dataclass(frozen=True, slots=True)
class XmppOptions:
    """Where and how clients are served."""

    listen: Address
    domain: str
    tls: ssl.SSLContext | None  # None: no STARTTLS, and so no PLAIN
    wait_ms: float
    endpoint: EndpointOptions
    port: int  # where the endpoints speak XMPP; 0 for the port that the endpoint list names
    negotiate_s: float = 3.0
    mute_s: float = 5.0
