"""Measures how long after a client's departure the last attempt for it begins, on a busy core.

    PYTHONPATH=.:tests python experiments/measure_client_disconnects.py --rounds 10

The relay shares one core with a program that never waits. Hundreds of clients ask at once; every host
rejects after 5 to 50 ms, so that further attempts are due, until all clients leave within a few
milliseconds. The relay itself records its attempts. The table has the longest time from a client's
departure to an attempt of its own, from the beginning and from the end of the system call by which it left,
as this program may wait for its core between the two; the time from the last departure to the last
connection that was begun (0: none came after); and how late this program's own loop was.
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
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from support.network_fakes import (
    SETTINGS,
    FakeDiscovery,
    encode_request_line,
    encode_watch_response,
    make_endpoint_list,
    running_server,
    send_request,
    wait_until_ready,
    write_config,
)
from support.ports import Address, find_free_port
from support.xmpp_fakes import XmppClient, XmppServerSession
from support.xmpp_relay import make_client_tls_context, write_operator_file


class Frontend(StrEnum):
    """A frontend of the relay, by its name in the command's options and table."""

    LINES = "lines"
    XMPP = "xmpp"


CONDITION = "<resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>"
CLIENT_COUNTS = {Frontend.LINES: 300, Frontend.XMPP: 60}
HOST_COUNT = 4
MAX_CONCURRENT_LOGINS = 6  # as the check of a password takes much processor time
CLIENT_TIMEOUT_MS = 3000
SETTLE_S = 1.5  # after the last departure, for late attempts
MAX_DEPARTURE_DELAY_S = 0.8
LOOP_CHECK_INTERVAL_S = 0.001
CONNECT_MARK = "-"  # in place of a request's name, where the relay begins a connection
REJECTION_DELAY_RANGE_S = (0.005, 0.05)
ALLOWANCE_PER_S = 20000.0


# The relay, which records when it is about to begin a connection, and to write a request.
RECORDING_RELAY = """
import os, sys, time
from sageturn.__main__ import main
from sageturn.core.pre_write_checks import PreWriteChecks
from sageturn.frontends import frontend_connection
file = os.open(sys.argv.pop(1), os.O_WRONLY | os.O_APPEND | os.O_CREAT)
check_before_write = PreWriteChecks.check_before_write
connect_unreserved = frontend_connection.connect_unreserved
async def recorded_connect(address, timeout_s):
    os.write(file, f"- {time.time()}\\n".encode())
    return await connect_unreserved(address, timeout_s)
def recorded_check(checks, is_endpoint_usable=None):
    if (close_reason := check_before_write(checks, is_endpoint_usable)) is None:
        request = checks._context.record.request
        name = request.client_request_id or request.client.split('/')[1]
        os.write(file, f"{name} {time.time()}\\n".encode())
    return close_reason
frontend_connection.connect_unreserved = recorded_connect
PreWriteChecks.check_before_write = recorded_check
sys.exit(main())
"""


class RejectingHost:
    """Rejects each request after a short delay."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Rejects a request line, or an XMPP session."""
        try:
            data = await reader.read(4096)
            if data.startswith(b"OPEN"):
                await _delay_rejection()
                writer.write(b"BUSY\r\n")
            elif data:
                server = XmppServerSession(reader, writer)
                server.unread = data.decode()
                await server.accept()
                await _delay_rejection()
                server.send(f"<stream:error>{CONDITION}</stream:error>")
            await writer.drain()
        except (OSError, AssertionError, TimeoutError):
            pass
        finally:
            writer.close()


async def _delay_rejection() -> None:
    await asyncio.sleep(random.uniform(*REJECTION_DELAY_RANGE_S))


@dataclass(frozen=True, slots=True)
class Departure:
    """When a client began to leave, and when the system call was over; in seconds since the epoch."""

    began_s: float
    done_s: float


@dataclass(frozen=True, slots=True)
class WaitingClient:
    """A client whose request waits; the name is that of the request in the relay's records."""

    name: str
    leave: Callable[[], Departure]


Connect = Callable[[int], Awaitable[WaitingClient]]  # a client by its number


