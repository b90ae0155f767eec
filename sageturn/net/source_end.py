"""Limits how long the input of a peer that has closed its connection is still written to the other side.

While a write to the other side waits, the source is not read, and its end would be noticed only once all that
it has sent before is written.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable

from sageturn.net.errors import NetError
from sageturn.net.sockets import is_closed_by_peer

CHECK_INTERVAL_S = 0.1


class SourceEndedError(NetError):
    """Write that was given up, since the peer whose input it writes has closed its connection."""


class SourceEndLimit:
    """Limit of the writes of one source's input, which begins once the source has closed its connection."""

    __slots__ = ("_check_at_s", "_deadline_s", "_grace_s", "_source", "_timer")

    def __init__(self, source: socket.socket, grace_s: float) -> None:
        """Create the limit.

        Args:
            source: the socket whose input is written.
            grace_s: seconds for which input is still written after the source's end was noticed.
        """
        self._source = source
        self._grace_s = grace_s
        self._check_at_s = 0.0
        self._timer: asyncio.TimerHandle
        self._deadline_s: float | None = None  # by the loop's clock; None while the source is connected

    async def complete(self, writing: Awaitable[None]) -> None:
        """Wait for a write.

        Raises:
            SourceEndedError: the source has closed, and the other side did not take the rest in time.
            OSError: the write failed.
        """
        loop = asyncio.get_running_loop()
        timeout = asyncio.timeout_at(self._deadline_s)
        try:
            async with timeout:
                self._timer = loop.call_later(CHECK_INTERVAL_S, self._check_waiting_write, timeout)
                try:
                    await writing
                finally:
                    self._timer.cancel()
        except TimeoutError as error:
            if timeout.expired():
                raise SourceEndedError from error
            raise  # the kernel gave the connection up (ETIMEDOUT)
        now_s = loop.time()
        if now_s >= self._check_at_s:
            self._check(now_s)
        if self._deadline_s is not None and now_s > self._deadline_s:
            raise SourceEndedError

    def _check(self, now_s: float) -> None:
        self._check_at_s = now_s + CHECK_INTERVAL_S
        if self._deadline_s is None and self._source.fileno() >= 0 and is_closed_by_peer(self._source):
            self._deadline_s = now_s + self._grace_s

    def _check_waiting_write(self, timeout: asyncio.Timeout) -> None:
        """Check the source while a write waits; limit that write once the source has ended."""
        loop = asyncio.get_running_loop()
        self._check(loop.time())
        if self._deadline_s is None:
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check_waiting_write, timeout)
        else:
            timeout.reschedule(self._deadline_s)
