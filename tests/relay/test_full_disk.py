"""A relay continues to serve while writes to the disk of its store fail."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from support.disk_faults import fail_syncs
from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, running_relay, send_request

from sageturn.relay import state_record


async def test_a_state_report_that_cannot_be_written_closes_no_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error once ended the reporter and with it the relay, which cut off all connections.
    monkeypatch.setattr(state_record, "STATE_INTERVAL_S", 0.02)

    operator = {"store": {"path": str(tmp_path / "store")}}
    async with running_relay(tmp_path, echo_lines, operator=operator) as (relay, _):
        key = f"state/{relay.config.name}/relay"
        reader, writer = await send_request(relay.listener.address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"
        await until(lambda: (relay.store.get(key) or {}).get("standing") == 1)
        with fail_syncs(monkeypatch):
            second_reader, second_writer = await send_request(relay.listener.address, encode_request_line())
            assert await second_reader.readline() == b"UP r1\r\n"
            await relay._actors.wait_until_failed_or(asyncio.sleep(0.3))
            relay._actors.raise_first_failure()
            writer.write(b"M 1\r\n")
            assert await reader.readline() == b"M 1\r\n"
        await until(lambda: relay.store.get(key)["standing"] == 2)
        second_writer.close()
        writer.close()
