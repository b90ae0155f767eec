"""A client that is evicted while its request is on the way reads its answer, and no reset destroys it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, running_relay

from sageturn.relay import Relay

MORE_AFTER_S = 0.01


def evict_for_descriptors(relay: Relay) -> None:
    assert relay.admission.evict_oldest_pending()


def stop(relay: Relay) -> None:
    relay.ingress.stop_accepting()


@pytest.mark.parametrize("evict", [evict_for_descriptors, stop])
async def test_a_client_that_is_evicted_in_the_middle_of_its_line_is_not_reset(
    tmp_path: Path, evict: Callable[[Relay], None]
) -> None:
    # The relay answered BUSY and closed at once; the rest of the line came to a closed socket, whose reset
    # could overtake the answer.
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        with socket.create_connection(relay.listener.address) as client:
            client.settimeout(5)
            line = encode_request_line()
            client.sendall(line[:20])
            await until(lambda: relay.admission.pending_count == 1)
            evict(relay)
            await asyncio.sleep(MORE_AFTER_S)
            client.sendall(line[20:])
            await asyncio.sleep(MORE_AFTER_S)
            assert await asyncio.to_thread(client.recv, 99) == b"BUSY 500\r\n"
            assert await asyncio.to_thread(client.recv, 99) == b""
