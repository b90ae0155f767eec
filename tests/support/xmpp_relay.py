"""A relay with both frontends between scripted XMPP clients and servers, and its certificates."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import trustme
from support.network_fakes import FakeEndpoint, listed, serve_all, write_config
from support.ports import Address
from support.xmpp_fakes import Act, Server, rejects

from sageturn.config.loader import load
from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, make_account_record
from sageturn.relay import Relay
from sageturn.store.store import Store

CA = trustme.CA()
CERT = CA.issue_cert("guides.example")


def client_tls() -> ssl.SSLContext:
    context = ssl.create_default_context()
    CA.configure_trust(context)
    return context


def server_tls() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    CERT.configure_cert(context)
    return context


def xmpp_address(relay: Relay) -> Address:
    """Where the relay's XMPP frontend listens; fails if it has none."""
    assert relay.xmpp_listener is not None
    return relay.xmpp_listener.address


def write_operator(folder: Path, endpoint_tls: bool, **more: object) -> Path:
    (folder / "pw").write_text("relay-pw\n")
    CERT.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    CERT.private_key_pem.write_to_path(folder / "key.pem")
    CA.cert_pem.write_to_path(folder / "ca.pem")
    endpoint = {"username": "relay", "password_file": "pw", "tls": endpoint_tls, "ca_file": "ca.pem"}
    xmpp = {
        "listen": "127.0.0.1:0",
        "domain": "guides.example",
        "certificate": "cert.pem",
        "key": "key.pem",
        "wait_ms": 2000,
        "endpoint": endpoint,
        **more,
    }
    store = Store("n1", folder / "store")
    for name in ("lan", "mai"):
        store.put(ACCOUNT_KEY_PREFIX + name, make_account_record("pw", "c", "t", iterations=4096))
    store.close()
    file = folder / "operator.json"
    file.write_text(json.dumps({"xmpp": xmpp, "store": {"path": "store"}}))
    return file


class XmppEndpoint(FakeEndpoint):
    """An endpoint that speaks XMPP by ``act``, and the platform's lines where it is sent an OPEN."""

    def __init__(self, act: Act) -> None:
        super().__init__(self._play)
        self._act = act

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_data = await reader.read(4096)
        self.lines.append(first_data)
        try:
            await self.script(reader, writer, first_data)
        except (OSError, AssertionError):
            pass
        finally:
            writer.close()

    async def _play(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first_data: bytes
    ) -> None:
        if first_data.startswith(b"OPEN"):
            await self._play_platform(reader, writer)
            return
        server = Server(reader, writer)
        server.unread = first_data.decode()
        await self._act(server)

    async def _play_platform(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"BUSY\r\n" if self._act is rejects else b"UP r1\r\n")
        if self._act is rejects:
            return
        while line := await reader.readline():
            writer.write(line)


@asynccontextmanager
async def relaying_xmpp(
    folder: Path, *acts: Act, tls: bool = False, **more: object
) -> AsyncIterator[tuple[Relay, list[FakeEndpoint]]]:
    """A relay with both frontends, whose list names one endpoint for each act."""
    endpoints: list[FakeEndpoint] = [XmppEndpoint(act) for act in acts]
    async with AsyncExitStack() as stack:
        names, discovery = await serve_all(stack, endpoints)
        file = write_config(folder, discovery.address, listed(names))
        relay = Relay(load({"GW_CONFIG": str(file)}, str(write_operator(folder, tls, **more))))
        relay.start()
        stack.push_async_callback(relay.stop)
        yield relay, endpoints
