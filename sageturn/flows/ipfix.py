"""IPFIX messages (RFC 7011); information elements by their numbers in IANA's registry."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

VERSION = 10
TEMPLATE_SET, OPTIONS_SET = 2, 3
FLOW_TEMPLATE, LOSS_TEMPLATE = 256, 257
VARIABLE = 0xFFFF
MESSAGE_MOST = 1400  # stays whole on any path that UDP may take
_HEADER = struct.Struct(">HHIII")
_SET = struct.Struct(">HH")
_FLOW = struct.Struct(">QQ4s4sHHBBQQ")

# (information element, length)
FLOW_FIELDS = (
    (152, 8),  # flowStartMilliseconds
    (153, 8),  # flowEndMilliseconds
    (8, 4),  # sourceIPv4Address
    (12, 4),  # destinationIPv4Address
    (7, 2),  # sourceTransportPort
    (11, 2),  # destinationTransportPort
    (4, 1),  # protocolIdentifier
    (136, 1),  # flowEndReason
    (231, 8),  # initiatorOctets
    (232, 8),  # responderOctets
    (96, VARIABLE),  # applicationName: the front, class and ending
    (371, VARIABLE),  # userName: the tenant
)
LOSS_FIELDS = ((144, 4), (166, 8))  # exportingProcessId (the scope), notSentFlowTotalCount
END_IDLE, END_DETECTED, END_FORCED, END_RESOURCES = 1, 3, 4, 5
TCP = 6


@dataclass(frozen=True, slots=True)
class Flow:
    start_ms: int
    end_ms: int
    source: tuple[str, int]
    destination: tuple[str, int]
    reason: int
    bytes_to_endpoint: int
    bytes_to_client: int
    application: str
    user: str

    def encode(self) -> bytes:
        fixed = _FLOW.pack(
            self.start_ms,
            self.end_ms,
            socket.inet_aton(self.source[0]),
            socket.inet_aton(self.destination[0]),
            self.source[1],
            self.destination[1],
            TCP,
            self.reason,
            self.bytes_to_endpoint,
            self.bytes_to_client,
        )
        return fixed + _text(self.application) + _text(self.user)


def _text(value: str) -> bytes:
    """A field of variable length; a cut never leaves half a character."""
    data = value.encode()[:200].decode(errors="ignore").encode()
    return bytes([len(data)]) + data


def _set(number: int, body: bytes) -> bytes:
    return _SET.pack(number, _SET.size + len(body)) + body


def templates() -> bytes:
    fields = b"".join(struct.pack(">HH", *f) for f in FLOW_FIELDS)
    flow = struct.pack(">HH", FLOW_TEMPLATE, len(FLOW_FIELDS)) + fields
    fields = b"".join(struct.pack(">HH", *f) for f in LOSS_FIELDS)
    loss = struct.pack(">HHH", LOSS_TEMPLATE, len(LOSS_FIELDS), 1) + fields
    return _set(TEMPLATE_SET, flow) + _set(OPTIONS_SET, loss)


def flow_set(records: list[bytes]) -> bytes:
    return _set(FLOW_TEMPLATE, b"".join(records))


def loss_set(process_id: int, dropped: int) -> bytes:
    return _set(LOSS_TEMPLATE, struct.pack(">IQ", process_id, dropped))


def message(sets: bytes, now_s: int, sequence: int, domain: int) -> bytes:
    """``sequence``: how many data records this exporter had sent before, modulo 2^32."""
    return _HEADER.pack(VERSION, _HEADER.size + len(sets), now_s, sequence & 0xFFFFFFFF, domain) + sets


ROOM = MESSAGE_MOST - _HEADER.size - _SET.size
