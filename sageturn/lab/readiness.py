"""How soon a restarted relay answers its first PING: real processes on loopback, whatever discovery does.

python -m sageturn.lab.readiness --starts 20
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any

from sageturn.lab.loopback_relays import READY_TIMEOUT_S
from sageturn.lab.ports import reserve_port

BOUND_S = 10.0  # nine in ten are to be ready by then
RESTING = 20  # connections that the relay holds as it is told to end, or killed
SLOW_S = 2.5  # discovery fails a call itself after 3 s
PAUSE_S = 0.005
SETTINGS: dict[str, Any] = {
    "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 50.0}],
    "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
    "groupSize": 1,
    "guarantees": {"fallMs": 3000.0, "fallMultiple": 4.0, "startCapacity": 0.2, "warmWithinMs": 9000.0},
    "policyLimits": {"sendCap": 3, "connectTimeoutMs": 400.0},
}
STATES = ("up", "slow", "refusing", "cut off")
SIGNALS = (signal.SIGTERM, signal.SIGKILL)


@dataclass(frozen=True, slots=True)
class Case:
    state: str  # discovery's
    signal: signal.Signals
    lists: str  # pushed, or asked for
    known: bool  # whether the relay is given the list that it last had

    def __str__(self) -> str:
        known = "" if self.known else ", no list known"
        return f"{self.signal.name}, {self.lists}, discovery {self.state}{known}"


def cases() -> list[Case]:
    """Without a list a relay is of use to nobody until discovery has told it one."""
    ways = product(STATES, SIGNALS, ("push", "ask"))
    kept = [Case(state, number, lists, True) for state, number, lists in ways]
    return kept + [Case(state, signal.SIGKILL, "ask", False) for state in ("up", "slow")]


@asynccontextmanager
async def discovery(state: str) -> AsyncIterator[tuple[str, int]]:
    """A service in one of ``STATES``; its list names one host."""
    held, port = reserve_port()
    crowd: list[socket.socket] = []
    server: asyncio.Server | None = None
    body = json.dumps(
        {"version": 2, "full": True, "servers": [{"id": "a", "addr": "127.0.0.1:9", "state": "ready"}]}
    )

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(SLOW_S if state == "slow" else 0.0)
            head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(f"{head}{len(body) + 1:x}\r\n{body}\n\r\n".encode())
            await reader.read()
        writer.close()

    try:
        if state in ("up", "slow"):
            server = await asyncio.start_server(answer, sock=held)
        elif state == "cut off":
            held.listen(0)  # and a full backlog: whatever comes later is not answered at all
            for _ in range(4):
                crowd.append(socket.socket())
                crowd[-1].setblocking(False)
                crowd[-1].connect_ex(("127.0.0.1", port))
        yield ("127.0.0.1", port)
    finally:
        if server is not None:
            server.close()
        for each in (*crowd, held):
            each.close()


def write_config(folder: Path, case: Case, listen: tuple[str, int], source: tuple[str, int]) -> Path:
    servers = [{"id": "a", "addr": "127.0.0.1:9", "state": "ready"}]
    content = {
        "name": "r0",
        "listen": "{}:{}".format(*listen),
        "discovery": "{}:{}".format(*source),
        "seed": "0a",
        "settings": {**SETTINGS, "discovery": case.lists},
        **({"known": {"version": 1, "full": True, "servers": servers}} if case.known else {}),
    }
    file = folder / "config.json"
    file.write_text(json.dumps(content))
    return file


async def first_pong(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Asks again at once, as often as it takes, on new connections: as a front does."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"PING\r\n")
            if await reader.readline() == b"PONG\r\n":
                return reader, writer
            writer.close()
        await asyncio.sleep(PAUSE_S)


async def start(file: Path) -> asyncio.subprocess.Process:
    env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sageturn",
        env={**env, "GW_CONFIG": str(file)},
        stderr=asyncio.subprocess.DEVNULL,
    )


async def measure(case: Case, starts: int, bound_s: float = BOUND_S) -> list[float]:
    """Seconds from each start to the first PONG; ``bound_s`` for one that had not come by then."""
    loop = asyncio.get_running_loop()
    held, port = reserve_port()  # nobody else is given it between two of the relay's lives
    address = ("127.0.0.1", port)
    took: list[float] = []
    with tempfile.TemporaryDirectory(prefix="sageturn-lab-") as folder:
        async with discovery(case.state) as source:
            file = write_config(Path(folder), case, address, source)
            process = await start(file)
            try:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    resting = [await first_pong(address) for _ in range(RESTING)]
                for _ in range(starts):
                    process.send_signal(case.signal)
                    await process.wait()
                    began = loop.time()
                    process = await start(file)
                    with suppress(TimeoutError):
                        async with asyncio.timeout(bound_s):
                            resting.append(await first_pong(address))
                    took.append(min(bound_s, loop.time() - began))
                for _, writer in resting:
                    writer.close()
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()
    held.close()
    return took


def row(case: Case, took: list[float]) -> str:
    took = sorted(took)
    late = sum(t >= BOUND_S for t in took)
    return (
        f"| {case} | {len(took)} | {took[len(took) // 2]:.2f} | {took[(len(took) * 9 - 1) // 10]:.2f} "
        f"| {took[-1]:.2f} | {late} |"
    )


async def run(starts: int) -> None:
    print("| restart | starts | median s | nine in ten s | longest s | not ready in 10 s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for case in cases():
        print(row(case, await measure(case, starts)), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=10, help="restarts of each case")
    asyncio.run(run(parser.parse_args().starts))


if __name__ == "__main__":
    main()
