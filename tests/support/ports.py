"""Ports on loopback and descriptors of this process."""

from __future__ import annotations

import os
import socket

Address = tuple[str, int]


def find_free_port() -> int:
    """Return a loopback port on which nothing listens at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def count_open_descriptors() -> int:
    """Return the number of descriptors that this process has open."""
    return len(os.listdir("/proc/self/fd"))
