"""A client that is evicted while it sends its request reads its answer, which no reset discards."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, running_relay

from sageturn.relay import Relay

SEND_PAUSE_S = 0.01


def evict_for_descriptors(relay: Relay) -> None:
    assert relay.admission.evict_oldest_pending()


def stop(relay: Relay) -> None:
    relay.ingress.stop_accepting()


@pytest.mark.parametrize("evict", [evict_for_descriptors, stop])
async def test_a_client_that_is_evicted_in_the_middle_of_its_line_is_not_reset(
    tmp_path: Path, evict: Callable[[Relay], None]
) -> None:
    # The relay answered BUSY and closed at once. The rest of the line arrived at a closed socket, and the
    # resulting reset could discard the answer.
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        with socket.create_connection(relay.listener.address) as client:
            client.settimeout(5)
            line = encode_request_line()
            client.sendall(line[:20])
            await until(lambda: relay.admission.pending_count == 1)
            evict(relay)
            await asyncio.sleep(SEND_PAUSE_S)
            client.sendall(line[20:])
            await asyncio.sleep(SEND_PAUSE_S)
            assert await asyncio.to_thread(client.recv, 99) == b"BUSY 500\r\n"
            assert await asyncio.to_thread(client.recv, 99) == b""
