"""How long after a client's departure the last attempt for it begins: a real relay on a core that is held.

    PYTHONPATH=.:tests python experiments/measure_client_disconnects.py --rounds 10

The relay shares one core with a program that never waits. Hundreds of clients ask at once; every host refuses
after 5 to 50 ms, so that further attempts are due, until all clients leave within a few milliseconds. What is
told is, by notes that the relay itself takes: the longest time from a client's departure to an attempt of its
own, from the beginning and from the end of the system call by which it left, as this program may be held up
between the two; the time from the last departure to the last connection that was begun (0: none came after);
and how late this program's own loop was.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

from support.network_fakes import (
    SETTINGS,
    Discovery,
    ask,
    chunked,
    first_line,
    listed,
    served,
    until_ready,
    write_config,
)
from support.ports import Address, free_port
from support.xmpp_fakes import Client, Server
from support.xmpp_relay import client_tls, write_operator

CONDITION = "<resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"
CLIENTS = {"lines": 300, "xmpp": 60}
SETTLE_S = 1.5  # after a departure, for whatever may still come


# The program itself, which notes when it is about to begin a connection, and to write a request.
NOTING = """
import os, sys, time
from sageturn.__main__ import main
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.frontends.platform import connection as platform_connection
from sageturn.frontends.xmpp import connection as xmpp_connection
file = os.open(sys.argv.pop(1), os.O_WRONLY | os.O_APPEND | os.O_CREAT)
asked = RequestLifecycle.check_before_write
def noting(connect):
    async def noted(address, timeout_s):
        os.write(file, f"- {time.time()}\\n".encode())
        return await connect(address, timeout_s)
    return noted
def noted_asked(life, wanted=None):
    if (ending := asked(life, wanted)) is None:
        ask = life.record.request
        os.write(file, f"{ask.client_request_id or ask.client.split('/')[1]} {time.time()}\\n".encode())
    return ending
for each in (platform_connection, xmpp_connection):
    each.connect_unreserved = noting(each.connect_unreserved)
RequestLifecycle.check_before_write = noted_asked
sys.exit(main())
"""


class Host:
    """Refuses whatever it is asked, a little later."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            said = await reader.read(4096)
            if said.startswith(b"OPEN"):
                await asyncio.sleep(random.uniform(0.005, 0.05))
                writer.write(b"BUSY\r\n")
            elif said:
                server = Server(reader, writer)
                server.unread = said.decode()
                await server.accept()
                await asyncio.sleep(random.uniform(0.005, 0.05))
                server.send(f"<stream:error>{CONDITION}</stream:error>")
            await writer.drain()
        except (OSError, AssertionError, TimeoutError):
            pass
        finally:
            writer.close()


Leave = Callable[[], tuple[float, float]]  # when it was begun, and done
Come = Callable[[int], Awaitable[tuple[str, Leave]]]


def cut(writer: asyncio.StreamWriter) -> None:
    """On the spot: an abort alone would wait for the loop. One that has been answered is over already."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
    writer.transport.abort()


def on_lines(address: tuple[str, int]) -> Come:
    async def come(number: int) -> tuple[str, Leave]:
        line = first_line(3000)
        _, writer = await ask(address, line)

        def leave() -> float:
            left = time.time()
            cut(writer)
            return left, time.time()

        return line.split()[1].decode(), leave

    return come


def on_streams(address: tuple[str, int], waiting: list[Client]) -> Come:
    async def come(number: int) -> tuple[str, Leave]:
        client, name = waiting.pop(), f"r{number}"
        client.send_bind(name)

        def leave() -> float:
            left = time.time()
            if number % 2:
                client.send("</stream:stream>")  # the connection stays open
            else:
                cut(client.writer)
            return left, time.time()

        return name, leave

    return come


async def logged_in(address: Address) -> Client:
    client = await Client.connect(address)
    await client.login(client_tls())
    return client


async def own_lag(seconds: float) -> float:
    """How late this program's own loop was at most: an attempt is noted up to so much after it came."""
    longest, until = 0.0, time.monotonic() + seconds
    while (now := time.monotonic()) < until:
        await asyncio.sleep(0.001)
        longest = max(longest, time.monotonic() - now - 0.001)
    return longest


async def one_round(
    come: Come, clients: int, first: int, begun: Path
) -> tuple[float, float, float, float, int]:
    os.truncate(begun, 0)
    # All are there, and none has had all of its attempts, as the first of them leaves.
    came = await asyncio.gather(*(come(first + k) for k in range(clients)))
    await asyncio.sleep(random.uniform(0.0, 0.8))
    left = {name: leave() for name, leave in came}
    lag = await own_lag(SETTLE_S)
    noted = [(name, float(at)) for name, at in (line.split() for line in begun.read_text().splitlines())]
    own = [(at - left[name][0], at - left[name][1]) for name, at in noted if name in left]
    after = [max((each[k] for each in own), default=0.0) for k in (0, 1)]
    connected = max((at for name, at in noted if name == "-"), default=0.0)
    connected -= max(done for _, done in left.values())
    return max(0.0, after[0]), max(0.0, after[1]), max(0.0, connected), lag, len(own)


async def play(front: str, clients: int, rounds: int, folder: Path) -> None:
    tenants = [{"name": "t", "fraction": 1.0, "allowancePerS": 20000.0}]
    settings: dict[str, Any] = {**SETTINGS, "accounts": tenants}
    async with AsyncExitStack() as stack:
        hosts = [Host() for _ in range(4)]
        for host in hosts:
            await stack.enter_async_context(served(host))  # type: ignore[arg-type]
        names = {f"h{k}": host.address for k, host in enumerate(hosts)}
        discovery = Discovery(chunked(listed(names, 2)))
        await stack.enter_async_context(served(discovery))
        lines, streams = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
        file = write_config(
            folder,
            discovery.address,
            listed(names),
            listen="{}:{}".format(*lines),
            settings=settings,
            limits={"sockets": 8192, "memory_mb": 1024},
        )
        operator = write_operator(folder, False, listen="{}:{}".format(*streams), negotiate_s=60.0)
        more = ("--operator", str(operator))
        begun = folder / "begun"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            NOTING,
            str(begun),
            *(more if front == "xmpp" else ()),
            env={**os.environ, "GW_CONFIG": str(file), "SAGETURN_LOG": "ERROR"},
        )
        other = subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for each in (process, other):
            stack.callback(each.kill)
            os.sched_setaffinity(each.pid, {max(os.sched_getaffinity(0))})
        await until_ready(lines)
        waiting: list[Client] = []
        come = on_lines(lines) if front == "lines" else on_streams(streams, waiting)
        results = []
        for number in range(rounds):
            if front == "xmpp":
                while len(waiting) < clients:  # few at a time: their passwords cost the core much
                    waiting += await asyncio.gather(*(logged_in(streams) for _ in range(6)))
            results.append(await one_round(come, clients, number * clients, begun))
    *times, attempts = zip(*results, strict=True)
    longest = " | ".join(f"{1000 * max(each):.1f}" for each in times)
    print(f"| {front} | {rounds} x {clients} | {sum(attempts)} | {longest} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--fronts", nargs="*", default=["lines", "xmpp"])
    options = parser.parse_args()
    print("| front | clients | attempts | attempt, ms | the same, ms | last connection, ms | own lag, ms |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for front in options.fronts:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(play(front, CLIENTS[front], options.rounds, Path(folder)))


if __name__ == "__main__":
    main()
