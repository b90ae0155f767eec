"""Scripted discovery, endpoints and clients on loopback, and a relay that connects them."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import NamedTuple

from support.ports import Address

from sageturn.config.loader import load
from sageturn.net.connecting import ConnectFailure
from sageturn.net.json_stream import JsonObject
from sageturn.relay import Relay

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ConnectResult = socket.socket | ConnectFailure  # result of ``connect_unreserved``, which tests replace
EndpointScript = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]

SETTINGS: JsonObject = {
    "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 50.0}],
    "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
    "discovery": "ask",
    "groupSize": 1,
    "guarantees": {"fallMs": 3000.0, "fallMultiple": 4.0, "startCapacity": 0.2, "warmWithinMs": 9000.0},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "cancel": True, "connectTimeoutMs": 400.0},
}


REQUEST_IDS = itertools.count(1)  # each connection takes the next one


def encode_request_line(wait_ms: int = 2000, extra_parameters: str = "", key: str = "k1") -> bytes:
    """Return an OPEN line with a new request id; ``extra_parameters`` are appended, as in ``,g=g1``."""
    return f"OPEN id{next(REQUEST_IDS)} {key} c=c,t=t,d={wait_ms}{extra_parameters}\r\n".encode()


async def send_request(address: Address, line: bytes) -> Streams:
    """Connect to ``address``, and send ``line`` without waiting for a response."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    return reader, writer


async def exchange_line(address: Address, line: bytes) -> bytes:
    """Send ``line`` on a new connection; return the first line of the response, empty if it was closed."""
    reader, writer = await send_request(address, line)
    try:
        return await asyncio.wait_for(reader.readline(), 5)
    finally:
        writer.close()


async def wait_until_ready(address: Address) -> None:
    """Return once the relay at ``address`` answers a PING; fail if the answer is not PONG."""
    while True:
        try:
            assert await exchange_line(address, b"PING\r\n") == b"PONG\r\n"
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)


class FakeEndpoint:
    """Endpoint that serves each connection by a script, which is called with the connection's first line.

    Attributes:
        request_lines: First line of each connection; empty if it was closed before one arrived.
        open_connections: Number of connections that are open.
        max_open_connections: Maximum number of connections that were open at once.
    """

    def __init__(self, script: EndpointScript) -> None:
        self.script = script
        self.request_lines: list[bytes] = []
        self.open_connections = 0
        self.max_open_connections = 0
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self.max_open_connections = max(self.open_connections, self.max_open_connections)
        try:
            line = await reader.readline()
            self.request_lines.append(line)
            await self.script(reader, writer, line)
        except OSError:
            pass
        finally:
            self.open_connections -= 1
            writer.close()


async def echo_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    """Accept the request, and send every line back until the client closes the connection."""
    writer.write(b"UP r1\r\n")
    while received := await reader.readline():
        writer.write(received)


def respond_with(response: bytes) -> EndpointScript:
    """Return a script that sends ``response`` and closes the connection."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(response)
        await writer.drain()

    return script


async def reset_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    """Reset the connection instead of responding."""
    writer.transport.abort()


async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    """Keep the connection open without a response until the client closes it."""
    await reader.read()


class WatchRequest(NamedTuple):
    """Request of a watch: the time of its receipt, on the monotonic clock, and its request line."""

    received_at_s: float
    request_line: bytes


class FakeDiscovery:
    """Discovery that answers each watch with the next of ``responses``, and all further ones with the last.

    After a chunked response the connection stays open until the client closes it, unless the response ends
    with ``#``. After any other response the connection is closed at once.
    """

    def __init__(self, *responses: bytes) -> None:
        self.responses = list(responses)
        self.requests: list[WatchRequest] = []
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(WatchRequest(time.monotonic(), request.split(b"\r\n")[0]))
            response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
            writer.write(response)
            if b"chunked" in response and not response.endswith(b"#"):
                await reader.read()
        finally:  # also if the test ends first, which cancels this
            writer.close()


def encode_watch_response(*objects: JsonObject) -> bytes:
    """Return the response to a watch: one chunk for each object, without the end of the stream."""
    parts = [json.dumps(value).encode() + b"\n" for value in objects]
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body


def make_endpoint_list(endpoints: dict[str, Address], version: int = 1, state: str = "ready") -> JsonObject:
    """Return a full endpoint list with all ``endpoints`` in one ``state``."""
    servers = [
        {"id": name, "addr": f"{host}:{port}", "state": state} for name, (host, port) in endpoints.items()
    ]
    return {"version": version, "full": True, "servers": servers}


@asynccontextmanager
async def running_server(peer: FakeEndpoint | FakeDiscovery) -> AsyncIterator[None]:
    """Serve ``peer`` on a free loopback port, which is set as its ``address``."""
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.address = server.sockets[0].getsockname()[:2]
    try:
        yield
    finally:
        server.close()


def write_config(folder: Path, discovery: Address, known: JsonObject | None = None, **fields: object) -> Path:
    """Write the platform's config file of a relay; ``fields`` are added to the defaults or replace them."""
    file = folder / "config.json"
    content = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "0a",
        "settings": SETTINGS,
        **({"known": known} if known else {}),
        **fields,
    }
    file.write_text(json.dumps(content))
    return file


async def start_endpoints_and_discovery(
    stack: AsyncExitStack, endpoints: Sequence[FakeEndpoint]
) -> tuple[dict[str, Address], FakeDiscovery]:
    """Start ``endpoints``, named a, b, c in their order, and a discovery that lists them as version 2.

    Return the endpoints' addresses by name, and the discovery; ``stack`` stops them all.
    """
    for endpoint in endpoints:
        await stack.enter_async_context(running_server(endpoint))
    addresses = {"abcdef"[index]: endpoint.address for index, endpoint in enumerate(endpoints)}
    discovery = FakeDiscovery(encode_watch_response(make_endpoint_list(addresses, 2)))
    await stack.enter_async_context(running_server(discovery))
    return addresses, discovery


@asynccontextmanager
async def running_relay(
    folder: Path, *scripts: EndpointScript, operator: JsonObject | None = None, **fields: object
) -> AsyncIterator[tuple[Relay, list[FakeEndpoint]]]:
    """Run a relay and one endpoint for each script; its endpoint list names them a, b, c in their order."""
    file = folder / "operator.json"
    file.write_text(json.dumps(operator or {}))
    endpoints = [FakeEndpoint(script) for script in scripts]
    async with AsyncExitStack() as stack:
        addresses, discovery = await start_endpoints_and_discovery(stack, endpoints)
        known = make_endpoint_list(addresses) if addresses else None
        environment = {"GW_CONFIG": str(write_config(folder, discovery.address, known, **fields))}
        relay = Relay(load(environment, str(file)), partial(load, environment, str(file)))
        relay.start()
        stack.push_async_callback(relay.stop)
        yield relay, endpoints
