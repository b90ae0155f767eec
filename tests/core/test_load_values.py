"""Tests of the load that endpoints report of a connection: invalid values are ignored."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import encode_request_line, running_relay, send_request

from sageturn.decision import MeasurementReported

INVALID_LOADS = (b"nan", b"inf", b"-inf", b"-5", b"1e308", b"1e9999")


async def report_invalid_loads(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes
) -> None:
    writer.write(b"UP r1\r\n")
    for load in INVALID_LOADS:
        writer.write(b"LOAD " + load + b"\r\n")
    writer.write(b"LOAD 2000\r\n")
    await reader.read()


async def test_an_invalid_load_never_reaches_the_balancer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A single NaN was added to the sum of all loads. Every comparison with the sum was false from then on, so
    # the relay never again detected that an endpoint was overloaded.
    async with running_relay(tmp_path, report_invalid_loads) as (relay, _):
        reported: list[float] = []
        balancer = relay.balancer_actor.balancer
        handle = balancer.handle

        def record(now_ms: float, event: object) -> object:
            if isinstance(event, MeasurementReported):
                reported.append(event.value)
            return handle(now_ms, event)  # type: ignore[arg-type]

        monkeypatch.setattr(balancer, "handle", record)
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        for _ in range(len(INVALID_LOADS) + 2):
            await reader.readline()
        await until(lambda: 2.0 in reported)
        assert reported == [2.0]
        writer.close()
