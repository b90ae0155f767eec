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
from sageturn.decision.load_reports import MAX_REPORT_BYTES, read_report
from sageturn.net.addresses import Address
from sageturn.net.connecting import ConnectFailure, connect_unreserved

log = logging.getLogger(__name__)

REQUEST = b"STATS\r\n"
RESPONSE_REPORT = b"PONG"  # first word of a response with a load report
RESPONSE_REFUSED = b"NO"  # first word of the response of an endpoint that takes no health checks
RESPONSE_TIMEOUT_S = 1.0  # not above the shortest interval between two checks of one endpoint
MAX_RESPONSE_BYTES = MAX_REPORT_BYTES + 64


@dataclass(frozen=True, slots=True)
class _Outcome:
    """The result of one check; ``report`` has the values of the load report by field."""

    status: AttemptStatus
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection that no check uses; ``last_used_s`` is an instant of the event loop's clock."""

    sock: socket.socket
    last_used_s: float


class HealthCheckClient:
    """Runs at most one check of each endpoint at a time, and reports each outcome; no failure is fatal."""

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
            addresses: the addresses of all endpoints by name; the registry updates them.
            report_fields: the fields of a load report, by the settings.
            connect_timeout_s: the connect timeout, in seconds.
            keepalive_s: how long an endpoint leaves an idle connection open, in seconds.
            on_completed: called with the outcome of each check.
            invalid_values: counts the values of reports that could not be used, by reason.
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
        """Begin a check of ``endpoint``, unless one is running; called by the balancer's actor."""
        if endpoint in self._checks:
            return
        self._close_idle()
        task = asyncio.ensure_future(self._check(endpoint))
        self._checks[endpoint] = task
        task.add_done_callback(lambda _: self._checks.pop(endpoint, None))

    @property
    def checks_in_flight(self) -> int:
        """How many endpoints are being checked."""
        return len(self._checks)

    def _close_idle(self) -> None:
        """Close connections that are idle for too long, also those to endpoints that have left the list."""
        oldest_s = asyncio.get_running_loop().time() - self._keepalive_s / 2.0
        expired = [name for name, idle in self._idle.items() if idle.last_used_s < oldest_s]
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
            with suppress(OSError):  # the endpoint closed it, or has restarted: a new connection is tried
                response = await self._exchange(endpoint, idle.sock)
        if not response:
            sock = await connect_unreserved(address, self._connect_timeout_s)
            if isinstance(sock, ConnectFailure):
                return _Outcome(AttemptStatus.CONNECT_FAILED)
            response = await self._exchange(endpoint, sock)
        word, _, report = response.partition(b" ")
        if word == RESPONSE_REFUSED:
            return _Outcome(AttemptStatus.REFUSED)
        if word != RESPONSE_REPORT:
            return _Outcome(AttemptStatus.ERROR)
        return _Outcome(AttemptStatus.OK, read_report(report, self._report_fields, self._invalid_values))

    async def _exchange(self, endpoint: str, sock: socket.socket) -> bytes:
        """Send a request and return the response line without its CRLF; the connection is kept as idle.

        Returns b"" where the response is absent, incomplete or too long; then the connection is closed.
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
