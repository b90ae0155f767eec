"""Encodes IPFIX messages (RFC 7011). Information elements have the numbers of IANA's registry."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sageturn.net.addresses import Address

VERSION = 10
MAX_MESSAGE_BYTES = 1400  # UDP datagrams of this size are not fragmented
MAX_TEXT_BYTES = 200  # limit of an encoded text; longer ones are truncated
MAX_FLOW_BYTES = 512  # no encoded flow is larger
VARIABLE_LENGTH = 0xFFFF
TCP_PROTOCOL_NUMBER = 6  # number of TCP in an IP header

TEMPLATE_SET_ID = 2
OPTIONS_TEMPLATE_SET_ID = 3
FLOW_TEMPLATE_ID = 256
RELIABILITY_TEMPLATE_ID = 257

_MESSAGE_HEADER = struct.Struct(">HHIII")
_SET_HEADER = struct.Struct(">HH")
_TEMPLATE_HEADER = struct.Struct(">HH")
_OPTIONS_TEMPLATE_HEADER = struct.Struct(">HHH")
_TEMPLATE_FIELD = struct.Struct(">HH")
_FLOW_FIXED_FIELDS = struct.Struct(">QQ4s4sHHBBQQ")
_RELIABILITY_RECORD = struct.Struct(">IQ")

# Limit of the records in a message with one set.
MAX_RECORDS_BYTES = MAX_MESSAGE_BYTES - _MESSAGE_HEADER.size - _SET_HEADER.size


class FlowEndReason(IntEnum):
    """Value of the information element flowEndReason."""

    IDLE_TIMEOUT = 1
    END_OF_FLOW_DETECTED = 3
    FORCED_END = 4
    LACK_OF_RESOURCES = 5


class TemplateField(NamedTuple):
    """Number of an information element, and its length in bytes."""

    element_id: int
    length: int


FLOW_FIELDS = (
    TemplateField(152, 8),  # flowStartMilliseconds
    TemplateField(153, 8),  # flowEndMilliseconds
    TemplateField(8, 4),  # sourceIPv4Address
    TemplateField(12, 4),  # destinationIPv4Address
    TemplateField(7, 2),  # sourceTransportPort
    TemplateField(11, 2),  # destinationTransportPort
    TemplateField(4, 1),  # protocolIdentifier
    TemplateField(136, 1),  # flowEndReason
    TemplateField(231, 8),  # initiatorOctets
    TemplateField(232, 8),  # responderOctets
    TemplateField(96, VARIABLE_LENGTH),  # applicationName: frontend, class and close reason
    TemplateField(371, VARIABLE_LENGTH),  # userName: the tenant
)
# The template for Exporting Process Reliability Statistics (RFC 7011, section 4.3).
RELIABILITY_SCOPE_FIELDS = (TemplateField(144, 4),)  # exportingProcessId
RELIABILITY_FIELDS = (TemplateField(166, 8),)  # notSentFlowTotalCount


@dataclass(frozen=True, slots=True)
class Flow:
    """Flow of an ended connection. Times are in milliseconds since the epoch."""

    start_ms: int
    end_ms: int
    source: Address
    destination: Address
    end_reason: FlowEndReason
    bytes_to_endpoint: int
    bytes_to_client: int
    application: str
    user: str

    def encode(self) -> bytes:
        """Return the data record, with the fields in the order of ``FLOW_FIELDS``."""
        source_address, source_port = self.source
        destination_address, destination_port = self.destination
        fixed = _FLOW_FIXED_FIELDS.pack(
            self.start_ms,
            self.end_ms,
            socket.inet_aton(source_address),
            socket.inet_aton(destination_address),
            source_port,
            destination_port,
            TCP_PROTOCOL_NUMBER,
            self.end_reason,
            self.bytes_to_endpoint,
            self.bytes_to_client,
        )
        return fixed + _encode_text(self.application) + _encode_text(self.user)


def encode_templates() -> bytes:
    """Return the template sets, which define the records of flows and of reliability statistics."""
    flow_template = _TEMPLATE_HEADER.pack(FLOW_TEMPLATE_ID, len(FLOW_FIELDS)) + _encode_fields(FLOW_FIELDS)
    reliability_fields = RELIABILITY_SCOPE_FIELDS + RELIABILITY_FIELDS
    reliability_header = _OPTIONS_TEMPLATE_HEADER.pack(
        RELIABILITY_TEMPLATE_ID, len(reliability_fields), len(RELIABILITY_SCOPE_FIELDS)
    )
    reliability_template = reliability_header + _encode_fields(reliability_fields)
    return _encode_set(TEMPLATE_SET_ID, flow_template) + _encode_set(
        OPTIONS_TEMPLATE_SET_ID, reliability_template
    )


def encode_flow_set(flows: list[bytes]) -> bytes:
    """Return a set of encoded flows, whose total size may be ``MAX_RECORDS_BYTES`` at most."""
    return _encode_set(FLOW_TEMPLATE_ID, b"".join(flows))


def encode_reliability_set(process_id: int, dropped_flows: int) -> bytes:
    """Return a set of reliability statistics: the number of flows that were not exported."""
    return _encode_set(RELIABILITY_TEMPLATE_ID, _RELIABILITY_RECORD.pack(process_id, dropped_flows))


def encode_message(sets: bytes, now_s: int, sequence: int, observation_domain: int) -> bytes:
    """Return a message that contains ``sets``.

    Args:
        sets: Encoded sets, one after the other.
        now_s: Time of export, in seconds since the epoch.
        sequence: Number of data records that this exporter has sent before; taken modulo 2^32.
        observation_domain: Id of the observation domain.
    """
    length = _MESSAGE_HEADER.size + len(sets)
    return _MESSAGE_HEADER.pack(VERSION, length, now_s, sequence & 0xFFFFFFFF, observation_domain) + sets


def _encode_fields(fields: tuple[TemplateField, ...]) -> bytes:
    return b"".join(_TEMPLATE_FIELD.pack(field.element_id, field.length) for field in fields)


def _encode_set(set_id: int, body: bytes) -> bytes:
    return _SET_HEADER.pack(set_id, _SET_HEADER.size + len(body)) + body


def _encode_text(value: str) -> bytes:
    """Return a field of variable length; truncate a text that is too long between characters."""
    data = value.encode()[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return bytes([len(data)]) + data
