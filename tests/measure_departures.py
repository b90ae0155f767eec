"""How long after a client's departure the last attempt for it begins: a real relay on a core that is held.

    PYTHONPATH=. python tests/measure_departures.py --rounds 10

The relay shares one core with a program that never waits. Hundreds of clients ask at once; every host refuses
after 5 to 50 ms, so that further attempts are due, until all clients leave within a few milliseconds. What is
told is the longest time from a client's departure to the last byte of an attempt of its own, by the kernel's
note of it; that from the last departure to the last connection that the relay began, as it notes it itself
(0: none was begun after it); and how late this program's own loop was.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any, cast

from net_peers import SETTINGS, Discovery, ask, chunked, first_line, listed, served, write_config
from test_descriptors import ready
from test_program import Address, free_port
from test_xmpp import client_tls, write_operator
from xmpp_peers import Client, Server

CONDITION = "<resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"
SO_TIMESTAMPNS = 35  # also the kind of its note
SETTLE_S = 1.5  # after a departure, for whatever may still come


# The program itself, which notes when it is about to begin a connection for a client.
NOTING = """
import os, struct, sys, time
from sageturn.__main__ import main
from sageturn.fronts import platform
from sageturn.fronts.xmpp import front
file = os.open(sys.argv.pop(1), os.O_WRONLY | os.O_APPEND | os.O_CREAT)
def noting(connect):
    async def noted(address, timeout_s):
        os.write(file, struct.pack("d", time.time()))
        return await connect(address, timeout_s)
    return noted
for each in (platform, front):
    each.connect = noting(each.connect)
sys.exit(main())
"""


class Stamped:
    """One end of a connection. The kernel notes when each byte came, however late this program reads it."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self.reader = sock, asyncio.StreamReader()
        self.came_s = 0.0
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        asyncio.get_running_loop().add_reader(sock, self._read)

    def _read(self) -> None:
        try:
            data, notes, _, _ = self._sock.recvmsg(4096, 64)
        except OSError:
            data, notes = b"", []
        for _, kind, value in notes:
            if kind == SO_TIMESTAMPNS:
                seconds, nanoseconds = struct.unpack("qq", value)
                self.came_s = seconds + nanoseconds / 1e9
        if data:
            self.reader.feed_data(data)
        else:
            self.reader.feed_eof()
            asyncio.get_running_loop().remove_reader(self._sock)

    def write(self, data: bytes) -> None:
        self._sock.send(data)

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()


class Host:
    """Notes when each attempt came, and refuses a little later."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self.began: list[tuple[bytes, float]] = []  # who, and when
        self._tasks: set[asyncio.Future[None]] = set()

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0), backlog=1024) as door:
            self.address = door.getsockname()
            door.setblocking(False)

            def accept() -> None:
                task = asyncio.ensure_future(self._serve(Stamped(door.accept()[0])))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

            loop.add_reader(door, accept)
            yield
            loop.remove_reader(door)

    async def _serve(self, wire: Stamped) -> None:
        try:
            said = await wire.reader.read(4096)
            if said.startswith(b"OPEN"):
                self.began.append((said.split()[1], wire.came_s))
                await asyncio.sleep(random.uniform(0.005, 0.05))
                wire.write(b"BUSY\r\n")
            elif said:
                server = Server(wire.reader, cast(asyncio.StreamWriter, wire))
                server.seen = said.decode()
                resource = await server.accept()
                self.began.append((resource.split("/")[1].encode(), wire.came_s))
                await asyncio.sleep(random.uniform(0.005, 0.05))
                server.say(f"<stream:error>{CONDITION}</stream:error>")
        except (OSError, AssertionError, TimeoutError):
            pass
        finally:
            wire.close()


Leave = Callable[[], float]
Come = Callable[[int], Awaitable[tuple[bytes, Leave]]]


def cut(writer: asyncio.StreamWriter) -> None:
    """On the spot: an abort alone would wait for the loop. One that has been answered is over already."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
    writer.transport.abort()


def on_lines(address: tuple[str, int]) -> Come:
    async def come(number: int) -> tuple[bytes, Leave]:
        line = first_line(3000)
        _, writer = await ask(address, line)

        def leave() -> float:
            left = time.time()
            cut(writer)
            return left

        return line.split()[1], leave

    return come


def on_streams(address: tuple[str, int], waiting: list[Client]) -> Come:
    async def come(number: int) -> tuple[bytes, Leave]:
        client, name = waiting.pop(), f"r{number}"
        client.wish(name)

        def leave() -> float:
            left = time.time()
            if number % 2:
                client.say("</stream:stream>")  # the connection stays open
            else:
                cut(client.writer)
            return left

        return name.encode(), leave

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
    hosts: list[Host], come: Come, clients: int, first: int, begun: Path
) -> tuple[float, float, float, int]:
    for host in hosts:
        host.began.clear()
    # All are there, and none has had all of its attempts, as the first of them leaves.
    came = await asyncio.gather(*(come(first + k) for k in range(clients)))
    await asyncio.sleep(random.uniform(0.0, 0.8))
    left = {name: leave() for name, leave in came}
    lag = await own_lag(SETTLE_S)
    began = [(name, at) for host in hosts for name, at in host.began]
    after = max((at - left[name] for name, at in began if name in left), default=0.0)
    times = begun.read_bytes()
    connected = max((at for (at,) in struct.iter_unpack("d", times)), default=0.0) - max(left.values())
    return max(0.0, after), max(0.0, connected), lag, len(began)


async def play(front: str, clients: int, rounds: int, folder: Path) -> None:
    tenants = [{"name": "t", "fraction": 1.0, "allowancePerS": 20000.0}]
    settings: dict[str, Any] = {**SETTINGS, "accounts": tenants}
    async with AsyncExitStack() as stack:
        hosts = [Host() for _ in range(4)]
        for host in hosts:
            await stack.enter_async_context(host.open())
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
        begun = folder / "begun"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", NOTING, str(begun), *(more if front == "xmpp" else ()),
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
            results.append(await one_round(hosts, come, clients, number * clients, begun))
    *times, attempts = zip(*results, strict=True)
    longest = " | ".join(f"{1000 * max(each):.1f}" for each in times)
    print(f"| {front} | {rounds} x {clients} | {sum(attempts)} | {longest} |", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    rounds = parser.parse_args().rounds
    print("| front | clients | attempts | last byte, ms | last connection, ms | own lag, ms |")
    print("| --- | --- | --- | --- | --- | --- |")
    for front, clients in (("lines", 300), ("xmpp", 60)):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(play(front, clients, rounds, Path(folder)))


if __name__ == "__main__":
    main()
