"""Tests of every pair of a request's stage and the event that ends it: one response, no leftovers."""

from __future__ import annotations

import asyncio
import itertools
import os
import select
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from support.event_loop import until
from support.network_fakes import (
    SETTINGS,
    ConnectResult,
    EndpointScript,
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    running_relay,
)
from support.ports import Address
from support.relay_checks import is_balancer_idle, is_idle, record_closed_connections

from sageturn.core.messages import EndpointListUpdate
from sageturn.core.shutdown_schedule import ShutdownSchedule
from sageturn.decision import Endpoint
from sageturn.frontends import frontend_connection
from sageturn.frontends.platform import frontend as platform_frontend
from sageturn.frontends.platform import relaying as platform_relaying
from sageturn.frontends.platform.line_forwarder import LineForwarder
from sageturn.net.connecting import ConnectFailure, connect_unreserved
from sageturn.relay import Relay


def deployment(effect: str, scope: str, attempts: int, latency_objective_ms: float) -> dict[str, Any]:
    request_class = {
        "name": "c",
        "aimMs": latency_objective_ms,
        "hardLimitMs": 3000.0,
        "semantics": effect,
        "dedupScope": scope,
        "keyTtlMs": 900.0,
    }
    limits = {**SETTINGS["policyLimits"], "sendCap": attempts, "connectTimeoutMs": 3000.0}
    return {**SETTINGS, "classes": [request_class], "policyLimits": limits}


DEPLOYMENTS = {
    "safe": deployment("safe", "all", 3, 2900.0),
    "keyed": deployment("keyed", "cell", 6, 300.0),
    "unsafe": deployment("unsafe", "all", 1, 2900.0),
}


class RelayScenario:
    """A relay between one client and three endpoints that all run the same script."""

    def __init__(self, relay: Relay, endpoints: list[FakeEndpoint], wait_ms: int = 3000) -> None:
        self.relay = relay
        self.endpoints = endpoints
        self.line = encode_request_line(wait_ms)
        self.client = socket.create_connection(relay.listener.address)
        self.client.setblocking(False)
        self.resume = asyncio.Event()  # lets an endpoint or a connect that waits at its stage continue
        self.reset_endpoint = False

    @property
    def lines(self) -> list[bytes]:
        return [line for endpoint in self.endpoints for line in endpoint.request_lines if line]

    async def read_rest(self) -> bytes:
        """Return all bytes that the client still receives; b"reset" is appended on a reset."""
        loop, received = asyncio.get_running_loop(), b""
        try:
            while more := await asyncio.wait_for(loop.sock_recv(self.client, 1 << 16), 5):
                received += more
        except ConnectionResetError:
            received += b"reset"
        return received


# ---------------------------------------------------------------- stages of a request


