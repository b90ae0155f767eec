"""Requests load reports from endpoints over persistent connections.

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
from sageturn.decision import AttemptStatus, HealthCheckCompleted
from sageturn.decision.load_reports import MAX_REPORT_BYTES, parse_report
from sageturn.net.addresses import Address
from sageturn.net.connecting import ConnectFailure, connect_unreserved

log = logging.getLogger(__name__)

REQUEST = b"STATS\r\n"
RESPONSE_REPORT = b"PONG"  # first word of a response with a load report
RESPONSE_REFUSED = b"NO"  # first word of the response of an endpoint that rejects health checks
RESPONSE_TIMEOUT_S = 1.0  # must not exceed the shortest interval between two checks of one endpoint
MAX_RESPONSE_BYTES = MAX_REPORT_BYTES + 64


@dataclass(frozen=True, slots=True)
class _Outcome:
    """Result of one check; ``report`` maps the fields of the load report to their values."""

    status: AttemptStatus
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """Connection that no check uses; ``last_used_s`` is a time on the event loop's clock."""

    sock: socket.socket
    last_used_s: float


class HealthCheckClient:
    """Client that runs at most one check per endpoint at a time; no failure is fatal."""

    def __init__(
        self,
        addresses: Mapping[str, Address],
        report_fields: Collection[str],
        connect_timeout_s: float,
        keepalive_s: float,
        on_completed: Callable[[HealthCheckCompleted], Awaitable[None]],
        invalid_values: Counter[str],
    ) -> None:
        """Prepare the client; nothing is connected before the first check.

        Args:
            addresses: Addresses of all endpoints by name; the registry updates them.
            report_fields: Fields of a load report, from the settings.
            connect_timeout_s: Connect timeout, in seconds.
            keepalive_s: Time for which an endpoint leaves an idle connection open, in seconds.
            on_completed: Called with the outcome of each check.
            invalid_values: Counter of the values of reports that could not be used, by reason.
        """
        self._addresses = addresses
        self._report_fields = report_fields
        self._connect_timeout_s = connect_timeout_s
        self._keepalive_s = keepalive_s
        self.on_completed = on_completed
        self._invalid_values = invalid_values
        self._idle: dict[str, _IdleConnection] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}

    def start_check(self, endpoint: str) -> None:
        """Start a check of ``endpoint``, unless one is running; called by the balancer's actor."""
        if endpoint in self._checks:
            return
        self._close_idle()
        task = asyncio.ensure_future(self._check(endpoint))
        self._checks[endpoint] = task
        task.add_done_callback(lambda _: self._checks.pop(endpoint, None))

    @property
    def in_flight_check_count(self) -> int:
        """Number of endpoints that are being checked."""
        return len(self._checks)

    def _close_idle(self) -> None:
        """Close connections that were idle for too long, also those to endpoints removed from the list."""
        min_last_used_s = asyncio.get_running_loop().time() - self._keepalive_s / 2.0
        expired = [name for name, idle in self._idle.items() if idle.last_used_s < min_last_used_s]
        for endpoint in expired:
            self._idle.pop(endpoint).sock.close()

    async def _check(self, endpoint: str) -> None:
        outcome = _Outcome(AttemptStatus.TIMEOUT)
        try:
            async with asyncio.timeout(self._connect_timeout_s + RESPONSE_TIMEOUT_S):
                outcome = await self._request_report(endpoint)
        except TimeoutError:
            pass
        except OSError as error:
            log.info("health check failed endpoint=%s reason=%s", endpoint, error)
            outcome = _Outcome(AttemptStatus.ERROR)
        await self.on_completed(HealthCheckCompleted(endpoint, outcome.status, outcome.report))

    async def _request_report(self, endpoint: str) -> _Outcome:
        address = self._addresses.get(endpoint)
        if address is None:
            return _Outcome(AttemptStatus.MOOT)
        response = b""
        idle = self._idle.pop(endpoint, None)
        if idle is not None:
            with suppress(OSError):  # the endpoint closed it, or has restarted; a new connection is opened
                response = await self._exchange(endpoint, idle.sock)
        if not response:
            sock = await connect_unreserved(address, self._connect_timeout_s)
            if isinstance(sock, ConnectFailure):
                return _Outcome(AttemptStatus.CONNECT_FAILED)
            response = await self._exchange(endpoint, sock)
        first_word, _, report = response.partition(b" ")
        if first_word == RESPONSE_REFUSED:
            return _Outcome(AttemptStatus.REFUSED)
        if first_word != RESPONSE_REPORT:
            return _Outcome(AttemptStatus.ERROR)
        return _Outcome(AttemptStatus.OK, parse_report(report, self._report_fields, self._invalid_values))

    async def _exchange(self, endpoint: str, sock: socket.socket) -> bytes:
        """Send a request and return the response line without its CRLF.

        Return b"" if the response is absent, incomplete or too long, and close the connection. It is also
        closed if the endpoint rejects health checks; otherwise it is kept open for the next check.
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
            if complete and not line.startswith(RESPONSE_REFUSED):
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
