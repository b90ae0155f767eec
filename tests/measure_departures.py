"""How long after a client's departure the last attempt for it begins: a real relay on a core that is held.

    PYTHONPATH=. python tests/measure_departures.py --rounds 10

The relay shares one core with a program that never waits. Hundreds of clients ask at once; every host refuses
after 5 to 50 ms, so that further attempts are due, until all clients leave within a few milliseconds. What is
told is the longest time from a client's departure to the first byte of an attempt of its own, and from the
last departure to the last connection that any host was given (0: none came after it).
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from net_peers import SETTINGS, Discovery, ask, chunked, first_line, listed, served, write_config
from test_descriptors import ready
from test_program import Address, free_port
from test_xmpp import client_tls, write_operator
from xmpp_peers import Client, Server

CONDITION = "<resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"
SETTLE_S = 1.5  # after a departure, for whatever may still come


class Host:
    """Notes when each connection and each attempt came, and refuses a little later."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self.accepted: list[float] = []
        self.began: list[tuple[bytes, float]] = []  # who, and when

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.append(time.monotonic())
        try:
            said = await reader.read(4096)
            if said.startswith(b"OPEN"):
                self.began.append((said.split()[1], time.monotonic()))
                await asyncio.sleep(random.uniform(0.005, 0.05))
                writer.write(b"BUSY\r\n")
            elif said:
                server = Server(reader, writer)
                server.seen = said.decode()
                resource = await server.accept()
                self.began.append((resource.split("/")[1].encode(), time.monotonic()))
                await asyncio.sleep(random.uniform(0.005, 0.05))
                server.say(f"<stream:error>{CONDITION}</stream:error>")
            await writer.drain()
        except (OSError, AssertionError, TimeoutError):
            pass
        finally:
            writer.close()


Leave = Callable[[], float]
Come = Callable[[int], Awaitable[tuple[bytes, Leave]]]


def on_lines(address: tuple[str, int]) -> Come:
    async def come(number: int) -> tuple[bytes, Leave]:
        line = first_line(3000)
        _, writer = await ask(address, line)

        def leave() -> float:
            left = time.monotonic()
            writer.transport.abort()
            return left

        return line.split()[1], leave

    return come


def on_streams(address: tuple[str, int], waiting: list[Client]) -> Come:
    async def come(number: int) -> tuple[bytes, Leave]:
        client, name = waiting.pop(), f"r{number}"
        client.wish(name)

        def leave() -> float:
            left = time.monotonic()
            if number % 2:
                client.say("</stream:stream>")  # the connection stays open
            else:
                client.writer.transport.abort()
            return left

        return name.encode(), leave

    return come


async def logged_in(address: Address) -> Client:
    client = await Client.connect(address)
    await client.login(client_tls())
    return client


async def one_round(hosts: list[Host], come: Come, clients: int, first: int) -> tuple[float, float, int]:
    for host in hosts:
        host.accepted.clear()
        host.began.clear()
    # All are there, and none has had all of its attempts, as the first of them leaves.
    came = await asyncio.gather(*(come(first + k) for k in range(clients)))
    await asyncio.sleep(random.uniform(0.0, 0.8))
    left = {name: leave() for name, leave in came}
    await asyncio.sleep(SETTLE_S)
    began = [(name, at) for host in hosts for name, at in host.began]
    after = max((at - left[name] for name, at in began if name in left), default=0.0)
    connected = max((at for host in hosts for at in host.accepted), default=0.0) - max(left.values())
    return max(0.0, after), max(0.0, connected), len(began)


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
            folder, discovery.address, listed(names), listen="{}:{}".format(*lines), settings=settings,
            limits={"sockets": 8192, "memory_mb": 1024},
        )  # fmt: skip
        operator = write_operator(folder, False, listen="{}:{}".format(*streams), negotiate_s=60.0)
        more = ("--operator", str(operator))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sageturn", *(more if front == "xmpp" else ()),
            env={**os.environ, "GW_CONFIG": str(file), "SAGETURN_LOG": "ERROR"},
        )  # fmt: skip
        other = subprocess.Popen([sys.executable, "-c", "while True: pass"])
        for each in (process, other):
            stack.callback(each.kill)
            os.sched_setaffinity(each.pid, {max(os.sched_getaffinity(0))})
        await ready(lines)
        waiting: list[Client] = []
        come = on_lines(lines) if front == "lines" else on_streams(streams, waiting)
        results = []
        for number in range(rounds):
            if front == "xmpp":
                while len(waiting) < clients:  # few at a time: their passwords cost the core much
                    waiting += await asyncio.gather(*(logged_in(streams) for _ in range(6)))
            results.append(await one_round(hosts, come, clients, number * clients))
    after, connected, attempts = zip(*results, strict=True)
    longest = f"{1000 * max(after):.1f} | {1000 * max(connected):.1f}"
    print(f"| {front} | {rounds} x {clients} | {sum(attempts)} | {longest} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    rounds = parser.parse_args().rounds
    print("| front | clients | attempts | longest after its client's departure, ms | last connection, ms |")
    print("| --- | --- | --- | --- | --- |")
    for front, clients in (("lines", 300), ("xmpp", 60)):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(play(front, clients, rounds, Path(folder)))


if __name__ == "__main__":
    main()
