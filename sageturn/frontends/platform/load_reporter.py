"""Reports to the core the load values that an endpoint sends between its other lines."""

from __future__ import annotations

import asyncio

from sageturn.core.request_lifecycle import RequestLifecycle

LOAD_PREFIX = b"LOAD "
MAX_QUEUED_REPORTS = 16


class LoadReporter:
    """Queue of load values for the core, so that forwarding the LOAD lines does not wait for it."""

    def __init__(self, lifecycle: RequestLifecycle) -> None:
        self._lifecycle = lifecycle
        self._loads: asyncio.Queue[float] = asyncio.Queue(MAX_QUEUED_REPORTS)

    def on_lines(self, buffer: bytearray, end: int) -> None:
        """Queue the values of the LOAD lines in ``buffer``, which holds complete lines up to ``end``."""
        start = 0
        while start < end:
            line_end = buffer.index(b"\n", start) + 1
            if buffer.startswith(LOAD_PREFIX, start):
                self._queue_value(bytes(buffer[start + len(LOAD_PREFIX) : line_end]))
            start = line_end

    def _queue_value(self, text: bytes) -> None:
        try:
            value = float(text)
        except ValueError:
            return
        if not self._loads.full():  # a value that is dropped is superseded by a later one
            self._loads.put_nowait(value)

    async def run(self) -> None:
        """Report the queued values to the core until cancelled."""
        while True:
            await self._lifecycle.established.report_load(await self._loads.get())
