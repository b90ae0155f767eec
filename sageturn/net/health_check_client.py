"""Asks endpoints for load reports over connections that it keeps; read in only where probes are allowed."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping
from contextlib import suppress

from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import HealthCheckCompleted
from sageturn.decision.load_reports import TEXT_MOST, read_report
from sageturn.net.sockets import ConnectFailure, connect_unreserved

log = logging.getLogger(__name__)

ASK = b"STATS\r\n"
ANSWER_S = 1.0  # by then the endpoint is due to be asked anew
LINE_MOST = TEXT_MOST + 64


class HealthCheckClient:
    """One probe at a time at each endpoint. Whatever comes of it is told once; nothing here is fatal."""

    def __init__(
        self,
        addresses: Mapping[str, tuple[str, int]],
        fields: Collection[str],
        connect_s: float,
        keep_s: float,
        tell: Callable[[HealthCheckCompleted], Awaitable[None]],
        dropped: Counter[str],
    ) -> None:
        """``fields``: what reports hold. ``keep_s``: how long an endpoint leaves an idle connection open.
        ``dropped`` counts values of reports that could not be used, by why.
        """
        self._addresses, self._fields, self._tell = addresses, fields, tell
        self._connect_s, self._keep_s, self._dropped = connect_s, keep_s, dropped
        self._kept: dict[str, tuple[float, socket.socket]] = {}  # with when it was last used
        self._out: dict[str, asyncio.Task[None]] = {}

    def ask(self, endpoint: str) -> None:
        """Called by the module's actor, which must never wait: one that has not yet answered is not asked."""
        if endpoint in self._out:
            return
        self._forget_idle()
        task = self._out[endpoint] = asyncio.ensure_future(self._probe(endpoint))
        task.add_done_callback(lambda _: self._out.pop(endpoint, None))

    def _forget_idle(self) -> None:
        """Also those to endpoints that have left the list: nobody asks them any more."""
        oldest_s = asyncio.get_running_loop().time() - self._keep_s / 2.0
        for endpoint in [name for name, (used_s, _) in self._kept.items() if used_s < oldest_s]:
            self._kept.pop(endpoint)[1].close()

    async def _probe(self, endpoint: str) -> None:
        status, report = "timeout", dict[str, float]()
        try:
            async with asyncio.timeout(self._connect_s + ANSWER_S):
                status, report = await self._converse(endpoint)
        except TimeoutError:
            pass
        except OSError as error:
            log.info("probe of %s: %s", endpoint, error)
            status = "error"
        await self._tell(HealthCheckCompleted(endpoint, status, report))

    async def _converse(self, endpoint: str) -> tuple[str, dict[str, float]]:
        address = self._addresses.get(endpoint)
        if address is None:
            return "moot", {}
        line = b""
        kept = self._kept.pop(endpoint, None)
        if kept is not None:
            with suppress(OSError):  # closed as idle, or the endpoint has started anew: that is no answer yet
                line = await self._exchange(endpoint, kept[1])
        if not line:
            sock = await connect_unreserved(address, self._connect_s)
            if isinstance(sock, ConnectFailure):
                return "connect_failed", {}
            line = await self._exchange(endpoint, sock)
        word, _, rest = line.partition(b" ")
        if word == b"NO":
            return "refused", {}
        if word != b"PONG":
            return "error", {}
        return "ok", read_report(rest, self._fields, self._dropped)

    async def _exchange(self, endpoint: str, sock: socket.socket) -> bytes:
        """One answer without its CRLF; b"" for none, half a line or one too long: then the end is closed."""
        loop = asyncio.get_running_loop()
        line, buffer = bytearray(), bytearray(LINE_MOST)
        whole = False
        try:
            await loop.sock_sendall(sock, ASK)
            while len(line) < LINE_MOST and not line.endswith(b"\n"):
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    return b""
                line += buffer[:size]
            whole = line.endswith(b"\r\n") and line.count(b"\n") == 1
        finally:
            if whole and not line.startswith(b"NO"):
                self._kept[endpoint] = loop.time(), sock
            else:
                sock.close()
        return bytes(line[:-2]) if whole else b""

    async def stop(self) -> None:
        for task in list(self._out.values()):
            await cancel_and_wait(task)
        for _, sock in self._kept.values():
            sock.close()
        self._kept.clear()
