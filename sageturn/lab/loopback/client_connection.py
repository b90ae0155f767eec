"""Connection of a client on a loopback socket: its request, the response, messages, and the end."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from sageturn.lab.loopback.fakes import LineProtocol
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import Client, ClientSampler

MESSAGE_INTERVAL_S = 2.0
INITIAL_CONNECTION_TIMEOUT_MS = 30000  # timeout of the initial connections, which are made together
MAX_MESSAGE_US = 60_000_000


class ConnectionOwner(Protocol):
    """Interface of a client population that a connection uses."""

    spec: FleetSpec
    sampler: ClientSampler

    def next_request_id(self) -> str:
        """Return a new request id."""

    def on_established(self, connection: ClientConnection, setup_s: float) -> None:
        """Handle an established connection; ``setup_s`` is the time since the client requested it."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle the end of a connection, established or not."""

    def count(self, event: ClientEvent) -> None:
        """Count an event."""

    def record_message(self, class_index: int, duration_us: int) -> None:
        """Record the time between a message and its answer, in microseconds."""


class ClientConnection(LineProtocol):
    """Connection through a relay; ``initial_endpoint`` is the endpoint of one that predates the run."""

    def __init__(self, owner: ConnectionOwner, client: Client, relay: int, initial_endpoint: str) -> None:
        super().__init__()
        self.client = client
        self.relay = relay
        self.initial_endpoint = initial_endpoint
        self.endpoint = ""
        self.closed = asyncio.Event()
        self.established = False
        self.migrated = False
        self.finished = False  # True if the client closed it at the end of its lifetime
        self.retry_after_s = 0.0
        self._owner = owner
        self._established_s = 0.0
        self._message_sent_s: float | None = None  # None if no answer is outstanding
        self._lifetime_timers: list[asyncio.TimerHandle] = []
        self._message_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, and start its timeout."""
        super().connection_made(transport)
        class_spec = self._owner.spec.classes[self.client.class_index]
        timeout_ms = round(class_spec.client_timeout_ms)
        if self.initial_endpoint:
            timeout_ms = INITIAL_CONNECTION_TIMEOUT_MS
        self.write(self._encode_request(class_spec.name, timeout_ms))
        loop = asyncio.get_running_loop()
        self._lifetime_timers.append(loop.call_later(timeout_ms / 1000.0, self._on_timeout))

    def _encode_request(self, class_name: str, timeout_ms: int) -> bytes:
        client = self.client
        load_us = client.load * self._owner.spec.work_us_per_load
        values = [f"c={class_name}", f"t={client.tenant}", f"d={timeout_ms}", f"h={load_us:.1f}"]
        if client.group:
            values.append(f"g={client.group}")
        if client.attempts:
            values.append("again=1")
        if self.initial_endpoint:
            values.append(f"at={self.initial_endpoint}")
        return f"OPEN {self._owner.next_request_id()} {client.key} {','.join(values)}\r\n".encode()

    def _on_timeout(self) -> None:
        if not self.established:
            self._owner.count(ClientEvent.UNANSWERED)
            self.abort()

    def on_line(self, line: bytes) -> None:
        """Handle a line from the relay."""
        if self.established:
            self._on_message(line)
        elif line.startswith(b"UP "):
            self._on_up(line[3:].decode("ascii", "replace"))
        else:
            self._on_rejected(line)

    def _on_message(self, line: bytes) -> None:
        if line == b"MOVE":
            self.migrated = True
        elif line.startswith(b"M ") and self._message_sent_s is not None:
            duration_us = max(1, round((time.monotonic() - self._message_sent_s) * 1e6))
            self._owner.record_message(self.client.class_index, min(duration_us, MAX_MESSAGE_US))
            self._message_sent_s = None

    def _on_up(self, endpoint: str) -> None:
        loop = asyncio.get_running_loop()
        self.established = True
        self.endpoint = endpoint
        self._established_s = loop.time()
        assert self.client.waiting_since_s is not None
        self._owner.on_established(self, loop.time() - self.client.waiting_since_s)
        self._lifetime_timers.append(loop.call_later(max(0.0, self.client.lifetime_s), self._on_finished))
        first_message_s = self._owner.sampler.uniform(0.0, MESSAGE_INTERVAL_S)
        self._message_timer = loop.call_later(first_message_s, self._send_message)

    def _on_rejected(self, line: bytes) -> None:
        self._owner.count(ClientEvent.BUSY if line.startswith(b"BUSY") else ClientEvent.ERROR)
        words = line.split()
        if len(words) > 1 and words[0] == b"BUSY" and words[1].isdigit():
            self.retry_after_s = int(words[1]) / 1000.0

    def _send_message(self) -> None:
        """Send a message unless the previous one is unanswered, and schedule the next."""
        if self._message_sent_s is None:
            self._message_sent_s = time.monotonic()
            self.write(b"M 1\r\n")
        self._message_timer = asyncio.get_running_loop().call_later(MESSAGE_INTERVAL_S, self._send_message)

    def _on_finished(self) -> None:
        self.finished = True
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all timers, and subtract the connected time from the client's lifetime."""
        for timer in self._lifetime_timers:
            timer.cancel()
        if self._message_timer is not None:
            self._message_timer.cancel()
        if self.established:
            self.client.lifetime_s -= asyncio.get_running_loop().time() - self._established_s
            if self.finished:
                self.client.lifetime_s = 0.0
        self._owner.on_closed(self)
        self.closed.set()
