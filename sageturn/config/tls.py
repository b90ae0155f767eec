"""Builds TLS contexts from the certificates that the operator's file names."""

from __future__ import annotations

import ssl
from pathlib import Path

from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection
from sageturn.config.files import convert_file_errors


def read_server_context(xmpp: ConfigSection, folder: Path) -> ssl.SSLContext | None:
    """Return the context for clients; None if no certificate is configured. Raise ConfigError."""
    if not xmpp.contains("certificate"):
        if xmpp.contains("key"):
            raise ConfigError(xmpp.path("key"), f"needs {xmpp.path('certificate')}")
        return None
    context = _new_context(xmpp, "certificate", ssl.PROTOCOL_TLS_SERVER)
    with convert_file_errors(xmpp, "certificate"):
        certificate = folder / xmpp.text("certificate")
        key = folder / xmpp.text("key")
        context.load_cert_chain(str(certificate), str(key))
    return context


def read_endpoint_context(endpoint: ConfigSection, folder: Path) -> ssl.SSLContext | None:
    """Return the context for endpoints; None if TLS is disabled for them. Raise ConfigError."""
    if not endpoint.flag("tls", default=True):
        return None
    context = _new_context(endpoint, "ca_file", ssl.PROTOCOL_TLS_CLIENT)
    with convert_file_errors(endpoint, "ca_file"):
        if endpoint.contains("ca_file"):
            context.load_verify_locations(str(folder / endpoint.text("ca_file")))
        else:
            context.load_default_certs()
    return context


def _new_context(section: ConfigSection, key: str, protocol: int) -> ssl.SSLContext:
    with convert_file_errors(section, key):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        return context
