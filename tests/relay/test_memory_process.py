"""Hundreds of clients that send slowly, by halves or in many short fields, and a relay process's memory."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
from support.network_fakes import (
    SETTINGS,
    FakeEndpoint,
    encode_request_line,
    exchange_line,
    make_endpoint_list,
    start_endpoints_and_discovery,
    write_config,
)
from support.ports import Address, find_free_port
from support.relay_process import running_relay_process
from support.xmpp_fakes import XmppClient, echo_messages
from support.xmpp_relay import XmppEndpoint, make_client_tls_context, write_operator_file

LOOPBACK = "127.0.0.1"
MEMORY_MB = 64.0
SOCKETS = 1024
LINE_CLIENTS = 300
XMPP_CLIENTS = 150
STANZA_BYTES = 60_000
OBSERVED_S = 1.0
SAMPLE_INTERVAL_S = 0.02
GIVEN_BACK_LIMIT_S = 5.0
MAX_RETAINED_MB = 12.0  # what may stay in use of the heap once all have left: less than a fifth of the limit
BUSY_SETTINGS = {**SETTINGS, "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 1000.0}]}


class RelayUnderTest(NamedTuple):
    """A relay process, and its addresses for both wires."""

    process: asyncio.subprocess.Process
    address: Address
    xmpp_address: Address

    def memory_mb(self) -> float:
        """Return the anonymous memory of the process."""
        assert self.process.returncode is None, "the relay has ended"
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
        raise AssertionError("the system does not report the memory of a process")


@asynccontextmanager
async def running_limited_relay(folder: Path) -> AsyncIterator[RelayUnderTest]:
    """Run a relay of ``MEMORY_MB`` with both frontends, and endpoints of both protocols."""
    endpoints: list[FakeEndpoint] = [XmppEndpoint(echo_messages) for _ in range(4)]
    address, xmpp_address = (LOOPBACK, find_free_port()), (LOOPBACK, find_free_port())
    async with AsyncExitStack() as stack:
        addresses, discovery = await start_endpoints_and_discovery(stack, endpoints)
        config_file = write_config(
            folder,
            discovery.address,
            make_endpoint_list(addresses),
            listen=f"{address[0]}:{address[1]}",
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            settings=BUSY_SETTINGS,
        )
        listen = f"{xmpp_address[0]}:{xmpp_address[1]}"
        operator_file = write_operator_file(folder, False, listen=listen, wait_ms=3000, negotiate_s=8)
        running = running_relay_process(config_file, address, arguments=("--operator", str(operator_file)))
        process = await stack.enter_async_context(running)
        yield RelayUnderTest(process, address, xmpp_address)


async def observe_peak_mb(relay: RelayUnderTest) -> float:
    """Return the highest memory within ``OBSERVED_S``."""
    peak_mb = 0.0
    for _ in range(int(OBSERVED_S / SAMPLE_INTERVAL_S)):
        peak_mb = max(peak_mb, relay.memory_mb())
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return peak_mb


async def check_memory(relay: RelayUnderTest, writers: list[asyncio.StreamWriter], ready_mb: float) -> None:
    """Check the memory while bad clients are connected, that others are served, and that it is given back."""
    assert await observe_peak_mb(relay) <= MEMORY_MB
    assert (await exchange_line(relay.address, encode_request_line())).startswith(b"UP ")
    for writer in writers:
        writer.close()
    deadline_s = asyncio.get_running_loop().time() + GIVEN_BACK_LIMIT_S
    while (memory_mb := relay.memory_mb()) > ready_mb + MAX_RETAINED_MB:
        assert asyncio.get_running_loop().time() < deadline_s, (
            f"{memory_mb:.1f} MB, {ready_mb:.1f} MB at first"
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


# ------------------------------------------------------------ XMPP


def half_of_a_long_body() -> str:
    return "<message><body>" + "x" * STANZA_BYTES


def half_of_a_long_tag() -> str:
    return "<message to='" + "x" * STANZA_BYTES


def very_many_children() -> str:
    return "<message>" + "<a/>" * (STANZA_BYTES // 4)


def very_many_new_fields() -> str:
    fields = "".join(f" f{number:x}=''" for number in range(900))
    return f"<message{fields}>" * 4


def very_many_small_stanzas() -> str:
    return "<a/>" * (STANZA_BYTES // 4)


async def send_and_drain(client: XmppClient, text: str) -> None:
    """Send ``text`` at full speed; the relay may end the connection meanwhile."""
    with contextlib.suppress(OSError):
        client.send(text)
        await client.writer.drain()


@pytest.mark.parametrize(
    "make_text",
    [
        half_of_a_long_body,
        half_of_a_long_tag,
        very_many_children,
        very_many_new_fields,
        very_many_small_stanzas,
    ],
)
@pytest.mark.parametrize("established", [True, False])
@pytest.mark.timeout(60)
async def test_bad_xmpp_clients_do_not_take_the_relay_over_its_memory(
    tmp_path: Path, make_text: Callable[[], str], established: bool
) -> None:
    # Nothing bounded the sum of what unanswered and established clients made the relay hold.
    async with running_limited_relay(tmp_path) as relay:
        ready_mb = relay.memory_mb()
        clients: list[XmppClient] = []
        context = make_client_tls_context()

        async def come(number: int) -> None:
            client = await XmppClient.connect(relay.xmpp_address)
            clients.append(client)
            with contextlib.suppress(OSError, AssertionError, TimeoutError):  # it may be rejected or moved
                await client.login(context)
                if established:
                    await client.bind(f"desk{number}")
                else:
                    client.send_bind(f"desk{number}")
                for _ in range(4):
                    await send_and_drain(client, make_text())

        coming = [asyncio.ensure_future(come(number)) for number in range(XMPP_CLIENTS)]
        await check_memory_while_coming(relay, coming)
        await check_memory(relay, [client.writer for client in clients], ready_mb)


async def check_memory_while_coming(relay: RelayUnderTest, coming: Sequence[asyncio.Future[None]]) -> None:
    deadline_s = asyncio.get_running_loop().time() + 15.0
    while not all(task.done() for task in coming) and asyncio.get_running_loop().time() < deadline_s:
        assert relay.memory_mb() <= MEMORY_MB
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    for task in coming:
        task.cancel()


# ------------------------------------------------------------ line protocol


def half_a_line() -> bytes:
    return encode_request_line()[:-2]


def half_a_long_line() -> bytes:
    return encode_request_line()[:-2] + b",x=" + b"x" * 3900


def very_many_short_fields() -> bytes:
    return encode_request_line()[:-2] + b"".join(b",%x=" % number for number in range(256, 950))


@pytest.mark.parametrize("make_line", [half_a_line, half_a_long_line, very_many_short_fields])
@pytest.mark.timeout(60)
async def test_bad_line_clients_do_not_take_the_relay_over_its_memory(
    tmp_path: Path, make_line: Callable[[], bytes]
) -> None:
    async with running_limited_relay(tmp_path) as relay:
        ready_mb = relay.memory_mb()
        writers: list[asyncio.StreamWriter] = []
        for number in range(LINE_CLIENTS):
            _, writer = await asyncio.open_connection(*relay.address)
            line = make_line()
            writer.write(line if number % 2 else line[: len(line) // 2])
            writers.append(writer)
        for writer in writers:
            writer.write(b"z")
        await check_memory(relay, writers, ready_mb)


@pytest.mark.timeout(60)
async def test_established_line_clients_that_stop_in_half_lines_hold_bounded_memory(tmp_path: Path) -> None:
    async with running_limited_relay(tmp_path) as relay:
        ready_mb = relay.memory_mb()
        writers: list[asyncio.StreamWriter] = []
        for _ in range(LINE_CLIENTS):
            reader, writer = await asyncio.open_connection(*relay.address)
            writer.write(encode_request_line())
            assert await reader.readline() == b"UP r1\r\n"
            writer.write(b"M 1\r\nM " + b"x" * 20000)
            writers.append(writer)
        await check_memory(relay, writers, ready_mb)
