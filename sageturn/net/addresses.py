"""Addresses as configurations, commands and discovery write them."""

from __future__ import annotations

import socket

from sageturn.net.errors import InvalidAddressError

Address = tuple[str, int]
PORT_COUNT = 65536


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``. The host may be a name, and is not looked up.

    Raises:
        InvalidAddressError: ``text`` has another form, or no port from 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()  # isdigit() alone accepts digits that int() does not
    if not host or not is_number or int(port) >= PORT_COUNT:
        raise InvalidAddressError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def is_ipv4(host: str) -> bool:
    """Return whether ``host`` is an IPv4 address and not a name."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True
