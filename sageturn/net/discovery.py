"""Client of discovery: keeps at most one watch open and reports each failure; no failure is fatal."""

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

# Called with the number of a watch, and with an update or the failure of that watch.
WatchEventHandler = Callable[[int, EndpointListUpdate | WatchFailed], Awaitable[None]]


class DiscoveryClient:
    """Client that starts and replaces watches for the endpoint registry, and passes on their events."""

    def __init__(
        self, address: Address, on_event: WatchEventHandler, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Create the client; ``clock``, in seconds, measures how long a failed call had waited."""
        self._address = address
        self.on_event = on_event
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()  # the watch, and replaced ones being cancelled
        self._watch_count = 0

    def start(self, after_version: int) -> int:
        """Replace the watch by one for changes after version ``after_version``; return its number."""
        self._watch_count += 1
        for previous in self._tasks:
            previous.cancel()
        task = asyncio.ensure_future(self._run_watch(self._watch_count, after_version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self._watch_count

    def set_address(self, address: Address) -> None:
        """Set the address for the next ``start``; an open watch is not affected."""
        self._address = address

    async def stop(self) -> None:
        """Cancel the watch, and wait until its connection is closed."""
        for task in list(self._tasks):
            await cancel_and_wait(task)

    async def _run_watch(self, watch_number: int, after_version: int) -> None:
        watch = DiscoveryWatch(
            self._address, after_version, partial(self.on_event, watch_number), self._clock
        )
        try:
            failed = await watch.run()
        except Exception as error:
            # If the end of a watch were not reported, the relay would keep a stale list indefinitely.
            log.exception("discovery watch crashed watch=%d", watch_number)
            failed = WatchFailed(f"{type(error).__name__}: {error}", DiscoveryFailure.UNUSABLE)
        await self.on_event(watch_number, failed)
