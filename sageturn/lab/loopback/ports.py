"""Reservation of free ports on loopback."""

from __future__ import annotations

import socket
from typing import NamedTuple


class ReservedPort(NamedTuple):
    """Port that the system assigns to no other process while ``socket`` is open."""

    socket: socket.socket
    port: int


def reserve_port() -> ReservedPort:
    """Reserve a free port; a program that sets SO_REUSEADDR can listen on it."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return ReservedPort(reserved, int(reserved.getsockname()[1]))
