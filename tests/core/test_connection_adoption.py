"""The adoption of connections that were established before the relay started: its log lines and counters."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import (
    echo_lines,
    encode_request_line,
    respond_with,
    running_relay,
    send_request,
)

from sageturn.relay import Relay
from sageturn.relay.counter_report import CounterReporter

ADOPTION_DEADLINE_MS = 999999999  # the client waits for as long as the relay does


async def adopt(relay: Relay) -> bytes:
    """Send a request for an adoption at endpoint a; return the first line of the response."""
    line = encode_request_line(ADOPTION_DEADLINE_MS, ",at=a")
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
