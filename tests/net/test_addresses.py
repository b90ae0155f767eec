"""Addresses in configurations, commands and endpoint lists are parsed and checked."""

from __future__ import annotations

import pytest

from sageturn.net.addresses import Address, is_ipv4, parse_address
from sageturn.net.errors import InvalidAddressError


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("relay.example:0", ("relay.example", 0)),
        ("::1:65535", ("::1", 65535)),
    ],
)
def test_host_and_port_are_read(text: str, address: Address) -> None:
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "text", ["", "127.0.0.1", ":80", "host:", "host:-1", "host:65536", "host:http", "host:²"]
)
def test_any_other_text_is_refused(text: str) -> None:
    with pytest.raises(InvalidAddressError, match=r"^'.*' is not HOST:PORT$"):
        parse_address(text)


@pytest.mark.parametrize(("host", "expected"), [("10.0.0.1", True), ("a.example", False), ("::1", False)])
def test_ipv4_address_is_distinguished_from_other_hosts(host: str, expected: bool) -> None:
    assert is_ipv4(host) is expected
