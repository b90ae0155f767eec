"""Runs a relay with both frontends between scripted XMPP clients and endpoints, with TLS certificates."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import trustme
from support.network_fakes import (
    FakeEndpoint,
    make_endpoint_list,
    start_endpoints_and_discovery,
    write_config,
)
from support.ports import Address
from support.xmpp_fakes import SessionScript, XmppServerSession, reject_session

from sageturn.config.loader import load
from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, make_account_record
from sageturn.net.json_stream import JsonObject
from sageturn.relay import Relay
from sageturn.store.store import Store

CERTIFICATE_AUTHORITY = trustme.CA()
SERVER_CERTIFICATE = CERTIFICATE_AUTHORITY.issue_cert("guides.example")


def make_client_tls_context() -> ssl.SSLContext:
    """Return a TLS context for clients that trusts the relay's certificate."""
    context = ssl.create_default_context()
    CERTIFICATE_AUTHORITY.configure_trust(context)
    return context


def make_server_tls_context() -> ssl.SSLContext:
    """Return a TLS context for endpoints with the certificate of ``guides.example``."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    SERVER_CERTIFICATE.configure_cert(context)
    return context


def xmpp_address(relay: Relay) -> Address:
    """Return the address on which the relay's XMPP frontend listens; fail if there is none."""
    assert relay.xmpp_listener is not None
    return relay.xmpp_listener.address


def write_operator_file(folder: Path, endpoint_tls: bool, **xmpp_fields: object) -> Path:
    """Write an operator's file that enables XMPP, its certificates, and a store with two accounts."""
    (folder / "pw").write_text("relay-pw\n")
    SERVER_CERTIFICATE.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    SERVER_CERTIFICATE.private_key_pem.write_to_path(folder / "key.pem")
    CERTIFICATE_AUTHORITY.cert_pem.write_to_path(folder / "ca.pem")
    endpoint = {"username": "relay", "password_file": "pw", "tls": endpoint_tls, "ca_file": "ca.pem"}
    xmpp = {
        "listen": "127.0.0.1:0",
        "domain": "guides.example",
        "certificate": "cert.pem",
        "key": "key.pem",
        "wait_ms": 2000,
        "endpoint": endpoint,
        **xmpp_fields,
    }
    store = Store("n1", folder / "store")
    for name in ("lan", "mai"):
        store.put(ACCOUNT_KEY_PREFIX + name, make_account_record("pw", "c", "t", iterations=4096))
    store.close()
    file = folder / "operator.json"
    file.write_text(json.dumps({"xmpp": xmpp, "store": {"path": "store"}}))
    return file


class XmppEndpoint(FakeEndpoint):
    """Endpoint that serves XMPP by ``script``, and the line protocol to connections that begin with OPEN."""

    def __init__(self, script: SessionScript) -> None:
        super().__init__(self._serve_connection)
        self._session_script = script

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_data = await reader.read(4096)
        self.request_lines.append(first_data)
        try:
            await self.script(reader, writer, first_data)
        except (OSError, AssertionError):
            pass
        finally:
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first_data: bytes
    ) -> None:
        if first_data.startswith(b"OPEN"):
            await self._serve_line_protocol(reader, writer)
            return
        server = XmppServerSession(reader, writer)
        server.unread = first_data.decode()
        await self._session_script(server)

    async def _serve_line_protocol(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"BUSY\r\n" if self._session_script is reject_session else b"UP r1\r\n")
        if self._session_script is reject_session:
            return
        while line := await reader.readline():
            writer.write(line)


@asynccontextmanager
async def running_xmpp_relay(
    folder: Path,
    *scripts: SessionScript,
    tls: bool = False,
    config: JsonObject | None = None,
    **xmpp_fields: object,
) -> AsyncIterator[tuple[Relay, list[FakeEndpoint]]]:
    """Run a relay with both frontends, and an endpoint for each script; the endpoints are named a, b, c.

    ``config`` has fields of the platform's config file, and ``xmpp_fields`` those of the operator's section.
    """
    endpoints: list[FakeEndpoint] = [XmppEndpoint(script) for script in scripts]
    async with AsyncExitStack() as stack:
        addresses, discovery = await start_endpoints_and_discovery(stack, endpoints)
        file = write_config(folder, discovery.address, make_endpoint_list(addresses), **(config or {}))
        relay = Relay(load({"GW_CONFIG": str(file)}, str(write_operator_file(folder, tls, **xmpp_fields))))
        relay.start()
        stack.push_async_callback(relay.stop)
        yield relay, endpoints
