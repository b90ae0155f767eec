"""Free ports on loopback for relays that a run starts."""

from __future__ import annotations

import socket


def reserve_port() -> tuple[socket.socket, int]:
    """Reserves a free port: nobody else is given it while the returned socket is open.

    A program that sets SO_REUSEADDR can listen on it meanwhile.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved, int(reserved.getsockname()[1])
