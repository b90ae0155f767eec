"""The adoption of connections from before the relay's start: its attempts, log lines and counters."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import (
    SETTINGS,
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    respond_with,
    running_relay,
    send_request,
)
from support.ports import Address, find_free_port
from support.relay_checks import is_idle

from sageturn.core.messages import EndpointListUpdate
from sageturn.decision import Endpoint
from sageturn.relay import Relay
from sageturn.relay.counter_report import CounterReporter

ADOPTION_DEADLINE_MS = 999999999  # the client waits for as long as the relay does


async def adopt(relay: Relay, endpoint: str = "a") -> bytes:
    """Send a request for an adoption at ``endpoint``; return the first line of the response."""
    line = encode_request_line(ADOPTION_DEADLINE_MS, f",at={endpoint}")
    reader, writer = await send_request(relay.listener.address, line)
    response = await reader.readline()
    writer.close()
    return response


def messages_of(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    return [message for message in caplog.messages if message.startswith(event)]


async def test_an_adopted_connection_is_logged_and_counted(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        assert await adopt(relay) == b"UP r1\r\n"
        counters = relay.balancer_actor.counters
        assert (counters.adopted, counters.established, counters.attempts) == (1, 1, 1)
        (message,) = messages_of(caplog, "connection adopted")
        assert " endpoint=a attempts=1 duration_s=0." in message
        CounterReporter(relay.balancer_actor).report()
        assert messages_of(caplog, "request counters")[0].endswith(" adopted=1 failed_adoptions=-")


async def test_each_failed_attempt_of_an_adoption_is_logged_and_counted(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, respond_with(b"")) as (relay, (endpoint,)):
        assert await adopt(relay) == b"ERR lost\r\n"
        counters = relay.balancer_actor.counters
        await until(lambda: messages_of(caplog, "connection closed"))
        attempts = len(endpoint.request_lines)
        assert counters.attempts == counters.failed_attempts["ended"] == attempts > 0
        assert len(messages_of(caplog, "attempt failed")) == attempts
        assert counters.failed_adoptions == {"ended": 1} and not counters.adopted
        (message,) = messages_of(caplog, "adoption failed")
        assert f" endpoint=a attempts={attempts} duration_s=" in message
        assert message.endswith(" reason=ended")


REFUSING_ADDRESS = ("127.0.0.1", 1)


async def list_endpoint(relay: Relay, address: Address = REFUSING_ADDRESS, state: str = "ready") -> None:
    """List endpoint x at ``address``, after the list of discovery has arrived."""
    await until(lambda: relay.endpoint_registry.version == 2)
    update = EndpointListUpdate(3, full=False, endpoints=[Endpoint("x", state)], addresses={"x": address})
    relay.endpoint_registry.apply_update(update)


async def wait_for_retries(caplog: pytest.LogCaptureFixture, count: int) -> None:
    await until(lambda: len(messages_of(caplog, "adoption retry")) >= count)


async def test_no_attempt_follows_once_the_client_of_an_adoption_has_left(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await list_endpoint(relay)
        line = encode_request_line(ADOPTION_DEADLINE_MS, ",at=x")
        _, writer = await send_request(relay.listener.address, line)
        await wait_for_retries(caplog, 2)
        writer.close()
        await until(lambda: messages_of(caplog, "connection closed"))
        attempts = len(messages_of(caplog, "attempt failed"))
        await asyncio.sleep(1.0)  # longer than the next delays
        assert len(messages_of(caplog, "attempt failed")) == attempts
        assert is_idle(relay)


async def test_a_forced_drain_answers_an_adoption_that_waits_for_its_next_attempt(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await list_endpoint(relay)
        answer = asyncio.ensure_future(adopt(relay, "x"))
        await wait_for_retries(caplog, 3)
        for lifecycle in relay.request_registry:
            lifecycle.force_drain()
        assert (await asyncio.wait_for(answer, 0.2)).startswith(b"BUSY")
        await until(lambda: is_idle(relay))


async def test_retries_of_an_adoption_wait_for_a_permit_of_an_endpoint_in_slow_start(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.INFO)
    is_permitted = False
    async with running_relay(tmp_path, respond_with(b"BUSY\r\n")) as (relay, (endpoint,)):
        monkeypatch.setattr(relay.balancer_actor, "take_slow_start_permit", lambda _: is_permitted)
        answer = asyncio.ensure_future(adopt(relay))
        await wait_for_retries(caplog, 4)
        assert len(endpoint.request_lines) == 1
        assert relay.balancer_actor.counters.blocked_sends["slow_start"] == 3
        endpoint.script = echo_lines
        is_permitted = True
        assert await asyncio.wait_for(answer, 5) == b"UP r1\r\n"
        assert len(endpoint.request_lines) == 2


async def test_a_draining_endpoint_gets_no_second_attempt_of_an_adoption(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await list_endpoint(relay, state="draining")
        assert await asyncio.wait_for(adopt(relay, "x"), 1.0) == b"ERR lost\r\n"
        assert len(messages_of(caplog, "attempt failed")) == 1
        (message,) = messages_of(caplog, "adoption given up")
        assert message.endswith(" endpoint=x cause=no_endpoint")


async def test_an_endpoint_that_drains_before_the_next_attempt_of_an_adoption_does_not_get_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with running_relay(tmp_path, respond_with(b"BUSY\r\n")) as (relay, (endpoint,)):
        await list_endpoint(relay, endpoint.address)
        answer = asyncio.ensure_future(adopt(relay, "x"))
        await wait_for_retries(caplog, 1)
        await list_endpoint(relay, endpoint.address, "draining")
        assert await asyncio.wait_for(answer, 5) == b"ERR lost\r\n"
        assert len(endpoint.request_lines) == 1
        (message,) = messages_of(caplog, "adoption given up")
        assert message.endswith(" cause=no_endpoint")


async def test_attempts_that_did_not_arrive_do_not_count_toward_the_limit(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    endpoint = FakeEndpoint(echo_lines)
    endpoint.address = ("127.0.0.1", find_free_port())
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await list_endpoint(relay, endpoint.address)
        answer = asyncio.ensure_future(adopt(relay, "x"))
        await wait_for_retries(caplog, SETTINGS["policyLimits"]["sendCap"])
        async with await asyncio.start_server(endpoint.serve, *endpoint.address):
            assert await asyncio.wait_for(answer, 10) == b"UP r1\r\n"
        assert not relay.balancer_actor.monitor.violations
