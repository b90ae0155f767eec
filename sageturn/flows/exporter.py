"""Exports a flow for each ended connection to a collector over UDP, and counts the dropped flows."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from dataclasses import dataclass

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.flows import ipfix
from sageturn.flows.ipfix import FlowEndReason
from sageturn.net.addresses import Address

log = logging.getLogger(__name__)

FLUSH_INTERVAL_S = 0.5

# All other reasons, and requests that were not placed, map to END_OF_FLOW_DETECTED.
_END_REASON_OF_CLOSE_REASON = {
    CloseReason.MUTE: FlowEndReason.IDLE_TIMEOUT,
    CloseReason.TIMEOUT: FlowEndReason.IDLE_TIMEOUT,
    CloseReason.MOVED: FlowEndReason.FORCED_END,
    CloseReason.CANCELLED: FlowEndReason.FORCED_END,
    CloseReason.BUSY: FlowEndReason.LACK_OF_RESOURCES,
    CloseReason.NOT_SENT: FlowEndReason.LACK_OF_RESOURCES,
}


@dataclass(frozen=True, slots=True)
class FlowOptions:
    """Options in the section ``flows`` of the operator file."""

    collector: Address
    observation_domain: int = 1
    template_interval_s: float = 30.0
    max_queued_flows: int = 4096


def to_flow(record: ConnectionRecord) -> ipfix.Flow:
    """Return the flow of an ended connection, or of a request that got no connection."""
    return ipfix.Flow(
        start_ms=int(record.started_ms),
        end_ms=int(record.ended_ms),
        source=record.client_address,
        destination=record.endpoint_address,
        end_reason=_end_reason(record),
        bytes_to_endpoint=record.bytes_to_endpoint,
        bytes_to_client=record.bytes_to_client,
        application=f"{record.frontend}/{record.request.class_name}/{_outcome(record)}",
        user=record.request.tenant,
    )


def _end_reason(record: ConnectionRecord) -> FlowEndReason:
    if record.close_reason is None:
        return FlowEndReason.END_OF_FLOW_DETECTED
    return _END_REASON_OF_CLOSE_REASON.get(record.close_reason, FlowEndReason.END_OF_FLOW_DETECTED)


def _outcome(record: ConnectionRecord) -> str:
    """Return the outcome of the request as it is sent to the collector."""
    if record.final_response is not None:
        return "fail_fast" if record.final_response.rejected else "failed"
    if record.close_reason is not None:
        return record.close_reason.name.lower()
    return "not_placed"


class FlowExporter:
    """Exporter that sends queued flows from a task of its own, so that closing a connection never waits."""

    def __init__(self, options: FlowOptions) -> None:
        self.dropped_flows = 0  # number of flows that were not sent
        self._options = options
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(options.max_queued_flows)
        self._socket: socket.socket | None = None  # opened when the first message is sent
        self._sequence = 0
        self._templates_sent_at_s: float | None = None
        self._reported_dropped_count: int | None = None  # None if not reported since the last templates

    def export(self, record: ConnectionRecord) -> None:
        """Queue the flow of an ended connection, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(to_flow(record).encode())
        except asyncio.QueueFull:
            self.dropped_flows += 1

    async def run(self) -> None:
        """Send queued flows until cancelled; then send the rest and close the socket."""
        try:
            while True:
                await asyncio.sleep(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()
            self.close()

    def flush(self) -> None:
        """Send the queued flows, and drop those of a message that cannot be sent.

        UDP may lose messages, so the templates and the number of dropped flows are sent repeatedly.
        """
        if not self._send_due_templates():
            return
        while not self._queue.empty():
            flows = self._take_flows()
            if not self._send(ipfix.encode_flow_set(flows), len(flows)):
                self.dropped_flows += len(flows)
                break
        if self.dropped_flows != self._reported_dropped_count:
            self._send_dropped_count()

    def close(self) -> None:
        """Close the socket; the next message opens another."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send_due_templates(self) -> bool:
        """Send the templates if they are due; return False if they could not be sent."""
        now_s = time.monotonic()
        sent_at_s = self._templates_sent_at_s
        if sent_at_s is not None and now_s - sent_at_s < self._options.template_interval_s:
            return True
        if not self._send(ipfix.encode_templates(), 0):
            return False
        self._templates_sent_at_s = now_s
        self._reported_dropped_count = None
        return True

    def _send_dropped_count(self) -> None:
        if self._send(ipfix.encode_reliability_set(os.getpid(), self.dropped_flows), 1):
            self._reported_dropped_count = self.dropped_flows

    def _take_flows(self) -> list[bytes]:
        """Remove and return as many queued flows as fit in one message."""
        flows: list[bytes] = []
        remaining_bytes = ipfix.MAX_RECORDS_BYTES
        while not self._queue.empty() and remaining_bytes >= ipfix.MAX_FLOW_BYTES:
            flow = self._queue.get_nowait()
            flows.append(flow)
            remaining_bytes -= len(flow)
        return flows

    def _send(self, sets: bytes, record_count: int) -> bool:
        message = ipfix.encode_message(
            sets, int(time.time()), self._sequence, self._options.observation_domain
        )
        try:
            self._connected_socket().send(message)
        except OSError as error:
            # The collector is not listening, the send buffer is full, or there is no route or socket at the
            # moment. Later messages may be sent.
            log.info("flow export failed collector=%s:%d reason=%s", *self._options.collector, error)
            return False
        self._sequence += record_count
        return True

    def _connected_socket(self) -> socket.socket:
        """Return the connected socket, and open it first if necessary.

        Raises:
            OSError: the system has no socket, or no route to the collector, at the moment.
        """
        if self._socket is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.setblocking(False)
                sock.connect(self._options.collector)
            except OSError:
                sock.close()
                raise
            self._socket = sock
        return self._socket
