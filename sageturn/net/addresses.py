"""Parses the addresses in configurations, commands and endpoint lists."""

from __future__ import annotations

import socket

from sageturn.net.errors import InvalidAddressError

Address = tuple[str, int]
PORT_COUNT = 65536


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``. The host may be a name, which is not resolved.

    Raises:
        InvalidAddressError: ``text`` does not have this form, or its port is not in the range 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()  # isdigit() alone accepts digits that int() does not
    if not host or not is_number or int(port) >= PORT_COUNT:
        raise InvalidAddressError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def is_ipv4(host: str) -> bool:
    """Return whether ``host`` is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True
