"""Clients whose connections were open before the relay started, in a real process, at faulty endpoints."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
from support.network_fakes import (
    SETTINGS,
    FakeDiscovery,
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    encode_watch_response,
    make_endpoint_list,
    never_respond,
    respond_with,
    running_server,
    send_request,
    write_config,
)
from support.ports import Address, find_free_port
from support.relay_process import running_relay_process

from sageturn.net.json_stream import JsonObject

ADOPTION_LIMIT_S = 40.0  # the protocol counts a connection that is not up by then as lost
UNLIMITED_WAIT_MS = 999999999  # the wait that such a client states, far beyond the limit
CLIENTS = 8
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0 s

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]


def request_id(line: bytes) -> str:
    return line.split()[1].decode()


async def answer_without_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes) -> None:
    """Begin an answer, and keep the connection open without completing it."""
    writer.write(b"UP r")
    await reader.read()


async def reset_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes) -> None:
    """Reset the connection, where an abort of the transport alone would send a FIN."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class FaultyEndpoint(FakeEndpoint):
    """Endpoint that serves the first attempt of each request by a faulty script, and later ones well."""

    def __init__(self, faulty_script: Script) -> None:
        super().__init__(self._run)
        self._faulty_script = faulty_script
        self.attempts: Counter[str] = Counter()  # attempts that arrived, by request
        self.open_attempts: Counter[str] = Counter()
        self.max_open_attempts = 0

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        request = request_id(line)
        self.attempts[request] += 1
        self.open_attempts[request] += 1
        self.max_open_attempts = max(self.max_open_attempts, self.open_attempts[request])
        try:
            script = self._faulty_script if self.attempts[request] == 1 else echo_lines
            await script(reader, writer, line)
        finally:
            self.open_attempts[request] -= 1


def settings_with(effect: str) -> JsonObject:
    (request_class,) = SETTINGS["classes"]
    return {**SETTINGS, "classes": [{**request_class, "semantics": effect, "keyTtlMs": 60000.0}]}


@asynccontextmanager
async def running_relay(
    folder: Path, known: JsonObject, discovery: FakeDiscovery, effect: str = "safe"
) -> AsyncIterator[Address]:
    """Run a relay process that knows the endpoints in ``known``; yield its address."""
    address = ("127.0.0.1", find_free_port())
    async with running_server(discovery):
        file = write_config(
            folder,
            discovery.address,
            known,
            listen=f"{address[0]}:{address[1]}",
            settings=settings_with(effect),
        )
        async with running_relay_process(file, address):
            yield address


@asynccontextmanager
async def running_relay_at(
    endpoint: FakeEndpoint, folder: Path, effect: str = "safe"
) -> AsyncIterator[Address]:
    """Run ``endpoint`` and a relay process that knows it as a; yield the relay's address."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(running_server(endpoint))
        known = make_endpoint_list({"a": endpoint.address})
        discovery = FakeDiscovery(encode_watch_response(make_endpoint_list({"a": endpoint.address}, 2)))
        yield await stack.enter_async_context(running_relay(folder, known, discovery, effect))


async def adopt(address: Address, endpoint: str = "a") -> bytes:
    """Return the answer to a client of ``endpoint``; empty if none came within the protocol's limit."""
    line = encode_request_line(UNLIMITED_WAIT_MS, f",at={endpoint}")
    reader, writer = await send_request(address, line)
    try:
        async with asyncio.timeout(ADOPTION_LIMIT_S):
            answer = await reader.readline()
            if answer.startswith(b"UP "):
                writer.write(b"M 1\r\n")
                assert await reader.readline() == b"M 1\r\n"
            return answer
    except TimeoutError:
        return b""
    finally:
        writer.close()


async def adopt_all(address: Address) -> Counter[bytes]:
    """Return the answers to ``CLIENTS`` clients that arrive together, with their numbers."""
    return Counter(await asyncio.gather(*(adopt(address) for _ in range(CLIENTS))))


FAULTY_SCRIPTS = {
    "never_answers": never_respond,
    "answer_without_end": answer_without_end,
    "resets": reset_connection,
    "ends": respond_with(b""),
    "cut_answer": respond_with(b"UP r"),
    "error": respond_with(b"ERR\r\n"),
    "busy": respond_with(b"BUSY\r\n"),
}


@pytest.mark.parametrize("fault", FAULTY_SCRIPTS)
@pytest.mark.timeout(60)
async def test_a_failed_first_attempt_does_not_lose_an_adopted_connection(tmp_path: Path, fault: str) -> None:
    endpoint = FaultyEndpoint(FAULTY_SCRIPTS[fault])
    async with running_relay_at(endpoint, tmp_path) as address:
        assert await adopt_all(address) == {b"UP r1\r\n": CLIENTS}
    assert max(endpoint.attempts.values()) <= SETTINGS["policyLimits"]["sendCap"]
    assert endpoint.max_open_attempts == 1


@pytest.mark.parametrize("refused_s", [0.3, 3.0])
@pytest.mark.timeout(60)
async def test_an_endpoint_that_refuses_for_a_while_does_not_lose_its_adopted_connections(
    tmp_path: Path, refused_s: float
) -> None:
    endpoint = FakeEndpoint(echo_lines)
    endpoint.address = ("127.0.0.1", find_free_port())
    known = make_endpoint_list({"a": endpoint.address})
    discovery = FakeDiscovery(encode_watch_response(make_endpoint_list({"a": endpoint.address}, 2)))
    async with running_relay(tmp_path, known, discovery) as address:
        answers = asyncio.ensure_future(adopt_all(address))
        await asyncio.sleep(refused_s)
        async with await asyncio.start_server(endpoint.serve, *endpoint.address):
            assert await answers == {b"UP r1\r\n": CLIENTS}


class LateDiscovery(FakeDiscovery):
    """Discovery that sends ``change`` on each watch once ``is_known`` is set."""

    def __init__(self, response: bytes, change: JsonObject) -> None:
        super().__init__(response)
        self._change = change
        self.is_known = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.responses[0])
        await self.is_known.wait()
        writer.write(encode_watch_response(self._change).partition(b"\r\n\r\n")[2])
        await reader.read()
        writer.close()


@pytest.mark.timeout(60)
async def test_an_endpoint_that_is_listed_late_does_not_lose_its_adopted_connections(tmp_path: Path) -> None:
    endpoint, other = FakeEndpoint(echo_lines), FakeEndpoint(echo_lines)
    async with running_server(endpoint), running_server(other):
        known = make_endpoint_list({"b": other.address})
        change = {**make_endpoint_list({"a": endpoint.address}, 3), "full": False}
        discovery = LateDiscovery(encode_watch_response(known), change)
        async with running_relay(tmp_path, known, discovery) as address:
            answers = asyncio.ensure_future(adopt_all(address))
            await asyncio.sleep(1.0)
            discovery.is_known.set()
            assert await answers == {b"UP r1\r\n": CLIENTS}
    assert not other.request_lines


@pytest.mark.parametrize("fault", ["resets", "ends", "error"])
@pytest.mark.timeout(60)
async def test_an_unsafe_request_that_may_have_run_is_not_repeated_to_adopt_its_connection(
    tmp_path: Path, fault: str
) -> None:
    endpoint = FaultyEndpoint(FAULTY_SCRIPTS[fault])
    async with running_relay_at(endpoint, tmp_path, effect="unsafe") as address:
        assert await adopt_all(address) == {b"ERR lost\r\n": CLIENTS}
    assert set(endpoint.attempts.values()) == {1}
