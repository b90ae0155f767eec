"""Scripted discovery, endpoints and clients on loopback, and a relay to put between them."""

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

from support.ports import Address

from sageturn.config.loader import load
from sageturn.net.connecting import ConnectFailure
from sageturn.net.json_stream import JsonObject
from sageturn.relay import Relay

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ConnectResult = socket.socket | ConnectFailure  # of ``connect_unreserved``, for which tests put in stand-ins
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]

SETTINGS: JsonObject = {
    "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 50.0}],
    "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
    "discovery": "ask",
    "groupSize": 1,
    "guarantees": {"fallMs": 3000.0, "fallMultiple": 4.0, "startCapacity": 0.2, "warmWithinMs": 9000.0},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "cancel": True, "connectTimeoutMs": 400.0},
}


IDS = itertools.count(1)  # fresh for each connection


def first_line(wait_ms: int = 2000, more: str = "", key: str = "k1") -> bytes:
    return f"OPEN id{next(IDS)} {key} c=c,t=t,d={wait_ms}{more}\r\n".encode()


async def ask(address: Address, line: bytes) -> Streams:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    return reader, writer


async def reply(address: Address, line: bytes) -> bytes:
    reader, writer = await ask(address, line)
    try:
        return await asyncio.wait_for(reader.readline(), 5)
    finally:
        writer.close()


async def until_ready(address: Address) -> None:
    """Return once the relay at ``address`` accepts connections; fail if it answers a PING otherwise."""
    while True:
        try:
            assert await reply(address, b"PING\r\n") == b"PONG\r\n"
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)


class FakeEndpoint:
    """Keeps the first line of each connection, and acts by its script."""

    def __init__(self, script: Script) -> None:
        self.script, self.lines = script, list[bytes]()
        self.open = self.max_open = 0
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.max_open = max(self.open, self.max_open)
        try:
            line = await reader.readline()
            self.lines.append(line)
            await self.script(reader, writer, line)
        except OSError:
            pass
        finally:
            self.open -= 1
            writer.close()


async def up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    """Accepts the request, and sends every line back until the client ends."""
    writer.write(b"UP r1\r\n")
    while received := await reader.readline():
        writer.write(received)


def responds_with(text: bytes) -> Script:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(text)
        await writer.drain()

    return script


async def resets(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    writer.transport.abort()


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    await reader.read()


class Discovery:
    """Answers each watch by the next of its scripted answers, and the last of them for ever after."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.requests: list[tuple[float, bytes]] = []  # when each came, and its first line
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = await reader.readuntil(b"\r\n\r\n")
        self.requests.append((time.monotonic(), call.split(b"\r\n")[0]))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        writer.write(answer)
        if b"chunked" in answer and not answer.endswith(b"#"):
            await reader.read()
        writer.close()


def chunked(*objects: JsonObject) -> bytes:
    parts = [json.dumps(value).encode() + b"\n" for value in objects]
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body


def listed(endpoints: dict[str, Address], version: int = 1, state: str = "ready") -> JsonObject:
    servers = [
        {"id": name, "addr": f"{host}:{port}", "state": state} for name, (host, port) in endpoints.items()
    ]
    return {"version": version, "full": True, "servers": servers}


@asynccontextmanager
async def served(peer: FakeEndpoint | Discovery) -> AsyncIterator[None]:
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    peer.address = server.sockets[0].getsockname()[:2]
    try:
        yield
    finally:
        server.close()


def write_config(folder: Path, discovery: Address, known: JsonObject | None = None, **more: object) -> Path:
    file = folder / "config.json"
    content = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "0a",
        "settings": SETTINGS,
        **({"known": known} if known else {}),
        **more,
    }
    file.write_text(json.dumps(content))
    return file


async def serve_all(
    stack: AsyncExitStack, endpoints: Sequence[FakeEndpoint]
) -> tuple[dict[str, Address], Discovery]:
    """The endpoints by name, in the order a, b, c, and a discovery that lists them as version 2."""
    for endpoint in endpoints:
        await stack.enter_async_context(served(endpoint))
    names = {"abcdef"[index]: endpoint.address for index, endpoint in enumerate(endpoints)}
    discovery = Discovery(chunked(listed(names, 2)))
    await stack.enter_async_context(served(discovery))
    return names, discovery


@asynccontextmanager
async def relaying(
    folder: Path, *scripts: Script, operator: JsonObject | None = None, **more: object
) -> AsyncIterator[tuple[Relay, list[FakeEndpoint]]]:
    """A relay whose list names one endpoint for each script, in the order a, b, c."""
    file = folder / "operator.json"
    file.write_text(json.dumps(operator or {}))
    endpoints = [FakeEndpoint(script) for script in scripts]
    async with AsyncExitStack() as stack:
        names, discovery = await serve_all(stack, endpoints)
        known = listed(names) if names else None
        env = {"GW_CONFIG": str(write_config(folder, discovery.address, known, **more))}
        relay = Relay(load(env, str(file)), partial(load, env, str(file)))
        relay.start()
        stack.push_async_callback(relay.stop)
        yield relay, endpoints
