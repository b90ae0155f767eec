"""Flow export, decoded by a collector that is written from RFC 7011."""

from __future__ import annotations

import errno
import socket
import struct

import pytest
from support.failing_calls import FailingCall

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest
from sageturn.flows.exporter import FlowExporter, FlowOptions


class Collector:
    """Collector that decodes records only by the templates that it has received."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(0.2)
        self.templates: dict[int, list[tuple[int, int]]] = {}
        self.records: list[dict[int, bytes]] = []
        self.sequences: list[int] = []
        self.template_count = 0

    def read(self) -> None:
        while True:
            try:
                data = self.socket.recv(65535)
            except TimeoutError:
                return
            version, length, _, sequence, _ = struct.unpack(">HHIII", data[:16])
            assert version == 10 and length == len(data) <= 1400
            self.sequences.append(sequence)
            offset = 16
            while offset < length:
                set_id, size = struct.unpack(">HH", data[offset : offset + 4])
                self._read_set(set_id, data[offset + 4 : offset + size])
                offset += size

    def _read_set(self, set_id: int, body: bytes) -> None:
        if set_id in (2, 3):
            self._read_template(set_id, body)
        else:
            self._read_records(set_id, body)

    def _read_template(self, set_id: int, body: bytes) -> None:
        self.template_count += 1
        template_id, count = struct.unpack(">HH", body[:4])
        offset = 6 if set_id == 3 else 4
        fields = struct.iter_unpack(">HH", body[offset : offset + 4 * count])
        self.templates[template_id] = [(element, size) for element, size in fields]

    def _read_records(self, template_id: int, body: bytes) -> None:
        offset = 0
        while offset < len(body):
            record = {}
            for element, size in self.templates[template_id]:
                if size == 0xFFFF:
                    size = body[offset]
                    offset += 1
                record[element] = body[offset : offset + size]
                offset += size
            self.records.append(record)


def make_record(number: int = 0, close_reason: CloseReason = CloseReason.SERVED) -> ConnectionRecord:
    request = ClientRequest("c", "t" * 300, 1.0)
    record = ConnectionRecord(request, 1000.0 + number, 2500.0, "a", 1, True, close_reason)
    record.client_address = ("127.0.0.2", 40000)
    record.endpoint_address = ("127.0.0.3", 8081)
    record.bytes_to_endpoint = 77
    return record


def test_a_record_for_each_ended_connection_reaches_a_collector() -> None:
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.socket.getsockname()))
    for number in range(60):  # more flows than one message holds
        exporter.export(make_record(number))
    exporter.export(make_record(60, CloseReason.MOVED))
    exporter.flush()
    collector.read()
    flows = [record for record in collector.records if 152 in record]
    assert [int.from_bytes(flow[152]) for flow in flows] == [1000 + number for number in range(61)]
    assert socket.inet_ntoa(flows[0][8]) == "127.0.0.2" and int.from_bytes(flows[0][11]) == 8081
    assert flows[0][96] == b"platform/c/served" and flows[0][371] == b"t" * 200
    assert (flows[0][136], flows[60][136]) == (b"\x03", b"\x04") and int.from_bytes(flows[0][231]) == 77
    # The sequence number counts the data records sent before, so that a collector can detect lost ones.
    assert collector.sequences[0] == 0 and collector.sequences[-1] == 61


def test_templates_are_sent_again_after_their_interval() -> None:
    # A collector that starts after the relay needs the templates to decode the records.
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.socket.getsockname(), template_interval_s=0.0))
    exporter.flush()
    exporter.flush()
    collector.read()
    assert collector.template_count == 4 and set(collector.templates) == {256, 257}


def test_flows_beyond_the_queue_are_dropped_and_reported() -> None:
    # A slow collector must neither block the relay nor fill the relay's memory.
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.socket.getsockname(), max_queued_flows=5))
    for number in range(9):
        exporter.export(make_record(number))
    exporter.flush()
    collector.read()
    assert exporter.dropped_flows == 4
    assert [int.from_bytes(record[166]) for record in collector.records if 166 in record] == [4]


def test_absent_collector_only_causes_dropped_flows() -> None:
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.socket.getsockname()))
    collector.socket.close()
    for number in range(4):
        exporter.export(make_record(number))
        exporter.flush()
    assert exporter.dropped_flows >= 1


def test_flows_are_sent_once_there_is_a_route_and_a_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    # The relay failed to start while it had no route to the collector, or while the system had no socket.
    failing = FailingCall(socket.socket, "connect", [errno.ENOBUFS, errno.EHOSTUNREACH, errno.ENETUNREACH])
    collector = Collector()
    failing.install(monkeypatch)
    exporter = FlowExporter(FlowOptions(collector.socket.getsockname()))
    exporter.export(make_record())
    while failing.is_failing:
        exporter.flush()
    exporter.flush()
    collector.read()
    assert len([record for record in collector.records if 152 in record]) == 1
    exporter.close()
    collector.socket.close()
