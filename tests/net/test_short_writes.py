"""Short writes: an answer arrives complete even if a write accepts fewer bytes than it was given."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import echo_lines, exchange_line, running_relay

from sageturn.frontends.platform import frontend as platform_frontend
from sageturn.net.closing import send_and_close

REJECTION = b"BUSY 500\r\n"


@pytest.fixture
def short_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every ``send`` accept one byte only."""
    send = socket.socket.send

    def send_one_byte(sock: socket.socket, data: Any, flags: int = 0) -> int:
        return send(sock, memoryview(data)[:1], flags)

    monkeypatch.setattr(socket.socket, "send", send_one_byte)


@pytest.mark.usefixtures("short_writes")
async def test_an_answer_arrives_complete_though_each_write_is_short(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Clients that were rejected for lack of descriptors read only "BU" before the connection was closed.
    client, server = socket.socketpair()
    server.setblocking(False)
    client.settimeout(5)
    send_and_close(server, REJECTION)
    received = b""
    while data := client.recv(99):
        received += data
    assert received == REJECTION
    client.close()

    monkeypatch.setattr(platform_frontend, "REQUEST_LINE_TIMEOUT_S", 0.05)
    async with running_relay(tmp_path, echo_lines) as (relay, _):
        assert await exchange_line(relay.listener.address, b"OPEN half") == b"ERR no first line in time\r\n"
