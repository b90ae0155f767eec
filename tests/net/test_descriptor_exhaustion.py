"""A relay process whose descriptors are used up by idle clients while discovery is down."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from pathlib import Path

import pytest
from support.network_fakes import (
    SETTINGS,
    FakeDiscovery,
    FakeEndpoint,
    Streams,
    echo_lines,
    encode_request_line,
    encode_watch_response,
    exchange_line,
    make_endpoint_list,
    running_server,
    send_request,
    wait_until_ready,
    write_config,
)
from support.ports import Address, find_free_port

from sageturn.net.json_stream import JsonObject

MAX_DESCRIPTORS = 56
IDLE_CLIENT_COUNT = 60
LIST_UPDATE_TIMEOUT_S = 6.0  # deadline of the relay to receive discovery's list
PROGRAM_WITH_LIMIT = (
    "import resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({0}, {0}));"
    "from sageturn.__main__ import main; sys.argv = ['sageturn']; sys.exit(main())"
)


def kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


async def read_until_disconnected(streams: Streams) -> bytes:
    """Return all bytes that a client receives until it is disconnected, or b"reset" if it is reset."""
    reader, writer = streams
    try:
        return await asyncio.wait_for(reader.read(), 8)
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


@contextmanager
def bound_but_not_listening() -> Iterator[socket.socket]:
    """Yield a socket whose address refuses connections, as discovery's does while it is down."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock


def write_limited_config(
    folder: Path, listen: Address, discovery: Address, known: JsonObject, lists: str
) -> Path:
    return write_config(
        folder,
        discovery,
        known,
        listen="{}:{}".format(*listen),
        limits={"sockets": MAX_DESCRIPTORS},
        settings={**SETTINGS, "discovery": lists},
    )


@asynccontextmanager
async def relay_process(config_file: Path, address: Address) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a relay in a process with ``MAX_DESCRIPTORS`` descriptors at most; yield it once it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM_WITH_LIMIT.format(MAX_DESCRIPTORS),
        env={**os.environ, "GW_CONFIG": str(config_file)},
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await wait_until_ready(address)
        yield process
    finally:
        kill_if_running(process)


async def connect_until_rejected(address: Address) -> list[Streams]:
    """Connect clients until three of them are rejected; return the streams of those that are served."""
    served_clients: list[Streams] = []
    rejected = 0
    while rejected < 3:
        streams = await send_request(address, encode_request_line(3000))
        response = await asyncio.wait_for(streams[0].readline(), 5)
        assert response.startswith((b"UP", b"BUSY")), response
        rejected += response.startswith(b"BUSY")
        served_clients += [streams] if response.startswith(b"UP") else []
    return served_clients


def make_discovery_with_draining_endpoint(draining: Address, ready: Address) -> FakeDiscovery:
    endpoints = [
        {"id": "a", "addr": "{}:{}".format(*draining), "state": "draining"},
        {"id": "b", "addr": "{}:{}".format(*ready), "state": "ready"},
    ]
    return FakeDiscovery(encode_watch_response({**make_endpoint_list({"b": ready}, 2), "servers": endpoints}))


@pytest.mark.parametrize("lists", ["push", "ask"])
@pytest.mark.timeout(60)
async def test_endpoint_list_is_updated_while_idle_clients_hold_the_descriptors(
    tmp_path: Path, lists: str
) -> None:
    # Idle clients used all descriptors, and the watch got none when discovery could be reached again.
    draining_endpoint, ready_endpoint = FakeEndpoint(echo_lines), FakeEndpoint(echo_lines)
    address = ("127.0.0.1", find_free_port())
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(running_server(draining_endpoint))
        await stack.enter_async_context(running_server(ready_endpoint))
        discovery_socket = stack.enter_context(bound_but_not_listening())
        known = make_endpoint_list({"a": draining_endpoint.address})
        file = write_limited_config(tmp_path, address, discovery_socket.getsockname(), known, lists)
        process = await stack.enter_async_context(relay_process(file, address))
        served_clients = await connect_until_rejected(address)
        idle_clients = [await send_request(address, b"") for _ in range(IDLE_CLIENT_COUNT)]
        assert len(os.listdir(f"/proc/{process.pid}/fd")) >= MAX_DESCRIPTORS - 4 and len(served_clients) >= 10

        discovery_socket.listen()
        discovery = make_discovery_with_draining_endpoint(draining_endpoint.address, ready_endpoint.address)
        server = await asyncio.start_server(discovery.serve, sock=discovery_socket)
        stack.callback(server.close)
        async with asyncio.timeout(LIST_UPDATE_TIMEOUT_S):
            while not discovery.requests:
                await asyncio.sleep(0.01)
            served_clients.pop()[1].close()  # frees descriptors for a request that is placed by the new list
            while not any(ready_endpoint.request_lines):
                assert (await exchange_line(address, encode_request_line(3000))).startswith((b"UP", b"BUSY"))
        assert process.returncode is None

        responses = [await read_until_disconnected(streams) for streams in idle_clients]
        assert all(response.startswith((b"BUSY", b"ERR")) for response in responses), responses
        process.send_signal(signal.SIGTERM)
        last_lines = await asyncio.gather(*(read_until_disconnected(streams) for streams in served_clients))
        assert set(last_lines) == {b"MOVE\r\n"} and await process.wait() == 0
