"""A real relay whose descriptors idle clients fill while discovery is down."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from support.network_fakes import (
    SETTINGS,
    Discovery,
    FakeEndpoint,
    Streams,
    ask,
    chunked,
    first_line,
    listed,
    reply,
    served,
    until_ready,
    up,
    write_config,
)
from support.ports import free_port

DESCRIPTORS = 56
IDLE_CLIENTS = 60
UPDATE_S = 6.0  # by then the relay has received discovery's list
PROGRAM_WITH_LIMIT = (
    "import resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({0}, {0}));"
    "from sageturn.__main__ import main; sys.argv = ['sageturn']; sys.exit(main())"
)


def kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


async def all_received(streams: Streams) -> bytes:
    """All that a client is sent; a reset shows as b"reset"."""
    reader, writer = streams
    try:
        return await asyncio.wait_for(reader.read(), 8)
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


@pytest.mark.parametrize("lists", ["push", "ask"])
@pytest.mark.timeout(60)
async def test_endpoint_list_is_updated_while_idle_clients_hold_the_descriptors(
    tmp_path: Path, lists: str
) -> None:
    # They stood or rested on every descriptor that there was, and the watch got none as discovery returned.
    async with AsyncExitStack() as stack:
        old, new = FakeEndpoint(up), FakeEndpoint(up)
        await stack.enter_async_context(served(old))
        await stack.enter_async_context(served(new))
        down = socket.socket()  # claimed, and refusing: nobody listens yet
        down.bind(("127.0.0.1", 0))
        address = ("127.0.0.1", free_port())
        file = write_config(
            tmp_path,
            down.getsockname(),
            listed({"a": old.address}),
            listen="{}:{}".format(*address),
            limits={"sockets": DESCRIPTORS},
            settings={**SETTINGS, "discovery": lists},
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PROGRAM_WITH_LIMIT.format(DESCRIPTORS),
            env={**os.environ, "GW_CONFIG": str(file)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        stack.callback(kill_if_running, process)
        await until_ready(address)

        standing: list[Streams] = []
        refused = 0
        while refused < 3:
            streams = await ask(address, first_line(3000))
            word = await asyncio.wait_for(streams[0].readline(), 5)
            assert word.startswith((b"UP", b"BUSY")), word
            refused += word.startswith(b"BUSY")
            standing += [streams] if word.startswith(b"UP") else []
        silent = [await ask(address, b"") for _ in range(IDLE_CLIENTS)]
        assert len(os.listdir(f"/proc/{process.pid}/fd")) >= DESCRIPTORS - 4 and len(standing) >= 10

        down.listen()
        discovery = Discovery(
            chunked(
                {
                    **listed({"b": new.address}, 2),
                    "servers": [
                        {"id": "a", "addr": "{}:{}".format(*old.address), "state": "draining"},
                        {"id": "b", "addr": "{}:{}".format(*new.address), "state": "ready"},
                    ],
                }
            )
        )
        endpoint = await asyncio.start_server(discovery.serve, sock=down)
        stack.callback(endpoint.close)
        async with asyncio.timeout(UPDATE_S):
            while not discovery.requests:
                await asyncio.sleep(0.01)
            standing.pop()[1].close()  # leaves room for one, which is to be placed by the news
            while not any(new.lines):
                assert (await reply(address, first_line(3000))).startswith((b"UP", b"BUSY"))
        assert process.returncode is None

        words = [await all_received(each) for each in silent]
        assert all(word.startswith((b"BUSY", b"ERR")) for word in words), words
        process.send_signal(signal.SIGTERM)
        last = await asyncio.gather(*(all_received(each) for each in standing))
        assert set(last) == {b"MOVE\r\n"} and await process.wait() == 0
