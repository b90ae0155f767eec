"""Parses the request line, the first line that a client sends, in the receive buffer."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

from sageturn.core.messages import ClientRequest
from sageturn.frontends.platform.errors import InvalidRequestLineError

_TOKEN = rb"[!-~]{1,64}"
_OPEN = re.compile(rb"OPEN (" + _TOKEN + rb") (" + _TOKEN + rb") ([!-~]+)\r\n")
_FIELD = re.compile(rb"([A-Za-z0-9_]{1,32})=([!-+\--~]*)")
_INTEGER = re.compile(rb"[0-9]{1,9}")
_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
_COMMA = ord(",")


@dataclass(frozen=True, slots=True)
class RequestLine:
    """Parsed request line.

    Attributes:
        request_id: the id that the client has chosen.
        request: the request for the core.
        timeout_value_start: the position in the receive buffer of the value of field ``d``, which is
            the request's timeout in milliseconds.
        timeout_value_end: the position after that value.
        end: the length of the line in bytes, with its CRLF.
    """

    request_id: bytes
    request: ClientRequest
    timeout_value_start: int
    timeout_value_end: int
    end: int


def parse_request_line(buffer: bytearray, end: int, classes: frozenset[str]) -> RequestLine:
    """Parse the line at the start of ``buffer``. Only the exact form is accepted.

    Args:
        buffer: begins with the line.
        end: the length of the line in bytes, with its CRLF.
        classes: the names of the request classes.

    Raises:
        InvalidRequestLineError: the line has another form, or names no class.
    """
    match = _OPEN.fullmatch(buffer, 0, end)
    if match is None:
        raise InvalidRequestLineError("not an OPEN line")
    parsed = _parse_fields(buffer, *match.span(3))
    fields = parsed.values
    if not _INTEGER.fullmatch(fields.get(b"d", b"")):
        raise InvalidRequestLineError("d is not a time")
    class_name = fields.get(b"c", b"").decode()
    if class_name not in classes:
        raise InvalidRequestLineError("c names no class")
    expected_load = fields.get(b"h", b"")
    request = ClientRequest(
        class_name=class_name,
        tenant=fields.get(b"t", b"").decode(),
        timeout_ms=float(fields[b"d"]),
        group=fields.get(b"g", b"").decode(),
        expected_load=float(expected_load) if _NUMBER.fullmatch(expected_load) else 0.0,
        established_endpoint=fields.get(b"at", b"").decode(),
        client=match[2].decode(),
        is_reconnect=fields.get(b"again") == b"1",
        is_retry=fields.get(b"r") == b"1",
        client_request_id=match[1].decode(),
    )
    return RequestLine(bytes(match[1]), request, parsed.timeout_value_start, parsed.timeout_value_end, end)


class _Fields(NamedTuple):
    """Fields of a request line by name, and the span of the value of ``d`` in the buffer."""

    values: dict[bytes, bytes]
    timeout_value_start: int
    timeout_value_end: int


def _parse_fields(buffer: bytearray, start: int, end: int) -> _Fields:
    """Parse the list of fields from ``start`` to ``end``; raise InvalidRequestLineError if it is invalid."""
    fields: dict[bytes, bytes] = {}
    timeout_value_start = timeout_value_end = 0
    position = start
    while position <= end:
        field = _FIELD.match(buffer, position, end)
        if field is None or (field.end() < end and buffer[field.end()] != _COMMA):
            raise InvalidRequestLineError("not a list of names with values")
        name = field[1]
        if name in fields:
            raise InvalidRequestLineError("a name stands twice")
        fields[name] = field[2]
        if name == b"d":
            timeout_value_start, timeout_value_end = field.span(2)
        position = field.end() + 1
        if position == end:
            raise InvalidRequestLineError("the list ends in a comma")
    return _Fields(fields, timeout_value_start, timeout_value_end)
