"""Free ports on loopback for relays that a run starts."""

from __future__ import annotations

import socket
from typing import NamedTuple


class ReservedPort(NamedTuple):
    """A port that nobody else on this machine is given while the socket is open."""

    socket: socket.socket
    port: int


def reserve_port() -> ReservedPort:
    """Reserves a free port; a program that sets SO_REUSEADDR can listen on it meanwhile."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return ReservedPort(reserved, int(reserved.getsockname()[1]))
