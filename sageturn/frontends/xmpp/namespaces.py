"""XML namespaces of XMPP streams, and the relay's own namespace."""

from __future__ import annotations

STREAMS_NS = "http://etherx.jabber.org/streams"
STREAM_ERRORS_NS = "urn:ietf:params:xml:ns:xmpp-streams"
TLS_NS = "urn:ietf:params:xml:ns:xmpp-tls"
SASL_NS = "urn:ietf:params:xml:ns:xmpp-sasl"
BIND_NS = "urn:ietf:params:xml:ns:xmpp-bind"
CLIENT_NS = "jabber:client"
RELAY_NS = "urn:sageturn:relay:0"  # the relay's own elements: retry, move and load
