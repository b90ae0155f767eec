"""The first line of a connection, read where it lies in the receive buffer."""

from __future__ import annotations

import re
from dataclasses import dataclass

from sageturn.core.messages import ClientRequest

LINE_MOST = 4096
_TOKEN = rb"[!-~]{1,64}"
_OPEN = re.compile(rb"OPEN (" + _TOKEN + rb") (" + _TOKEN + rb") ([!-~]+)\r\n")
_PAIR = re.compile(rb"([A-Za-z0-9_]{1,32})=([!-+\--~]*)")
_WHOLE = re.compile(rb"[0-9]{1,9}")
_NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


class Malformed(ValueError):
    """No first line that may go on to a live host; the text says why."""


@dataclass(frozen=True, slots=True)
class FirstLine:
    request_id: bytes
    ask: ClientRequest
    wait_from: int  # where in the buffer the value of d lies
    wait_to: int
    end: int


def parse_first_line(buffer: bytearray, end: int, classes: frozenset[str]) -> FirstLine:
    """``end`` is where the line ends in ``buffer``, its CRLF included.

    Strict, because what no client sent in this form voids the run once it reaches a live host.
    """
    match = _OPEN.fullmatch(buffer, 0, end)
    if match is None:
        raise Malformed("not an OPEN line")
    at, last = match.span(3)
    found: dict[bytes, bytes] = {}
    wait = (0, 0)
    while at <= last:
        pair = _PAIR.match(buffer, at, last)
        if pair is None or (pair.end() < last and buffer[pair.end()] != 0x2C):
            raise Malformed("not a list of names with values")
        name = pair[1]
        if name in found:
            raise Malformed("a name stands twice")
        found[name] = pair[2]
        if name == b"d":
            wait = pair.span(2)
        at = pair.end() + 1
        if at == last:
            raise Malformed("the list ends in a comma")
    if not _WHOLE.fullmatch(found.get(b"d", b"")):
        raise Malformed("d is not a time")
    class_name = found.get(b"c", b"").decode()
    if class_name not in classes:
        raise Malformed("c names no class")
    expected_load = found.get(b"h", b"")
    return FirstLine(
        bytes(match[1]),
        ClientRequest(
            class_name=class_name,
            tenant=found.get(b"t", b"").decode(),
            timeout_ms=float(found[b"d"]),
            group=found.get(b"g", b"").decode(),
            expected_load=float(expected_load) if _NUMBER.fullmatch(expected_load) else 0.0,
            established_endpoint=found.get(b"at", b"").decode(),
            client=match[2].decode(),
            returned=found.get(b"again") == b"1",
            retried=found.get(b"r") == b"1",
            client_request_id=match[1].decode(),
        ),
        wait[0],
        wait[1],
        end,
    )
