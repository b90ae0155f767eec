"""The XMPP frontend (RFC 6120): XML streams over TCP or TLS."""
