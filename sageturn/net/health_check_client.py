"""Requests load reports from endpoints over connections that it keeps open.

Imported only where the deployment allows health checks.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import HealthCheckCompleted
from sageturn.decision.load_reports import MAX_REPORT_BYTES, read_report
from sageturn.net.sockets import ConnectFailure, connect_unreserved

log = logging.getLogger(__name__)

REQUEST = b"STATS\r\n"
RESPONSE_TIMEOUT_S = 1.0  # by then the endpoint is due to be checked anew
MAX_RESPONSE_BYTES = MAX_REPORT_BYTES + 64


@dataclass(frozen=True, slots=True)
class _Outcome:
    """``status`` is one of those that ``HealthCheckCompleted`` takes; ``report`` holds values by field."""

    status: str
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    sock: socket.socket
    last_used_s: float


class HealthCheckClient:
    """Checks each endpoint once at a time. Each outcome is notified once; no failure here is fatal."""

    def __init__(
        self,
        addresses: Mapping[str, tuple[str, int]],
        fields: Collection[str],
        connect_s: float,
        keep_s: float,
        on_completed: Callable[[HealthCheckCompleted], Awaitable[None]],
        dropped: Counter[str],
    ) -> None:
        """Prepare the client; nothing is connected before the first check.

        Args:
            addresses: of all endpoints by name; the registry keeps it up to date.
            fields: what reports hold, by the settings.
            connect_s: time to connect, in seconds.
            keep_s: how long an endpoint leaves an idle connection open, in seconds.
            on_completed: takes the outcome of each check.
            dropped: counts values of reports that could not be used, by the reason.
        """
        self._addresses = addresses
        self._fields = fields
        self._connect_timeout_s = connect_s
        self._keep_s = keep_s
        self.on_completed = on_completed
        self._dropped = dropped
        self._idle: dict[str, _IdleConnection] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}

    def start_check(self, endpoint: str) -> None:
        """Begin a check, unless one is under way. Called by the balancer's actor, which must never wait."""
        if endpoint in self._checks:
            return
        self._close_idle()
        task = asyncio.ensure_future(self._check(endpoint))
        self._checks[endpoint] = task
        task.add_done_callback(lambda _: self._checks.pop(endpoint, None))

    @property
    def checks_under_way(self) -> int:
        """How many endpoints are being checked."""
        return len(self._checks)

    def _close_idle(self) -> None:
        """Also those to endpoints that have left the list: they are not checked any more."""
        oldest_s = asyncio.get_running_loop().time() - self._keep_s / 2.0
        expired = [name for name, idle in self._idle.items() if idle.last_used_s < oldest_s]
        for endpoint in expired:
            self._idle.pop(endpoint).sock.close()

    async def _check(self, endpoint: str) -> None:
        outcome = _Outcome("timeout")
        try:
            async with asyncio.timeout(self._connect_timeout_s + RESPONSE_TIMEOUT_S):
                outcome = await self._request_report(endpoint)
        except TimeoutError:
            pass
        except OSError as error:
            log.info("health check failed endpoint=%s reason=%s", endpoint, error)
            outcome = _Outcome("error")
        await self.on_completed(HealthCheckCompleted(endpoint, outcome.status, outcome.report))

    async def _request_report(self, endpoint: str) -> _Outcome:
        address = self._addresses.get(endpoint)
        if address is None:
            return _Outcome("moot")
        response = b""
        idle = self._idle.pop(endpoint, None)
        if idle is not None:
            with suppress(OSError):  # closed as idle, or the endpoint has restarted: that is no answer yet
                response = await self._exchange(endpoint, idle.sock)
        if not response:
            sock = await connect_unreserved(address, self._connect_timeout_s)
            if isinstance(sock, ConnectFailure):
                return _Outcome("connect_failed")
            response = await self._exchange(endpoint, sock)
        word, _, rest = response.partition(b" ")
        if word == b"NO":
            return _Outcome("refused")
        if word != b"PONG":
            return _Outcome("error")
        return _Outcome("ok", read_report(rest, self._fields, self._dropped))

    async def _exchange(self, endpoint: str, sock: socket.socket) -> bytes:
        """Return one line without its CRLF, and keep the connection.

        b"" for none, an incomplete one or one too long: then the connection is closed.
        """
        loop = asyncio.get_running_loop()
        line = bytearray()
        buffer = bytearray(MAX_RESPONSE_BYTES)
        complete = False
        try:
            await loop.sock_sendall(sock, REQUEST)
            while len(line) < MAX_RESPONSE_BYTES and not line.endswith(b"\n"):
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    return b""
                line += buffer[:size]
            complete = line.endswith(b"\r\n") and line.count(b"\n") == 1
        finally:
            if complete and not line.startswith(b"NO"):
                self._idle[endpoint] = _IdleConnection(sock, loop.time())
            else:
                sock.close()
        return bytes(line[:-2]) if complete else b""

    async def stop(self) -> None:
        """Cancel all checks and close all connections."""
        for task in list(self._checks.values()):
            await cancel_and_wait(task)
        for idle in self._idle.values():
            idle.sock.close()
        self._idle.clear()
