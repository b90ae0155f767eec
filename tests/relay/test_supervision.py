"""Supervision of the relay's actors, the order of its subsystems, and its reports of closed connections."""

from __future__ import annotations

import asyncio
import logging
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import (
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    make_endpoint_list,
    never_respond,
    send_request,
    start_endpoints_and_discovery,
    write_config,
)

from sageturn.config.loader import load
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.relay import Relay
from sageturn.relay import relay as relay_module
from sageturn.relay.closed_connections import ClosedConnections
from sageturn.relay.state_record import RelayState, RelayStateReporter, encode_relay_state
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.supervisor import ActorSupervisor


async def run_forever() -> None:
    await asyncio.sleep(3600)


async def fail() -> None:
    raise ValueError("an actor failed")


async def test_a_failed_actor_ends_the_wait_with_its_error(caplog: pytest.LogCaptureFixture) -> None:
    actors = ActorSupervisor()
    actors.spawn("runs", run_forever())
    actors.spawn("fails", fail())
    await asyncio.wait_for(actors.wait_until_failed_or(run_forever()), 5)
    with pytest.raises(ValueError, match="an actor failed"):
        actors.raise_first_failure()
    await actors.stop()
    assert asyncio.all_tasks() == {asyncio.current_task()}
    assert caplog.messages == ["actor failed actor=fails"]


async def test_a_wait_returns_while_all_actors_run_and_stopping_cancels_them() -> None:
    actors = ActorSupervisor()
    actors.spawn("runs", run_forever())
    await asyncio.wait_for(actors.wait_until_failed_or(asyncio.sleep(0)), 5)
    actors.raise_first_failure()
    await actors.stop()
    assert asyncio.all_tasks() == {asyncio.current_task()}


async def test_subsystems_start_and_reload_in_the_listed_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    relay = Relay(load({"GW_CONFIG": str(write_config(tmp_path, ("127.0.0.1", 9)))}))
    calls: list[str] = []

    class Recorded(Subsystem):
        def __init__(self, name: str) -> None:
            self.name = name

        def start(self, actors: ActorSupervisor) -> None:
            calls.append(f"start {self.name}")

        async def reload(self, old: object, new: object) -> None:
            calls.append(f"reload {self.name}")

    monkeypatch.setattr(relay, "subsystems", (Recorded("first"), Recorded("second")))
    relay.start()
    await relay.apply_config(relay.config)
    assert calls == ["start first", "start second", "reload first", "reload second"]
    await relay.stop()


def test_the_stored_state_keeps_its_keys() -> None:
    state = RelayState(2, {"served": 3}, 1, {"queue": 4}, None)
    alone = {"standing": 2, "ended": {"served": 3}, "flows_dropped": 1, "reports_dropped": {"queue": 4}}
    assert encode_relay_state(state) == alone
    replicated = RelayState(2, {"served": 3}, 1, {"queue": 4}, {"links": 1})
    assert encode_relay_state(replicated) == {**alone, "store": {"links": 1}}


def test_a_request_that_was_never_placed_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    closed = ClosedConnections()
    record = ConnectionRecord(ClientRequest("c", "t", 1000.0), 0.0, 250.0)
    record.final_response = FinalResponse(rejected=True, retry_after_ms=250.0)
    with caplog.at_level(logging.INFO):
        closed.on_connection_closed(record)
    assert closed.counts == {"not_placed": 1}
    assert caplog.messages == [
        "connection closed frontend=platform request=- class=c endpoint=- attempts=0 duration_s=0.250"
        " reason=not_placed response=rejected response_reason='' retry_after_ms=250"
    ]


@pytest.mark.usefixtures("virtual_time")
@pytest.mark.parametrize("is_stopping", [False, True])
async def test_a_failed_actor_ends_the_relay_by_a_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_stopping: bool
) -> None:
    # The relay once stopped immediately, and cut off established clients without asking them to reconnect.
    # Unlike in a planned drain, it must not place any more requests, as its endpoint list is no longer
    # updated. The same applies if an actor fails during a planned drain.
    async def echo_unless_waiting(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes
    ) -> None:
        await (never_respond if b"waits" in line else echo_lines)(reader, writer, line)

    is_due = asyncio.Event()

    async def fail_when_due(reporter: RelayStateReporter) -> None:
        await is_due.wait()
        await fail()

    monkeypatch.setattr(RelayStateReporter, "run", fail_when_due)
    monkeypatch.setattr(relay_module, "set_descriptor_limit", lambda max_descriptors: None)
    async with AsyncExitStack() as stack:
        endpoint = FakeEndpoint(echo_unless_waiting)
        names, discovery = await start_endpoints_and_discovery(stack, [endpoint])
        config_file = write_config(tmp_path, discovery.address, make_endpoint_list(names))
        relay = Relay(load({"GW_CONFIG": str(config_file)}))
        running = asyncio.ensure_future(relay.run())
        await until(lambda: relay.endpoint_registry.version == 2)
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        waiting, waiting_writer = await send_request(relay.listener.address, encode_request_line(key="waits"))
        await until(lambda: len(endpoint.request_lines) == 2)
        if is_stopping:
            signal.raise_signal(signal.SIGTERM)
            await until(lambda: relay.request_registry.is_draining)
        is_due.set()
        began_s = asyncio.get_running_loop().time()
        assert (await waiting.read()).startswith(b"BUSY")
        assert await reader.read() == b"MOVE\r\n"
        assert asyncio.get_running_loop().time() - began_s < relay.request_registry.schedule.migration_start_s
        writer.close()
        waiting_writer.close()
        with pytest.raises(ValueError, match="an actor failed"):
            await running
