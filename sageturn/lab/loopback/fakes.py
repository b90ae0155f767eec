"""Fakes of a relay's environment on loopback sockets: endpoints with the line protocol, and discovery."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import cast

from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.net.json_stream import JsonObject

LOOPBACK = "127.0.0.1"
MAX_LINE_BYTES = 1 << 16
LISTEN_BACKLOG = 1024
MAX_RECORDED_REQUESTS = 100_000
DISCOVERY_HEARTBEAT_S = 2.0
OPEN_WORD_COUNT = 4


class LineProtocol(asyncio.Protocol):
    """Connection that is read line by line; subclasses implement ``on_line``."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def data_received(self, data: bytes) -> None:
        """Split the data into lines; abort the connection if a line exceeds ``MAX_LINE_BYTES``."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.abort()
        for line in lines:
            self.on_line(line.rstrip(b"\r"))

    def on_line(self, line: bytes) -> None:
        """Handle a line, which has no line terminator."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Send data, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection once all data is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Request line of a client: ``OPEN id key name=value,...``."""

    request_id: str
    client_key: str
    values: dict[str, str]


def parse_open_request(line: bytes) -> OpenRequest | None:
    """Return the request in a line; None if the line is no valid OPEN request."""
    words = line.decode("ascii", "replace").split(" ")
    if len(words) != OPEN_WORD_COUNT or words[0] != "OPEN":
        return None
    values = dict(pair.partition("=")[::2] for pair in words[3].split(","))
    return OpenRequest(words[1], words[2], values)


class FakeEndpoint:
    """Endpoint on a listening socket, which behaves according to its model.

    ``setup_requested_s`` has the times of the latest set-up requests on the system's monotonic clock, and
    ``malformed_requests`` is the number of first lines that are no valid OPEN request.
    """

    def __init__(self, model: EndpointModel, work_us_per_load: float) -> None:
        self.model = model
        self.work_us_per_load = work_us_per_load
        self.address = (LOOPBACK, 0)
        self.connections: set[_EndpointConnection] = set()
        self.setup_requested_s: deque[float] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.malformed_requests = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _EndpointConnection(self), LOOPBACK, 0, backlog=LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        self._abort_all()

    def crash(self) -> None:
        """Stop for good, like an endpoint that was overloaded while it was cold.

        The model is marked as crashed, and all connections are aborted.
        """
        self.model.crashed = True
        self._abort_all()

    async def drain(self, duration_s: float) -> None:
        """Reject new connections, and close the existing ones one by one over ``duration_s``."""
        self.model.draining = True
        closing = list(self.connections)
        for connection in closing:
            connection.write(b"MOVE\r\n")
            connection.close()
            await asyncio.sleep(duration_s / max(1, len(closing)))

    def _abort_all(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class _EndpointConnection(LineProtocol):
    """Connection of a relay: an OPEN line, the response after the set-up, then an echo of each line."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._load = 0.0
        self._group = ""
        self._established = False
        self._setup_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._endpoint.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._endpoint.connections.discard(self)
        if self._setup_timer is not None:
            self._setup_timer.cancel()
        if self._established:
            self._endpoint.model.remove_connection(self._load, self._group)

    def on_line(self, line: bytes) -> None:
        if self._established:
            self.write(line + b"\r\n")
        elif self._setup_timer is None:
            self._on_open(line)

    def _on_open(self, line: bytes) -> None:
        request = parse_open_request(line)
        if request is None:
            self._endpoint.malformed_requests += 1
            self.write(b"SYNTAX\r\n")
            self.close()
            return
        self._load = float(request.values.get("h", "0")) / self._endpoint.work_us_per_load
        self._group = request.values.get("g", "")
        if "at" in request.values:  # the connection predates the relay
            self._establish()
            return
        self._endpoint.setup_requested_s.append(time.monotonic())
        self._start_setup()

    def _start_setup(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        model = self._endpoint.model
        admitted = model.admit(now_s, self._load)
        if model.crashed:
            self._endpoint.crash()
        elif not admitted:
            self.write(b"BUSY\r\n")
            self.close()
        else:
            self._setup_timer = loop.call_later(model.setup_time_ms(now_s) / 1000.0, self._establish)

    def _establish(self) -> None:
        self._established = True
        model = self._endpoint.model
        model.add_connection(self._load, self._group)
        load_us = self._load * self._endpoint.work_us_per_load
        self.write(b"UP %s\r\nLOAD %d\r\n" % (model.name.encode(), load_us))


@dataclass
class FakeDiscovery:
    """Discovery service that sends each watcher a full list and then every change.

    ``entries`` returns the entries of the full list.
    """

    entries: Callable[[], list[JsonObject]]
    address: tuple[str, int] = (LOOPBACK, 0)
    version: int = 1
    _watchers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stop listening, and close all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watchers):
            writer.close()

    def full_list(self) -> JsonObject:
        """Return the full list in the form that is sent to watchers."""
        return {"version": self.version, "full": True, "servers": self.entries()}

    def publish(self, entries: list[JsonObject]) -> None:
        """Send changed entries to all watchers."""
        self.version += 1
        event = _encode_event({"version": self.version, "full": False, "servers": entries})
        for writer in list(self._watchers):
            writer.write(event)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The end of a run interrupts its watches; the resulting errors are expected.
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            event = _encode_event(self.full_list())
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(event)
            self._watchers.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(DISCOVERY_HEARTBEAT_S)
                    if not writer.is_closing():
                        writer.write(b"1\r\n\n\r\n")
                        await writer.drain()
            finally:
                self._watchers.discard(writer)


def _encode_event(event: JsonObject) -> bytes:
    """Encode one watch event as a JSON line in an HTTP chunk."""
    line = json.dumps(event).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)