def make_holding_script(text: bytes) -> Callable[[list[RelayScenario]], EndpointScript]:
    """Return a script that sends ``text``, waits until it is resumed or closed, and then resets or closes."""

    def script(scenario: list[RelayScenario]) -> EndpointScript:
        async def act(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
            writer.write(text)
            await writer.drain()
            resumed = asyncio.ensure_future(scenario[0].resume.wait())
            closed = asyncio.ensure_future(reader.read())
            await asyncio.wait((resumed, closed), return_when=asyncio.FIRST_COMPLETED)
            for task in (resumed, closed):
                task.cancel()
            if scenario[0].reset_endpoint:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

        return act

    return script


async def reach_connecting(scenario: RelayScenario, monkeypatch: pytest.MonkeyPatch) -> None:
    connect, begun = connect_unreserved, asyncio.Event()

    async def connect_when_resumed(address: Address, timeout_s: float) -> ConnectResult:
        begun.set()
        try:
            await asyncio.wait_for(scenario.resume.wait(), timeout_s)
        except TimeoutError:
            return ConnectFailure.TIMED_OUT
        return await connect(address, timeout_s)

    monkeypatch.setattr(frontend_connection, "connect_unreserved", connect_when_resumed)
    scenario.client.sendall(scenario.line)
    await begun.wait()


async def reach_written(scenario: RelayScenario, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario.client.sendall(scenario.line)
    await until(lambda: scenario.lines)


async def reach_established(scenario: RelayScenario, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario.client.sendall(scenario.line)
    await until(lambda: any(lifecycle.is_established for lifecycle in scenario.relay.request_registry))


async def reach_partial_request_line(scenario: RelayScenario, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario.client.sendall(scenario.line[:-2])
    await until(lambda: scenario.relay.admission.pending_count)


STAGES = {
    "half a first line": (reach_partial_request_line, make_holding_script(b"")),
    "connecting": (reach_connecting, make_holding_script(b"UP r1\r\n")),
    "written": (reach_written, make_holding_script(b"")),
    "UP half read": (reach_written, make_holding_script(b"UP r")),
    "established": (reach_established, make_holding_script(b"UP r1\r\n")),
    "established, half a line down": (reach_established, make_holding_script(b"UP r1\r\nM 1\r\nM 2")),
}


# ---------------------------------------------------------------- events that end a request


async def client_closes(scenario: RelayScenario) -> None:
    scenario.client.close()


async def client_resets(scenario: RelayScenario) -> None:
    scenario.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    scenario.client.close()


async def endpoint_closes(scenario: RelayScenario) -> None:
    scenario.resume.set()


async def endpoint_resets(scenario: RelayScenario) -> None:
    scenario.reset_endpoint = True
    scenario.resume.set()


async def all_endpoints_drain(scenario: RelayScenario) -> None:
    drains = [Endpoint(name, "draining") for name in "abc"]
    await scenario.relay.endpoint_registry.on_watch_event(1, EndpointListUpdate(3, False, drains))
    await until(lambda: scenario.relay.endpoint_registry.states["a"] == "draining")
    if not any(lifecycle.is_established for lifecycle in scenario.relay.request_registry):
        scenario.resume.set()


async def graceful_shutdown(scenario: RelayScenario) -> None:
    scenario.relay.request_registry.schedule = ShutdownSchedule(0.01, 0.02, 0.05, 2.0)
    await scenario.relay.request_registry.drain(scenario.relay.ingress)
    assert not scenario.relay.request_registry


async def client_times_out(scenario: RelayScenario) -> None:
    await asyncio.sleep(0)


EndEvent = Callable[[RelayScenario], Awaitable[None]]
END_EVENTS: list[EndEvent] = [
    client_closes,
    client_resets,
    endpoint_closes,
    endpoint_resets,
    all_endpoints_drain,
    graceful_shutdown,
    client_times_out,
]
CLIENT_DISCONNECTS = (client_closes, client_resets)


async def until_released(relay: Relay, endpoints: list[FakeEndpoint]) -> None:
    """Wait until the relay has no request or connection, and no endpoint has a connection open."""
    balancer = relay.balancer_actor.balancer
    await until(
        lambda: not relay.request_registry and not balancer.requests and not relay.admission.connection_count
    )
    await until(lambda: not any(endpoint.open_connections for endpoint in endpoints))
    assert is_idle(relay)


@pytest.mark.parametrize("effect", DEPLOYMENTS)
@pytest.mark.parametrize(
    ("stage", "end"),
    list(itertools.product(STAGES, END_EVENTS)),
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
@pytest.mark.timeout(15)
async def test_every_end_at_every_stage_gives_one_response_and_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, stage: str, end: EndEvent, effect: str
) -> None:
    reach, act = STAGES[stage]
    scenarios: list[RelayScenario] = []
    settings = DEPLOYMENTS[effect]
    monkeypatch.setattr(platform_frontend, "REQUEST_LINE_TIMEOUT_S", 0.4)
    async with running_relay(tmp_path, *[act(scenarios)] * 3, settings=settings) as (relay, endpoints):
        while relay.endpoint_registry.version != 2:
            await asyncio.sleep(0.002)
        descriptors = len(os.listdir("/proc/self/fd"))
        scenarios.append(
            scenario := RelayScenario(relay, endpoints, 400 if end is client_times_out else 3000)
        )
        await reach(scenario, monkeypatch)
        before = len(scenario.lines)
        await end(scenario)
        stays = stage.startswith("established") and end in (all_endpoints_drain, client_times_out)
        received = b"" if end in CLIENT_DISCONNECTS or stays else await scenario.read_rest()
        assert not stays or all(lifecycle.is_established for lifecycle in relay.request_registry)
        scenario.client.close()
        scenario.resume.set()
        await until_released(relay, endpoints)
        # After a shutdown, the listener's socket and its reserve descriptor are closed as well.
        closed_descriptors = 2 if end is graceful_shutdown else 0
        await until(lambda: len(os.listdir("/proc/self/fd")) <= descriptors - closed_descriptors)
        sent, max_attempts = len(scenario.lines), settings["policyLimits"]["sendCap"]
        assert sent <= max_attempts and sum(endpoint.max_open_connections for endpoint in endpoints) <= max(
            1, sent
        )
        if end in CLIENT_DISCONNECTS or end in (all_endpoints_drain, graceful_shutdown):
            assert len(scenario.lines) == before, "sent on after the end was known"
        if end not in CLIENT_DISCONNECTS and not stays:
            check_response(stage, end, effect, received, before)


def check_response(stage: str, end: EndEvent, effect: str, received: bytes, written: int) -> None:
    if stage.startswith("established") or (stage == "connecting" and received.startswith(b"UP")):
        lines = received.removeprefix(b"UP r1\r\n").removeprefix(b"M 1\r\n")
        if end is graceful_shutdown:
            assert lines == b"MOVE\r\n"  # sent between two lines; an incomplete line is dropped
        elif end is endpoint_resets:
            assert lines == b"reset"
        elif end is endpoint_closes:
            assert lines == (b"M 2" if "half" in stage else b"")
        return
    assert received.count(b"\r\n") == 1 and received.startswith((b"BUSY", b"ERR")), received
    if written and effect != "safe":
        assert received.startswith(b"ERR"), "it may have run: trying again may do harm"
    if not written and stage != "half a first line":
        assert received.startswith(b"BUSY"), "it never ran: nothing stands against another try"


# ---------------------------------------------------------------- requests as the listener closes


@pytest.mark.parametrize("sent", [encode_request_line(), b"PING\r\n", encode_request_line()[:9], b""])
@pytest.mark.timeout(10)
async def test_a_client_that_connects_as_the_listener_closes_is_answered(tmp_path: Path, sent: bytes) -> None:
    # The listening socket was closed while connections were in its backlog, and their clients were reset
    # without a response. Here the event loop runs no other task between the client's connect and the close.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        relay.request_registry.schedule = ShutdownSchedule(0.0, 0.0, 0.05, 2.0)
        stop_accepting, clients = relay.ingress.stop_accepting, list[socket.socket]()

        def connect_and_stop_accepting() -> None:
            client = socket.create_connection(relay.listener.address)
            client.sendall(sent)
            clients.append(client)
            stop_accepting()

        relay.ingress.stop_accepting = connect_and_stop_accepting  # type: ignore[method-assign]
        await relay.request_registry.drain(relay.ingress)
        assert not relay.admission.connection_count and not any(endpoint.request_lines)
        clients[0].settimeout(5)
        received = clients[0].recv(99)
        assert received.startswith((b"BUSY", b"ERR")) and clients[0].recv(99) == b""
        clients[0].close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(relay.listener.address)


@pytest.mark.timeout(10)
async def test_a_request_that_arrives_after_the_forced_drain_is_answered_and_not_placed(
    tmp_path: Path,
) -> None:
    # The request was placed and established, and its connection then closed without MOVE, which had been sent
    # only to connections that existed when the drain was forced.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        relay.request_registry.schedule = ShutdownSchedule(0.0, 0.0, 0.01, 2.0)
        scenario = RelayScenario(relay, [endpoint])
        relay.admission.evict_all_pending = lambda: None  # type: ignore[method-assign]
        draining = asyncio.ensure_future(relay.request_registry.drain(relay.ingress))
        await until(lambda: relay.admission.pending_count and relay.request_registry.is_drain_forced)
        scenario.client.sendall(encode_request_line())
        assert (await scenario.read_rest()).startswith(b"BUSY")
        await draining
        assert not any(endpoint.request_lines)
        scenario.client.close()


@pytest.mark.timeout(10)
async def test_a_graceful_shutdown_waits_for_connections_without_a_request(tmp_path: Path) -> None:
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        relay.request_registry.schedule = ShutdownSchedule(0.0, 0.0, 8.0, 9.0)
        scenario = RelayScenario(relay, [endpoint])
        line = encode_request_line()
        scenario.client.sendall(line[:20])
        await until(lambda: relay.admission.pending_count)
        draining = asyncio.ensure_future(relay.request_registry.drain(relay.ingress))
        await asyncio.sleep(0.8)  # longer than the time in which new connections are expected
        assert not draining.done()
        scenario.client.sendall(line[20:])
        assert await scenario.read_rest() == b"UP r1\r\nMOVE\r\n"
        await draining
        scenario.client.close()


@pytest.mark.timeout(10)
async def test_a_client_evicted_as_its_request_line_completes_is_answered(tmp_path: Path) -> None:
    # The socket was closed while the line was unread, so the kernel sent a reset, which discarded the answer.
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        scenario = RelayScenario(relay, [])
        await until(lambda: relay.admission.pending_count)
        await asyncio.sleep(0.01)  # lets the read begin; the client must be answered in either case
        scenario.client.sendall(encode_request_line())
        relay.admission.evict_all_pending()
        assert await scenario.read_rest() == b"BUSY 500\r\n"
        scenario.client.close()


# ---------------------------------------------------------------- migration, adoption and internal errors


async def flood_client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
    writer.write(b"UP r1\r\n")
    while True:
        writer.write(b"M " + b"x" * 1000 + b"\r\n")
        await writer.drain()


@pytest.mark.parametrize("resumes_reading", [True, False])
@pytest.mark.timeout(15)
async def test_a_move_waits_for_a_client_that_does_not_read_until_the_drain_is_forced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, resumes_reading: bool
) -> None:
    # The relay gave up on MOVE after 0.7 s and closed the connection without it, although the endpoint was
    # still responsive.
    forwarders: list[LineForwarder] = []

    class RecordedForwarder(LineForwarder):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            forwarders.append(self)

    monkeypatch.setattr(platform_relaying, "LineForwarder", RecordedForwarder)

    async with running_relay(tmp_path, flood_client) as (relay, _):
        ended = record_closed_connections(relay, monkeypatch)
        scenario = RelayScenario(relay, [])
        scenario.client.sendall(encode_request_line())
        await until(lambda: any(lifecycle.is_established for lifecycle in relay.request_registry))
        (lifecycle,) = relay.request_registry
        unwritable_polls = 0
        while unwritable_polls < 30:  # the send buffer must have been full for 0.3 s
            await asyncio.sleep(0.01)
            writable = not forwarders or select.select([], [forwarders[0].target], [], 0)[1]
            unwritable_polls = 0 if writable else unwritable_polls + 1
        relay.balancer_actor.migrate_connection(lifecycle.id)
        await asyncio.sleep(0.8)
        assert lifecycle.is_established and not ended
        if not resumes_reading:
            lifecycle.force_drain()
            await until(lambda: ended)
            assert ended[0].close_reason is not None and ended[0].close_reason.name == "CUT_OFF"
        else:
            received = await scenario.read_rest()
            assert received.endswith(b"x\r\nMOVE\r\n") and received.count(b"MOVE") == 1
            await until(lambda: ended)
            assert ended[0].close_reason is not None and ended[0].close_reason.name == "MOVED"
        scenario.client.close()


@pytest.mark.timeout(10)
async def test_a_forced_drain_rejects_a_connection_that_is_being_adopted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It was answered ERR, which means that it may have been executed, although nothing had been sent.
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        scenario = RelayScenario(relay, [endpoint])
        scenario.line = encode_request_line(40000, ",at=a")
        await reach_connecting(scenario, monkeypatch)
        await graceful_shutdown(scenario)
        assert (await scenario.read_rest()).startswith(b"BUSY") and not any(endpoint.request_lines)
        scenario.client.close()


@pytest.mark.timeout(10)
async def test_an_internal_error_is_answered_and_leaves_no_request_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The client's connection was closed without a response, and the request stayed in the balancer forever.
    async with running_relay(tmp_path, echo_lines) as (relay, _):

        async def fail_to_connect(address: Address, timeout_s: float) -> ConnectResult:
            raise ValueError("unforeseen")

        monkeypatch.setattr(frontend_connection, "connect_unreserved", fail_to_connect)
        scenario = RelayScenario(relay, [])
        scenario.client.sendall(scenario.line)
        assert await scenario.read_rest() == b"ERR internal\r\n"
        scenario.client.close()
        await until(lambda: not relay.request_registry and not relay.balancer_actor.balancer.requests)
        assert is_balancer_idle(relay.balancer_actor)
