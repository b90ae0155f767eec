"""Stand-ins on loopback sockets for what lies around a relay: live hosts that speak lines, and discovery."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, cast

from sageturn.lab.endpoint_model import EndpointModel

WAIT_MOST = 1 << 16  # octets of a line that is not whole


class LineProtocol(asyncio.Protocol):
    """A connection that is read line by line."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own is one in all but its ancestry

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > WAIT_MOST:
            self.abort()
        for line in lines:
            self.line(line.rstrip(b"\r"))

    def line(self, line: bytes) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def first_words(line: bytes) -> tuple[str, str, dict[str, str]] | None:
    """Id, key and values of an OPEN line; None for anything else."""
    words = line.decode("ascii", "replace").split(" ")
    if len(words) != 4 or words[0] != "OPEN":
        return None
    pairs = dict(pair.partition("=")[::2] for pair in words[3].split(","))
    return words[1], words[2], pairs


class FakeEndpoint:
    """A live host on a socket of its own. It reads what its model says, and nothing of the relay."""

    def __init__(self, model: EndpointModel, unit_us: float) -> None:
        self.model, self.unit_us = model, unit_us
        self.address = ("127.0.0.1", 0)
        self.connections: set[_HostConnection] = set()
        self.opened: deque[float] = deque(maxlen=100_000)  # when each new connection asked for its set-up
        self.syntax = 0  # first lines that no client sent in this form
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _HostConnection(self), "127.0.0.1", 0, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def fall(self) -> None:
        """Pushed over: nobody listens any more, and what it held breaks."""
        self.model.fallen = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def drain(self, over_s: float) -> None:
        """Nothing new, and those it holds are sent away bit by bit."""
        self.model.draining = True
        leaving = list(self.connections)
        for connection in leaving:
            connection.write(b"MOVE\r\n")
            connection.close()
            await asyncio.sleep(over_s / max(1, len(leaving)))


class _HostConnection(LineProtocol):
    def __init__(self, host: FakeEndpoint) -> None:
        super().__init__()
        self._host = host
        self._load, self._group = 0.0, ""
        self._up = False
        self._answer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._host.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)
        if self._answer is not None:
            self._answer.cancel()
        if self._up:
            self._host.model.remove(self._load, self._group)

    def line(self, line: bytes) -> None:
        if self._up:
            self.write(line + b"\r\n")
        elif self._answer is None:
            self._open(line)

    def _open(self, line: bytes) -> None:
        host, model = self._host, self._host.model
        said = first_words(line)
        if said is None:
            host.syntax += 1
            self.write(b"SYNTAX\r\n")
            self.close()
            return
        pairs = said[2]
        self._load, self._group = float(pairs.get("h", "0")) / host.unit_us, pairs.get("g", "")
        now_s = host.now_s()
        if "at" not in pairs:
            host.opened.append(time.monotonic())
        if "at" in pairs:  # it stood here before the relay started
            self._stand()
            return
        taken = model.admits(now_s, self._load)
        if model.fallen:
            host.fall()
        elif not taken:
            self.write(b"BUSY\r\n")
            self.close()
        else:
            takes_s = model.set_up_takes_ms(now_s) / 1000.0
            self._answer = asyncio.get_running_loop().call_later(takes_s, self._stand)

    def _stand(self) -> None:
        self._up = True
        self._host.model.add(self._load, self._group)
        load = self._load * self._host.unit_us
        self.write(b"UP %s\r\nLOAD %d\r\n" % (self._host.model.name.encode(), load))


@dataclass
class FakeDiscovery:
    """Tells the list, and each change of it to all who watch."""

    entries: Callable[[], list[dict[str, Any]]]
    address: tuple[str, int] = ("127.0.0.1", 0)
    version: int = 1
    _watchers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._watchers):
            writer.close()

    def whole(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": self.entries()}

    def changed(self, entries: list[dict[str, Any]]) -> None:
        """Word of these entries goes to all who watch."""
        self.version += 1
        line = json.dumps({"version": self.version, "full": False, "servers": entries}).encode() + b"\n"
        for writer in list(self._watchers):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # it ends with the lab
            await reader.readuntil(b"\r\n\r\n")
            line = json.dumps(self.whole()).encode() + b"\n"
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            self._watchers.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(2.0)
                    if not writer.is_closing():
                        writer.write(b"1\r\n\n\r\n")
                        await writer.drain()
            finally:
                self._watchers.discard(writer)
