"""The client of discovery: holds at most one watch open and reports every failure; none is fatal."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from functools import partial

from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import DiscoveryFailure
from sageturn.net.addresses import Address
from sageturn.net.discovery_watch import DiscoveryWatch

log = logging.getLogger(__name__)

# Called with the number of a watch, and an update from it or its failure.
WatchEventHandler = Callable[[int, EndpointListUpdate | WatchFailed], Awaitable[None]]


class DiscoveryClient:
    """Starts and replaces watches for the endpoint registry, and passes their events to ``on_event``."""

    def __init__(
        self, address: Address, on_event: WatchEventHandler, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """``clock`` measures how long a failed call had waited, in seconds."""
        self._address = address
        self.on_event = on_event
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()  # the watch, and those that are being cancelled
        self._watch_count = 0

    def start(self, after_version: int) -> int:
        """Replace the watch by one for changes after version ``after_version``; returns its number."""
        self._watch_count += 1
        for previous in self._tasks:
            previous.cancel()
        task = asyncio.ensure_future(self._run_watch(self._watch_count, after_version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self._watch_count

    def set_address(self, address: Address) -> None:
        """Set the address for the next ``start``; the watch that is open is not affected."""
        self._address = address

    async def stop(self) -> None:
        """Cancel the watch, and wait until its connection is closed."""
        for task in list(self._tasks):
            await cancel_and_wait(task)

    async def _run_watch(self, number: int, after_version: int) -> None:
        watch = DiscoveryWatch(self._address, after_version, partial(self.on_event, number), self._clock)
        try:
            failed = await watch.run()
        except Exception as error:
            # A watch that ended unreported would leave the relay with an old list for good.
            log.exception("discovery watch crashed watch=%d", number)
            failed = WatchFailed(f"{type(error).__name__}: {error}", DiscoveryFailure.UNUSABLE)
        await self.on_event(number, failed)
