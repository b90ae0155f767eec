"""Flow export, read back by a collector written from RFC 7011."""

from __future__ import annotations

import socket
import struct

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import ClientRequest
from sageturn.flows.exporter import FlowExporter, FlowOptions


class Collector:
    """Knows no template but those that it was sent."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(0.2)
        self.templates: dict[int, list[tuple[int, int]]] = {}
        self.records: list[dict[int, bytes]] = []
        self.sequences: list[int] = []
        self.seen_templates = 0

    def read(self) -> None:
        while True:
            try:
                data = self.sock.recv(65535)
            except TimeoutError:
                return
            version, length, _, sequence, _ = struct.unpack(">HHIII", data[:16])
            assert version == 10 and length == len(data) <= 1400
            self.sequences.append(sequence)
            at = 16
            while at < length:
                number, size = struct.unpack(">HH", data[at : at + 4])
                self._set(number, data[at + 4 : at + size])
                at += size

    def _set(self, number: int, body: bytes) -> None:
        if number in (2, 3):
            self.seen_templates += 1
            template, count = struct.unpack(">HH", body[:4])
            at = 4 + 2 * (number == 3)
            fields = [struct.unpack(">HH", body[at + 4 * k : at + 4 * k + 4]) for k in range(count)]
            self.templates[template] = [(a, b) for a, b in fields]
            return
        at = 0
        while at < len(body):
            record = {}
            for element, size in self.templates[number]:
                if size == 0xFFFF:
                    size, at = body[at], at + 1
                record[element], at = body[at : at + size], at + size
            self.records.append(record)


def record(n: int = 0, close_reason: CloseReason = CloseReason.SERVED) -> ConnectionRecord:
    made = ConnectionRecord(
        ClientRequest("c", "t" * 300, 1.0), 1000.0 + n, 2500.0, "a", 1, True, close_reason
    )
    made.client_address, made.endpoint_address = ("127.0.0.2", 40000), ("127.0.0.3", 8081)
    made.bytes_to_endpoint = 77
    return made


def test_a_record_for_each_ended_connection_reaches_a_collector() -> None:
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.sock.getsockname()))
    for n in range(60):  # more than one message holds
        exporter.ended(record(n))
    exporter.ended(record(60, CloseReason.MOVED))
    exporter.flush()
    collector.read()
    flows = [r for r in collector.records if 152 in r]
    assert [int.from_bytes(r[152]) for r in flows] == [1000 + n for n in range(61)]
    assert socket.inet_ntoa(flows[0][8]) == "127.0.0.2" and int.from_bytes(flows[0][11]) == 8081
    assert flows[0][96] == b"platform/c/served" and flows[0][371] == b"t" * 200
    assert (flows[0][136], flows[60][136]) == (b"\x03", b"\x04") and int.from_bytes(flows[0][231]) == 77
    # The sequence counts the data records sent before, so that a collector can tell how many it lost.
    assert collector.sequences[0] == 0 and collector.sequences[-1] == 61


def test_templates_are_sent_again_for_a_collector_that_came_late() -> None:
    late = Collector()
    exporter = FlowExporter(FlowOptions(late.sock.getsockname(), template_s=0.0))
    exporter.flush()
    exporter.flush()
    late.read()
    assert late.seen_templates == 4 and set(late.templates) == {256, 257}


def test_what_does_not_fit_is_dropped_counted_and_told() -> None:
    # A slow collector must never hold up, or fill the memory of, the relay.
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.sock.getsockname(), queue=5))
    for n in range(9):
        exporter.ended(record(n))
    exporter.flush()
    collector.read()
    assert exporter.dropped == 4
    assert [int.from_bytes(r[166]) for r in collector.records if 166 in r] == [4]


def test_a_collector_that_is_not_there_costs_records_and_nothing_else() -> None:
    collector = Collector()
    exporter = FlowExporter(FlowOptions(collector.sock.getsockname()))
    collector.sock.close()
    for n in range(4):
        exporter.ended(record(n))
        exporter.flush()
    assert exporter.dropped >= 1