def cut(writer: asyncio.StreamWriter) -> None:
    """Shuts the socket down at once; an abort alone would wait for the event loop."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):  # one that has been answered is over already
            sock.shutdown(socket.SHUT_RDWR)
    writer.transport.abort()


def connect_with_lines(address: Address) -> Connect:
    """Returns a function that connects a client of the line protocol."""

    async def connect(number: int) -> WaitingClient:
        line = encode_request_line(CLIENT_TIMEOUT_MS)
        _, writer = await send_request(address, line)

        def leave() -> Departure:
            began_s = time.time()
            cut(writer)
            return Departure(began_s, time.time())

        return WaitingClient(line.split()[1].decode(), leave)

    return connect


def connect_with_streams(logged_in: list[XmppClient]) -> Connect:
    """Returns a function that binds one of the XMPP clients that are logged in."""

    async def connect(number: int) -> WaitingClient:
        client = logged_in.pop()
        name = f"r{number}"
        client.send_bind(name)

        def leave() -> Departure:
            began_s = time.time()
            if number % 2:
                client.send("</stream:stream>")  # the connection stays open
            else:
                cut(client.writer)
            return Departure(began_s, time.time())

        return WaitingClient(name, leave)

    return connect


async def log_in(address: Address) -> XmppClient:
    """Logs an XMPP client in. Returns it before it is bound."""
    client = await XmppClient.connect(address)
    await client.login(make_client_tls_context())
    return client


async def measure_loop_lag(seconds: float) -> float:
    """Measures the maximum delay of this program's own event loop, up to which records are late."""
    longest_s = 0.0
    until_s = time.monotonic() + seconds
    while (now_s := time.monotonic()) < until_s:
        await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
        longest_s = max(longest_s, time.monotonic() - now_s - LOOP_CHECK_INTERVAL_S)
    return longest_s


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The longest times of a round in seconds, as the table has them, and the number of attempts."""

    attempt_since_began_s: float
    attempt_since_done_s: float
    last_connection_s: float
    loop_lag_s: float
    attempts: int


async def run_round(connect: Connect, clients: int, first_number: int, records: Path) -> RoundResult:
    """Has all clients send a request, and leave before any of them has had all of its attempts."""
    os.truncate(records, 0)
    waiting = await asyncio.gather(*(connect(first_number + index) for index in range(clients)))
    await asyncio.sleep(random.uniform(0.0, MAX_DEPARTURE_DELAY_S))
    departures = {client.name: client.leave() for client in waiting}
    loop_lag_s = await measure_loop_lag(SETTLE_S)
    recorded = _read_records(records)
    attempts = [(departures[name], at_s) for name, at_s in recorded if name in departures]
    connects = [at_s for name, at_s in recorded if name == CONNECT_MARK]
    last_departure_s = max(departure.done_s for departure in departures.values())
    return RoundResult(
        max(0.0, max((at_s - departure.began_s for departure, at_s in attempts), default=0.0)),
        max(0.0, max((at_s - departure.done_s for departure, at_s in attempts), default=0.0)),
        max(0.0, max(connects, default=0.0) - last_departure_s),
        loop_lag_s,
        len(attempts),
    )


def _read_records(records: Path) -> list[tuple[str, float]]:
    lines = [line.split() for line in records.read_text().splitlines()]
    return [(name, float(at_s)) for name, at_s in lines]


@dataclass(frozen=True, slots=True)
class RelayAddresses:
    """Where the relay listens for each of its frontends."""

    lines: Address
    xmpp: Address


async def measure_frontend(frontend: Frontend, clients: int, rounds: int, folder: Path) -> None:
    """Runs all rounds of a frontend, and prints its row."""
    addresses = RelayAddresses(("127.0.0.1", find_free_port()), ("127.0.0.1", find_free_port()))
    records = folder / "begun"
    async with AsyncExitStack() as stack:
        config = await _start_environment(stack, folder, addresses)
        operator_file = write_operator_file(
            folder, False, listen="{}:{}".format(*addresses.xmpp), negotiate_s=60.0
        )
        operator_options = ["--operator", str(operator_file)] if frontend is Frontend.XMPP else []
        await _start_processes(stack, config, records, operator_options)
        await wait_until_ready(addresses.lines)
        logged_in: list[XmppClient] = []
        if frontend is Frontend.LINES:
            connect = connect_with_lines(addresses.lines)
        else:
            connect = connect_with_streams(logged_in)
        results = []
        for number in range(rounds):
            while frontend is Frontend.XMPP and len(logged_in) < clients:
                logged_in += await asyncio.gather(
                    *(log_in(addresses.xmpp) for _ in range(MAX_CONCURRENT_LOGINS))
                )
            results.append(await run_round(connect, clients, number * clients, records))
    _print_row(frontend, clients, results)


async def _start_environment(stack: AsyncExitStack, folder: Path, addresses: RelayAddresses) -> Path:
    """Starts the hosts and discovery, and writes the relay's configuration."""
    hosts = [RejectingHost() for _ in range(HOST_COUNT)]
    for host in hosts:
        await stack.enter_async_context(running_server(host))  # type: ignore[arg-type]
    endpoints = {f"h{number}": host.address for number, host in enumerate(hosts)}
    discovery = FakeDiscovery(encode_watch_response(make_endpoint_list(endpoints, 2)))
    await stack.enter_async_context(running_server(discovery))
    tenants = [{"name": "t", "fraction": 1.0, "allowancePerS": ALLOWANCE_PER_S}]
    return write_config(
        folder,
        discovery.address,
        make_endpoint_list(endpoints),
        listen="{}:{}".format(*addresses.lines),
        settings={**SETTINGS, "accounts": tenants},
        limits={"sockets": 8192, "memory_mb": 1024},
    )


async def _start_processes(
    stack: AsyncExitStack, config: Path, records: Path, operator_options: list[str]
) -> None:
    """Starts the relay, and on the same core a program that never waits."""
    relay = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RECORDING_RELAY,
        str(records),
        *operator_options,
        env={**os.environ, "GW_CONFIG": str(config), "SAGETURN_LOG": "ERROR"},
    )
    busy_program = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    for process in (relay, busy_program):
        stack.callback(process.kill)
        os.sched_setaffinity(process.pid, {max(os.sched_getaffinity(0))})


def _print_row(frontend: Frontend, clients: int, results: list[RoundResult]) -> None:
    longest_s = (
        max(result.attempt_since_began_s for result in results),
        max(result.attempt_since_done_s for result in results),
        max(result.last_connection_s for result in results),
        max(result.loop_lag_s for result in results),
    )
    attempts = sum(result.attempts for result in results)
    longest = " | ".join(f"{1000 * each_s:.1f}" for each_s in longest_s)
    print(f"| {frontend} | {len(results)} x {clients} | {attempts} | {longest} |", flush=True)


def main() -> None:
    """Prints a Markdown table of the frontends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--fronts", nargs="*", type=Frontend, default=list(Frontend))
    options = parser.parse_args()
    print("| front | clients | attempts | attempt, ms | the same, ms | last connection, ms | own lag, ms |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for frontend in options.fronts:
        with tempfile.TemporaryDirectory() as folder:
            clients = CLIENT_COUNTS[frontend]
            asyncio.run(measure_frontend(frontend, clients, options.rounds, Path(folder)))


if __name__ == "__main__":
    main()
