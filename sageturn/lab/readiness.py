"""Measurement of the time from a relay's restart to its first PONG, with real processes on loopback.

The cases cover discovery that is up, slow, refusing connections or cut off.

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
from enum import StrEnum
from functools import partial
from itertools import product
from pathlib import Path

from sageturn.decision import DiscoveryMode
from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.loopback.relay_processes import READY_TIMEOUT_S
from sageturn.net.json_stream import JsonObject

BOUND_S = 10.0  # time in which nine of ten restarted relays have to be ready
OPEN_CONNECTIONS = 20  # number of the relay's open connections when it is stopped
SLOW_ANSWER_S = 2.5  # delay of an answer by discovery in the state SLOW
RETRY_INTERVAL_S = 0.005
BACKLOG_CONNECTIONS = 4  # enough connections to fill a backlog of 0
UNUSED_ADDRESS = "127.0.0.1:9"
ENTRIES = [{"id": "a", "addr": UNUSED_ADDRESS, "state": "ready"}]
SETTINGS: JsonObject = {
    "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 50.0}],
    "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "safe"}],
    "groupSize": 1,
    "guarantees": {"fallMs": 3000.0, "fallMultiple": 4.0, "startCapacity": 0.2, "warmWithinMs": 9000.0},
    "policyLimits": {"sendCap": 3, "connectTimeoutMs": 400.0},
}


class DiscoveryState(StrEnum):
    """State of discovery while a relay starts."""

    UP = "up"
    SLOW = "slow"
    REFUSING = "refusing"
    CUT_OFF = "cut off"


ANSWERING_STATES = (DiscoveryState.UP, DiscoveryState.SLOW)
SIGNALS = (signal.SIGTERM, signal.SIGKILL)


@dataclass(frozen=True, slots=True)
class Case:
    """Conditions of a relay's restart.

    ``known`` is True if the relay's configuration includes the last endpoint list.
    """

    state: DiscoveryState
    signal: signal.Signals
    lists: DiscoveryMode
    known: bool

    def __str__(self) -> str:
        known = "" if self.known else ", no list known"
        return f"{self.signal.name}, {self.lists}, discovery {self.state}{known}"


def list_cases() -> list[Case]:
    """Return all cases; a relay without a list needs an answer from discovery before it can be ready."""
    combinations = product(DiscoveryState, SIGNALS, DiscoveryMode)
    with_list = [Case(state, stop_signal, lists, known=True) for state, stop_signal, lists in combinations]
    without_list = [Case(state, signal.SIGKILL, DiscoveryMode.ASK, known=False) for state in ANSWERING_STATES]
    return with_list + without_list


@asynccontextmanager
async def running_discovery(state: DiscoveryState) -> AsyncIterator[tuple[str, int]]:
    """Run a discovery service in a state, whose list has one endpoint, and yield its address."""
    reserved, port = reserve_port()
    backlog_connections: list[socket.socket] = []
    server: asyncio.Server | None = None
    try:
        if state in ANSWERING_STATES:
            server = await asyncio.start_server(partial(_answer, state), sock=reserved)
        elif state is DiscoveryState.CUT_OFF:
            reserved.listen(0)
            backlog_connections += _fill_backlog(port)
        yield ("127.0.0.1", port)
    finally:
        if server is not None:
            server.close()
        for open_socket in (*backlog_connections, reserved):
            open_socket.close()


async def _answer(state: DiscoveryState, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    body = json.dumps({"version": 2, "full": True, "servers": ENTRIES})
    with suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(SLOW_ANSWER_S if state is DiscoveryState.SLOW else 0.0)
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(f"{head}{len(body) + 1:x}\r\n{body}\n\r\n".encode())
        await reader.read()
    writer.close()


def _fill_backlog(port: int) -> list[socket.socket]:
    """Open and return connections that nobody accepts, after which the kernel ignores any further one."""
    connections = []
    for _ in range(BACKLOG_CONNECTIONS):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(("127.0.0.1", port))
        connections.append(connection)
    return connections


def write_config(
    folder: Path, case: Case, listen: tuple[str, int], discovery_address: tuple[str, int]
) -> Path:
    """Write the relay's configuration file, and return its path."""
    config: JsonObject = {
        "name": "r0",
        "listen": "{}:{}".format(*listen),
        "discovery": "{}:{}".format(*discovery_address),
        "seed": "0a",
        "settings": {**SETTINGS, "discovery": case.lists},
    }
    if case.known:
        config["known"] = {"version": 1, "full": True, "servers": ENTRIES}
    file = folder / "config.json"
    file.write_text(json.dumps(config))
    return file


async def first_pong(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send PING on new connections, as the platform does, and return the first one that answers."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"PING\r\n")
            if await reader.readline() == b"PONG\r\n":
                return reader, writer
            writer.close()
        await asyncio.sleep(RETRY_INTERVAL_S)


async def start_relay(file: Path) -> asyncio.subprocess.Process:
    """Start a relay with a configuration file."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sageturn",
        env={**environment, "GW_CONFIG": str(file)},
        stderr=asyncio.subprocess.DEVNULL,
    )


async def measure(case: Case, starts: int, bound_s: float = BOUND_S) -> list[float]:
    """Return the seconds from each restart to the first PONG; ``bound_s`` if none arrived by then."""
    reserved, port = reserve_port()
    address = ("127.0.0.1", port)
    with tempfile.TemporaryDirectory(prefix="sageturn-lab-") as folder:
        async with running_discovery(case.state) as discovery_address:
            file = write_config(Path(folder), case, address, discovery_address)
            durations_s = await _measure_restarts(case, file, address, starts, bound_s)
    reserved.close()
    return durations_s


async def _measure_restarts(
    case: Case, file: Path, address: tuple[str, int], starts: int, bound_s: float
) -> list[float]:
    loop = asyncio.get_running_loop()
    durations_s: list[float] = []
    process = await start_relay(file)
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            connections = [await first_pong(address) for _ in range(OPEN_CONNECTIONS)]
        for _ in range(starts):
            process.send_signal(case.signal)
            await process.wait()
            started_s = loop.time()
            process = await start_relay(file)
            with suppress(TimeoutError):
                async with asyncio.timeout(bound_s):
                    connections.append(await first_pong(address))
            durations_s.append(min(bound_s, loop.time() - started_s))
        for _, writer in connections:
            writer.close()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    return durations_s


def format_row(case: Case, durations_s: list[float]) -> str:
    """Return the row of a case in the Markdown table."""
    ordered = sorted(durations_s)
    median = ordered[len(ordered) // 2]
    ninth_decile = ordered[(len(ordered) * 9 - 1) // 10]
    unready = sum(duration_s >= BOUND_S for duration_s in ordered)
    return f"| {case} | {len(ordered)} | {median:.2f} | {ninth_decile:.2f} | {ordered[-1]:.2f} | {unready} |"


async def print_table(starts: int) -> None:
    """Measure all cases, and print a Markdown table."""
    print("| restart | starts | median s | nine in ten s | longest s | not ready in 10 s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for case in list_cases():
        print(format_row(case, await measure(case, starts)), flush=True)


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=10, help="restarts of each case")
    asyncio.run(print_table(parser.parse_args().starts))


if __name__ == "__main__":
    main()
