"""IPFIX messages are the same, byte for byte, as those of revision 6e0cdec."""

from __future__ import annotations

import os
import socket
import time
from pathlib import Path
from unittest import mock

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest, FinalResponse
from sageturn.flows.exporter import FlowExporter, FlowOptions, to_flow
from sageturn.flows.ipfix import (
    Flow,
    FlowEndReason,
    encode_flow_set,
    encode_message,
    encode_reliability_set,
    encode_templates,
)

FIXTURES = Path(__file__).parents[1] / "fixtures" / "flows"
NOW_S = 1_700_000_000
DOMAIN = 7


def make_flow(end_reason: int, application: str, user: str, byte_count: int) -> bytes:
    return Flow(
        start_ms=1_700_000_000_123,
        end_ms=1_700_000_009_456,
        source=("127.0.0.1", 40001),
        destination=("192.0.2.17", 65535),
        end_reason=FlowEndReason(end_reason),
        bytes_to_endpoint=byte_count,
        bytes_to_client=byte_count * 3,
        application=application,
        user=user,
    ).encode()


def make_messages() -> dict[str, bytes]:
    flows = [
        make_flow(1, "platform/walk-in/mute", "tenant-1", 0),
        make_flow(3, "platform/walk-in/served", "tổ-1", 1),
        make_flow(4, "xmpp/guest/moved", "", 2**40),
        make_flow(5, "ế" * 100, "u" * 300, 2**62),
    ]
    return {
        "templates": encode_message(encode_templates(), NOW_S, 0, DOMAIN),
        "flows": encode_message(encode_flow_set(flows), NOW_S, 3, DOMAIN),
        "templates-and-flow": encode_message(
            encode_templates() + encode_flow_set(flows[:1]), NOW_S, 2**32 - 1, 2**32 - 1
        ),
        "sequence-wraps": encode_message(encode_flow_set(flows[:1]), NOW_S, 2**32 + 5, DOMAIN),
        "loss": encode_message(encode_reliability_set(4242, 2**40 + 1), NOW_S, 9, DOMAIN),
    }


def make_ended_records() -> list[ConnectionRecord]:
    """Return a record for each close reason, in order, and then records without a close reason."""
    answers = [None, FinalResponse(rejected=True, reason="x"), FinalResponse(rejected=False, reason="x")]
    outcomes: list[tuple[CloseReason | None, FinalResponse | None]] = []
    outcomes += [(close_reason, None) for close_reason in CloseReason]
    outcomes += [(None, answer) for answer in answers]
    records = []
    for close_reason, answer in outcomes:
        record = ConnectionRecord(ClientRequest("walk-in", "tổ-1", 2000.0), 1_700_000_000_123.9)
        record.client_address = ("127.0.0.1", 40001)
        record.endpoint_address = ("192.0.2.17", 443)
        record.close_reason = close_reason
        record.final_response = answer
        record.ended_ms = 1_700_000_001_000.0
        record.bytes_to_endpoint = 12
        record.bytes_to_client = 34
        records.append(record)
    return records


def export(records: list[ConnectionRecord], max_queued_flows: int) -> list[bytes]:
    """Return the datagrams of two flushes; records beyond the queue's capacity are reported as dropped."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.setblocking(False)
        exporter = FlowExporter(
            FlowOptions(collector.getsockname(), DOMAIN, max_queued_flows=max_queued_flows)
        )
        with (
            mock.patch.object(time, "time", lambda: NOW_S + 0.5),
            mock.patch.object(os, "getpid", lambda: 42),
        ):
            for record in records:
                exporter.export(record)
            exporter.flush()
            exporter.export(records[0])
            exporter.flush()
        exporter.close()
        datagrams = []
        while True:
            try:
                datagrams.append(collector.recv(65535))
            except BlockingIOError:
                return datagrams


def hex_lines(parts: list[bytes]) -> bytes:
    return "".join(part.hex() + "\n" for part in parts).encode()


def produce_fixtures() -> dict[str, bytes]:
    files = {f"{name}.bin": data for name, data in make_messages().items()}
    files["endings.hex"] = hex_lines([to_flow(record).encode() for record in make_ended_records()])
    files["exporter.hex"] = hex_lines(export(make_ended_records(), max_queued_flows=20))
    return files


def test_messages_are_the_committed_bytes() -> None:
    made = produce_fixtures()
    assert set(made) == {path.name for path in FIXTURES.iterdir()}
    for name, data in made.items():
        assert data == (FIXTURES / name).read_bytes(), name


def test_the_committed_messages_state_their_own_length() -> None:
    for path in FIXTURES.glob("*.bin"):
        data = path.read_bytes()
        assert int.from_bytes(data[2:4], "big") == len(data) <= 1400, path.name
