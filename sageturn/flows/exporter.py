"""Sends a flow for each ended connection to a collector over UDP; what it cannot keep up with is counted."""

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

log = logging.getLogger(__name__)

FLUSH_S = 0.5
_REASONS = {
    CloseReason.MUTE: ipfix.END_IDLE,
    CloseReason.TIMEOUT: ipfix.END_IDLE,
    CloseReason.MOVED: ipfix.END_FORCED,
    CloseReason.CANCELLED: ipfix.END_FORCED,
    CloseReason.BUSY: ipfix.END_RESOURCES,
    CloseReason.NOT_SENT: ipfix.END_RESOURCES,
}


@dataclass(frozen=True, slots=True)
class FlowOptions:
    collector: tuple[str, int]
    domain: int = 1
    template_s: float = 30.0
    queue: int = 4096


def to_flow(record: ConnectionRecord) -> ipfix.Flow:
    close_reason = record.close_reason
    how = close_reason.name.lower() if close_reason is not None else "not_placed"
    if record.final_response is not None:
        how = "fail_fast" if record.final_response.rejected else "failed"
    reason = ipfix.END_DETECTED if close_reason is None else _REASONS.get(close_reason, ipfix.END_DETECTED)
    return ipfix.Flow(
        start_ms=int(record.started_ms),
        end_ms=int(record.ended_ms),
        source=record.client_address,
        destination=record.endpoint_address,
        reason=reason,
        bytes_to_endpoint=record.bytes_to_endpoint,
        bytes_to_client=record.bytes_to_client,
        application=f"{record.frontend}/{record.request.class_name}/{how}",
        user=record.request.tenant,
    )


class FlowExporter:
    """Never waits for the collector: whoever ends a connection only puts its flow into the queue."""

    def __init__(self, options: FlowOptions) -> None:
        self._options = options
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(options.queue)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.connect(options.collector)
        self._sequence = 0
        self._templates_s = float("-inf")
        self._told_dropped = -1
        self.dropped = 0

    def ended(self, record: ConnectionRecord) -> None:
        try:
            self._queue.put_nowait(to_flow(record).encode())
        except asyncio.QueueFull:
            self.dropped += 1

    async def run(self) -> None:
        try:
            while True:
                await asyncio.sleep(FLUSH_S)
                self.flush()
        finally:
            self.flush()
            self._sock.close()

    def flush(self) -> None:
        """UDP loses messages, so templates and the count of drops are said again and again."""
        now_s = time.monotonic()
        if now_s - self._templates_s >= self._options.template_s:
            if not self._send(ipfix.templates(), 0):
                return
            self._templates_s = now_s
            self._told_dropped = -1
        while not self._queue.empty():
            records: list[bytes] = []
            room = ipfix.ROOM
            while not self._queue.empty() and room >= 512:
                records.append(self._queue.get_nowait())
                room -= len(records[-1])
            if not self._send(ipfix.flow_set(records), len(records)):
                self.dropped += len(records)
                break
        if self.dropped != self._told_dropped and self._send(ipfix.loss_set(os.getpid(), self.dropped), 1):
            self._told_dropped = self.dropped

    def _send(self, sets: bytes, records: int) -> bool:
        data = ipfix.message(sets, int(time.time()), self._sequence, self._options.domain)
        try:
            self._sock.send(data)
        except OSError as error:
            # Nobody listens there, or the buffer is full: the next messages will do better.
            log.info("flows: %s", error)
            return False
        self._sequence += records
        return True
