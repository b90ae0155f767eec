"""What an operator's file says of the XMPP front, already checked."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointOptions:
    """How the relay introduces itself to the XMPP servers behind it."""

    domain: str
    username: str
    password: str
    tls: ssl.SSLContext | None  # None: the servers are reached without TLS


@dataclass(frozen=True, slots=True)
class XmppOptions:
    listen: Address
    domain: str
    tls: ssl.SSLContext | None  # None: no STARTTLS, and so no PLAIN
    wait_ms: float
    endpoint: EndpointOptions
    port: int  # where the endpoints speak XMPP; 0 for the port that the list names
    negotiate_s: float = 3.0
    mute_s: float = 5.0
